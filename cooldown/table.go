// Package cooldown tracks the replicas that have refused a request of this node and
// asked for a cooldown, during which they accept no more requests from it. After the
// cooldown a single request is sent as a probe. Other requests follow once the replica
// has answered the probe without asking for another cooldown.
package cooldown

import (
	"sync"
	"time"

	"github.com/catkinspindle/catkinspindle"
)

// retention is how long an entry is kept after its cooldown while no request probes
// the replica, which may no longer exist.
const retention = time.Minute

// Table holds the replicas that are in a cooldown or wait to be probed after one.
type Table struct {
	mu      sync.Mutex
	entries map[string]entry
}

type entry struct {
	replica catkinspindle.Replica
	end     time.Time
	// probeInFlight is true while the probe after the cooldown is in flight.
	probeInFlight bool
}

// New returns an empty table.
func New() *Table { return &Table{entries: map[string]entry{}} }

// Start starts a cooldown of length d for r. It does not shorten a cooldown that is
// already running.
func (t *Table) Start(now time.Time, r catkinspindle.Replica, d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	end := now.Add(d)
	if e, ok := t.entries[r.ID]; ok && e.replica.SameIncarnation(r) && e.end.After(end) {
		end = e.end
	}
	t.entries[r.ID] = entry{replica: r, end: end}
}

// Admit reports whether a request may be sent to r, and whether that request is the
// probe after a cooldown. The caller of a probe must call EndProbe as soon as r has
// answered or the attempt has failed.
func (t *Table) Admit(now time.Time, r catkinspindle.Replica) (ok, probe bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, found := t.entries[r.ID]
	switch {
	case !found:
		return true, false
	case !e.replica.SameIncarnation(r):
		delete(t.entries, r.ID)
		return true, false
	case e.probeInFlight || now.Before(e.end):
		return false, false
	}
	e.probeInFlight = true
	t.entries[r.ID] = e
	return true, true
}

// EndProbe ends the probe of r and admits all requests to it, unless r has asked for
// another cooldown meanwhile.
func (t *Table) EndProbe(r catkinspindle.Replica) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e, ok := t.entries[r.ID]; ok && e.probeInFlight && e.replica.SameIncarnation(r) {
		delete(t.entries, r.ID)
	}
}

// Cooling returns the IDs of a service's replicas that admit no requests now, and the
// shortest time until a cooldown of one of them ends.
func (t *Table) Cooling(now time.Time, service string) (ids []string, shortest time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, e := range t.entries {
		if !e.probeInFlight && now.Sub(e.end) > retention {
			delete(t.entries, id)
			continue
		}
		if e.replica.Service != service || (!e.probeInFlight && !now.Before(e.end)) {
			continue
		}
		ids = append(ids, id)
		if left := e.end.Sub(now); shortest == 0 || left < shortest {
			shortest = max(left, 0)
		}
	}
	return ids, shortest
}
