package fleet_test

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/fleet"
	"github.com/catkinspindle/catkinspindle/view"
)

// betweenHeartbeats is a time that ends between two heartbeats, when none is in flight.
const betweenHeartbeats = 2100 * time.Millisecond

func positionInEra(era, revision int64) catkinspindle.Position {
	return catkinspindle.Position{Era: era, Revision: revision}
}

func replicasByID(ids ...string) map[string]catkinspindle.Replica {
	list := map[string]catkinspindle.Replica{}
	for _, id := range ids {
		list[id] = catkinspindle.Replica{ID: id, Incarnation: 1}
	}
	return list
}

// The list of a restored store reaches every node, also those that have a higher revision
// of the previous era, and a node that was partitioned meanwhile does not bring back an
// entry of that era.
func TestRestoredListReachesAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net, nodes := startNodes(t, 8)
		defer stopNodes(t, nodes)
		for _, hub := range nodes[:4] {
			hub.view.SetReplicas(replicasByID("a", "b"), positionInEra(1, 900), time.Time{})
		}
		time.Sleep(2 * time.Second)
		net.setDown(nodes[3].self.PeerAddress, true)
		nodes[3].view.ChangeReplicas([]view.Change{{Replica: replicasByID("late")["late"]}}, positionInEra(1, 950), time.Time{})
		for _, hub := range nodes[:2] {
			hub.view.SetReplicas(replicasByID("a", "c"), positionInEra(2, 7), time.Time{})
		}
		time.Sleep(2 * time.Second)
		net.setDown(nodes[3].self.PeerAddress, false)
		time.Sleep(4 * time.Second)
		for _, n := range nodes {
			s := n.view.State()
			if diff := cmp.Diff([]string{"a", "c"}, slices.Sorted(maps.Keys(s.Replicas))); diff != "" || s.ReplicasAt != positionInEra(2, 7) {
				t.Errorf("%s has a list at %s (-want +got):\n%s", n.self.Name, s.ReplicasAt, diff)
			}
		}
	})
}

// No node uses a replica that a restored store lists if a hub has seen its removal before
// the restore, also a node that was partitioned at that time.
func TestRemovalsAreSentWithRestoredList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net, nodes := startNodes(t, 8)
		defer stopNodes(t, nodes)
		for _, hub := range nodes[:4] {
			hub.view.SetReplicas(replicasByID("a", "b"), positionInEra(1, 900), time.Time{})
		}
		time.Sleep(betweenHeartbeats)
		// The last node does not receive the removal.
		net.setDown(nodes[7].self.PeerAddress, true)
		for _, hub := range nodes[:4] {
			hub.view.ChangeReplicas([]view.Change{{Replica: replicasByID("b")["b"], Removed: true}}, positionInEra(1, 901), time.Time{})
		}
		time.Sleep(time.Second)
		for _, hub := range nodes[:4] {
			hub.view.SetReplicas(replicasByID("a", "b"), positionInEra(2, 7), time.Time{})
		}
		time.Sleep(time.Second)
		net.setDown(nodes[7].self.PeerAddress, false)
		time.Sleep(2 * time.Second)
		for _, n := range nodes {
			if diff := cmp.Diff([]string{"a"}, slices.Sorted(maps.Keys(n.view.State().Replicas))); diff != "" {
				t.Errorf("replicas that %s uses (-want +got):\n%s", n.self.Name, diff)
			}
		}
	})
}

// A node that is partitioned when the probation of a restored entry ends does not use the
// replica, since it may have missed its second removal. It drops the entry once it is
// reconnected.
func TestProbationOfPartitionedNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net, nodes := startNodes(t, 8)
		defer stopNodes(t, nodes)
		removal := view.Change{Replica: replicasByID("b")["b"], Removed: true}
		for _, hub := range nodes[:4] {
			hub.view.SetReplicas(replicasByID("a", "b"), positionInEra(1, 900), time.Time{})
			hub.view.ChangeReplicas([]view.Change{removal}, positionInEra(1, 901), time.Time{})
			hub.view.SetReplicas(replicasByID("a", "b"), positionInEra(2, 7), time.Time{})
		}
		time.Sleep(betweenHeartbeats)
		net.setDown(nodes[7].self.PeerAddress, true)
		for _, hub := range nodes[:4] {
			hub.view.ChangeReplicas([]view.Change{removal}, positionInEra(2, 8), time.Time{})
		}
		checkUsed := func(when string) {
			t.Helper()
			if diff := cmp.Diff([]string{"a"}, slices.Sorted(maps.Keys(nodes[7].view.State().Replicas))); diff != "" {
				t.Errorf("replicas that the node uses when %s (-want +got):\n%s", when, diff)
			}
		}
		time.Sleep(10 * time.Second)
		checkUsed("partitioned")
		net.setDown(nodes[7].self.PeerAddress, false)
		time.Sleep(10 * time.Second)
		checkUsed("reconnected")
	})
}

// Nodes whose registration a restored store has lost register again, exactly once each, and
// no other nodes do.
func TestLostRegistrationIsRestored(t *testing.T) {
	const count, lost = 12, 5
	synctest.Test(t, func(t *testing.T) {
		var (
			mu    sync.Mutex
			again = map[string]int{}
		)
		net := &network{handlers: map[string]catkinspindle.PeerHandler{}, down: map[string]bool{}, linkFreeAt: map[string]time.Time{}}
		var all []catkinspindle.Node
		for i := range count {
			all = append(all, member(i, 1))
		}
		var nodes []*node
		store := make([]catkinspindle.Node, 0, count)
		for _, self := range all {
			n := &node{self: self, view: view.New(nil)}
			n.Fleet = fleet.New(self, endpoint{net, self.PeerAddress}, n.view, func(ctx context.Context) {
				mu.Lock()
				list := slices.Clone(store)
				mu.Unlock()
				n.SetRegistered(list)
				<-ctx.Done()
			}, slog.New(slog.DiscardHandler), fleet.WithRegistrationLost(func() {
				mu.Lock()
				defer mu.Unlock()
				again[self.Name]++
				store = append(store, self)
				for _, other := range nodes[:4] {
					time.AfterFunc(500*time.Millisecond, func() { other.AddRegistered(self) })
				}
			}))
			n.SetRegistered(all)
			nodes = append(nodes, n)
		}
		store = append(store, all...)
		for _, n := range nodes {
			if err := n.Start(context.Background()); err != nil {
				t.Fatal(err)
			}
		}
		defer stopNodes(t, nodes)
		time.Sleep(4 * time.Second)
		if len(again) > 0 {
			t.Errorf("registered again although nothing was lost: %v", again)
		}
		mu.Lock()
		store = slices.Clone(all[lost:])
		list := slices.Clone(store)
		mu.Unlock()
		for _, hub := range nodes[:4] {
			hub.SetRegistered(list)
		}
		time.Sleep(6 * time.Second)
		want := map[string]int{}
		for i := range lost {
			want[fmt.Sprintf("n%d", i)] = 1
		}
		if diff := cmp.Diff(want, again); diff != "" {
			t.Errorf("registrations (-want +got):\n%s", diff)
		}
		for _, n := range nodes {
			if diff := cmp.Diff(count, len(n.LiveNodes())); diff != "" {
				t.Errorf("live nodes for %s (-want +got):\n%s", n.self.Name, diff)
			}
		}
	})
}
