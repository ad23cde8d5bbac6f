package fleet_test

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/catkinspindle/catkinspindle"
)

func TestHubThatWasFrozenDeclaresNoNodeDead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net, nodes := startNodes(t, 9)
		defer stopNodes(t, nodes)
		hub := nodes[0]
		lost := func() []string {
			hub.mu.Lock()
			defer hub.mu.Unlock()
			return slices.Clone(hub.reportedDead)
		}
		hub.mu.Lock()
		// The loop of the heartbeats stands still while a loss is reported.
		hub.onLost = func(n catkinspindle.Node) {
			if n.Name != "n8" {
				return
			}
			net.setDown("peer-n0", true)
			time.Sleep(1500 * time.Millisecond)
			net.setDown("peer-n0", false)
		}
		hub.mu.Unlock()
		time.Sleep(3 * time.Second)
		net.setDown("peer-n8", true)
		time.Sleep(8 * time.Second)
		if diff := cmp.Diff([]string{"n8/1"}, lost()); diff != "" {
			t.Errorf("nodes declared dead (-want +got):\n%s", diff)
		}
		net.setDown("peer-n7", true)
		time.Sleep(2 * time.Second)
		if diff := cmp.Diff([]string{"n8/1", "n7/1"}, lost()); diff != "" {
			t.Errorf("nodes declared dead later (-want +got):\n%s", diff)
		}
	})
}
