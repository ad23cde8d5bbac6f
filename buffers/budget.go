// Package buffers limits the memory that the answers of replicas take at the same time.
package buffers

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

const (
	// shareOfFree is the fraction of the free bytes that a single answer may hold. The less is free, the
	// smaller the answers that may grow.
	shareOfFree = 1.0 / 16
	// minStall is the time without progress from which a holder may be cut off. A caller that reads, however
	// slowly, and a connection that repeats a lost packet make progress within it.
	minStall = time.Second
	// cutOffWait bounds how long Grow waits until the holders that it has cut off release their bytes.
	cutOffWait = 250 * time.Millisecond
)

// Budget is a number of bytes that answers share. A nil Budget has no limit.
type Budget struct {
	limit int64

	mu   sync.Mutex
	held int64
	// holders are the holders that hold bytes.
	holders map[*Holder]struct{}
	// released is closed and replaced when bytes are released.
	released chan struct{}
}

// New returns a Budget of limit bytes.
func New(limit int64) *Budget {
	return &Budget{limit: limit, holders: map[*Holder]struct{}{}, released: make(chan struct{})}
}

// Held returns the number of bytes taken.
func (b *Budget) Held() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held
}

// TryGrow takes n more bytes for an answer that has taken held bytes. It returns false, and takes none, if
// the answer would hold more than its share of what is left.
func (b *Budget) TryGrow(held, n int64) bool {
	if b == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.grow(held, n)
}

// Grow is TryGrow for an answer that fails without the bytes: if too few are left, it cuts off the holders
// that have made no progress for the longest time and waits for their bytes.
func (b *Budget) Grow(held, n int64) bool {
	if b == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.grow(held, n) {
		return true
	}
	timeout := time.NewTimer(cutOffWait)
	defer timeout.Stop()
	for b.cutOff(time.Now(), held, n) {
		if !b.awaitRelease(timeout.C) {
			return false
		}
		if b.grow(held, n) {
			return true
		}
	}
	return false
}

// grow takes n bytes if they fit. The caller holds b.mu.
func (b *Budget) grow(held, n int64) bool {
	if !b.fits(held, n, 0) {
		return false
	}
	b.held += n
	return true
}

// fits reports whether an answer that has taken held bytes may take n more once others have released some.
func (b *Budget) fits(held, n, released int64) bool {
	return float64(held+n) <= shareOfFree*float64(b.limit-b.held+released)
}

// cutOff cuts off as many holders as n more bytes need, the one without progress for the longest time first.
// It returns false, and cuts off none, if that would not be enough. The caller holds b.mu.
func (b *Budget) cutOff(now time.Time, held, n int64) bool {
	var (
		stalled  []*Holder
		released int64
	)
	for h := range b.holders {
		if h.isCut {
			released += h.taken
		} else if now.Sub(h.progressAt) >= minStall {
			stalled = append(stalled, h)
		}
	}
	slices.SortFunc(stalled, func(a, c *Holder) int {
		return cmp.Or(a.progressAt.Compare(c.progressAt), cmp.Compare(c.taken, a.taken))
	})
	needed := 0
	for ; needed < len(stalled) && !b.fits(held, n, released); needed++ {
		released += stalled[needed].taken
	}
	if !b.fits(held, n, released) {
		return false
	}
	for _, h := range stalled[:needed] {
		h.isCut = true
		h.cutOff()
	}
	return true
}

// awaitRelease waits until bytes are released and returns false if timeout fires first. The caller holds
// b.mu, which is unlocked meanwhile.
func (b *Budget) awaitRelease(timeout <-chan time.Time) bool {
	released := b.released
	b.mu.Unlock()
	defer b.mu.Lock()
	select {
	case <-released:
		return true
	case <-timeout:
		return false
	}
}

// Release returns n bytes.
func (b *Budget) Release(n int64) {
	if b == nil || n == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.release(n)
}

// release is Release for a caller that holds b.mu.
func (b *Budget) release(n int64) {
	b.held -= n
	close(b.released)
	b.released = make(chan struct{})
}
