// Package readbudget bounds the memory of messages that are being read at the same time.
package readbudget

import (
	"errors"
	"fmt"
	"io"
	"sync"
)

var (
	// ErrExhausted is the error of a reader whose budget is used up.
	ErrExhausted = errors.New("too many bytes are being read")
	// ErrTooLong is the error of a reader whose message is over its limit.
	ErrTooLong = errors.New("message is too long")
)

// Budget is an amount of bytes that several readers share.
type Budget struct {
	// parent is the budget that this one is a share of, or nil.
	parent *Budget

	mu   sync.Mutex
	left int
}

// New returns a budget of size bytes.
func New(size int) *Budget { return &Budget{left: size} }

// Share returns a budget of at most size bytes of b.
func (b *Budget) Share(size int) *Budget { return &Budget{left: size, parent: b} }

// Limit returns a reader of a message of at most limit bytes that is read into a buffer. The size
// of the buffer is taken from the budget before bytes are read into it. Close returns it; it does
// not close r.
func (b *Budget) Limit(r io.Reader, limit int) io.ReadCloser {
	return &reader{reader: r, budget: b, limit: limit}
}

// take takes n bytes and reports whether there were as many.
func (b *Budget) take(n int) bool {
	if b.parent != nil && !b.parent.take(n) {
		return false
	}
	b.mu.Lock()
	ok := b.left >= n
	if ok {
		b.left -= n
	}
	b.mu.Unlock()
	if !ok && b.parent != nil {
		b.parent.give(n)
	}
	return ok
}

// give returns n bytes that were taken.
func (b *Budget) give(n int) {
	b.mu.Lock()
	b.left += n
	b.mu.Unlock()
	if b.parent != nil {
		b.parent.give(n)
	}
}

type reader struct {
	reader             io.Reader
	budget             *Budget
	limit, read, taken int
}

// Read implements io.Reader.
func (r *reader) Read(p []byte) (int, error) {
	// One byte more shows whether the message ends at the limit.
	p = p[:min(len(p), r.limit+1-r.read)]
	if grown := r.read + len(p) - r.taken; grown > 0 {
		if !r.budget.take(grown) {
			return 0, ErrExhausted
		}
		r.taken += grown
	}
	n, err := r.reader.Read(p)
	if r.read+n > r.limit {
		n, err = r.limit-r.read, fmt.Errorf("%w: over %d bytes", ErrTooLong, r.limit)
	}
	r.read += n
	return n, err
}

// Close implements io.Closer.
func (r *reader) Close() error {
	r.budget.give(r.taken)
	r.taken = 0
	return nil
}
