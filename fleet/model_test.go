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

// step is a step of a schedule.
type step struct {
	kind string
	node int
	wait time.Duration
}

// steps generates steps that publish configurations while nodes are partitioned from each
// other, lose the store or restart.
var steps = rapid.Custom(func(t *rapid.T) step {
	return step{
		kind: rapid.SampledFrom([]string{"publish", "publish", "wait", "wait", "down", "up", "blind", "see", "restart", "stale"}).Draw(t, "kind"),
		node: rapid.IntRange(0, modelNodes-1).Draw(t, "node"),
		wait: time.Duration(rapid.IntRange(1, 3000).Draw(t, "wait")) * time.Millisecond,
	}
})

const (
	modelNodes = 7
	// pollInterval is the interval at which a node that watches the store sees changes.
	pollInterval = 50 * time.Millisecond
	// propagationTimeout is the time within which a configuration reaches every connected node.
	propagationTimeout = 2 * time.Second
	// reconnectTime is the time after which nodes that were partitioned are hubs again.
	reconnectTime = 4 * time.Second
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
	// highestVersion is the highest version seen in force on each process.
	highestVersion map[*node]int64
	violation      error
}

func (m *model) start(i int) {
	n := &node{self: m.members[i], view: view.New(nil)}
	watch := func(ctx context.Context) {
		n.setWatching(true)
		defer n.setWatching(false)
		for ctx.Err() == nil {
			n.mu.Lock()
			lost := n.storeLost
			n.mu.Unlock()
			if version := m.published.Load(); !lost && version > 0 {
				if m.stale.Load() {
					version--
				}
				n.view.SetRouting(openRouting(version))
			}
			select {
			case <-ctx.Done():
			case <-time.After(pollInterval):
			}
		}
	}
	n.Fleet = fleet.New(n.self, endpoint{m.network, n.self.PeerAddress}, n.view, watch, slog.New(slog.DiscardHandler), fleet.WithStoreLost(func() bool {
		n.mu.Lock()
		defer n.mu.Unlock()
		return n.storeLost
	}))
	n.SetRegistered(m.members)
	m.nodes[i] = n
	if err := n.Start(context.Background()); err != nil {
		m.t.Error(err)
	}
}

func (m *model) apply(v step) {
	n := m.nodes[v.node]
	switch v.kind {
	case "publish":
		m.published.Add(1)
	case "wait":
		for end := time.Now().Add(v.wait); time.Now().Before(end); m.checkVersions() {
			time.Sleep(pollInterval)
		}
	case "down":
		m.network.setDown(n.self.PeerAddress, true)
	case "up":
		m.network.setDown(n.self.PeerAddress, false)
	case "blind":
		n.setStoreLost(true)
	case "see":
		n.setStoreLost(false)
	case "stale":
		m.stale.Store(!m.stale.Load())
	case "restart":
		m.stop(v.node)
		m.members[v.node].Incarnation++
		m.start(v.node)
	}
	m.checkVersions()
}

func (m *model) stop(i int) {
	if err := m.nodes[i].Stop(context.Background()); err != nil {
		m.t.Error(err)
	}
}

// checkVersions records the version in force on each node and checks that none has decreased.
func (m *model) checkVersions() {
	for _, n := range m.nodes {
		version := n.view.State().Version()
		if version < m.highestVersion[n] && m.violation == nil {
			m.violation = fmt.Errorf("%s, incarnation %d: version went back to %d from %d", n.self.Name, n.self.Incarnation, version, m.highestVersion[n])
		}
		m.highestVersion[n] = max(m.highestVersion[n], version)
	}
}

// healAndCheck ends all faults and checks that a new configuration reaches every node within
// propagationTimeout.
func (m *model) healAndCheck() {
	m.stale.Store(false)
	for _, n := range m.nodes {
		m.network.setDown(n.self.PeerAddress, false)
		n.setStoreLost(false)
	}
	time.Sleep(reconnectTime)
	published := m.published.Add(1)
	time.Sleep(propagationTimeout)
	m.checkVersions()
	for _, n := range m.nodes {
		if version := n.view.State().Version(); version != published && m.violation == nil {
			m.violation = fmt.Errorf("%s has version %d, %s after %d was published", n.self.Name, version, propagationTimeout, published)
		}
	}
}

// runSchedule runs a schedule and returns the first violation.
func runSchedule(t *testing.T, schedule []step) error {
	var violation error
	synctest.Test(t, func(t *testing.T) {
		m := &model{
			t:              t,
			network:        &network{handlers: map[string]catkinspindle.PeerHandler{}, down: map[string]bool{}, linkFreeAt: map[string]time.Time{}},
			nodes:          make([]*node, modelNodes),
			highestVersion: map[*node]int64{},
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
		m.healAndCheck()
		for i := range modelNodes {
			m.stop(i)
		}
		violation = m.violation
	})
	return violation
}

// The configuration in a process is never replaced by an older one, whichever node or store
// sends it, and a new one is in force on all nodes within 2 s once the faults have ended.
func TestConfigurationNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		if err := runSchedule(t, rapid.SliceOfN(steps, 12, 30).Draw(rt, "schedule")); err != nil {
			rt.Fatal(err)
		}
	})
}
