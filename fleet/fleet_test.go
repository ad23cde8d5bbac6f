package fleet_test

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/fleet"
	"github.com/catkinspindle/catkinspindle/view"
)

// position is a position in the first era of the store.
func position(revision int64) catkinspindle.Position {
	return catkinspindle.Position{Era: 1, Revision: revision}
}

// network is a simulated network between the nodes of a test.
type network struct {
	mu sync.Mutex
	// handlers are keyed by address followed by kind.
	handlers map[string]catkinspindle.PeerHandler
	down     map[string]bool
	// bytesPerSecond is the bandwidth of each node's link in bytes per second; zero is unlimited.
	bytesPerSecond int
	// bytesSent is the total size of all messages in bytes.
	bytesSent int
	// linkFreeAt is the time at which a node's link has sent all its queued messages.
	linkFreeAt map[string]time.Time
}

// send waits until a node's link has sent size more bytes.
func (n *network) send(ctx context.Context, from string, size int) error {
	n.mu.Lock()
	n.bytesSent += size
	if n.bytesPerSecond == 0 {
		n.mu.Unlock()
		return nil
	}
	start := time.Now()
	if n.linkFreeAt[from].After(start) {
		start = n.linkFreeAt[from]
	}
	n.linkFreeAt[from] = start.Add(time.Duration(size) * time.Second / time.Duration(n.bytesPerSecond))
	timer := time.NewTimer(time.Until(n.linkFreeAt[from]))
	n.mu.Unlock()
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// endpoint is a node's endpoint in the network. It implements catkinspindle.Peers.
type endpoint struct {
	network *network
	address string
}

func (p endpoint) Handle(kind string, h catkinspindle.PeerHandler) {
	p.network.mu.Lock()
	defer p.network.mu.Unlock()
	p.network.handlers[p.address+kind] = h
}

func (p endpoint) Call(ctx context.Context, address, kind string, req, resp any) error {
	p.network.mu.Lock()
	h, down := p.network.handlers[address+kind], p.network.down[address] || p.network.down[p.address]
	p.network.mu.Unlock()
	if down || h == nil {
		<-ctx.Done()
		return ctx.Err()
	}
	data, err := cbor.Marshal(req)
	if err != nil {
		return err
	}
	if err := p.network.send(ctx, p.address, len(data)); err != nil {
		return err
	}
	v, err := h(ctx, func(v any) error { return cbor.Unmarshal(data, v) })
	if err != nil {
		return err
	}
	if data, err = cbor.Marshal(v); err != nil {
		return err
	}
	if err := p.network.send(ctx, address, len(data)); err != nil {
		return err
	}
	if resp == nil {
		return nil
	}
	return cbor.Unmarshal(data, resp)
}

func (n *network) setDown(address string, down bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.down[address] = down
}

func (n *network) isDown(address string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.down[address]
}

type node struct {
	*fleet.Fleet
	self         catkinspindle.Node
	view         *view.View
	mu           sync.Mutex
	watching     bool
	storeLost    bool
	reportedDead []string
	// onLost, if set, is called for each node that is reported dead.
	onLost func(catkinspindle.Node)
	// storeUnreachable is true when the node cannot reach the store, whether it watches it or
	// not.
	storeUnreachable bool
}

func (n *node) reachesStore(context.Context) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.storeUnreachable
}

func (n *node) setStoreUnreachable() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.storeUnreachable = true
}

func (n *node) setStoreLost(lost bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.storeLost = lost
}

func (n *node) watch(ctx context.Context) {
	n.setWatching(true)
	<-ctx.Done()
	n.setWatching(false)
}

func (n *node) setWatching(active bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.watching = active
}

func (n *node) watches() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.watching
}

func startNodes(t *testing.T, count int, opts ...fleet.Option) (*network, []*node) {
	t.Helper()
	var members []catkinspindle.Node
	for i := range count {
		members = append(members, member(i, 1))
	}
	return startMembers(t, members, opts...)
}

func startMembers(t *testing.T, members []catkinspindle.Node, opts ...fleet.Option) (*network, []*node) {
	t.Helper()
	net := &network{handlers: map[string]catkinspindle.PeerHandler{}, down: map[string]bool{}, linkFreeAt: map[string]time.Time{}}
	var nodes []*node
	for _, self := range members {
		n := &node{self: self, view: view.New(nil)}
		n.Fleet = fleet.New(self, endpoint{net, self.PeerAddress}, n.view, n.watch, slog.New(slog.DiscardHandler), append([]fleet.Option{
			fleet.WithProbe(n.reachesStore),
			fleet.WithStoreLost(func() bool {
				n.mu.Lock()
				defer n.mu.Unlock()
				return n.storeLost
			}),
			fleet.WithNodeLost(func(f catkinspindle.Node) {
				n.mu.Lock()
				n.reportedDead = append(n.reportedDead, fmt.Sprintf("%s/%d", f.Name, f.Incarnation))
				onLost := n.onLost
				n.mu.Unlock()
				if onLost != nil {
					onLost(f)
				}
			}),
		}, opts...)...)
		n.SetRegistered(members)
		nodes = append(nodes, n)
	}
	for _, n := range nodes {
		if err := n.Start(context.Background()); err != nil {
			t.Fatal(err)
		}
	}
	return net, nodes
}

func member(i int, incarnation int64) catkinspindle.Node {
	name := fmt.Sprintf("n%d", i)
	return catkinspindle.Node{Name: name, Incarnation: incarnation, PeerAddress: "peer-" + name, CallersAddress: "callers-" + name, RegistrationRevision: int64(10*incarnation + int64(i))}
}

func stopNodes(t *testing.T, nodes []*node) {
	t.Helper()
	for _, n := range nodes {
		if err := n.Stop(context.Background()); err != nil {
			t.Error(err)
		}
	}
}

func names(list []catkinspindle.Node) (out []string) {
	for _, f := range list {
		out = append(out, f.Name)
	}
	return out
}

// Exactly four nodes watch the store, all nodes agree on the coordinator and on the live
// nodes, and a configuration or list that one hub learns reaches all nodes.
func TestOnlyHubsWatchAndAllNodesAgree(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, nodes := startNodes(t, 8)
		defer stopNodes(t, nodes)
		time.Sleep(2 * time.Second)
		watching := 0
		for _, n := range nodes {
			if n.watches() {
				watching++
			}
			coordinator, ok := n.Coordinator(catkinspindle.Pool{})
			if coordinator.Name != "n0" || !ok {
				t.Errorf("coordinator for %s is %q, known: %t", n.self.Name, coordinator.Name, ok)
			}
			if diff := cmp.Diff(8, len(n.LiveNodes())); diff != "" {
				t.Errorf("live nodes for %s (-want +got):\n%s", n.self.Name, diff)
			}
		}
		if diff := cmp.Diff(4, watching); diff != "" {
			t.Errorf("nodes that watch the store (-want +got):\n%s", diff)
		}
		nodes[1].view.SetRouting(openRouting(4))
		nodes[2].view.SetReplicas(map[string]catkinspindle.Replica{"r": {ID: "r"}}, position(7), time.Time{})
		time.Sleep(600 * time.Millisecond)
		for _, n := range nodes {
			s := n.view.State()
			if s.Version() != 4 || s.ReplicasAt != position(7) {
				t.Errorf("%s has version %d and position %s", n.self.Name, s.Version(), s.ReplicasAt)
			}
		}
	})
}

// Changes of single replicas reach all nodes of a large fleet without sending the list of
// 1,600, and delay no call to the coordinator beyond its timeout.
func TestReplicaChangesAreSentAsDeltas(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net, nodes := startNodes(t, 83)
		defer stopNodes(t, nodes)
		list := map[string]catkinspindle.Replica{}
		for i := range 1600 {
			id := fmt.Sprintf("i-%010x", i*7919)
			list[id] = catkinspindle.Replica{ID: id, Service: "pool", Address: fmt.Sprintf("10.1.%d.%d:8000", i/250, i%250), DataCentre: "dc-1", Slots: 16, Incarnation: int64(i)}
		}
		for _, hub := range nodes[:4] {
			hub.view.SetReplicas(list, position(1), time.Time{})
		}
		time.Sleep(3 * time.Second)
		net.mu.Lock()
		net.bytesPerSecond, net.bytesSent = 200_000_000/8, 0
		net.mu.Unlock()
		const placeTimeout = 120 * time.Millisecond
		endpoint{net, nodes[0].self.PeerAddress}.Handle("place", func(context.Context, func(any) error) (any, error) { return "here", nil })
		for n := range int64(40) {
			change := view.Change{Replica: catkinspindle.Replica{ID: fmt.Sprintf("new-%d", n), Service: "pool"}}
			if n%2 == 1 {
				change = view.Change{Replica: catkinspindle.Replica{ID: fmt.Sprintf("new-%d", n-1)}, Removed: true}
			}
			for _, hub := range nodes[:4] {
				hub.view.ChangeReplicas([]view.Change{change}, position(2+n), time.Time{})
			}
			time.Sleep(50 * time.Millisecond)
			ctx, cancel := context.WithTimeout(context.Background(), placeTimeout)
			if err := (endpoint{net, nodes[50].self.PeerAddress}).Call(ctx, nodes[0].self.PeerAddress, "place", nil, nil); err != nil {
				t.Errorf("call to the coordinator after change %d: %v", n, err)
			}
			cancel()
		}
		time.Sleep(time.Second)
		// 3 s of heartbeats to four hubs at 110 bytes including the responses, and each
		// change from four hubs at 90 bytes.
		net.mu.Lock()
		if most := 83 * 4 * (12*110 + 40*90); net.bytesSent > most {
			t.Errorf("%d bytes for 40 changes, want at most %d", net.bytesSent, most)
		}
		net.mu.Unlock()
		for _, n := range nodes {
			if diff := cmp.Diff(nodes[0].view.State().Replicas, n.view.State().Replicas); diff != "" {
				t.Fatalf("replicas of %s (-hub +node):\n%s", n.self.Name, diff)
			}
		}
	})
}

// A configuration of 1,000 routes reaches all nodes of a large fleet within 2 s over links
// of 200 Mbit/s, and delays no call to the coordinator beyond the timeout after which a
// node places a job without it.
func TestLargeConfigurationDelaysNoCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net, nodes := startNodes(t, 83)
		defer stopNodes(t, nodes)
		net.mu.Lock()
		net.bytesPerSecond = 200_000_000 / 8
		net.mu.Unlock()
		const placeTimeout = 120 * time.Millisecond
		endpoint{net, nodes[0].self.PeerAddress}.Handle("place", func(context.Context, func(any) error) (any, error) { return "here", nil })
		time.Sleep(2 * time.Second)
		for version := range int64(3) {
			big := openRouting(version + 1)
			for i := range 1000 {
				big.Routes = append(big.Routes, catkinspindle.Route{
					Name: fmt.Sprintf("route-%d", i), Host: fmt.Sprintf("host-%d.example", i*7919%1000), Prefix: fmt.Sprintf("/%x/", i*104729),
					Timeout: 10 * time.Second, MaxAttempts: 3, Targets: []catkinspindle.RouteTarget{{Service: "pool", Weight: 100}},
				})
			}
			for _, hub := range nodes[:4] {
				hub.view.SetRouting(big)
			}
			for range 40 {
				time.Sleep(50 * time.Millisecond)
				ctx, cancel := context.WithTimeout(context.Background(), placeTimeout)
				if err := (endpoint{net, nodes[50].self.PeerAddress}).Call(ctx, nodes[0].self.PeerAddress, "place", nil, nil); err != nil {
					t.Errorf("call to the coordinator during distribution of version %d: %v", version+1, err)
				}
				cancel()
				for _, n := range nodes {
					if coordinator, _ := n.Coordinator(catkinspindle.Pool{}); coordinator.Name != "n0" {
						t.Fatalf("coordinator for %s is %q during distribution of version %d", n.self.Name, coordinator.Name, version+1)
					}
				}
			}
			for _, n := range nodes {
				if diff := cmp.Diff(version+1, n.view.State().Version()); diff != "" {
					t.Errorf("version on %s after 2 s (-want +got):\n%s", n.self.Name, diff)
				}
			}
		}
	})
}

// A replica that a hub keeps after an outage is removed on all nodes when it does not
// return in time, although the store's revision does not change.
func TestMissingReplicaIsRemovedOnAllNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, nodes := startNodes(t, 6)
		defer stopNodes(t, nodes)
		nodes[0].view.SetReplicas(map[string]catkinspindle.Replica{"a": {ID: "a"}, "b": {ID: "b"}}, position(5), time.Time{})
		time.Sleep(2 * time.Second)
		nodes[0].view.SetReplicas(map[string]catkinspindle.Replica{"a": {ID: "a"}}, position(6), time.Now().Add(1400*time.Millisecond))
		time.Sleep(2 * time.Second)
		for _, n := range nodes {
			if diff := cmp.Diff(1, len(n.view.State().Replicas)); diff != "" {
				t.Errorf("replicas known to %s (-want +got):\n%s", n.self.Name, diff)
			}
		}
	})
}

// When all hubs lose the store, other nodes watch it, and what they learn reaches all nodes
// through the hubs. They stop once the hubs have the store back.
func TestOtherNodesWatchWhenHubsLoseStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, nodes := startNodes(t, 12)
		defer stopNodes(t, nodes)
		time.Sleep(2 * time.Second)
		for _, n := range nodes[:4] {
			n.setStoreLost(true)
		}
		time.Sleep(time.Second)
		if !nodes[4].watches() {
			t.Fatal("the next node does not watch the store 1 s after the hubs lost it")
		}
		nodes[4].view.SetRouting(openRouting(9))
		time.Sleep(600 * time.Millisecond)
		for _, n := range nodes {
			if diff := cmp.Diff(int64(9), n.view.State().Version()); diff != "" {
				t.Errorf("version on %s (-want +got):\n%s", n.self.Name, diff)
			}
		}
		for _, n := range nodes[:4] {
			n.setStoreLost(false)
		}
		time.Sleep(time.Second)
		for _, n := range nodes[4:] {
			if n.watches() {
				t.Errorf("%s still watches the store after the hubs have it back", n.self.Name)
			}
		}
	})
}

// During an outage of the store for all nodes, the rate of probes is the same in a large
// fleet as in a small one, and only the hubs watch.
func TestStoreOutageIsProbedByFewNodes(t *testing.T) {
	for _, count := range []int{12, 60} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var probes atomic.Int64
				_, nodes := startNodes(t, count, fleet.WithProbe(func(context.Context) bool {
					probes.Add(1)
					return false
				}))
				defer stopNodes(t, nodes)
				time.Sleep(2 * time.Second)
				for _, n := range nodes {
					n.setStoreLost(true)
				}
				const lossDuration = 8 * time.Second
				time.Sleep(lossDuration)
				watching := 0
				for _, n := range nodes {
					if n.watches() {
						watching++
					}
				}
				if watching != 4 {
					t.Errorf("%d nodes watch the store, want 4", watching)
				}
				// Six per step of 400 ms, and one more step since steps differ by a heartbeat.
				if most := int64(6 * (lossDuration/(400*time.Millisecond) + 2)); probes.Load() > most || probes.Load() == 0 {
					t.Errorf("%d probes in %v, want %d at most", probes.Load(), lossDuration, most)
				}
				nodes[0].setStoreLost(false)
				nodes[0].view.SetRouting(openRouting(9))
				time.Sleep(600 * time.Millisecond)
				for _, n := range nodes {
					if v := n.view.State().Version(); v != 9 {
						t.Errorf("%s has version %d after the outage of the store, want 9", n.self.Name, v)
					}
				}
			})
		})
	}
}

// When only the last nodes in the rotation reach the store, the rotation reaches them, and
// what they learn reaches all nodes.
func TestProbeRotationFindsNodesThatReachStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, nodes := startNodes(t, 30)
		defer stopNodes(t, nodes)
		for _, n := range nodes[:28] {
			n.setStoreUnreachable()
		}
		time.Sleep(2 * time.Second)
		for _, n := range nodes[:28] {
			n.setStoreLost(true)
		}
		// Five groups of six, one every 400 ms, after two heartbeats.
		time.Sleep(2900 * time.Millisecond)
		for _, n := range nodes[28:] {
			if !n.watches() {
				t.Fatalf("%s does not watch the store", n.self.Name)
			}
		}
		nodes[29].view.SetRouting(openRouting(9))
		time.Sleep(600 * time.Millisecond)
		for _, n := range nodes {
			if v := n.view.State().Version(); v != 9 {
				t.Errorf("%s has version %d, want 9", n.self.Name, v)
			}
		}
	})
}

// When the coordinator becomes unreachable, the next hub takes over, and another node
// becomes a hub and watches the store.
func TestCoordinatorFailover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net, nodes := startNodes(t, 6)
		defer stopNodes(t, nodes)
		time.Sleep(2 * time.Second)
		net.setDown("peer-n0", true)
		time.Sleep(2500 * time.Millisecond)
		watching := 0
		for _, n := range nodes[1:] {
			if coordinator, ok := n.Coordinator(catkinspindle.Pool{}); coordinator.Name != "n1" || !ok {
				t.Errorf("coordinator for %s is %q", n.self.Name, coordinator.Name)
			}
			if n.watches() {
				watching++
			}
			for _, f := range n.LiveNodes() {
				if f.Name == "n0" {
					t.Errorf("%s lists the unreachable node as live", n.self.Name)
				}
			}
		}
		if diff := cmp.Diff(4, watching); diff != "" {
			t.Errorf("nodes that watch the store (-want +got):\n%s", diff)
		}
		if _, ok := nodes[0].Coordinator(catkinspindle.Pool{}); ok && !nodes[0].watches() {
			t.Error("the isolated node reports a coordinator without watching the store")
		}
	})
}

// A node that restarts too quickly to be found dead is still reported once, with its old
// incarnation, so that the jobs of that incarnation are dropped.
func TestRestartReportsOldIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net, nodes := startNodes(t, 4)
		defer stopNodes(t, nodes)
		time.Sleep(2 * time.Second)
		restarted := member(3, 2)
		if err := nodes[3].Stop(context.Background()); err != nil {
			t.Fatal(err)
		}
		n := &node{self: restarted, view: view.New(nil)}
		n.Fleet = fleet.New(restarted, endpoint{net, restarted.PeerAddress}, n.view, n.watch, slog.New(slog.DiscardHandler))
		n.SetRegistered([]catkinspindle.Node{member(0, 1), member(1, 1), member(2, 1), restarted})
		nodes[3] = n
		if err := n.Start(context.Background()); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		nodes[0].mu.Lock()
		defer nodes[0].mu.Unlock()
		if diff := cmp.Diff([]string{"n3/1"}, nodes[0].reportedDead); diff != "" {
			t.Errorf("incarnations that the coordinator reports lost (-want +got):\n%s", diff)
		}
	})
}

// Within 1 s a leaving node is neither in a list of live nodes nor the coordinator.
func TestLeavingNodeIsNotLive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, nodes := startNodes(t, 5)
		defer stopNodes(t, nodes)
		time.Sleep(2 * time.Second)
		nodes[0].Leave()
		time.Sleep(time.Second)
		for _, n := range nodes {
			if diff := cmp.Diff([]string{"n1", "n2", "n3", "n4"}, names(n.LiveNodes())); diff != "" {
				t.Errorf("live nodes for %s (-want +got):\n%s", n.self.Name, diff)
			}
			if coordinator, ok := n.Coordinator(catkinspindle.Pool{}); n != nodes[0] && (coordinator.Name != "n1" || !ok) {
				t.Errorf("coordinator for %s is %q", n.self.Name, coordinator.Name)
			}
		}
	})
}

// Nodes learn which others reach no replica, also when these are hubs.
func TestNodesWithoutPathsAreKnownToAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, nodes := startNodes(t, 7)
		defer stopNodes(t, nodes)
		check := func(want ...string) {
			t.Helper()
			time.Sleep(time.Second)
			for _, n := range nodes {
				var got []string
				for _, l := range n.LiveNodes() {
					if l.PathsLost {
						got = append(got, l.Name)
					}
				}
				if diff := cmp.Diff(want, got); diff != "" {
					t.Errorf("nodes without paths for %s (-want +got):\n%s", n.self.Name, diff)
				}
			}
		}
		check()
		for _, i := range []int{0, 1, 5} {
			nodes[i].SetPathsLost(true)
		}
		check("n0", "n1", "n5")
		nodes[0].SetPathsLost(false)
		check("n1", "n5")
	})
}

// A new node that reaches no other does not become the coordinator at once, since others
// may place jobs on the same replicas. It watches the store.
func TestIsolatedNodeStartsWithoutCoordinating(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net, nodes := startNodes(t, 3)
		defer stopNodes(t, nodes)
		for i := range nodes {
			net.setDown(fmt.Sprintf("peer-n%d", i), true)
		}
		time.Sleep(100 * time.Millisecond)
		if diff := cmp.Diff([]string{"n0", "n1", "n2"}, names(nodes[2].LiveNodes())); diff != "" {
			t.Errorf("live nodes before any response (-want +got):\n%s", diff)
		}
		if coordinator, ok := nodes[2].Coordinator(catkinspindle.Pool{}); ok && coordinator.Name == "n2" {
			t.Error("the last node is coordinator before its heartbeats to the others have timed out")
		}
		time.Sleep(2 * time.Second)
		if !nodes[2].watches() {
			t.Error("a node that reaches no other does not watch the store")
		}
	})
}

// The pools of a large service are spread over the hubs, and all nodes agree on them. When a
// hub dies, only its pools move, and some to the node that becomes a hub.
func TestPoolsAreSpreadOverHubs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net, nodes := startNodes(t, 20)
		defer stopNodes(t, nodes)
		time.Sleep(2 * time.Second)
		const poolCount = 16
		coordinators := func(n *node) (list [poolCount]string) {
			for i := range list {
				coordinator, ok := n.Coordinator(catkinspindle.Pool{Part: i, Parts: poolCount})
				if !ok {
					t.Errorf("%s knows no coordinator of pool %d", n.self.Name, i)
				}
				list[i] = coordinator.Name
			}
			return list
		}
		before := coordinators(nodes[10])
		used := map[string]bool{}
		for _, name := range before {
			used[name] = true
		}
		if len(used) < 3 {
			t.Errorf("%d pools have only %d coordinators", poolCount, len(used))
		}
		for _, n := range nodes {
			if diff := cmp.Diff(before, coordinators(n)); diff != "" {
				t.Fatalf("coordinators for %s (-n10 +%s):\n%s", n.self.Name, n.self.Name, diff)
			}
		}
		failed := nodes[1].self
		net.setDown(failed.PeerAddress, true)
		time.Sleep(3 * time.Second)
		after := coordinators(nodes[10])
		for i := range after {
			// The new hub also takes over some pools of the other hubs.
			if after[i] == failed.Name || (after[i] != before[i] && before[i] != failed.Name && after[i] != nodes[4].self.Name) {
				t.Errorf("pool %d moved from %s to %s", i, before[i], after[i])
			}
		}
	})
}

// The list of live nodes is sent by the coordinator only, and stays correct when the
// coordinator changes.
func TestLiveListComesFromTheCoordinator(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net, nodes := startNodes(t, 40)
		defer stopNodes(t, nodes)
		time.Sleep(2 * time.Second)
		for _, failed := range []int{30, 0, 31} {
			net.mu.Lock()
			net.bytesSent = 0
			net.mu.Unlock()
			net.setDown(nodes[failed].self.PeerAddress, true)
			time.Sleep(4 * time.Second)
			for i, n := range nodes {
				if net.isDown(n.self.PeerAddress) {
					continue
				}
				if slices.Contains(names(n.LiveNodes()), nodes[failed].self.Name) {
					t.Errorf("n%d lists %s as live 4 s after its death", i, nodes[failed].self.Name)
				}
			}
			net.mu.Lock()
			sent := net.bytesSent
			net.mu.Unlock()
			// 4 s of heartbeats to four hubs at 110 bytes including the responses, and one
			// list per node at 90 bytes per live node.
			if most := 40*4*16*110 + 40*40*90; sent > most {
				t.Errorf("%d bytes after the death of n%d, want at most %d", sent, failed, most)
			}
		}
	})
}

// Nodes that leave and return are sent to the others as changes, not as whole lists, and
// all nodes end up with the same list of live nodes.
func TestLiveNodesAreSentAsDeltas(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const count, restarting = 120, 8
		net, nodes := startNodes(t, count)
		defer stopNodes(t, nodes)
		time.Sleep(3 * time.Second)
		net.mu.Lock()
		net.bytesSent = 0
		net.mu.Unlock()
		began := time.Now()
		for i := range restarting + 3 {
			if i < restarting {
				net.setDown(nodes[50+i].self.PeerAddress, true)
			}
			if returning := i - 3; returning >= 0 {
				net.setDown(nodes[50+returning].self.PeerAddress, false)
			}
			time.Sleep(500 * time.Millisecond)
		}
		time.Sleep(2 * time.Second)
		// Heartbeats to four hubs at 110 bytes including the responses, and each node that
		// leaves or returns sent to each other node at 160 bytes.
		heartbeats := int(time.Since(began) / (250 * time.Millisecond))
		net.mu.Lock()
		if most := count*4*heartbeats*110 + 2*restarting*count*160; net.bytesSent > most {
			t.Errorf("%d bytes, want at most %d", net.bytesSent, most)
		}
		t.Logf("%d bytes", net.bytesSent)
		net.mu.Unlock()
		for _, n := range nodes {
			if diff := cmp.Diff(names(nodes[0].LiveNodes()), names(n.LiveNodes())); diff != "" {
				t.Fatalf("live nodes for %s (-coordinator +node):\n%s", n.self.Name, diff)
			}
		}
		if diff := cmp.Diff(count, len(nodes[0].LiveNodes())); diff != "" {
			t.Errorf("live nodes (-want +got):\n%s", diff)
		}
	})
}

// While missing replicas may return after an outage, the remaining wait differs with each
// fetch of the list, but the list is compressed once: compressing 1,600 entries for each of
// hundreds of nodes would delay a hub.
func TestReplicaListIsCompressedOnce(t *testing.T) {
	net, nodes := startNodes(t, 1)
	defer stopNodes(t, nodes)
	list := map[string]catkinspindle.Replica{}
	for i := range 1600 {
		id := fmt.Sprintf("i-%010x", i*7919)
		list[id] = catkinspindle.Replica{ID: id, Service: "pool", Address: fmt.Sprintf("10.1.%d.%d:8000", i/250, i%250), DataCentre: "dc-1", Slots: 16, Incarnation: int64(i)}
	}
	hub := nodes[0]
	hub.view.SetReplicas(list, position(1), time.Time{})
	rest := maps.Clone(list)
	delete(rest, "i-0000000000")
	hub.view.SetReplicas(rest, position(2), time.Now().Add(time.Hour))
	fetch := func() {
		if err := (endpoint{net, "peer-x"}).Call(context.Background(), hub.self.PeerAddress, "replicas", struct{}{}, nil); err != nil {
			t.Error(err)
		}
	}
	fetch()
	const calls = 20
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range calls {
		fetch()
	}
	runtime.ReadMemStats(&after)
	// A compressor alone allocates over 600 KB.
	if each := (after.TotalAlloc - before.TotalAlloc) / calls; each > 600_000 {
		t.Errorf("%d bytes allocated per response, want at most 600000", each)
	} else {
		t.Logf("%d bytes allocated per response", each)
	}
}

// A node whose list of live nodes is wrong after an incomplete change gets the whole list.
func TestIncompleteLiveChangeIsRepaired(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net, nodes := startNodes(t, 8)
		defer stopNodes(t, nodes)
		time.Sleep(2 * time.Second)
		net.mu.Lock()
		handleHeartbeat := net.handlers[nodes[0].self.PeerAddress+"beat"]
		net.mu.Unlock()
		var damaged atomic.Int32
		endpoint{net, nodes[0].self.PeerAddress}.Handle("beat", func(ctx context.Context, decode func(any) error) (any, error) {
			v, err := handleHeartbeat(ctx, decode)
			if err != nil {
				return v, err
			}
			data, err := cbor.Marshal(v)
			if err != nil {
				return nil, err
			}
			const liveKey, removedKey = uint64(4), uint64(4)
			var answer map[any]any
			if err := cbor.Unmarshal(data, &answer); err != nil {
				return nil, err
			}
			if change, ok := answer[liveKey].(map[any]any); ok && change[removedKey] != nil && damaged.Add(1) <= int32(len(nodes)) {
				delete(change, removedKey)
			}
			return answer, nil
		})
		net.setDown(nodes[7].self.PeerAddress, true)
		time.Sleep(3 * time.Second)
		if damaged.Load() == 0 {
			t.Error("no change was damaged")
		}
		for _, n := range nodes[:7] {
			if slices.Contains(names(n.LiveNodes()), nodes[7].self.Name) {
				t.Errorf("%s lists the dead node as live", n.self.Name)
			}
		}
	})
}

// A departure that a replica has reported to one node reaches all nodes with the
// heartbeats, also while every hub has lost the store and after all hubs have restarted.
func TestDepartureReachesAllNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net, nodes := startNodes(t, 8)
		defer func() { stopNodes(t, nodes) }()
		for _, n := range nodes {
			n.setStoreLost(true)
			n.view.SetReplicas(map[string]catkinspindle.Replica{"r": {ID: "r", Incarnation: 5}, "q": {ID: "q", Incarnation: 1}}, position(7), time.Time{})
		}
		time.Sleep(2 * time.Second)
		check := func(id string) {
			t.Helper()
			for _, n := range nodes {
				if !n.view.State().Replicas[id].Leaving {
					t.Errorf("%s does not mark %s as leaving", n.self.Name, id)
				}
			}
		}
		nodes[6].view.AddDeparture(catkinspindle.Departure{ID: "r", Incarnation: 5}, true)
		time.Sleep(600 * time.Millisecond)
		check("r")
		if nodes[0].view.State().Replicas["q"].Leaving {
			t.Error("a replica without a departure is marked as leaving")
		}

		// All hubs restart without state; the node with the departure sends it to them again.
		for i := range 4 {
			if err := nodes[i].Stop(context.Background()); err != nil {
				t.Fatal(err)
			}
		}
		var restarted []catkinspindle.Node
		for i := range 4 {
			f := member(i, 2)
			f.RegistrationRevision = member(i, 1).RegistrationRevision // Keeps these nodes the hubs.
			restarted = append(restarted, f)
		}
		for i := range 4 {
			n := &node{self: restarted[i], view: view.New(nil)}
			n.Fleet = fleet.New(n.self, endpoint{net, n.self.PeerAddress}, n.view, n.watch, slog.New(slog.DiscardHandler))
			n.SetRegistered(restarted)
			n.view.SetReplicas(map[string]catkinspindle.Replica{"r": {ID: "r", Incarnation: 5}, "q": {ID: "q", Incarnation: 1}}, position(7), time.Time{})
			nodes[i] = n
		}
		for i := range 4 {
			if err := nodes[i].Start(context.Background()); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(time.Second)
		check("r")
		nodes[7].view.AddDeparture(catkinspindle.Departure{ID: "q", Incarnation: 1}, true)
		time.Sleep(600 * time.Millisecond)
		check("q")
	})
}

// An evacuation that one hub learns of reaches all nodes with the heartbeats, also while the store
// refuses the other hubs, and a restarted hub learns of it from the others. An older state does not
// end it.
func TestEvacuationReachesAllNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, nodes := startNodes(t, 8)
		defer stopNodes(t, nodes)
		for i, n := range nodes {
			n.setStoreLost(i != 2)
			n.view.SetReplicas(map[string]catkinspindle.Replica{"r": {ID: "r", DataCentre: "x", Incarnation: 1}}, position(7), time.Time{})
		}
		time.Sleep(2 * time.Second)
		check := func(when string, want ...string) {
			t.Helper()
			for _, n := range nodes {
				s := n.view.State()
				if diff := cmp.Diff(want, s.Evacuations.DataCentres); diff != "" {
					t.Errorf("%s, %s: evacuated (-want +got):\n%s", when, n.self.Name, diff)
				}
				if s.Replicas["r"].Accepts() != (len(want) == 0) {
					t.Errorf("%s, %s: r accepts requests: %t", when, n.self.Name, len(want) > 0)
				}
			}
		}
		nodes[2].view.SetEvacuations(catkinspindle.NewEvacuations(position(9), "x"))
		time.Sleep(time.Second)
		check("after the evacuation", "x")
		nodes[1].view.SetEvacuations(catkinspindle.NewEvacuations(position(8)))
		time.Sleep(time.Second)
		check("after an older list", "x")
		nodes[2].view.SetEvacuations(catkinspindle.NewEvacuations(position(12)))
		time.Sleep(time.Second)
		check("after its end")
	})
}

// After a restart of all nodes, which start from an old list and register in another order,
// all agree on the coordinator after two heartbeats and keep it.
func TestAllNodesAgreeAfterRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const count = 24
		net := &network{handlers: map[string]catkinspindle.PeerHandler{}, down: map[string]bool{}, linkFreeAt: map[string]time.Time{}}
		var old []catkinspindle.Node
		for i := range count {
			f := member(i, 1)
			f.DataCentre = fmt.Sprintf("dc%d", i%3)
			old = append(old, f)
		}
		var nodes []*node
		for i, f := range old {
			f.Incarnation = 2
			f.RegistrationRevision = int64(100 + (7*i)%count)
			n := &node{self: f, view: view.New(nil)}
			n.Fleet = fleet.New(f, endpoint{net, f.PeerAddress}, n.view, n.watch, slog.New(slog.DiscardHandler))
			n.SetRegistered(old)
			n.AddRegistered(f)
			nodes = append(nodes, n)
		}
		for _, n := range nodes {
			if err := n.Start(context.Background()); err != nil {
				t.Fatal(err)
			}
		}
		defer stopNodes(t, nodes)
		time.Sleep(600 * time.Millisecond)
		for range 40 {
			coordinators := map[string]int{}
			for _, n := range nodes {
				coordinator, _ := n.Coordinator(catkinspindle.Pool{})
				coordinators[coordinator.Name]++
			}
			if diff := cmp.Diff(map[string]int{"n0": count}, coordinators); diff != "" {
				t.Fatalf("number of nodes by their coordinator (-want +got):\n%s", diff)
			}
			time.Sleep(100 * time.Millisecond)
		}
		watching := map[string]int{}
		for _, n := range nodes {
			if n.watches() {
				watching[n.self.DataCentre]++
			}
		}
		if diff := cmp.Diff(map[string]int{"dc0": 2, "dc1": 1, "dc2": 1}, watching); diff != "" {
			t.Errorf("hubs by data centre (-want +got):\n%s", diff)
		}
	})
}

// A restarted hub that the others reach only after 1.5 s, because all connect to it at once,
// does not declare them dead.
func TestRestartedHubDeclaresNoNodeDead(t *testing.T) {
	for name, heard := range map[string]time.Duration{"silent at once": 0, "after heartbeats that came before its start": 300 * time.Millisecond} {
		t.Run(name, func(t *testing.T) { synctest.Test(t, func(t *testing.T) { checkRestartedHub(t, heard) }) })
	}
}

// checkRestartedHub restarts a hub that receives heartbeats for a time before its start and is then
// unreachable for 1.5 s.
func checkRestartedHub(t *testing.T, heard time.Duration) {
	t.Helper()
	net, nodes := startNodes(t, 8)
	defer func() { stopNodes(t, nodes) }()
	time.Sleep(2 * time.Second)
	if err := nodes[0].Stop(context.Background()); err != nil {
		t.Fatal(err)
	}
	restarted := member(0, 2)
	n := &node{self: restarted, view: view.New(nil)}
	n.Fleet = fleet.New(restarted, endpoint{net, restarted.PeerAddress}, n.view, n.watch, slog.New(slog.DiscardHandler),
		fleet.WithNodeLost(func(f catkinspindle.Node) {
			n.mu.Lock()
			defer n.mu.Unlock()
			n.reportedDead = append(n.reportedDead, f.Name)
		}))
	list := []catkinspindle.Node{restarted}
	for i := 1; i < 8; i++ {
		list = append(list, member(i, 1))
	}
	n.SetRegistered(list)
	nodes[0] = n
	time.Sleep(heard)
	net.setDown(restarted.PeerAddress, true)
	if err := n.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	time.Sleep(1500 * time.Millisecond)
	net.setDown(restarted.PeerAddress, false)
	time.Sleep(500 * time.Millisecond)
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.reportedDead) > 0 {
		t.Errorf("declared dead: %v", n.reportedDead)
	}
}
