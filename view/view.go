// Package view keeps a node's current routing configuration and list of replicas.
// Updates come from the store or from other nodes; the newest version wins, whatever
// its source. While a process runs, neither reverts to an older version.
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

// State is an immutable snapshot of the view.
type State struct {
	// Table is nil until a configuration is known.
	Table *routes.Table
	// Replicas are the known replicas by ID, as of the store position ReplicasAt.
	Replicas   map[string]catkinspindle.Replica
	ReplicasAt catkinspindle.Position
	// Evacuations are the evacuated data centres.
	Evacuations catkinspindle.Evacuations
}

// Version returns the version of the configuration; zero when none is known.
func (s *State) Version() int64 {
	if s.Table == nil {
		return 0
	}
	return s.Table.Routing().Version
}

// View holds the newest state and the data that is needed to update it.
type View struct {
	mu       sync.Mutex
	state    atomic.Pointer[State]
	onChange func(*State)
	// missing maps replicas that are no longer listed but are kept, because their
	// entries may come back, to the time at which they are dropped.
	missing map[string]time.Time
	// records are the most recent changes. Applied to the list at recordsFrom, they yield
	// the current one.
	records     []record
	recordsFrom catkinspindle.Position
	// routingKnown is closed when the first configuration is known.
	routingKnown chan struct{}
	// departures are the replicas that have announced that they are leaving.
	departures *departures.Log
	// removed are the incarnations whose entries were removed recently, by ID.
	removed map[string]removal
	// onProbation are replicas that a restored store lists although they had been
	// removed, by ID.
	onProbation map[string]probationEntry
	probation   time.Duration
	// coldUntil is when replicas that were cold are no longer so, by ID.
	coldUntil map[string]coldPeriod
}

// Option configures a View.
type Option func(*View)

// WithProbation sets how long a removed replica that a restored store lists again must
// stay on the list before it is used.
func WithProbation(d time.Duration) Option {
	return func(v *View) {
		if d > 0 {
			v.probation = d
		}
	}
}

// maxRecordedChanges bounds the sum of changes and records that are kept for other nodes. It
// suffices for the replacement of a tenth of 1,600 replicas with a record for each change.
const maxRecordedChanges = 512

// record holds the changes from the position of the previous record up to at.
type record struct {
	at      catkinspindle.Position
	changes []Change
}

// New returns an empty view that calls onChange with each new state.
func New(onChange func(*State), opts ...Option) *View {
	v := &View{
		onChange:     onChange,
		missing:      map[string]time.Time{},
		routingKnown: make(chan struct{}),
		departures:   departures.New(),
		removed:      map[string]removal{},
		onProbation:  map[string]probationEntry{},
		probation:    defaultProbation,
		coldUntil:    map[string]coldPeriod{},
	}
	for _, opt := range opts {
		opt(v)
	}
	v.state.Store(&State{Replicas: map[string]catkinspindle.Replica{}})
	return v
}

// State returns the newest state.
func (v *View) State() *State { return v.state.Load() }

// WaitForRouting returns the newest state. If no configuration is known yet it waits for one, for
// at most timeout.
func (v *View) WaitForRouting(ctx context.Context, timeout time.Duration) *State {
	if s := v.State(); s.Table != nil {
		return s
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-v.routingKnown:
	case <-timer.C:
	case <-ctx.Done():
	}
	return v.State()
}

// SetRouting adopts r if its version is higher than the known one, and reports whether it
// did.
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
		close(v.routingKnown)
	}
	return true
}

// SetReplicas replaces the list of replicas by the list at a store position, and reports
// whether it did: a list that is not newer than the current one is ignored. After an
// outage or a restore of the store, replicas that are missing from the list are kept until
// mayReturn, because their entries may come back; otherwise mayReturn is zero.
func (v *View) SetReplicas(list map[string]catkinspindle.Replica, at catkinspindle.Position, mayReturn time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	s := *v.state.Load()
	if !at.After(s.ReplicasAt) {
		return false
	}
	next := maps.Clone(list)
	now := time.Now()
	v.applyRestore(now, next, &s, at)
	maps.DeleteFunc(v.missing, func(id string, _ time.Time) bool {
		_, relisted := next[id]
		return relisted || mayReturn.IsZero()
	})
	if !mayReturn.IsZero() {
		for id, r := range s.Replicas {
			_, listed := next[id]
			if _, isOnProbation := v.onProbation[id]; !listed && !isOnProbation && !r.Leaving {
				next[id] = r
				v.missing[id] = mayReturn
			}
		}
	}
	v.updateRemoved(now, s.Replicas, next)
	v.departures.Prune(now, next)
	v.markLeaving(next)
	s.Replicas, s.ReplicasAt = next, at
	v.records, v.recordsFrom = nil, at
	v.publish(&s)
	return true
}

// AddDeparture records that an incarnation of a replica has announced that it is leaving, and
// reports whether that is new. direct is true when the replica announced it to this node.
func (v *View) AddDeparture(d catkinspindle.Departure, direct bool) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.departures.Add(time.Now(), d, direct) {
		return false
	}
	s := *v.state.Load()
	if r, ok := s.Replicas[d.ID]; ok && d.Matches(r) && !r.Leaving {
		s.Replicas = maps.Clone(s.Replicas)
		v.markLeaving(s.Replicas)
		v.publish(&s)
	}
	return true
}

// Departures returns the departures after a position of this node's departure log, and
// the position to continue from. With direct it returns only those that replicas announced
// to this node.
func (v *View) Departures(position uint64, direct bool) ([]catkinspindle.Departure, uint64) {
	return v.departures.Since(position, direct)
}

// markLeaving sets Leaving on the replicas that have announced that they are leaving.
func (v *View) markLeaving(list map[string]catkinspindle.Replica) {
	for id, r := range list {
		if !r.Leaving && v.departures.Contains(r) {
			r.Leaving = true
			list[id] = r
		}
	}
}

// Change is a change of one replica.
type Change struct {
	Replica catkinspindle.Replica `cbor:"1,keyasint"`
	Removed bool                  `cbor:"2,keyasint,omitempty"`
}

// addRecord keeps changes for other nodes, and drops the oldest beyond maxRecordedChanges.
func (v *View) addRecord(changes []Change, at catkinspindle.Position) {
	kept := make([]Change, len(changes))
	for i, c := range changes {
		if c.Removed {
			c.Replica = catkinspindle.Replica{ID: c.Replica.ID}
		}
		kept[i] = c
	}
	v.records = append(v.records, record{at, kept})
	n := 0
	for _, r := range v.records {
		n += len(r.changes) + 1
	}
	for n > maxRecordedChanges {
		v.recordsFrom = v.records[0].at
		n -= len(v.records[0].changes) + 1
		v.records = v.records[1:]
	}
}

// Since returns the changes after a position and the position of the current list. ok is
// false when the changes are no longer kept, or while missing replicas may still come
// back; the caller then needs the whole list.
func (v *View) Since(position catkinspindle.Position) (changes []Change, upTo catkinspindle.Position, ok bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.recordsFrom.After(position) || len(v.missing) > 0 {
		return nil, upTo, false
	}
	for _, r := range v.records {
		if r.at.After(position) {
			changes = append(changes, r.changes...)
		}
	}
	return changes, v.state.Load().ReplicasAt, true
}

// ChangeReplicas applies changes up to a position. Changes of another era than the list's
// are ignored, because they apply only to a list of that era. mayReturn is as in
// SetReplicas.
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
		delete(v.onProbation, c.Replica.ID)
		previous, ok := next[c.Replica.ID]
		switch {
		case !c.Removed:
			next[c.Replica.ID] = c.Replica
			delete(v.missing, c.Replica.ID)
		case ok && !mayReturn.IsZero() && !previous.Leaving:
			v.missing[c.Replica.ID] = mayReturn
		default:
			delete(next, c.Replica.ID)
		}
	}
	v.updateRemoved(now, s.Replicas, next)
	v.departures.Prune(now, next)
	v.markLeaving(next)
	s.Replicas, s.ReplicasAt = next, at
	v.addRecord(changes, at)
	v.publish(&s)
}

// Listed returns the replicas whose entries are in the store, the position of that
// list, and for how much longer missing replicas are kept, so that other nodes can keep
// them for the same time.
func (v *View) Listed() (list map[string]catkinspindle.Replica, at catkinspindle.Position, wait time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	s := v.state.Load()
	if len(v.missing) == 0 && len(v.onProbation) == 0 {
		return s.Replicas, s.ReplicasAt, 0
	}
	list = maps.Clone(s.Replicas)
	for id, until := range v.missing {
		delete(list, id)
		wait = max(wait, time.Until(until))
	}
	for id, e := range v.onProbation {
		list[id] = e.replica
	}
	return list, s.ReplicasAt, wait
}

// ExpireMissing drops missing replicas whose entries have not come back in time.
func (v *View) ExpireMissing(now time.Time) {
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
		v.updateRemoved(now, s.Replicas, next)
		s.Replicas = next
		v.publish(&s)
	}
}

func (v *View) publish(s *State) {
	v.markReplicas(time.Now(), s)
	v.state.Store(s)
	if v.onChange != nil {
		v.onChange(s)
	}
}
