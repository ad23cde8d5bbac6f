// Package buffers limits the memory that the answers of replicas take at the same time.
package buffers

import "sync"

// shareOfFree is the fraction of the free bytes that a single answer may hold. The less is free, the
// smaller the answers that may grow.
const shareOfFree = 1.0 / 16

// Budget is a number of bytes that answers share. A nil Budget has no limit.
type Budget struct {
	limit int64

	mu   sync.Mutex
	held int64
}

// New returns a Budget of limit bytes.
func New(limit int64) *Budget { return &Budget{limit: limit} }

// Grow takes n more bytes for an answer that has taken held bytes. It returns false, and takes none, if
// the answer would hold more than its share of what is left.
func (b *Budget) Grow(held, n int64) bool {
	if b == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if float64(held+n) > shareOfFree*float64(b.limit-b.held) {
		return false
	}
	b.held += n
	return true
}

// Release returns n bytes.
func (b *Budget) Release(n int64) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.held -= n
}
