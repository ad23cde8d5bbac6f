package gateway

import (
	"errors"
	"io"

	"github.com/catkinspindle/catkinspindle/buffers"
)

// WithBuffers sets the budget of the memory for answers. The default has no limit.
func WithBuffers(b *buffers.Budget) Option { return func(g *Gateway) { g.buffers = b } }

var (
	errAnswerMemory = errors.New("memory for answers is used up")
	errReplicaSlow  = errors.New("memory for answers is used up, and the answer made no progress")
)

// meteredBody is the body of an answer whose bytes are in a budget from before they are read until
// they are released, except for the first readChunk.
type meteredBody struct {
	io.ReadCloser
	holder *buffers.Holder
	// read is the number of bytes read since the last release.
	read int64
}

// newMeteredBody returns the metered body of the answer of a.
func (g *Gateway) newMeteredBody(a *attempt, body io.ReadCloser) *meteredBody {
	cutOff := func() {
		a.cancel(errReplicaSlow)
		g.countCutOff("replicas", cutOffMemory)
	}
	return &meteredBody{ReadCloser: body, holder: g.buffers.NewHolder(cutOff)}
}

// tryReserve takes what a buffer of n bytes needs, if it is free.
func (b *meteredBody) tryReserve(n int64) bool { return b.holder.TryReserve(n - readChunk) }

// Read implements io.Reader.
func (b *meteredBody) Read(p []byte) (int, error) {
	if !b.holder.Reserve(b.read + int64(len(p)) - readChunk) {
		return 0, errAnswerMemory
	}
	n, err := b.ReadCloser.Read(p)
	b.read += int64(n)
	if n > 0 {
		b.holder.Progress()
	}
	return n, err
}

// release returns the bytes that are no longer held.
func (b *meteredBody) release() {
	b.holder.Release()
	b.read = 0
}
