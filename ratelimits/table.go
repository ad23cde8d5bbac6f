// Package ratelimits records the rate limits that replicas state in their answers. A limit
// holds for the sum of the requests of all nodes, from the first answer that states it until
// an answer to a later request states none.
package ratelimits

import (
	"sync"
	"time"

	"github.com/catkinspindle/catkinspindle"
)

const (
	// minPerSecond is the lowest rate at which a limited replica gets requests. A replica
	// that got none could not state that its limit has ended.
	minPerSecond = 1.0 / 30
	// unlistedRetention is how long the limit of a replica that is not on the list of
	// replicas is kept: it may be missing only from a stale list.
	unlistedRetention = time.Minute
)

// Table holds the newest statement of each replica about its rate limit. It is safe for
// concurrent use.
type Table struct {
	mu      sync.Mutex
	lastSeq uint64
	entries map[string]entry
}

type entry struct {
	incarnation int64
	limited     bool
	perSecond   float64
	// statedAt is the time of the newest answer with this statement.
	statedAt time.Time
	// seq is the position of the last change of the statement.
	seq uint64
	// direct is true when this node received the answer itself.
	direct bool
}

// New returns an empty table.
func New() *Table { return &Table{entries: map[string]entry{}} }

// Observe records what an answer of r, received now, states about its rate limit, and reports
// whether that is news. The request was sent at sentAt.
func (t *Table) Observe(now, sentAt time.Time, r catkinspindle.Replica, l catkinspindle.RateLimit) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.entries[r.ID]
	known := ok && e.incarnation == r.Incarnation
	switch {
	case ok && e.incarnation > r.Incarnation:
		return false
	case l.Stated:
		return t.record(r.ID, entry{incarnation: r.Incarnation, limited: true, perSecond: l.PerSecond, statedAt: now, direct: true})
	case l.Malformed != "" || !known || !e.limited || !sentAt.After(e.statedAt):
		return false
	}
	return t.record(r.ID, entry{incarnation: r.Incarnation, statedAt: now, direct: true})
}

// record stores a statement and reports whether it differs from the previous one.
func (t *Table) record(id string, next entry) bool {
	previous, ok := t.entries[id]
	if ok && previous.incarnation == next.incarnation && previous.limited == next.limited && previous.perSecond == next.perSecond {
		previous.statedAt = next.statedAt
		t.entries[id] = previous
		return false
	}
	t.lastSeq++
	next.seq = t.lastSeq
	t.entries[id] = next
	return true
}

// Limit returns the rate limit of r in requests per second. limited is false when r has none.
func (t *Table) Limit(r catkinspindle.Replica) (perSecond float64, limited bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.entries[r.ID]
	if !ok || e.incarnation != r.Incarnation || !e.limited {
		return 0, false
	}
	return max(minPerSecond, e.perSecond), true
}

// Prune drops the statements of incarnations that the list of replicas has replaced, and of
// replicas that have not been on it for some time.
func (t *Table) Prune(now time.Time, listed map[string]catkinspindle.Replica) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, e := range t.entries {
		r, ok := listed[id]
		if (ok && r.Incarnation > e.incarnation) || (!ok && now.Sub(e.statedAt) > unlistedRetention) {
			delete(t.entries, id)
		}
	}
}
