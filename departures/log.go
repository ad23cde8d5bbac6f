// Package departures records the replicas that have announced that they are leaving,
// by incarnation. It keeps them in the order in which this node received them,
// so that only the entries that another node has not seen are sent to it.
package departures

import (
	"slices"
	"sync"
	"time"

	"github.com/catkinspindle/catkinspindle"
)

const (
	// maxEntries bounds the log; the oldest entries are dropped first. It exceeds
	// the number of replicas of a large fleet.
	maxEntries = 2048
	// unlistedRetention is how long the departure of a replica that is not on the
	// list of replicas is kept. After an outage of the store this node's list may
	// be stale and not contain the replica yet.
	unlistedRetention = time.Minute
)

// Log is a set of departures in order of arrival.
type Log struct {
	mu      sync.Mutex
	lastSeq uint64
	entries []entry
	known   map[catkinspindle.Departure]bool
}

type entry struct {
	catkinspindle.Departure
	seq uint64
	at  time.Time
	// direct is true when the replica itself announced the departure to this node, and
	// false when another node forwarded it.
	direct bool
}

// New returns an empty log.
func New() *Log { return &Log{known: map[catkinspindle.Departure]bool{}} }

// Add adds a departure and reports whether it is new. direct is true when the replica
// itself announced the departure to this node.
func (l *Log) Add(now time.Time, d catkinspindle.Departure, direct bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.known[d] {
		return false
	}
	l.known[d] = true
	l.lastSeq++
	l.entries = append(l.entries, entry{d, l.lastSeq, now, direct})
	if len(l.entries) > maxEntries {
		delete(l.known, l.entries[0].Departure)
		l.entries = slices.Delete(l.entries, 0, 1)
	}
	return true
}

// Contains reports whether the incarnation r has announced that it is leaving.
func (l *Log) Contains(r catkinspindle.Replica) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.known[r.Departure()]
}

// Since returns the departures after position and the position of the newest entry. If
// directOnly is true, it returns only those that the replicas themselves announced to
// this node.
func (l *Log) Since(position uint64, directOnly bool) ([]catkinspindle.Departure, uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []catkinspindle.Departure
	for _, e := range l.entries {
		if e.seq > position && (e.direct || !directOnly) {
			list = append(list, e.Departure)
		}
	}
	return list, l.lastSeq
}

// Prune removes the departures that are obsolete according to a list of replicas: those
// of incarnations that the list has replaced with newer ones, and, after
// unlistedRetention, those of replicas that are not on the list. A departure is kept
// when the list already marks the incarnation as leaving, because a later list may be
// an older one from a restore of the store, without that mark.
func (l *Log) Prune(now time.Time, listed map[string]catkinspindle.Replica) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries = slices.DeleteFunc(l.entries, func(e entry) bool {
		r, ok := listed[e.ID]
		obsolete := ok && r.Incarnation > e.Incarnation
		if !ok {
			obsolete = now.Sub(e.at) > unlistedRetention
		}
		if obsolete {
			delete(l.known, e.Departure)
		}
		return obsolete
	})
}
