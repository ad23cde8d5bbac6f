// Package view holds what a node knows of the routing configuration and the
// replicas. The newest word wins, whichever source brings it: the store or
// another node. Nothing goes back within the life of a process.
package view

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/departures"
	"github.com/catkinspindle/catkinspindle/routes"
)

// State is an immutable state of the view.
type State struct {
	// Table is nil until a configuration is known.
	Table *routes.Table
	// Replicas are the known replicas by ID, as of the position ReplicasAt of the store.
	Replicas   map[string]catkinspindle.Replica
	ReplicasAt catkinspindle.Position
}

// Version returns the version of the configuration; zero means none.
func (s *State) Version() int64 {
	if s.Table == nil {
		return 0
	}
	return s.Table.Routing().Version
}

// View is the newest state.
type View struct {
	mu      sync.Mutex
	state   atomic.Pointer[State]
	changed func(*State)
	missing map[string]time.Time
	// records are the last changes, which lead from the list at floor to the present
	// one.
	records []record
	floor   catkinspindle.Position
	// known is closed when the first configuration is known.
	known chan struct{}
	// departures are the replicas that have said themselves that they leave.
	departures *departures.Log
	// removed are the incarnations whose entries were removed lately, by ID.
	removed map[string]removal
	// held are replicas that a restored store lists although they had been removed.
	held      map[string]held
	probation time.Duration
}

// Option changes a view.
type Option func(*View)

// WithProbation sets how long a replica that a restored store lists again must stay on
// the list before it is used.
func WithProbation(d time.Duration) Option {
	return func(v *View) {
		if d > 0 {
			v.probation = d
		}
	}
}

// maxRecorded bounds the changes and records that are kept for other nodes. It
// covers the replacement of a tenth of 1,600 replicas, a record each.
const maxRecorded = 512

// record is what changed up to a position.
type record struct {
	at      catkinspindle.Position
	changes []Change
}

// New returns an empty view that calls changed after each change.
func New(changed func(*State), opts ...Option) *View {
	v := &View{
		changed:    changed,
		missing:    map[string]time.Time{},
		known:      make(chan struct{}),
		departures: departures.New(),
		removed:    map[string]removal{},
		held:       map[string]held{},
		probation:  defaultProbation,
	}
	for _, opt := range opts {
		opt(v)
	}
	v.state.Store(&State{Replicas: map[string]catkinspindle.Replica{}})
	return v
}

// State returns the newest state.
func (v *View) State() *State { return v.state.Load() }

// Known returns the newest state. When no configuration is known yet it waits
// for one, for limit at most.
func (v *View) Known(ctx context.Context, limit time.Duration) *State {
	if s := v.State(); s.Table != nil {
		return s
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-v.known:
	case <-timer.C:
	case <-ctx.Done():
	}
	return v.State()
}

// SetRouting adopts r if its version is higher than the known one.
func (v *View) SetRouting(r catkinspindle.Routing) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	s := *v.state.Load()
	if r.Version <= s.Version() {
		return false
	}
	first := s.Table == nil
	s.Table = routes.New(r)
	v.publish(&s)
	if first {
		close(v.known)
	}
	return true
}

// SetReplicas replaces the replicas as of a position of the store. Older positions are
// ignored. After an outage or a restore of the store missing replicas are kept until
// mayReturn, because their entries may come back; otherwise it is zero.
func (v *View) SetReplicas(list map[string]catkinspindle.Replica, at catkinspindle.Position, mayReturn time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	s := *v.state.Load()
	if !at.After(s.ReplicasAt) {
		return false
	}
	next := maps.Clone(list)
	now := time.Now()
	v.hold(now, next, &s, at)
	maps.DeleteFunc(v.missing, func(id string, _ time.Time) bool {
		_, back := next[id]
		return back || mayReturn.IsZero()
	})
	if !mayReturn.IsZero() {
		for id, r := range s.Replicas {
			_, listed := next[id]
			if _, isHeld := v.held[id]; !listed && !isHeld && !r.Leaving {
				next[id] = r
				v.missing[id] = mayReturn
			}
		}
	}
	v.noteMissing(now, s.Replicas, next)
	v.departures.Prune(now, next)
	v.markLeaving(next)
	s.Replicas, s.ReplicasAt = next, at
	v.records, v.floor = nil, at
	v.publish(&s)
	return true
}

// Leave notes that an incarnation of a replica has said that it leaves, and reports
// whether that is new. own is true when it has told this node.
func (v *View) Leave(d catkinspindle.Departure, own bool) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.departures.Add(time.Now(), d, own) {
		return false
	}
	s := *v.state.Load()
	if r, ok := s.Replicas[d.ID]; ok && d.Of(r) && !r.Leaving {
		s.Replicas = maps.Clone(s.Replicas)
		v.markLeaving(s.Replicas)
		v.publish(&s)
	}
	return true
}

// Departures returns the replicas that have said that they leave, after a position
// of this node's log of them; with own, those that have told this node.
func (v *View) Departures(position uint64, own bool) ([]catkinspindle.Departure, uint64) {
	return v.departures.Since(position, own)
}

// markLeaving marks the replicas that have said that they leave.
func (v *View) markLeaving(list map[string]catkinspindle.Replica) {
	for id, r := range list {
		if !r.Leaving && v.departures.Has(r) {
			r.Leaving = true
			list[id] = r
		}
	}
}

// Change is a change of one replica.
type Change struct {
	Replica catkinspindle.Replica `cbor:"1,keyasint"`
	Gone    bool                  `cbor:"2,keyasint,omitempty"`
}

// record keeps changes for other nodes.
func (v *View) record(changes []Change, at catkinspindle.Position) {
	kept := make([]Change, len(changes))
	for i, c := range changes {
		if c.Gone {
			c.Replica = catkinspindle.Replica{ID: c.Replica.ID}
		}
		kept[i] = c
	}
	v.records = append(v.records, record{at, kept})
	n := 0
	for _, r := range v.records {
		n += len(r.changes) + 1
	}
	for n > maxRecorded {
		v.floor = v.records[0].at
		n -= len(v.records[0].changes) + 1
		v.records = v.records[1:]
	}
}

// Since returns the changes after a position and the position that they lead to.
// ok is false when they are not known any more, or when replicas are waited for:
// the whole list is needed then.
func (v *View) Since(position catkinspindle.Position) (changes []Change, upTo catkinspindle.Position, ok bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.floor.After(position) || len(v.missing) > 0 {
		return nil, upTo, false
	}
	for _, r := range v.records {
		if r.at.After(position) {
			changes = append(changes, r.changes...)
		}
	}
	return changes, v.state.Load().ReplicasAt, true
}

// ChangeReplicas applies changes up to a position. Those of another era than that of
// the list are ignored: the list of that era is needed first.
func (v *View) ChangeReplicas(changes []Change, at catkinspindle.Position, mayReturn time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	s := *v.state.Load()
	if at.Era != s.ReplicasAt.Era || !at.After(s.ReplicasAt) {
		return
	}
	now := time.Now()
	next := maps.Clone(s.Replicas)
	for _, c := range changes {
		delete(v.held, c.Replica.ID)
		known, ok := next[c.Replica.ID]
		switch {
		case !c.Gone:
			next[c.Replica.ID] = c.Replica
			delete(v.missing, c.Replica.ID)
		case ok && !mayReturn.IsZero() && !known.Leaving:
			v.missing[c.Replica.ID] = mayReturn
		default:
			delete(next, c.Replica.ID)
		}
	}
	v.noteMissing(now, s.Replicas, next)
	v.departures.Prune(now, next)
	v.markLeaving(next)
	s.Replicas, s.ReplicasAt = next, at
	v.record(changes, at)
	v.publish(&s)
}

// Confirmed returns the replicas whose entries are there, their position, and how
// long the missing ones are still waited for: other nodes wait as long.
func (v *View) Confirmed() (list map[string]catkinspindle.Replica, at catkinspindle.Position, wait time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	s := v.state.Load()
	if len(v.missing) == 0 && len(v.held) == 0 {
		return s.Replicas, s.ReplicasAt, 0
	}
	list = maps.Clone(s.Replicas)
	for id, until := range v.missing {
		delete(list, id)
		wait = max(wait, time.Until(until))
	}
	for id, h := range v.held {
		list[id] = h.replica
	}
	return list, s.ReplicasAt, wait
}

// Expire drops the replicas whose entries have not come back.
func (v *View) Expire(now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	s := *v.state.Load()
	var next map[string]catkinspindle.Replica
	for id, until := range v.missing {
		if now.Before(until) {
			continue
		}
		delete(v.missing, id)
		if next == nil {
			next = maps.Clone(s.Replicas)
		}
		delete(next, id)
	}
	if next != nil {
		v.noteMissing(now, s.Replicas, next)
		s.Replicas = next
		v.publish(&s)
	}
}

func (v *View) publish(s *State) {
	v.state.Store(s)
	if v.changed != nil {
		v.changed(s)
	}
}
