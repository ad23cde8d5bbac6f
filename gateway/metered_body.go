package gateway

import (
	"errors"
	"io"

	"github.com/catkinspindle/catkinspindle/buffers"
)

// WithBuffers sets the budget of the memory for answers. The default has no limit.
func WithBuffers(b *buffers.Budget) Option { return func(g *Gateway) { g.buffers = b } }

var errAnswerMemory = errors.New("memory for answers is used up")

// meteredBody is the body of an answer whose bytes are in a budget from before they are read until
// they are released, except for the first readChunk.
type meteredBody struct {
	io.ReadCloser
	budget *buffers.Budget
	// read is the number of bytes read since the last release, taken of those in the budget.
	read, taken int64
}

// reserve takes what a buffer of n bytes needs.
func (b *meteredBody) reserve(n int64) bool {
	more := n - readChunk - b.taken
	if more <= 0 {
		return true
	}
	if !b.budget.Grow(b.taken, more) {
		return false
	}
	b.taken += more
	return true
}

// Read implements io.Reader.
func (b *meteredBody) Read(p []byte) (int, error) {
	if !b.reserve(b.read + int64(len(p))) {
		return 0, errAnswerMemory
	}
	n, err := b.ReadCloser.Read(p)
	b.read += int64(n)
	return n, err
}

// release returns the bytes that are no longer held.
func (b *meteredBody) release() {
	b.budget.Release(b.taken)
	b.read, b.taken = 0, 0
}
