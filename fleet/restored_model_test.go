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
	// entryTTL is the time without renewal after which the store removes a replica's entry.
	entryTTL = 3 * heartbeat
	// outage is how long the store is unavailable before a restore.
	outage = 500 * time.Millisecond
	// departureTimeout is the time after which no node uses a replica that leaves.
	departureTimeout = 2 * time.Second
	// restoreTolerance is the time after a restore in which departureTimeout may be exceeded.
	restoreTolerance = 3 * time.Second
)

// backup is a backup of the store.
type backup struct {
	at       time.Time
	revision int64
	replicas map[string]catkinspindle.Replica
	version  int64
}

// restorableStore is a store that can be restored from its backups. It holds replicas and the
// version of the configuration.
type restorableStore struct {
	catkinspindle.ObjectStore
	mu      sync.Mutex
	current backup
	backups []backup
	era     int64
	down    bool
	history []catkinspindle.ObjectChange
	// alive are the replicas that renew their entries; version is the latest version that
	// the operator has published.
	alive   map[string]catkinspindle.Replica
	version int64
	// renewedAt is when the entry of a replica was last renewed.
	renewedAt map[string]time.Time
	// departedAt is when the store first recorded an incarnation as leaving or removed.
	departedAt map[catkinspindle.Departure]time.Time
	// restoredAt is the time of the last restore.
	restoredAt time.Time
}

func (s *restorableStore) position() catkinspindle.Position {
	return catkinspindle.Position{Era: s.era, Revision: s.current.revision}
}

func object(name string, revision int64, spec any) catkinspindle.StoredObject {
	raw, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	return catkinspindle.StoredObject{Name: name, Revision: revision, Spec: raw}
}

// write stores a replica's entry, or removes it.
func (s *restorableStore) write(r catkinspindle.Replica, removed bool) {
	s.renewedAt[r.ID] = time.Now()
	if known, ok := s.current.replicas[r.ID]; ok != removed && known == r {
		return
	}
	s.current.revision++
	s.current.replicas = maps.Clone(s.current.replicas) // Backups share the previous map.
	s.current.replicas[r.ID] = r
	if removed {
		delete(s.current.replicas, r.ID)
	}
	if _, known := s.departedAt[r.Departure()]; !known && (removed || r.Leaving) {
		s.departedAt[r.Departure()] = time.Now()
	}
	s.history = append(s.history, catkinspindle.ObjectChange{Object: object(r.ID, s.current.revision, r), Deleted: removed})
}

// tick renews the entries of live replicas, removes those that have lapsed, and makes a
// backup.
func (s *restorableStore) tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return
	}
	for _, r := range s.alive {
		if time.Since(s.renewedAt[r.ID]) >= heartbeat {
			s.write(r, false)
		}
	}
	for id, r := range s.current.replicas {
		if time.Since(s.renewedAt[id]) >= entryTTL {
			s.write(r, true)
		}
	}
	s.current.version = max(s.current.version, s.version)
	c := s.current
	c.at = time.Now()
	s.backups = append(s.backups, c)
}

// failAndRestore makes the store unavailable and restores it from a backup of at least this age.
func (s *restorableStore) failAndRestore(age time.Duration) {
	s.mu.Lock()
	s.down = true
	s.mu.Unlock()
	time.Sleep(outage)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down, s.restoredAt = false, time.Now()
	s.era++
	for _, c := range slices.Backward(s.backups) {
		s.current = c
		if time.Since(c.at) >= age {
			break
		}
	}
	s.history = slices.DeleteFunc(s.history, func(c catkinspindle.ObjectChange) bool { return c.Object.Revision > s.current.revision })
	for id := range s.current.replicas {
		// The restored entries are due for renewal only after half an interval.
		s.renewedAt[id] = time.Now().Add(-heartbeat / 2)
	}
}

// storeClient is a node's client of the store. It fails while the node cannot reach it.
type storeClient struct {
	*restorableStore
	node *node
}

func (g storeClient) unavailable() bool {
	g.node.mu.Lock()
	defer g.node.mu.Unlock()
	return g.down || g.node.storeLost
}

func (g storeClient) List(context.Context, string) ([]catkinspindle.StoredObject, catkinspindle.Position, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.unavailable() {
		return nil, catkinspindle.Position{}, errUnreachable
	}
	var list []catkinspindle.StoredObject
	for id, r := range g.current.replicas {
		list = append(list, object(id, g.current.revision, r))
	}
	return list, g.position(), nil
}

func (g storeClient) Changes(ctx context.Context, _ string, after catkinspindle.Position, wait time.Duration) ([]catkinspindle.ObjectChange, catkinspindle.Position, error) {
	for end := time.Now().Add(wait); ; {
		g.mu.Lock()
		unavailable, position := g.unavailable(), g.position()
		var list []catkinspindle.ObjectChange
		for _, c := range g.history {
			if c.Object.Revision > after.Revision {
				list = append(list, c)
			}
		}
		g.mu.Unlock()
		switch {
		case unavailable:
			return nil, after, errUnreachable
		case position.Era != after.Era:
			return nil, after, catkinspindle.ErrHistoryGone
		case len(list) > 0 || time.Now().After(end):
			return list, position, nil
		}
		select {
		case <-ctx.Done():
			return nil, after, ctx.Err()
		case <-time.After(pollInterval):
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
		list = append(list, view.Change{Replica: decode(c.Object), Removed: c.Deleted})
	}
	s.view.ChangeReplicas(list, at, mayReturn)
}

// restoreModel is a fleet with a store that is restored from backups.
type restoreModel struct {
	t         *testing.T
	network   *network
	store     *restorableStore
	nodes     []*node
	members   []catkinspindle.Node
	startedAt []time.Time
	// connectedFrom is when each node counts as connected: reconnectTime after its last fault.
	connectedFrom []time.Time
	// usedIncarnations has the incarnations that a process has used since their departure,
	// appliedDepartures the departures after which it has stopped using them.
	appliedDepartures, usedIncarnations map[*node]map[catkinspindle.Departure]bool
	violation                           error
}

func (m *restoreModel) start(i int) {
	n := &node{self: m.members[i], view: view.New(nil, view.WithProbation(4*heartbeat))}
	follow := func(ctx context.Context) {
		var group errgroup.Group
		f := watch.New(storeClient{m.store, n}, "replicas", time.Second, slog.New(slog.DiscardHandler), viewSink{n.view})
		group.Go(func() error {
			f.Run(ctx)
			return nil
		})
		for ctx.Err() == nil {
			m.store.mu.Lock()
			reached := !storeClient{m.store, n}.unavailable()
			version := m.store.current.version
			m.store.mu.Unlock()
			if reached && version > 0 {
				n.view.SetRouting(openRouting(version))
			}
			select {
			case <-ctx.Done():
			case <-time.After(pollInterval):
			}
		}
		_ = group.Wait()
	}
	n.Fleet = fleet.New(n.self, endpoint{m.network, n.self.PeerAddress}, n.view, follow, slog.New(slog.DiscardHandler))
	n.SetRegistered(m.members)
	m.nodes[i], m.startedAt[i] = n, time.Now()
	if err := n.Start(context.Background()); err != nil {
		m.t.Error(err)
	}
}

func (m *restoreModel) stop(i int) {
	if err := m.nodes[i].Stop(context.Background()); err != nil {
		m.t.Error(err)
	}
}

// advance lets the time d pass and checks the nodes at each poll.
func (m *restoreModel) advance(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(pollInterval)
		m.store.tick()
		m.checkDepartures()
	}
}

// checkDepartures checks that no connected node uses a replica that leaves or is removed, once
// departureTimeout has passed. Until restoreTolerance after a restore it checks only departures
// that the node has applied before.
func (m *restoreModel) checkDepartures() {
	now := time.Now()
	m.store.mu.Lock()
	defer m.store.mu.Unlock()
	stable := now.Sub(m.store.restoredAt) > restoreTolerance
	for i, n := range m.nodes {
		replicas := n.view.State().Replicas
		for d, departedAt := range m.store.departedAt {
			r, listed := replicas[d.ID]
			if m.appliedDepartures[n] == nil {
				m.appliedDepartures[n], m.usedIncarnations[n] = map[catkinspindle.Departure]bool{}, map[catkinspindle.Departure]bool{}
			}
			if uses := listed && d.Matches(r) && !r.Leaving; !uses {
				m.appliedDepartures[n][d] = m.usedIncarnations[n][d]
				continue
			}
			m.usedIncarnations[n][d] = true
			mustNotUse := m.appliedDepartures[n][d] || (stable && now.After(m.connectedFrom[i]) && m.startedAt[i].Before(departedAt))
			if mustNotUse && now.Sub(departedAt) > departureTimeout && m.violation == nil {
				m.violation = fmt.Errorf("%s uses replica %s, incarnation %d, %s after its departure", n.self.Name, d.ID, d.Incarnation, now.Sub(departedAt))
			}
		}
	}
}

// recordConnectivity records when a node whose connections have changed counts as connected.
// While it is partitioned or has lost the store, the time is beyond the end of the schedule.
func (m *restoreModel) recordConnectivity(i int) {
	n := m.nodes[i]
	n.mu.Lock()
	defer n.mu.Unlock()
	m.connectedFrom[i] = time.Now().Add(reconnectTime)
	if n.storeLost || m.network.isDown(n.self.PeerAddress) {
		m.connectedFrom[i] = time.Now().Add(time.Hour)
	}
}

// dropUndoneDepartures drops the departures that a restore has undone before any node
// applied them: no node can learn of these.
func (m *restoreModel) dropUndoneDepartures() {
	m.store.mu.Lock()
	defer m.store.mu.Unlock()
	maps.DeleteFunc(m.store.departedAt, func(d catkinspindle.Departure, _ time.Time) bool {
		for _, n := range m.nodes {
			if m.appliedDepartures[n][d] {
				return false
			}
		}
		r, listed := m.store.current.replicas[d.ID]
		return listed && d.Matches(r) && !r.Leaving
	})
}

func (m *restoreModel) apply(v restoreStep) {
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
			r.Incarnation = time.Now().UnixNano()
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
		m.store.failAndRestore(v.age)
		m.dropUndoneDepartures()
	case "down":
		m.network.setDown(n.self.PeerAddress, true)
		m.recordConnectivity(v.node)
	case "up":
		m.network.setDown(n.self.PeerAddress, false)
		m.recordConnectivity(v.node)
	case "blind":
		n.setStoreLost(true)
		m.recordConnectivity(v.node)
	case "see":
		n.setStoreLost(false)
		m.recordConnectivity(v.node)
	case "restart":
		m.stop(v.node)
		m.members[v.node].Incarnation++
		m.start(v.node)
		m.recordConnectivity(v.node)
	}
	m.advance(v.wait)
}

// healAndCheck ends all faults and checks that all nodes have the content of the store.
func (m *restoreModel) healAndCheck() {
	for i, n := range m.nodes {
		m.network.setDown(n.self.PeerAddress, false)
		n.setStoreLost(false)
		m.recordConnectivity(i)
	}
	m.advance(entryTTL + 4*heartbeat + reconnectTime)
	for i, n := range m.nodes {
		s := n.view.State()
		m.store.mu.Lock()
		position, version, replicas := m.store.position(), m.store.version, m.store.current.replicas
		m.store.mu.Unlock()
		switch {
		case m.violation != nil:
		case s.ReplicasAt != position || s.Version() != version:
			m.violation = fmt.Errorf("node %d has the list at %s and version %d, the store %s and %d", i, s.ReplicasAt, s.Version(), position, version)
		case !maps.Equal(replicas, s.Replicas):
			m.violation = fmt.Errorf("node %d has the replicas %v, the store %v", i, s.Replicas, replicas)
		}
	}
}

// restoreStep is a step of a schedule.
type restoreStep struct {
	kind    string
	node    int
	replica int
	age     time.Duration
	wait    time.Duration
}

var restoreSteps = rapid.Custom(func(t *rapid.T) restoreStep {
	return restoreStep{
		kind:    rapid.SampledFrom([]string{"wait", "drain", "die", "leave", "leave", "rebirth", "publish", "drill", "drill", "down", "up", "blind", "see", "restart"}).Draw(t, "kind"),
		node:    rapid.IntRange(0, storeNodes-1).Draw(t, "node"),
		replica: rapid.IntRange(0, 4).Draw(t, "replica"),
		age:     time.Duration(rapid.IntRange(0, 8000).Draw(t, "age")) * time.Millisecond,
		wait:    time.Duration(rapid.IntRange(0, 3000).Draw(t, "wait")) * time.Millisecond,
	}
})

func runRestoreSchedule(t *testing.T, schedule []restoreStep) error {
	var violation error
	synctest.Test(t, func(t *testing.T) {
		m := &restoreModel{
			t:                 t,
			network:           &network{handlers: map[string]catkinspindle.PeerHandler{}, down: map[string]bool{}, linkFreeAt: map[string]time.Time{}},
			store:             &restorableStore{era: 1, current: backup{replicas: map[string]catkinspindle.Replica{}}, alive: map[string]catkinspindle.Replica{}, renewedAt: map[string]time.Time{}, departedAt: map[catkinspindle.Departure]time.Time{}, version: 1},
			nodes:             make([]*node, storeNodes),
			startedAt:         make([]time.Time, storeNodes),
			connectedFrom:     make([]time.Time, storeNodes),
			appliedDepartures: map[*node]map[catkinspindle.Departure]bool{},
			usedIncarnations:  map[*node]map[catkinspindle.Departure]bool{},
		}
		for i := range 4 {
			r := catkinspindle.Replica{ID: fmt.Sprintf("r%d", i), Incarnation: 1}
			m.store.alive[r.ID] = r
			m.store.write(r, false)
		}
		for i := range storeNodes {
			m.members = append(m.members, member(i, 1))
		}
		for i := range storeNodes {
			m.start(i)
		}
		m.advance(3 * time.Second)
		for _, v := range schedule {
			m.apply(v)
		}
		m.healAndCheck()
		for i := range storeNodes {
			m.stop(i)
		}
		violation = m.violation
	})
	return violation
}

// While the store is restored from older backups amid other faults, no connected node uses
// a replica that has left, and in the end all nodes have the content of the store.
func TestStoreIsRestoredAmidFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		if err := runRestoreSchedule(t, rapid.SliceOfN(restoreSteps, 6, 16).Draw(rt, "schedule")); err != nil {
			rt.Fatal(err)
		}
	})
}
