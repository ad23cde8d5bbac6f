// Package cooldown keeps the replicas that have refused a request of this node and
// named a time in which they take no more from it. When it has passed a single
// request goes there first; the others follow once it has been taken.
package cooldown

import (
	"sync"
	"time"

	"github.com/catkinspindle/catkinspindle"
)

// retention is how long a replica whose time is over is remembered without a request
// to it: it may have gone for good.
const retention = time.Minute

// Table is the replicas that this node leaves alone.
type Table struct {
	mu      sync.Mutex
	entries map[string]entry
}

type entry struct {
	replica catkinspindle.Replica
	until   time.Time
	// probing is true while the first request after the time is out.
	probing bool
}

// New returns an empty table.
func New() *Table { return &Table{entries: map[string]entry{}} }

// Begin leaves r alone for so long. A longer time that r has named before stands.
func (t *Table) Begin(now time.Time, r catkinspindle.Replica, d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	until := now.Add(d)
	if e, ok := t.entries[r.ID]; ok && e.replica.Same(r) && e.until.After(until) {
		until = e.until
	}
	t.entries[r.ID] = entry{replica: r, until: until}
}

// Enter reports whether a request may be sent to r, and whether it is the one that
// probes r after its time: then End must follow as soon as r has answered.
func (t *Table) Enter(now time.Time, r catkinspindle.Replica) (ok, probe bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, there := t.entries[r.ID]
	switch {
	case !there:
		return true, false
	case !e.replica.Same(r):
		delete(t.entries, r.ID)
		return true, false
	case e.probing || now.Before(e.until):
		return false, false
	}
	e.probing = true
	t.entries[r.ID] = e
	return true, true
}

// End opens r for all requests, unless it has named another time meanwhile.
func (t *Table) End(r catkinspindle.Replica) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e, ok := t.entries[r.ID]; ok && e.probing && e.replica.Same(r) {
		delete(t.entries, r.ID)
	}
}

// Closed returns the IDs of a service's replicas that take nothing now, and the
// shortest time after which one of them may.
func (t *Table) Closed(now time.Time, service string) (ids []string, soonest time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, e := range t.entries {
		if !e.probing && now.Sub(e.until) > retention {
			delete(t.entries, id)
			continue
		}
		if e.replica.Service != service || (!e.probing && !now.Before(e.until)) {
			continue
		}
		ids = append(ids, id)
		if left := e.until.Sub(now); soonest == 0 || left < soonest {
			soonest = max(left, 0)
		}
	}
	return ids, soonest
}
