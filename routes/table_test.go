package routes_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/routes"
)

func TestFind(t *testing.T) {
	table := routes.New(catkinspindle.Routing{Routes: []catkinspindle.Route{
		{Name: "root", Host: "a.example", Prefix: "/"},
		{Name: "deep", Host: "a.example", Prefix: "/x/y/"},
		{Name: "x", Host: "a.example", Prefix: "/x/"},
		{Name: "other", Host: "b.example", Prefix: "/x/"},
	}})
	tests := []struct{ host, path, want string }{
		{"a.example", "/x/y/z", "deep"},
		{"a.example", "/x/z", "x"},
		{"a.example", "/x", "root"},
		{"A.Example:8080", "/x/", "x"},
		{"b.example", "/x/y/", "other"},
		{"b.example", "/", ""},
		{"c.example", "/x/", ""},
	}
	for _, tt := range tests {
		got, _ := table.Find(tt.host, tt.path)
		if diff := cmp.Diff(tt.want, got.Name); diff != "" {
			t.Errorf("route of %s%s (-want +got):\n%s", tt.host, tt.path, diff)
		}
	}
}

func TestTargetFollowsWeights(t *testing.T) {
	r := catkinspindle.Route{Targets: []catkinspindle.RouteTarget{{Service: "a", Weight: 90}, {Service: "none", Weight: 0}, {Service: "b", Weight: 10}}}
	got := map[string]int{}
	for i := range 1000 {
		got[routes.Target(r, float64(i)/1000)]++
	}
	if diff := cmp.Diff(map[string]int{"a": 900, "b": 100}, got); diff != "" {
		t.Errorf("requests by service (-want +got):\n%s", diff)
	}
}

// Guards against API keys that silently belong to another workspace than their operators meant.
func TestKeyProblems(t *testing.T) {
	got := routes.KeyProblems(catkinspindle.Routing{WorkspaceKeys: []catkinspindle.WorkspaceKeys{
		{Workspace: "a", Keys: []string{"k1", "k1"}}, {Workspace: "b", Keys: []string{"", "k2"}}, {Workspace: "c", Keys: []string{"k2"}},
	}})
	want := []string{`workspace "b": an empty API key is ignored`, `workspace "c": an API key of workspace "b" counts as this one's`}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("problems (-want +got):\n%s", diff)
	}
}

func TestKeys(t *testing.T) {
	table := routes.New(catkinspindle.Routing{WorkspaceKeys: []catkinspindle.WorkspaceKeys{{Workspace: "w", Keys: []string{"k1", "", "k2"}}}})
	if w, ok := table.Workspace("k2"); !ok || w.Workspace != "w" {
		t.Errorf("workspace of k2: %q, %t", w.Workspace, ok)
	}
	if _, ok := table.Workspace(""); ok {
		t.Error("the empty key belongs to a workspace")
	}
	if table.RequiresKey(catkinspindle.Route{Public: true}) || !table.RequiresKey(catkinspindle.Route{}) {
		t.Error("want a key required on all routes except public ones")
	}
}
