package peers

import (
	"errors"
	"io"
	"sync"
)

const (
	// maxReading bounds the buffers of all messages that are being read, maxReadingOfPeer those of
	// one connection, both in bytes. The first is a fifth of the memory of the smallest VM; a
	// faulty peer takes no more than a quarter of it. A buffer grows to at most twice its message.
	maxReading       = 32 << 20
	maxReadingOfPeer = 8 << 20
)

var (
	errBusy        = errors.New("too many bytes are being read from peers")
	errLongMessage = errors.New("message is too long")
)

// budget is an amount of bytes that several readers share. A budget with a parent is a share of it.
type budget struct {
	parent *budget

	mu   sync.Mutex
	left int
}

func newBudget(size int, parent *budget) *budget { return &budget{left: size, parent: parent} }

// take takes n bytes and reports whether there were as many.
func (b *budget) take(n int) bool {
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
func (b *budget) give(n int) {
	b.mu.Lock()
	b.left += n
	b.mu.Unlock()
	if b.parent != nil {
		b.parent.give(n)
	}
}

// budgetReader reads a message into a buffer that grows. The size of the buffer is taken from a
// budget before bytes are read into it.
type budgetReader struct {
	reader      io.Reader
	budget      *budget
	read, taken int
}

// Read implements io.Reader. It returns errBusy if the budget is used up.
func (r *budgetReader) Read(p []byte) (int, error) {
	if r.read >= maxMessageBytes {
		return 0, errLongMessage
	}
	if grown := r.read + len(p) - r.taken; grown > 0 {
		if !r.budget.take(grown) {
			return 0, errBusy
		}
		r.taken += grown
	}
	p = p[:min(len(p), maxMessageBytes-r.read)]
	n, err := r.reader.Read(p)
	r.read += n
	return n, err
}

// release returns what was taken.
func (r *budgetReader) release() {
	r.budget.give(r.taken)
	r.taken = 0
}
