package fleet_test

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"
	"pgregory.net/rapid"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/fleet"
	"github.com/catkinspindle/catkinspindle/view"
	"github.com/catkinspindle/catkinspindle/watch"
)

const (
	storeNodes = 6
	// heartbeat is the interval at which replicas renew their entries.
	heartbeat = 1200 * time.Millisecond
	// lapse is the time without renewal after which the store removes a replica's entry.
	lapse = 3 * heartbeat
	// away is how long the store is unavailable before a restore.
	away = 500 * time.Millisecond
	// leavingInForce is the time after which no node uses a replica that leaves.
	leavingInForce = 2 * time.Second
	// stableWindow is the time after a restore in which leavingInForce may be exceeded.
	stableWindow = 3 * time.Second
)

// copied is a backup of the store.
type copied struct {
	at       time.Time
	revision int64
	replicas map[string]catkinspindle.Replica
	version  int64
}

// drilled is a store that can be restored from its backups. It holds replicas and the
// version of the configuration.
type drilled struct {
	catkinspindle.ObjectStore
	mu      sync.Mutex
	copied  copied
	copies  []copied
	era     int64
	down    bool
	history []catkinspindle.ObjectChange
	// alive are the replicas that renew their entries; version is the latest version that
	// the operator has published.
	alive   map[string]catkinspindle.Replica
	version int64
	// renewed is when the entry of a replica was last renewed.
	renewed map[string]time.Time
	// ended is when the store first recorded an incarnation as leaving or removed.
	ended map[catkinspindle.Departure]time.Time
	// restored is the time of the last restore.
	restored time.Time
}

func (s *drilled) position() catkinspindle.Position {
	return catkinspindle.Position{Era: s.era, Revision: s.copied.revision}
}

func object(name string, revision int64, spec any) catkinspindle.StoredObject {
	raw, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	return catkinspindle.StoredObject{Name: name, Revision: revision, Spec: raw}
}

// write stores a replica's entry, or removes it.
func (s *drilled) write(r catkinspindle.Replica, gone bool) {
	s.renewed[r.ID] = time.Now()
	if known, ok := s.copied.replicas[r.ID]; ok != gone && known == r {
		return
	}
	s.copied.revision++
	s.copied.replicas = maps.Clone(s.copied.replicas) // Backups share the previous map.
	s.copied.replicas[r.ID] = r
	if gone {
		delete(s.copied.replicas, r.ID)
	}
	if _, known := s.ended[r.Departure()]; !known && (gone || r.Leaving) {
		s.ended[r.Departure()] = time.Now()
	}
	s.history = append(s.history, catkinspindle.ObjectChange{Object: object(r.ID, s.copied.revision, r), Deleted: gone})
}

// turn renews the entries of live replicas, removes those that have lapsed, and makes a
// backup.
func (s *drilled) turn() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return
	}
	for _, r := range s.alive {
		if time.Since(s.renewed[r.ID]) >= heartbeat {
			s.write(r, false)
		}
	}
	for id, r := range s.copied.replicas {
		if time.Since(s.renewed[id]) >= lapse {
			s.write(r, true)
		}
	}
	s.copied.version = max(s.copied.version, s.version)
	c := s.copied
	c.at = time.Now()
	s.copies = append(s.copies, c)
}

// drill makes the store unavailable and restores it from a backup of at least this age.
func (s *drilled) drill(age time.Duration) {
	s.mu.Lock()
	s.down = true
	s.mu.Unlock()
	time.Sleep(away)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down, s.restored = false, time.Now()
	s.era++
	for _, c := range slices.Backward(s.copies) {
		s.copied = c
		if time.Since(c.at) >= age {
			break
		}
	}
	s.history = slices.DeleteFunc(s.history, func(c catkinspindle.ObjectChange) bool { return c.Object.Revision > s.copied.revision })
	for id := range s.copied.replicas {
		// The restored entries are due for renewal only after half an interval.
		s.renewed[id] = time.Now().Add(-heartbeat / 2)
	}
}

// gate is a node's client of the store. It fails while the store is down or lost to the node.
type gate struct {
	*drilled
	node *node
}

func (g gate) fails() bool {
	g.node.mu.Lock()
	defer g.node.mu.Unlock()
	return g.down || g.node.lost
}

func (g gate) List(context.Context, string) ([]catkinspindle.StoredObject, catkinspindle.Position, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.fails() {
		return nil, catkinspindle.Position{}, errUnreachable
	}
	var list []catkinspindle.StoredObject
	for id, r := range g.copied.replicas {
		list = append(list, object(id, g.copied.revision, r))
	}
	return list, g.position(), nil
}

func (g gate) Changes(ctx context.Context, _ string, after catkinspindle.Position, wait time.Duration) ([]catkinspindle.ObjectChange, catkinspindle.Position, error) {
	for end := time.Now().Add(wait); ; {
		g.mu.Lock()
		fails, position := g.fails(), g.position()
		var list []catkinspindle.ObjectChange
		for _, c := range g.history {
			if c.Object.Revision > after.Revision {
				list = append(list, c)
			}
		}
		g.mu.Unlock()
		switch {
		case fails:
			return nil, after, errUnreachable
		case position.Era != after.Era:
			return nil, after, catkinspindle.ErrHistoryGone
		case len(list) > 0 || time.Now().After(end):
			return list, position, nil
		}
		select {
		case <-ctx.Done():
			return nil, after, ctx.Err()
		case <-time.After(poll):
		}
	}
}

var errUnreachable = fmt.Errorf("store is unreachable")

// viewSink applies the store's replicas to a view.
type viewSink struct{ view *view.View }

func decode(o catkinspindle.StoredObject) (r catkinspindle.Replica) {
	if err := json.Unmarshal(o.Spec, &r); err != nil {
		panic(err)
	}
	return r
}

func (s viewSink) Reset(objects []catkinspindle.StoredObject, at catkinspindle.Position, mayReturn time.Time) {
	list := map[string]catkinspindle.Replica{}
	for _, o := range objects {
		list[o.Name] = decode(o)
	}
	s.view.SetReplicas(list, at, mayReturn)
}

func (s viewSink) Apply(changes []catkinspindle.ObjectChange, at catkinspindle.Position, mayReturn time.Time) {
	list := make([]view.Change, 0, len(changes))
	for _, c := range changes {
		list = append(list, view.Change{Replica: decode(c.Object), Gone: c.Deleted})
	}
	s.view.ChangeReplicas(list, at, mayReturn)
}

// drillModel is a fleet with a store that is restored from backups.
type drillModel struct {
	t       *testing.T
	network *network
	store   *drilled
	nodes   []*node
	members []catkinspindle.Node
	started []time.Time
	// cutUntil is when each node counts as connected again: settle after its last fault.
	cutUntil []time.Time
	// knew are the incarnations that a process has used, seen those that it then stopped using.
	seen, knew map[*node]map[catkinspindle.Departure]bool
	wrong      error
}

func (m *drillModel) start(i int) {
	n := &node{self: m.members[i], view: view.New(nil, view.WithProbation(4*heartbeat))}
	follow := func(ctx context.Context) {
		var group errgroup.Group
		f := watch.New(gate{m.store, n}, "replicas", time.Second, slog.New(slog.DiscardHandler), viewSink{n.view})
		group.Go(func() error {
			f.Run(ctx)
			return nil
		})
		for ctx.Err() == nil {
			m.store.mu.Lock()
			reached := !gate{m.store, n}.fails()
			version := m.store.copied.version
			m.store.mu.Unlock()
			if reached && version > 0 {
				n.view.SetRouting(catkinspindle.Routing{Version: version})
			}
			select {
			case <-ctx.Done():
			case <-time.After(poll):
			}
		}
		_ = group.Wait()
	}
	n.Fleet = fleet.New(n.self, port{m.network, n.self.PeerAddress}, n.view, follow, slog.New(slog.DiscardHandler))
	n.Learn(m.members)
	m.nodes[i], m.started[i] = n, time.Now()
	if err := n.Start(context.Background()); err != nil {
		m.t.Error(err)
	}
}

func (m *drillModel) stop(i int) {
	if err := m.nodes[i].Stop(context.Background()); err != nil {
		m.t.Error(err)
	}
}

// pass lets the time d pass and checks the nodes at each poll.
func (m *drillModel) pass(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(poll)
		m.store.turn()
		m.look()
	}
}

// look checks that no connected node uses a replica that leaves or is removed, once
// leavingInForce has passed. Until stableWindow after a restore it checks only departures
// that the node has applied before.
func (m *drillModel) look() {
	now := time.Now()
	m.store.mu.Lock()
	defer m.store.mu.Unlock()
	stable := now.Sub(m.store.restored) > stableWindow
	for i, n := range m.nodes {
		replicas := n.view.State().Replicas
		for d, ended := range m.store.ended {
			r, listed := replicas[d.ID]
			if m.seen[n] == nil {
				m.seen[n], m.knew[n] = map[catkinspindle.Departure]bool{}, map[catkinspindle.Departure]bool{}
			}
			if uses := listed && d.Of(r) && !r.Leaving; !uses {
				m.seen[n][d] = m.knew[n][d]
				continue
			}
			m.knew[n][d] = true
			bound := m.seen[n][d] || (stable && now.After(m.cutUntil[i]) && m.started[i].Before(ended))
			if bound && now.Sub(ended) > leavingInForce && m.wrong == nil {
				m.wrong = fmt.Errorf("%s uses replica %s, incarnation %d, %s after its departure", n.self.Name, d.ID, d.Born, now.Sub(ended))
			}
		}
	}
}

// touch records when a node whose connections have just changed counts as connected; in
// effect never while it is partitioned or has lost the store.
func (m *drillModel) touch(i int) {
	n := m.nodes[i]
	n.mu.Lock()
	defer n.mu.Unlock()
	m.cutUntil[i] = time.Now().Add(settle)
	if n.lost || m.network.isDown(n.self.PeerAddress) {
		m.cutUntil[i] = time.Now().Add(time.Hour)
	}
}

// forget drops the departures that a restore has undone before any node applied them: no
// node can know of those.
func (m *drillModel) forget() {
	m.store.mu.Lock()
	defer m.store.mu.Unlock()
	maps.DeleteFunc(m.store.ended, func(d catkinspindle.Departure, _ time.Time) bool {
		for _, n := range m.nodes {
			if m.seen[n][d] {
				return false
			}
		}
		r, listed := m.store.copied.replicas[d.ID]
		return listed && d.Of(r) && !r.Leaving
	})
}

func (m *drillModel) apply(v drillMove) {
	n := m.nodes[v.node]
	id := fmt.Sprintf("r%d", v.replica)
	switch v.kind {
	case "wait":
	case "drain", "die", "leave", "rebirth":
		m.store.mu.Lock()
		r, alive := m.store.alive[id]
		switch {
		case v.kind == "rebirth":
			r.ID, r.Leaving = id, false
			r.Born = time.Now().UnixNano()
			m.store.alive[id] = r
			if !m.store.down {
				m.store.write(r, false)
			}
		case !alive:
		case v.kind == "drain":
			r.Leaving = true
			m.store.alive[id] = r
			if !m.store.down {
				m.store.write(r, false)
			}
		case v.kind == "leave":
			delete(m.store.alive, id)
			if !m.store.down {
				m.store.write(r, true)
			}
		case v.kind == "die":
			delete(m.store.alive, id)
		}
		m.store.mu.Unlock()
	case "publish":
		m.store.mu.Lock()
		m.store.version++
		m.store.mu.Unlock()
	case "drill":
		m.store.drill(v.age)
		m.forget()
	case "down":
		m.network.setDown(n.self.PeerAddress, true)
		m.touch(v.node)
	case "up":
		m.network.setDown(n.self.PeerAddress, false)
		m.touch(v.node)
	case "blind":
		n.setLost(true)
		m.touch(v.node)
	case "see":
		n.setLost(false)
		m.touch(v.node)
	case "restart":
		m.stop(v.node)
		m.members[v.node].Incarnation++
		m.start(v.node)
		m.touch(v.node)
	}
	m.pass(v.wait)
}

// heal ends all faults and checks that all nodes have the content of the store.
func (m *drillModel) heal() {
	for i, n := range m.nodes {
		m.network.setDown(n.self.PeerAddress, false)
		n.setLost(false)
		m.touch(i)
	}
	m.pass(lapse + 4*heartbeat + settle)
	for i, n := range m.nodes {
		s := n.view.State()
		m.store.mu.Lock()
		position, version, replicas := m.store.position(), m.store.version, m.store.copied.replicas
		m.store.mu.Unlock()
		switch {
		case m.wrong != nil:
		case s.ReplicasAt != position || s.Version() != version:
			m.wrong = fmt.Errorf("node %d has the list at %s and version %d, the store %s and %d", i, s.ReplicasAt, s.Version(), position, version)
		case !maps.Equal(replicas, s.Replicas):
			m.wrong = fmt.Errorf("node %d knows %v, the store %v", i, s.Replicas, replicas)
		}
	}
}

// drillMove is a step of a schedule.
type drillMove struct {
	kind    string
	node    int
	replica int
	age     time.Duration
	wait    time.Duration
}

var drillMoves = rapid.Custom(func(t *rapid.T) drillMove {
	return drillMove{
		kind:    rapid.SampledFrom([]string{"wait", "drain", "die", "leave", "leave", "rebirth", "publish", "drill", "drill", "down", "up", "blind", "see", "restart"}).Draw(t, "kind"),
		node:    rapid.IntRange(0, storeNodes-1).Draw(t, "node"),
		replica: rapid.IntRange(0, 4).Draw(t, "replica"),
		age:     time.Duration(rapid.IntRange(0, 8000).Draw(t, "age")) * time.Millisecond,
		wait:    time.Duration(rapid.IntRange(0, 3000).Draw(t, "wait")) * time.Millisecond,
	}
})

func playDrills(t *testing.T, schedule []drillMove) error {
	var wrong error
	synctest.Test(t, func(t *testing.T) {
		m := &drillModel{
			t:        t,
			network:  &network{handlers: map[string]catkinspindle.PeerHandler{}, down: map[string]bool{}, free: map[string]time.Time{}},
			store:    &drilled{era: 1, copied: copied{replicas: map[string]catkinspindle.Replica{}}, alive: map[string]catkinspindle.Replica{}, renewed: map[string]time.Time{}, ended: map[catkinspindle.Departure]time.Time{}, version: 1},
			nodes:    make([]*node, storeNodes),
			started:  make([]time.Time, storeNodes),
			cutUntil: make([]time.Time, storeNodes),
			seen:     map[*node]map[catkinspindle.Departure]bool{},
			knew:     map[*node]map[catkinspindle.Departure]bool{},
		}
		for i := range 4 {
			r := catkinspindle.Replica{ID: fmt.Sprintf("r%d", i), Born: 1}
			m.store.alive[r.ID] = r
			m.store.write(r, false)
		}
		for i := range storeNodes {
			m.members = append(m.members, member(i, 1))
		}
		for i := range storeNodes {
			m.start(i)
		}
		m.pass(3 * time.Second)
		for _, v := range schedule {
			m.apply(v)
		}
		m.heal()
		for i := range storeNodes {
			m.stop(i)
		}
		wrong = m.wrong
	})
	return wrong
}

// While the store is restored from older backups amid other faults, no connected node uses
// a replica that has left, and in the end all nodes have the content of the store.
func TestDrilledStore(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		if err := playDrills(t, rapid.SliceOfN(drillMoves, 6, 16).Draw(rt, "schedule")); err != nil {
			rt.Fatal(err)
		}
	})
}
