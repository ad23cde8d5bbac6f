// Package departures keeps the replicas that have said themselves that they leave,
// by incarnation, and the order in which this node has learned of them, so that
// another node is sent only what it has not seen.
package departures

import (
	"slices"
	"sync"
	"time"

	"github.com/catkinspindle/catkinspindle"
)

const (
	// maxEntries bounds the log; the oldest entries are dropped first. It is more
	// than the replicas of a large fleet.
	maxEntries = 2048
	// unlistedRetention is how long the departure of an incarnation that is not on
	// the list of replicas is kept: this node's list may be behind by an outage of
	// the store.
	unlistedRetention = time.Minute
)

// Log is a set of departures in the order of their arrival.
type Log struct {
	mu      sync.Mutex
	last    uint64
	entries []entry
	known   map[catkinspindle.Departure]bool
}

type entry struct {
	catkinspindle.Departure
	seq uint64
	at  time.Time
	// own entries were learned from the replica and not from another node.
	own bool
}

// New returns an empty log.
func New() *Log { return &Log{known: map[catkinspindle.Departure]bool{}} }

// Add enters a departure and reports whether it is new. own is true when the replica
// itself has told this node.
func (l *Log) Add(now time.Time, d catkinspindle.Departure, own bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.known[d] {
		return false
	}
	l.known[d] = true
	l.last++
	l.entries = append(l.entries, entry{d, l.last, now, own})
	if len(l.entries) > maxEntries {
		delete(l.known, l.entries[0].Departure)
		l.entries = slices.Delete(l.entries, 0, 1)
	}
	return true
}

// Has reports whether the incarnation r leaves.
func (l *Log) Has(r catkinspindle.Replica) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.known[r.Departure()]
}

// Since returns the departures after a position, and the position that they lead to.
// With own, only those that the replicas have told this node.
func (l *Log) Since(position uint64, own bool) ([]catkinspindle.Departure, uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []catkinspindle.Departure
	for _, e := range l.entries {
		if e.seq > position && (e.own || !own) {
			list = append(list, e.Departure)
		}
	}
	return list, l.last
}

// Prune drops the departures that a list of replicas makes needless: those of
// incarnations that the list has replaced by newer ones, and, some time after they were
// learned, of those that it does not have. A list that calls an incarnation leaving is
// no reason: the next one may be older, after a restore of the store.
func (l *Log) Prune(now time.Time, listed map[string]catkinspindle.Replica) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries = slices.DeleteFunc(l.entries, func(e entry) bool {
		r, ok := listed[e.ID]
		needless := ok && r.Born > e.Born
		if !ok {
			needless = now.Sub(e.at) > unlistedRetention
		}
		if needless {
			delete(l.known, e.Departure)
		}
		return needless
	})
}
