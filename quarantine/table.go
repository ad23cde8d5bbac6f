// Package quarantine decides which requests are not sent to replicas because what they ask for
// crashes each replica that begins to answer it.
//
// Each node records the crashes of replicas and the keys of the requests whose answers had not
// begun, and the nodes share these records. A key is held once replicas have crashed under it
// again and again and no answer to a request with it has begun in between. Crashes under a held
// key are not evidence against other keys.
package quarantine

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/catkinspindle/catkinspindle"
)

const (
	// minCrashes is the number of crashed replicas from which a key is held.
	minCrashes = 3
	// decisiveCrashes is the number of crashes from which the most specific one of several keys
	// with the same crashes is held.
	decisiveCrashes = 5
	// settleTime is the time after a crash in which other nodes report what else was running
	// on the replica.
	settleTime = 250 * time.Millisecond
	// A key whose answers have begun within recentWindow before the first crash is held only
	// after minCrashesOfRecent crashes over at least minSpanOfRecent. One that many requests
	// share is running on most replicas that crash for other reasons.
	recentWindow       = 10 * time.Second
	minCrashesOfRecent = 5
	minSpanOfRecent    = 1500 * time.Millisecond

	// retention is how long crashes are kept, and holds after the last request that they
	// refused.
	retention = time.Hour
	// renewInterval is the shortest interval at which a hold that refuses requests is shared
	// again.
	renewInterval = retention / 2
	// maxCrashes, maxHolds and maxBegun bound the entries of a table; the oldest are dropped.
	maxCrashes = 256
	maxHolds   = 1024
	maxBegun   = 4096
)

// incarnation identifies a process of a replica.
type incarnation struct {
	replica string
	number  int64
}

// crash is the crash of a replica.
type crash struct {
	at       time.Time
	suspects map[catkinspindle.RequestKey]suspect
	// seq is the position of the last change.
	seq uint64
}

type suspect struct {
	depth int
	// direct is true when this node has observed the crash itself.
	direct bool
}

type hold struct {
	// firstCrash is the time of the first crash under the key. An answer that has begun later
	// ends the hold.
	firstCrash time.Time
	since      time.Time
	lastSeen   time.Time
	// sharedAt is the value of lastSeen that other nodes know.
	sharedAt  time.Time
	trials    int
	lastTrial time.Time
	seq       uint64
}

// begun is the time at which an answer to a request with a suspected key last began.
type begun struct {
	at     time.Time
	direct bool
	seq    uint64
}

// Table records crashes and holds. It is safe for concurrent use.
type Table struct {
	onHold  func(key catkinspindle.RequestKey, held bool)
	onLocal func()
	// active is false while the table has neither crashes nor holds.
	active atomic.Bool

	mu      sync.Mutex
	lastSeq uint64
	crashes map[incarnation]*crash
	holds   map[catkinspindle.RequestKey]*hold
	begun   map[catkinspindle.RequestKey]begun
	// counts has the number of crashes by suspect.
	counts  map[catkinspindle.RequestKey]int
	history *history
	// nextUpdate is the time at which a suspect may be held, zero if there is none.
	nextUpdate time.Time
	// changed is closed when a key is held.
	changed chan struct{}
}

// Option configures a Table.
type Option func(*Table)

// WithOnHold calls f when a key is held, and when its hold ends. f must not use the table.
func WithOnHold(f func(key catkinspindle.RequestKey, held bool)) Option {
	return func(t *Table) { t.onHold = f }
}

// WithOnLocal calls f when this node has observed a crash, or has decided on a hold, so that
// the other nodes can be told at once. f must not use the table.
func WithOnLocal(f func()) Option {
	return func(t *Table) { t.onLocal = f }
}

// New returns an empty table.
func New(opts ...Option) *Table {
	t := &Table{
		onHold:  func(catkinspindle.RequestKey, bool) {},
		onLocal: func() {},
		crashes: map[incarnation]*crash{},
		holds:   map[catkinspindle.RequestKey]*hold{},
		begun:   map[catkinspindle.RequestKey]begun{},
		counts:  map[catkinspindle.RequestKey]int{},
		history: newHistory(),
		changed: make(chan struct{}),
	}
	for _, opt := range opts {
		opt(t)
	}
	return t
}

// Begun records that an answer to a request with the given keys has begun without harm.
func (t *Table) Begun(now time.Time, keys []catkinspindle.RequestKey) {
	if len(keys) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, k := range keys {
		t.history.record(k, now)
		if t.isSuspected(k) {
			t.clear(now, k, now, true)
		}
	}
}

func (t *Table) isSuspected(k catkinspindle.RequestKey) bool {
	_, held := t.holds[k]
	return held || t.counts[k] > 0
}

// Crashed records that a replica crashed at the time at, under a request whose answer had not
// begun. keys are ordered from the one that most requests share to the most specific one.
func (t *Table) Crashed(now, at time.Time, r catkinspindle.Replica, keys []catkinspindle.RequestKey) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.updateHoldsIfDue(now)
	suspects := make([]catkinspindle.Suspect, len(keys))
	for i, k := range keys {
		suspects[i] = catkinspindle.Suspect{Key: k, Depth: i}
	}
	if t.addCrash(at, incarnation{r.ID, r.Incarnation}, suspects, true) {
		t.updateHolds(now)
		t.onLocal()
	}
}

// addCrash adds the suspects of a crash and reports whether any of them is new.
func (t *Table) addCrash(at time.Time, id incarnation, suspects []catkinspindle.Suspect, direct bool) bool {
	c, ok := t.crashes[id]
	if !ok {
		c = &crash{at: at, suspects: map[catkinspindle.RequestKey]suspect{}}
	}
	news := false
	for _, s := range suspects {
		if last, ok := t.lastBegun(s.Key); ok && last.After(at.Add(-recentWindow)) {
			t.shareBegun(s.Key, last)
			if last.After(at) {
				continue
			}
		}
		known, ok := c.suspects[s.Key]
		if ok && (known.direct || !direct) {
			continue
		}
		c.suspects[s.Key] = suspect{max(known.depth, s.Depth), direct || known.direct}
		news = true
		if !ok {
			t.count(s.Key, 1)
		}
		// A suspect is passed on from its second crash on, together with the first.
		if !ok && t.counts[s.Key] == minSharedCrashes {
			t.touchCrashes(s.Key)
		}
	}
	if !news {
		return false
	}
	t.lastSeq++
	c.seq = t.lastSeq
	t.crashes[id] = c
	t.dropOldestCrash()
	t.updateActive()
	return true
}

func (t *Table) count(k catkinspindle.RequestKey, change int) {
	t.counts[k] += change
	if t.counts[k] <= 0 {
		delete(t.counts, k)
	}
}

// touchCrashes marks the crashes with a suspect as changed.
func (t *Table) touchCrashes(k catkinspindle.RequestKey) {
	for _, c := range t.crashes {
		if _, ok := c.suspects[k]; ok {
			t.lastSeq++
			c.seq = t.lastSeq
		}
	}
}

// lastBegun returns the last time at which an answer to a request with the key is known to have
// begun, on any node.
func (t *Table) lastBegun(k catkinspindle.RequestKey) (time.Time, bool) {
	at, ok := t.history.last(k)
	if b, shared := t.begun[k]; shared && b.at.After(at) {
		return b.at, true
	}
	return at, ok
}

// shareBegun makes the other nodes know that an answer began at the given time.
func (t *Table) shareBegun(k catkinspindle.RequestKey, at time.Time) {
	if b, ok := t.begun[k]; ok && !at.After(b.at) {
		return
	}
	t.lastSeq++
	t.begun[k] = begun{at: at, direct: true, seq: t.lastSeq}
	t.dropOldestBegun()
}

// clear removes a key from the suspects of all crashes before the given time, at which an answer
// began, and ends an older hold.
func (t *Table) clear(now time.Time, k catkinspindle.RequestKey, at time.Time, direct bool) {
	if b, ok := t.begun[k]; !ok || at.After(b.at) {
		t.lastSeq++
		t.begun[k] = begun{at: at, direct: direct, seq: t.lastSeq}
		t.dropOldestBegun()
	}
	for id, c := range t.crashes {
		if _, ok := c.suspects[k]; ok && at.After(c.at) {
			delete(c.suspects, k)
			t.count(k, -1)
			if len(c.suspects) == 0 {
				delete(t.crashes, id)
			}
		}
	}
	if h, ok := t.holds[k]; ok && at.After(h.firstCrash) {
		delete(t.holds, k)
		t.onHold(k, false)
		t.updateHolds(now)
		if direct {
			t.onLocal()
		}
	}
	t.updateActive()
}

func (t *Table) updateActive() { t.active.Store(len(t.crashes)+len(t.holds) > 0) }

// Held returns the first of the keys that is held now, and whether there is one.
func (t *Table) Held(now time.Time, keys []catkinspindle.RequestKey) (catkinspindle.RequestKey, bool) {
	if len(keys) == 0 || !t.active.Load() {
		return catkinspindle.RequestKey{}, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.updateHoldsIfDue(now)
	for _, k := range keys {
		h, ok := t.holds[k]
		if !ok {
			continue
		}
		h.lastSeen = now
		if now.Sub(h.sharedAt) > renewInterval {
			h.sharedAt = now
			t.lastSeq++
			h.seq = t.lastSeq
		}
		return k, true
	}
	return catkinspindle.RequestKey{}, false
}

// Changed returns a channel that is closed when a further key is held.
func (t *Table) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}
