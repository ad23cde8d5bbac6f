// Package ratelimits records the rate limits that replicas state in their answers. A limit
// holds for the sum of the requests of all nodes, from the first answer that states it until
// an answer to a later request states none.
package ratelimits

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/catkinspindle/catkinspindle"
)

// unlistedRetention is how long the limit of a replica that is not on the list of replicas is
// kept: it may be missing only from a stale list.
const unlistedRetention = time.Minute

// Table holds the newest statement of each replica about its rate limit. It is safe for
// concurrent use.
type Table struct {
	// limitedCount is the number of limited replicas.
	limitedCount atomic.Int64

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
	t.updateCount()
	return true
}

func (t *Table) updateCount() {
	n := int64(0)
	for _, e := range t.entries {
		if e.limited {
			n++
		}
	}
	t.limitedCount.Store(n)
}

// Apply records what another node reports and returns the reports that are news. The
// statement of the latest answer holds, whichever node received it.
func (t *Table) Apply(now time.Time, reports []catkinspindle.RateLimitReport) (news []catkinspindle.RateLimitReport) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, report := range reports {
		next := entry{incarnation: report.Incarnation, limited: report.Limited, perSecond: report.PerSecond, statedAt: now.Add(-report.Age)}
		e, ok := t.entries[report.ID]
		if ok && (e.incarnation > next.incarnation || (e.incarnation == next.incarnation && !next.statedAt.After(e.statedAt))) {
			continue
		}
		if t.record(report.ID, next) {
			news = append(news, report)
		}
	}
	return news
}

// Since returns the statements that have changed after a position and the position to continue
// from. With directOnly it returns only those of answers that this node received itself.
func (t *Table) Since(now time.Time, position uint64, directOnly bool) ([]catkinspindle.RateLimitReport, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []catkinspindle.RateLimitReport
	for id, e := range t.entries {
		if e.seq > position && (e.direct || !directOnly) {
			list = append(list, e.report(now, id))
		}
	}
	return list, t.lastSeq
}

// Reports returns the statements of the given replicas.
func (t *Table) Reports(now time.Time, ids []string) []catkinspindle.RateLimitReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]catkinspindle.RateLimitReport, 0, len(ids))
	for _, id := range ids {
		if e, ok := t.entries[id]; ok {
			list = append(list, e.report(now, id))
		}
	}
	return list
}

func (e entry) report(now time.Time, id string) catkinspindle.RateLimitReport {
	return catkinspindle.RateLimitReport{ID: id, Incarnation: e.incarnation, Limited: e.limited, PerSecond: e.perSecond, Age: now.Sub(e.statedAt)}
}

// Limited returns the IDs of the limited replicas.
func (t *Table) Limited() []string {
	if t.limitedCount.Load() == 0 {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var ids []string
	for id, e := range t.entries {
		if e.limited {
			ids = append(ids, id)
		}
	}
	return ids
}

// Limit returns the rate limit of r in requests per second, raised to the minimum rate. limited is
// false when r has none. The limit of a later incarnation holds too: r is then from an old list, and
// requests to it reach the later one.
func (t *Table) Limit(r catkinspindle.Replica) (perSecond float64, limited bool) {
	if t.limitedCount.Load() == 0 {
		return 0, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.entries[r.ID]
	if !ok || e.incarnation < r.Incarnation || !e.limited {
		return 0, false
	}
	return catkinspindle.RateLimit{PerSecond: e.perSecond}.WithMinimum().PerSecond, true
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
	t.updateCount()
}
