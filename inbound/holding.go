package inbound

import (
	"container/list"
	"time"
)

// Holding is what a connection or a request body takes of a Budget.
type Holding struct {
	budget *Budget
	// evict makes the holder stop to wait for its caller.
	evict       func()
	connections int
	// maxBody is the largest size of the body in bytes, zero if there is none.
	maxBody int64

	// Guarded by budget.mu. element is the entry in budget.waiting; nil if the holder does not wait. since is
	// when the caller made progress, received what has come from it since then.
	element         *list.Element
	since           time.Time
	bytes, received int64
	evicted         bool
}

// Grow takes n bytes more. If there are too few, callers without progress are evicted, those without it for
// the longest first.
func (h *Holding) Grow(n int64) error {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	for !h.evicted {
		if b.bytes+n <= h.limit(n) {
			b.bytes += n
			h.bytes += n
			return nil
		}
		if b.releasing > 0 {
			b.released.Wait()
			continue
		}
		victim := b.evictOldest(stallTime, memoryEvictedCounter)
		if victim == nil {
			b.note(memoryRefusedCounter)
			return ErrExhausted
		}
		b.mu.Unlock()
		victim.evict()
		b.mu.Lock()
	}
	return ErrEvicted
}

// limit returns the bytes that the budget may have in use after h has taken n more. The caller holds
// budget.mu.
func (h *Holding) limit(n int64) int64 {
	b := h.budget
	switch {
	case b.maxBytes <= 0:
		return b.bytes + n
	case h.bytes+n <= smallBytes:
		return max(b.maxBytes, aloneBodies*h.maxBody)
	}
	return max(int64(largeShare*float64(b.maxBytes)), aloneBodies*h.maxBody)
}

// Shrink returns n bytes.
func (h *Holding) Shrink(n int64) {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.shrink(n)
}

// shrink is Shrink for callers that hold budget.mu.
func (h *Holding) shrink(n int64) {
	if n == 0 {
		return
	}
	h.bytes -= n
	h.budget.bytes -= n
	if h.bytes == 0 && h.evicted {
		h.budget.releasing--
	}
	h.budget.released.Broadcast()
}

// Wait records that the holder waits for its caller and holds nothing of it.
func (h *Holding) Wait() {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.shrink(h.bytes)
	h.evicted = false
	h.unwait()
	h.wait()
}

// Progress records that n bytes have come from the caller.
func (h *Holding) Progress(n int) {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.received += int64(n)
	if h.element != nil && float64(h.received) >= progressShare*float64(h.bytes) {
		h.budget.waiting.MoveToBack(h.element)
		h.since, h.received = time.Now(), 0
	}
}

// Done records that the caller has sent everything. It returns ErrEvicted if the holding was evicted before.
func (h *Holding) Done() error {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.unwait()
	if h.evicted {
		return ErrEvicted
	}
	return nil
}

// Serve records that the caller has sent a request that is served, even if the holding was evicted.
func (h *Holding) Serve() {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.unwait()
	if h.evicted && h.bytes > 0 {
		h.budget.releasing--
		h.budget.released.Broadcast()
	}
	h.evicted = false
}

// Close returns all that is held. A nil Holding holds nothing.
func (h *Holding) Close() {
	if h == nil {
		return
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.unwait()
	h.shrink(h.bytes)
	h.budget.connections -= h.connections
	h.connections = 0
}

// wait adds the holding to those that wait. The caller holds budget.mu.
func (h *Holding) wait() {
	h.element = h.budget.waiting.PushBack(h)
	h.since, h.received = time.Now(), 0
}

// unwait removes the holding from those that wait. The caller holds budget.mu.
func (h *Holding) unwait() {
	if h.element != nil {
		h.budget.waiting.Remove(h.element)
		h.element = nil
	}
}
