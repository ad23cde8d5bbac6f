package fleet_test

import (
	"context"
	"log/slog"
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

const (
	// startGrace is the time after its start during which a node may name nodes that are gone.
	startGrace = 3 * time.Second
	// lossDetection is the time within which the nodes notice the loss of a node.
	lossDetection = 5 * time.Second
)

// lossFleet is a fleet of nine nodes whose store still lists a node that is gone for good.
type lossFleet struct {
	t   *testing.T
	net *network
	// mu guards the elements of nodes, which the watches of restarted nodes read.
	mu      sync.Mutex
	nodes   []*node
	started []time.Time
	gone    int
}

func startLossFleet(t *testing.T, gone int) *lossFleet {
	t.Helper()
	net, nodes := startNodes(t, 9)
	f := &lossFleet{t: t, net: net, nodes: nodes, started: make([]time.Time, len(nodes)), gone: gone}
	f.observe(4 * time.Second)
	net.setDown(nodes[gone].self.PeerAddress, true)
	if err := nodes[gone].Stop(context.Background()); err != nil {
		t.Fatal(err)
	}
	time.Sleep(lossDetection)
	return f
}

// registered returns the registrations in the store.
func (f *lossFleet) registered() (list []catkinspindle.Node) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range f.nodes {
		list = append(list, n.self)
	}
	return list
}

// restart replaces a node's process.
func (f *lossFleet) restart(i int) {
	old := f.nodes[i]
	if err := old.Stop(context.Background()); err != nil {
		f.t.Fatal(err)
	}
	self := member(i, old.self.Incarnation+1)
	n := &node{self: self, view: view.New(nil)}
	f.mu.Lock()
	f.nodes[i] = n
	f.mu.Unlock()
	n.Fleet = fleet.New(self, endpoint{f.net, self.PeerAddress}, n.view, func(ctx context.Context) {
		n.SetRegistered(f.registered())
		<-ctx.Done()
	}, slog.New(slog.DiscardHandler))
	n.SetRegistered(f.registered())
	for j, other := range f.nodes[:4] {
		if j != f.gone {
			other.AddRegistered(self)
		}
	}
	f.started[i] = time.Now()
	if err := n.Start(context.Background()); err != nil {
		f.t.Fatal(err)
	}
}

// observe checks for a time that no node names the one that is gone.
func (f *lossFleet) observe(duration time.Duration) {
	f.t.Helper()
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for i, n := range f.nodes {
			if !f.net.isDown(n.self.PeerAddress) && time.Since(f.started[i]) >= startGrace {
				f.checkNotNamed(n)
			}
		}
	}
}

func (f *lossFleet) checkNotNamed(n *node) {
	f.t.Helper()
	for _, named := range n.LiveNodes() {
		if named.Name == f.nodes[f.gone].self.Name && f.net.isDown(named.PeerAddress) {
			f.t.Fatalf("%s names %s, which is gone", n.self.Name, named.Name)
		}
	}
}

func (f *lossFleet) stop() {
	for i, n := range f.nodes {
		if i != f.gone {
			if err := n.Stop(context.Background()); err != nil {
				f.t.Error(err)
			}
		}
	}
}

// Guards against callers being sent to a VM that is gone for good: its registration stays in the store,
// and a change of the coordinator must not make the nodes name it again.
func TestNodeThatIsGoneIsNotNamedAgain(t *testing.T) {
	restartAll := func(order ...int) func(*lossFleet) {
		return func(f *lossFleet) {
			for _, i := range order {
				if i != f.gone {
					f.restart(i)
					f.observe(2 * time.Second)
				}
			}
		}
	}
	tests := map[string]struct {
		gone  int
		event func(*lossFleet)
	}{
		"rolling restart":                  {gone: 4, event: restartAll(0, 1, 2, 3, 5, 6, 7, 8)},
		"rolling restart, last node first": {gone: 5, event: restartAll(8, 7, 6, 4, 3, 2, 1, 0)},
		"the coordinator is gone":          {gone: 0, event: restartAll(1, 2, 3, 1, 2, 3)},
		"restarts of one hub":              {gone: 8, event: restartAll(0, 0, 0, 0)},
		"store lists the nodes again": {gone: 3, event: func(f *lossFleet) {
			for _, i := range []int{0, 1, 2} {
				f.nodes[i].SetRegistered(f.registered())
			}
		}},
		"coordinator is cut off and returns": {gone: 6, event: func(f *lossFleet) {
			f.net.setDown(f.nodes[0].self.PeerAddress, true)
			f.observe(6 * time.Second)
			f.net.setDown(f.nodes[0].self.PeerAddress, false)
		}},
		"all processes restart at once": {gone: 7, event: func(f *lossFleet) {
			for i := range f.nodes {
				if i != f.gone {
					f.restart(i)
				}
			}
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := startLossFleet(t, test.gone)
				defer f.stop()
				f.observe(2 * time.Second)
				test.event(f)
				f.observe(8 * time.Second)
				for _, n := range f.nodes {
					if f.net.isDown(n.self.PeerAddress) {
						continue
					}
					if diff := cmp.Diff(len(f.nodes)-1, len(n.LiveNodes())); diff != "" {
						t.Errorf("nodes that %s names (-want +got):\n%s", n.self.Name, diff)
					}
				}
			})
		})
	}
}

// Hubs that restart one after the other, each before it has heard from all nodes, do not extend the time for
// which they presume that a node is alive.
func TestRestartsOfHubsDoNotExtendPresumption(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net, nodes := startNodes(t, 9)
		f := &lossFleet{t: t, net: net, nodes: nodes, started: make([]time.Time, len(nodes)), gone: 8}
		defer f.stop()
		f.observe(4 * time.Second)
		net.setDown("peer-n8", true)
		stopNodes(t, nodes[8:])
		const gap = 700 * time.Millisecond
		for i := range 20 {
			f.restart(i % 4)
			if time.Duration(i)*gap > 6*time.Second {
				f.observe(gap)
			} else {
				time.Sleep(gap)
			}
		}
	})
}

// The list of live nodes never lacks a node that is alive when all hubs are lost at once.
func TestLossOfAllHubsKeepsLiveNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net, nodes := startNodes(t, 12)
		time.Sleep(4 * time.Second)
		for _, n := range nodes[:4] {
			net.setDown(n.self.PeerAddress, true)
		}
		stopNodes(t, nodes[:4])
		left := nodes[4:]
		defer stopNodes(t, left)
		for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
			for _, n := range left {
				named := names(n.LiveNodes())
				for _, other := range left {
					if !slices.Contains(named, other.self.Name) {
						t.Fatalf("%s does not name %s, only %v", n.self.Name, other.self.Name, named)
					}
				}
			}
		}
	})
}

// A coordinator that was frozen names no node that has gone meanwhile, whether the freeze stopped its clock
// or not, and the nodes that follow it again do not either.
func TestFrozenCoordinatorTakesOverNewList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net, nodes := startNodes(t, 9)
		f := &lossFleet{t: t, net: net, nodes: nodes, started: make([]time.Time, len(nodes)), gone: 8}
		defer f.stop()
		f.observe(4 * time.Second)
		const freeze = 8 * time.Second
		nodes[0].mu.Lock()
		// The loop of the heartbeats stands still while a loss is reported.
		nodes[0].onLost = func(n catkinspindle.Node) {
			if n.Name == "n7" {
				net.setDown("peer-n0", true)
				time.Sleep(freeze)
				net.setDown("peer-n0", false)
			}
		}
		nodes[0].mu.Unlock()
		net.setDown("peer-n7", true)
		time.Sleep(2 * time.Second)
		net.setDown("peer-n8", true)
		if err := nodes[8].Stop(context.Background()); err != nil {
			t.Fatal(err)
		}
		time.Sleep(freeze - 2*time.Second + lossDetection/5)
		f.started[0] = time.Now()
		f.observe(8 * time.Second)
	})
}
