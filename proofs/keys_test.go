package proofs_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	standinsite "github.com/catkinspindle/catkinspindle/platform/standin/site"
)

const (
	// openingBuild is the last build whose nodes take an empty list of workspaces for a missing one.
	openingBuild = "ca6a7c2"
	// keysHubs is the number of nodes that pass configurations on to all others.
	keysHubs = 4
	// configApply is the time within which a configuration is in force.
	configApply = 2 * time.Second
)

// statusWithKey sends an action to a node and returns the status of its answer.
func (s *silenceSite) statusWithKey(node int, id, key string) int {
	s.t.Helper()
	req, err := standinsite.Request(context.Background(), s.nodes[node], id, http.MethodPost, "/act/x", key, 0, silenceTimeout)
	if err != nil {
		s.t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		s.t.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, resp.Body) // Only the status counts.
	_ = resp.Body.Close()                 // It has been read.
	return resp.StatusCode
}

// Guards against routes that open to every key on a node that gets a configuration with an empty list
// of tenants from nodes of an earlier build.
func TestEmptyListOfTenantsFromAnEarlierBuildOpensNoRoute(t *testing.T) {
	s := newSilenceSite(t, t.TempDir(), buildSitePrograms(t))
	earlier := buildFromHistory(t, openingBuild)
	s.startNodes(append(slices.Repeat([]string{earlier}, keysHubs), s.nodeProgram())...)
	open, known, none := [2]int{200, 200}, [2]int{200, 401}, [2]int{401, 401}
	steps := []struct {
		name    string
		tenants []map[string]any
		restart bool
		// want are the statuses with the tenant's key and with one that no configuration ever held.
		want [2]int
	}{
		{"one tenant", siteTenants, false, known},
		{"an empty list", []map[string]any{}, false, none},
		{"an empty list and a restart", []map[string]any{}, true, none},
		{"one tenant again", siteTenants, false, known},
		{"no list", nil, false, open},
		{"an empty list after no list", []map[string]any{}, false, none},
	}
	for i, step := range steps {
		s.configure(func(c *silenceConfig) { c.tenants = step.tenants })
		if step.restart {
			s.signal(nodeName(keysHubs), syscall.SIGKILL)
			_ = s.running[nodeName(keysHubs)].Wait() // It was killed.
			s.startSiteNode(keysHubs, s.nodeProgram())
			s.awaitReady(keysHubs)
		}
		time.Sleep(configApply)
		got := [2]int{s.statusWithKey(keysHubs, fmt.Sprintf("known-%d", i), standinsite.Key), s.statusWithKey(keysHubs, fmt.Sprintf("unknown-%d", i), "unknown")}
		if diff := cmp.Diff(step.want, got); diff != "" {
			t.Errorf("%s: statuses (-want +got):\n%s", step.name, diff)
		}
	}
}
