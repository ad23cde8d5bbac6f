package fleet_test

import (
	"context"
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/view"
)

// countCalls counts the calls of a kind to all nodes.
func (n *network) countCalls(nodes []*node, kind string) *atomic.Int64 {
	var calls atomic.Int64
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, f := range nodes {
		key := f.self.PeerAddress + kind
		handle := n.handlers[key]
		n.handlers[key] = func(ctx context.Context, decode func(any) error) (any, error) {
			calls.Add(1)
			return handle(ctx, decode)
		}
	}
	return &calls
}

func replicaList(count int) map[string]catkinspindle.Replica {
	list := map[string]catkinspindle.Replica{}
	for i := range count {
		id := fmt.Sprintf("r%d", i)
		list[id] = catkinspindle.Replica{ID: id, Address: "a-" + id, Incarnation: 1}
	}
	return list
}

// After a restart of all, nodes have the list that they have read from the store: it is sent again
// only to those whose list differs from the hubs'.
func TestListReadFromStoreIsNotSentAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net, nodes := startNodes(t, 12)
		defer stopNodes(t, nodes)
		// The hubs come last: a node without a list would fetch theirs.
		for i, n := range slices.Backward(nodes) {
			n.view.SetReplicas(replicaList(50-i/11), catkinspindle.StalePosition, time.Time{})
		}
		time.Sleep(time.Second)
		calls := net.countCalls(nodes, "replicas")
		for _, n := range nodes[:4] {
			n.view.SetReplicas(replicaList(50), position(7), time.Time{})
		}
		time.Sleep(600 * time.Millisecond)
		for _, n := range nodes {
			s := n.view.State()
			if diff := cmp.Diff(position(7), s.ReplicasAt); diff != "" || len(s.Replicas) != 50 {
				t.Errorf("%s has %d replicas, position (-want +got):\n%s", n.self.Name, len(s.Replicas), diff)
			}
		}
		if diff := cmp.Diff(int64(1), calls.Load()); diff != "" {
			t.Errorf("whole lists sent (-want +got):\n%s", diff)
		}
	})
}

// Nodes get changes that one hub does not have from another.
func TestNodesWaitForChangesOfOtherHubs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net, nodes := startNodes(t, 12)
		defer stopNodes(t, nodes)
		for _, n := range nodes {
			n.view.SetReplicas(replicaList(50), position(7), time.Time{})
		}
		time.Sleep(1100 * time.Millisecond)
		calls := net.countCalls(nodes, "replicas")
		// More changes than a hub keeps.
		nodes[0].view.ChangeReplicas(make([]view.Change, 100_000), position(9), time.Time{})
		for _, n := range nodes[1:4] {
			n.view.ChangeReplicas([]view.Change{{Replica: catkinspindle.Replica{ID: "r1"}, Removed: true}}, position(9), time.Time{})
		}
		time.Sleep(700 * time.Millisecond)
		for _, n := range nodes {
			if diff := cmp.Diff(position(9), n.view.State().ReplicasAt); diff != "" {
				t.Errorf("%s: position (-want +got):\n%s", n.self.Name, diff)
			}
		}
		if diff := cmp.Diff(int64(0), calls.Load()); diff != "" {
			t.Errorf("whole lists sent (-want +got):\n%s", diff)
		}
	})
}

// A change that all hubs know is sent once to each of the other nodes, by hubs that take turns.
func TestChangesAreSentByOneHub(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net, nodes := startNodes(t, 40)
		defer stopNodes(t, nodes)
		for _, n := range nodes {
			n.view.SetReplicas(replicaList(50), position(7), time.Time{})
		}
		time.Sleep(1100 * time.Millisecond)
		var sent [4]atomic.Int64
		net.mu.Lock()
		for i, n := range nodes[:4] {
			key := n.self.PeerAddress + "beat"
			handle := net.handlers[key]
			net.handlers[key] = func(ctx context.Context, decode func(any) error) (any, error) {
				v, err := handle(ctx, decode)
				var a struct {
					Changes []cbor.RawMessage `cbor:"2,keyasint"`
				}
				if data, encodeErr := cbor.Marshal(v); encodeErr != nil || cbor.Unmarshal(data, &a) != nil {
					t.Error("response cannot be read")
				}
				sent[i].Add(int64(len(a.Changes)))
				return v, err
			}
		}
		net.mu.Unlock()
		for _, n := range nodes[:4] {
			n.view.ChangeReplicas([]view.Change{{Replica: catkinspindle.Replica{ID: "r1"}, Removed: true}}, position(9), time.Time{})
		}
		time.Sleep(600 * time.Millisecond)
		for _, n := range nodes {
			if diff := cmp.Diff(position(9), n.view.State().ReplicasAt); diff != "" {
				t.Errorf("%s: position (-want +got):\n%s", n.self.Name, diff)
			}
		}
		sum := int64(0)
		for i := range sent {
			sum += sent[i].Load()
			if n := sent[i].Load(); n < 3 || n > 18 {
				t.Errorf("hub %d has sent %d changes, want about a quarter of 36", i, n)
			}
		}
		if diff := cmp.Diff(int64(36), sum); diff != "" {
			t.Errorf("changes sent (-want +got):\n%s", diff)
		}
	})
}

// The loss of any data centre leaves a coordinator outside it, on which all agree within the time
// in which a silent node is noticed, and no lost node is given to callers afterwards.
func TestLostDataCentreLeavesACoordinator(t *testing.T) {
	const notice = 1100*time.Millisecond + 2*250*time.Millisecond
	for _, lost := range []string{"a", "b", "c"} {
		t.Run(lost, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var members []catkinspindle.Node
				for i := range 60 {
					m := member(i, 1)
					m.DataCentre, m.Capacity = string("abc"[i%3]), 0.2
					if i < 6 {
						m.Capacity = 0.8
					}
					members = append(members, m)
				}
				net, nodes := startMembers(t, members)
				defer stopNodes(t, nodes)
				time.Sleep(2 * time.Second)
				for _, n := range nodes {
					net.setDown(n.self.PeerAddress, n.self.DataCentre == lost)
				}
				time.Sleep(notice)
				var want string
				for _, n := range nodes {
					if n.self.DataCentre == lost {
						continue
					}
					coordinator, ok := n.Coordinator(catkinspindle.Pool{})
					if want == "" {
						want = coordinator.Name
					}
					if !ok || coordinator.DataCentre == lost || coordinator.Name != want {
						t.Errorf("coordinator for %s is %q in %q, known: %t", n.self.Name, coordinator.Name, coordinator.DataCentre, ok)
					}
				}
				time.Sleep(2 * 250 * time.Millisecond)
				for _, n := range nodes {
					if diff := cmp.Diff(40, len(n.LiveNodes())); diff != "" && n.self.DataCentre != lost {
						t.Errorf("live nodes for %s (-want +got):\n%s", n.self.Name, diff)
					}
				}
			})
		})
	}
}
