// Package silence tracks the replicas from which a node awaits data. A single silent replica
// may have failed; when most of them are silent at the same time, they are more likely to go on
// than to fail together, and another one would be no faster.
package silence

import (
	"sync"
	"time"

	"github.com/catkinspindle/catkinspindle"
)

const (
	// minSilence is the time without data below which no replica counts as silent.
	minSilence = 400 * time.Millisecond
	// returnTime is how long after its silence a replica still counts for Prevails: replicas
	// that were silent together do not return at the same instant.
	returnTime = 300 * time.Millisecond
)

// Table holds the replicas from which data is awaited. It is safe for concurrent use.
type Table struct {
	mu      sync.Mutex
	entries map[string]*entry
}

// entry is a replica from which at least one attempt awaits data.
type entry struct {
	replica catkinspindle.Replica
	// quietSince is when data last arrived, or when the first attempt began to wait.
	quietSince time.Time
	// returnedAt is when data last arrived after a silence.
	returnedAt time.Time
	// due is the time by which each attempt expects data.
	due map[string]time.Time
}

func (e *entry) silent(now time.Time) bool {
	if now.Sub(e.quietSince) < minSilence {
		return false
	}
	for _, due := range e.due {
		if now.After(due) {
			return true
		}
	}
	return false
}

// New returns an empty table.
func New() *Table { return &Table{entries: map[string]*entry{}} }

// Expect records that an attempt at r expects data within the given time. It must be followed by End.
func (t *Table) Expect(now time.Time, r catkinspindle.Replica, attempt string, within time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.entries[r.ID]
	if !ok || !e.replica.SameIncarnation(r) {
		e = &entry{replica: r, quietSince: now, due: map[string]time.Time{}}
		t.entries[r.ID] = e
	}
	e.due[attempt] = now.Add(max(minSilence, within))
}

// Receive records that data has arrived for an attempt at r, which expects more within the given
// time. It returns how long r was silent until then, zero if it was not.
func (t *Table) Receive(now time.Time, r catkinspindle.Replica, attempt string, within time.Duration) (silence time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.entries[r.ID]
	if !ok || !e.replica.SameIncarnation(r) {
		return 0
	}
	if e.silent(now) {
		silence, e.returnedAt = now.Sub(e.quietSince), now
	}
	e.quietSince = now
	e.due[attempt] = now.Add(max(minSilence, within))
	return silence
}

// End records that an attempt at r awaits no more data.
func (t *Table) End(r catkinspindle.Replica, attempt string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.entries[r.ID]
	if !ok || !e.replica.SameIncarnation(r) {
		return
	}
	if delete(e.due, attempt); len(e.due) == 0 {
		delete(t.entries, r.ID)
	}
}

// Silent returns the IDs of the silent replicas of a service.
func (t *Table) Silent(now time.Time, service string) (ids []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, e := range t.entries {
		if e.replica.Service == service && e.silent(now) {
			ids = append(ids, id)
		}
	}
	return ids
}

// Prevails reports whether most of the other replicas of r's service that data is awaited from are
// silent, or have been until a moment ago.
func (t *Table) Prevails(now time.Time, r catkinspindle.Replica) bool {
	silent, awaited := t.count(r, func(e *entry) bool { return e.silent(now) || now.Sub(e.returnedAt) < returnTime })
	return 2*silent > awaited
}

// Others returns how many other replicas of r's service data is awaited from, and how many of
// them are silent.
func (t *Table) Others(now time.Time, r catkinspindle.Replica) (silent, awaited int) {
	return t.count(r, func(e *entry) bool { return e.silent(now) })
}

// count returns how many other replicas of r's service data is awaited from, and how many of them
// match.
func (t *Table) count(r catkinspindle.Replica, match func(*entry) bool) (matching, awaited int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, e := range t.entries {
		if id == r.ID || e.replica.Service != r.Service {
			continue
		}
		awaited++
		if match(e) {
			matching++
		}
	}
	return matching, awaited
}
