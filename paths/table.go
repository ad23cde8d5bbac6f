// Package paths decides over which path a node connects to replicas: directly, or through another
// node while its own path fails. A path counts as failed only when another node reaches the
// replica that this node does not. The package does no I/O: callers pass the time and the results.
package paths

import (
	"sync"
	"time"

	"github.com/catkinspindle/catkinspindle"
)

const (
	// lossCount is the number of paths that must fail since the last one that worked before a
	// node takes all its paths for lost.
	lossCount = 3
	// minRetryDelay and maxRetryDelay bound the time after which a failed path is tried again;
	// it doubles with each failure.
	minRetryDelay = 500 * time.Millisecond
	maxRetryDelay = 4 * time.Second
	// probeInterval is the time between two tries of any path while all are lost.
	probeInterval = 500 * time.Millisecond
)

// Table records which paths of a node fail. It is safe for concurrent use.
type Table struct {
	onLost func(lost bool)

	mu     sync.Mutex
	failed map[string]*path
	// lostSince is the time since which all paths count as lost; zero if they do not.
	lostSince  time.Time
	nextProbe  time.Time
	lastWorked time.Time
}

// path is the path to one replica while it fails.
type path struct {
	since      time.Time
	lastFailed time.Time
	retryAt    time.Time
	delay      time.Duration
}

// Option configures a Table.
type Option func(*Table)

// WithOnLost calls f when the node loses all its paths, and when one works again.
func WithOnLost(f func(lost bool)) Option { return func(t *Table) { t.onLost = f } }

// New returns a table in which no path has failed.
func New(opts ...Option) *Table {
	t := &Table{onLost: func(bool) {}, failed: map[string]*path{}}
	for _, opt := range opts {
		opt(t)
	}
	return t
}

// Plan returns how to connect to the replica at address. direct is false if the path counts as
// failed and another node should be asked first; probe is then true if this node should try its
// own path as well, beside the request.
func (t *Table) Plan(now time.Time, address string) (direct, probe bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, failed := t.failed[address]
	if !t.lostSince.IsZero() {
		if probe = !now.Before(t.nextProbe); probe {
			t.nextProbe = now.Add(probeInterval)
		}
		return false, probe
	}
	if !failed {
		return true, false
	}
	if probe = !now.Before(p.retryAt); probe {
		p.retryAt = now.Add(p.delay)
	}
	return false, probe
}

// Failed records that this node could not connect to the replica at address while another node
// could.
func (t *Table) Failed(now time.Time, address string) {
	t.mu.Lock()
	p, ok := t.failed[address]
	if !ok {
		p = &path{since: now}
		t.failed[address] = p
	}
	p.delay = min(maxRetryDelay, max(minRetryDelay, 2*p.delay))
	p.lastFailed, p.retryAt = now, now.Add(p.delay)
	lost := t.lostSince.IsZero() && t.failedInARow() >= lossCount
	if lost {
		t.lostSince, t.nextProbe = t.firstFailure(), now.Add(probeInterval)
	}
	t.mu.Unlock()
	if lost {
		t.onLost(true)
	}
}

// failedInARow returns the number of paths that have failed since one worked.
func (t *Table) failedInARow() (n int) {
	for _, p := range t.failed {
		if p.lastFailed.After(t.lastWorked) {
			n++
		}
	}
	return n
}

func (t *Table) firstFailure() time.Time {
	var first time.Time
	for _, p := range t.failed {
		if first.IsZero() || p.since.Before(first) {
			first = p.since
		}
	}
	return first
}

// Worked records that this node has connected to the replica at address. The paths that have
// failed are tried again at once.
func (t *Table) Worked(now time.Time, address string) {
	t.mu.Lock()
	delete(t.failed, address)
	found := !t.lostSince.IsZero()
	t.lostSince, t.lastWorked = time.Time{}, now
	for _, p := range t.failed {
		p.retryAt = now
	}
	t.mu.Unlock()
	if found {
		t.onLost(false)
	}
}

// HasFailed reports whether the path to the replica at address counts as failed.
func (t *Table) HasFailed(address string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, failed := t.failed[address]
	return failed || !t.lostSince.IsZero()
}

// MayReuse reports whether an idle connection to the replica at address may carry another request.
// lastRead is when data last arrived on it: one that has been idle since the path failed may hang.
func (t *Table) MayReuse(address string, lastRead time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.lostSince.IsZero() && lastRead.Before(t.lostSince) {
		return false
	}
	p, failed := t.failed[address]
	return !failed || lastRead.After(p.since)
}

// Retain forgets the paths to addresses that no replica has.
func (t *Table) Retain(replicas map[string]catkinspindle.Replica) {
	known := make(map[string]bool, len(replicas))
	for _, r := range replicas {
		known[r.Address] = true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for address := range t.failed {
		if !known[address] {
			delete(t.failed, address)
		}
	}
}
