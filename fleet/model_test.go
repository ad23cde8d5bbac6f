package fleet_test

import (
	"context"
	"fmt"
	"log/slog"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/fleet"
	"github.com/catkinspindle/catkinspindle/view"
)

// move is a step of a schedule.
type move struct {
	kind string
	node int
	wait time.Duration
}

// moves generates steps that publish configurations while nodes are partitioned from each
// other, lose the store or restart.
var moves = rapid.Custom(func(t *rapid.T) move {
	return move{
		kind: rapid.SampledFrom([]string{"publish", "publish", "wait", "wait", "down", "up", "blind", "see", "restart", "stale"}).Draw(t, "kind"),
		node: rapid.IntRange(0, modelNodes-1).Draw(t, "node"),
		wait: time.Duration(rapid.IntRange(1, 3000).Draw(t, "wait")) * time.Millisecond,
	}
})

const (
	modelNodes = 7
	// poll is the interval at which a node that watches the store sees changes.
	poll = 50 * time.Millisecond
	// inForce is the time within which a configuration reaches every connected node.
	inForce = 2 * time.Second
	// settle is the time after which nodes that were partitioned are hubs again.
	settle = 4 * time.Second
)

// model is a fleet with a store that may return a stale version.
type model struct {
	t         *testing.T
	network   *network
	members   []catkinspindle.Node
	nodes     []*node
	published atomic.Int64
	// stale makes the store return the previous version.
	stale atomic.Bool
	// newest is the highest version seen in force on each process.
	newest map[*node]int64
	wrong  error
}

func (m *model) start(i int) {
	n := &node{self: m.members[i], view: view.New(nil)}
	watch := func(ctx context.Context) {
		n.set(true)
		defer n.set(false)
		for ctx.Err() == nil {
			n.mu.Lock()
			lost := n.lost
			n.mu.Unlock()
			if version := m.published.Load(); !lost && version > 0 {
				if m.stale.Load() {
					version--
				}
				n.view.SetRouting(catkinspindle.Routing{Version: version})
			}
			select {
			case <-ctx.Done():
			case <-time.After(poll):
			}
		}
	}
	n.Fleet = fleet.New(n.self, port{m.network, n.self.PeerAddress}, n.view, watch, slog.New(slog.DiscardHandler), fleet.WithBlindness(func() bool {
		n.mu.Lock()
		defer n.mu.Unlock()
		return n.lost
	}))
	n.Learn(m.members)
	m.nodes[i] = n
	if err := n.Start(context.Background()); err != nil {
		m.t.Error(err)
	}
}

func (m *model) apply(v move) {
	n := m.nodes[v.node]
	switch v.kind {
	case "publish":
		m.published.Add(1)
	case "wait":
		for end := time.Now().Add(v.wait); time.Now().Before(end); m.look() {
			time.Sleep(poll)
		}
	case "down":
		m.network.setDown(n.self.PeerAddress, true)
	case "up":
		m.network.setDown(n.self.PeerAddress, false)
	case "blind":
		n.setLost(true)
	case "see":
		n.setLost(false)
	case "stale":
		m.stale.Store(!m.stale.Load())
	case "restart":
		m.stop(v.node)
		m.members[v.node].Incarnation++
		m.start(v.node)
	}
	m.look()
}

func (m *model) stop(i int) {
	if err := m.nodes[i].Stop(context.Background()); err != nil {
		m.t.Error(err)
	}
}

// look records the version in force on each node and checks that none has decreased.
func (m *model) look() {
	for _, n := range m.nodes {
		version := n.view.State().Version()
		if version < m.newest[n] && m.wrong == nil {
			m.wrong = fmt.Errorf("%s, incarnation %d: version went back to %d from %d", n.self.Name, n.self.Incarnation, version, m.newest[n])
		}
		m.newest[n] = max(m.newest[n], version)
	}
}

// heal ends all faults and checks that a new configuration reaches every node within
// inForce.
func (m *model) heal() {
	m.stale.Store(false)
	for _, n := range m.nodes {
		m.network.setDown(n.self.PeerAddress, false)
		n.setLost(false)
	}
	time.Sleep(settle)
	published := m.published.Add(1)
	time.Sleep(inForce)
	m.look()
	for _, n := range m.nodes {
		if version := n.view.State().Version(); version != published && m.wrong == nil {
			m.wrong = fmt.Errorf("%s has version %d, %s after %d was published", n.self.Name, version, inForce, published)
		}
	}
}

// play runs a schedule and returns the first violation.
func play(t *testing.T, schedule []move) error {
	var wrong error
	synctest.Test(t, func(t *testing.T) {
		m := &model{
			t:       t,
			network: &network{handlers: map[string]catkinspindle.PeerHandler{}, down: map[string]bool{}, free: map[string]time.Time{}},
			nodes:   make([]*node, modelNodes),
			newest:  map[*node]int64{},
		}
		for i := range modelNodes {
			m.members = append(m.members, member(i, 1))
		}
		for i := range modelNodes {
			m.start(i)
		}
		for _, v := range schedule {
			m.apply(v)
		}
		m.heal()
		for i := range modelNodes {
			m.stop(i)
		}
		wrong = m.wrong
	})
	return wrong
}

// The configuration in a process is never replaced by an older one, whichever node or store
// sends it, and a new one is in force on all nodes within 2 s once the faults have ended.
func TestConfigurationNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		if err := play(t, rapid.SliceOfN(moves, 12, 30).Draw(rt, "schedule")); err != nil {
			rt.Fatal(err)
		}
	})
}
