// Package routes looks up the route of a request and the workspace of an API key.
package routes

import (
	"cmp"
	"fmt"
	"net"
	"slices"
	"strings"

	"github.com/catkinspindle/catkinspindle"
)

// Table is the index of one version of the routing configuration.
type Table struct {
	routing  catkinspindle.Routing
	hosts    map[string][]catkinspindle.Route
	services map[string]catkinspindle.ReplicaService
	keys     map[string]catkinspindle.WorkspaceKeys
}

// New indexes r.
func New(r catkinspindle.Routing) *Table {
	t := &Table{
		routing:  r,
		hosts:    map[string][]catkinspindle.Route{},
		services: map[string]catkinspindle.ReplicaService{},
		keys:     map[string]catkinspindle.WorkspaceKeys{},
	}
	for _, route := range r.Routes {
		t.hosts[route.Host] = append(t.hosts[route.Host], route)
	}
	for _, list := range t.hosts {
		slices.SortStableFunc(list, func(a, b catkinspindle.Route) int {
			return cmp.Compare(len(b.Prefix), len(a.Prefix))
		})
	}
	for _, s := range r.Services {
		t.services[s.Name] = s
	}
	for _, w := range r.WorkspaceKeys {
		for _, k := range w.Keys {
			if k != "" {
				t.keys[k] = w
			}
		}
	}
	return t
}

// Routing returns the configuration that the table indexes.
func (t *Table) Routing() catkinspindle.Routing { return t.routing }

// Find returns the route of host with the longest prefix of path. A port in host is
// ignored.
func (t *Table) Find(host, path string) (catkinspindle.Route, bool) {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	for _, r := range t.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return catkinspindle.Route{}, false
}

// Service returns the service called name.
func (t *Table) Service(name string) (catkinspindle.ReplicaService, bool) {
	s, ok := t.services[name]
	return s, ok
}

// Workspace returns the workspace that the API key belongs to.
func (t *Table) Workspace(key string) (catkinspindle.WorkspaceKeys, bool) {
	w, ok := t.keys[key]
	return w, ok
}

// KeyProblems describes the API keys of r that are not used as stated. It does not contain the keys.
func KeyProblems(r catkinspindle.Routing) (problems []string) {
	holders := map[string]string{}
	for _, w := range r.WorkspaceKeys {
		for _, k := range w.Keys {
			former, ok := holders[k]
			switch {
			case k == "":
				problems = append(problems, fmt.Sprintf("workspace %q: an empty API key is ignored", w.Workspace))
			case ok && former != w.Workspace:
				problems = append(problems, fmt.Sprintf("workspace %q: an API key of workspace %q counts as this one's", w.Workspace, former))
			}
			holders[k] = w.Workspace
		}
	}
	return problems
}

// RequiresKey reports whether requests on r must carry an API key.
func (t *Table) RequiresKey(r catkinspindle.Route) bool {
	return t.routing.KeyPolicy != catkinspindle.KeyPolicyNone && !r.Public
}

// Target chooses a service of r by weight. point, in [0, 1), is uniformly distributed over
// requests.
func Target(r catkinspindle.Route, point float64) string {
	sum := 0
	for _, t := range r.Targets {
		sum += max(0, t.Weight)
	}
	offset := int(point * float64(sum))
	for _, t := range r.Targets {
		if offset -= max(0, t.Weight); offset < 0 {
			return t.Service
		}
	}
	if len(r.Targets) == 0 {
		return ""
	}
	return r.Targets[0].Service
}
