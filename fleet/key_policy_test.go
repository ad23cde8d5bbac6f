package fleet_test

import (
	"context"
	"log/slog"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/fleet"
	"github.com/catkinspindle/catkinspindle/view"
)

// openRouting returns a configuration without workspaces, which requires no key.
func openRouting(version int64) catkinspindle.Routing {
	return catkinspindle.Routing{Version: version, KeyPolicy: catkinspindle.KeyPolicyNone}
}

// Guards against routes that a node of an earlier build opens to every key: it sends an empty list of
// workspaces like a missing one.
func TestConfigurationOfAnEarlierBuildOpensNoRoute(t *testing.T) {
	const version = 9
	type earlierRouting struct {
		Version    int64
		KeyHolders []catkinspindle.WorkspaceKeys
	}
	type result struct {
		Version     int64
		RequiresKey bool
		Reads       int
	}
	keys := []catkinspindle.WorkspaceKeys{{Workspace: "w", Keys: []string{"k"}}}
	tests := map[string]struct {
		routing any
		want    result
	}{
		"earlier build, none or an empty list": {earlierRouting{Version: version}, result{3, true, 1}},
		"earlier build, an empty list":         {earlierRouting{version, []catkinspindle.WorkspaceKeys{}}, result{version, true, 0}},
		"earlier build, a list":                {earlierRouting{version, keys}, result{version, true, 0}},
		"this build, none":                     {openRouting(version), result{version, false, 0}},
		"this build, an empty list":            {catkinspindle.Routing{Version: version, KeyPolicy: catkinspindle.KeyPolicyRequired}, result{version, true, 0}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			net := &network{handlers: map[string]catkinspindle.PeerHandler{}, down: map[string]bool{}}
			v := view.New(nil)
			v.SetRouting(catkinspindle.Routing{Version: 3, WorkspaceKeys: keys})
			reads := 0
			fleet.New(member(0, 1), endpoint{net, "peer-n0"}, v, func(context.Context) {}, slog.New(slog.DiscardHandler), fleet.WithRoutingUnclear(func() { reads++ }))
			update := stateUpdate{&snapshot{version, compressed(t, encoded(t, tt.routing)), 0}, nil, "n1"}
			for range 2 {
				if err := (endpoint{net, "peer-n1"}).Call(context.Background(), "peer-n0", "news", update, nil); err != nil {
					t.Error(err)
				}
			}
			table := v.State().Table
			got := result{v.State().Version(), table.RequiresKey(catkinspindle.Route{}), reads}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("configuration (-want +got):\n%s", diff)
			}
		})
	}
}
