// Package http1 checks what a client reads from an HTTP/1.1 connection.
package http1

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

const (
	// minDeliveryCheck and maxDeliveryCheck are the pauses between checks whether what was written
	// has been delivered. Each pause is twice the one before.
	minDeliveryCheck = time.Millisecond
	maxDeliveryCheck = 64 * time.Millisecond
)

var errResetBeforeDelivery = errors.New("connection was reset before the request was delivered")

// Conn is a client's end of a connection that carries requests one after the other.
//
// A response may end with its connection. If the peer resets a connection while the client writes,
// the operating system reports that to either the writer or the reader, and the other one sees the
// connection end in order. A peer that has gone may also end the connection in order before the rest
// of the request reaches it. Read therefore reports the end only after the request has been written
// and the peer's system has acknowledged it, and fails if that is not possible.
//
// With WithHeadCheck, Read also fails on a malformed head of a response, of which net/http accepts
// some.
//
// Bytes that are not HTTP are not checked, such as those of TLS.
type Conn struct {
	net.Conn
	checkHeads bool

	mu sync.Mutex
	// changed is signalled when a write has ended, a read has failed or the connection is closed.
	changed  *sync.Cond
	request  request
	head     responseHead
	headErr  error
	writing  bool
	writeErr error
	// ended is true once a read has failed.
	ended, closed bool
	// holdWriteErrors is true if Write reports an error only when there is nothing left to read.
	holdWriteErrors bool
}

// Option configures a Conn.
type Option func(*Conn)

// WithHeadCheck checks the heads of the responses: the interim ones and the first final one after
// the begin of a request or NextResponse.
func WithHeadCheck() Option { return func(c *Conn) { c.checkHeads = true } }

// New returns a Conn that uses c.
func New(c net.Conn, opts ...Option) *Conn {
	guarded := &Conn{Conn: c}
	guarded.changed = sync.NewCond(&guarded.mu)
	for _, opt := range opts {
		opt(guarded)
	}
	return guarded
}

// Dial returns a function for an http.Transport that opens connections with dial and returns each as
// a Conn that checks heads. Its Write reports an error only when there is nothing left to read, because
// a transport that sees the error discards a response that has arrived.
func Dial(dial func(ctx context.Context, network, address string) (net.Conn, error)) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		guarded := New(c, WithHeadCheck())
		guarded.holdWriteErrors = true
		return guarded, nil
	}
}

// Write implements net.Conn. It must not be called by several goroutines at the same time.
func (c *Conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	c.writing = true
	// The response to a request that begins may be read before the write returns.
	if c.request.advance(p) {
		c.head = responseHead{}
	}
	c.mu.Unlock()
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing = false
	if err != nil && c.writeErr == nil {
		c.writeErr = err
	}
	c.changed.Broadcast()
	hold := c.holdWriteErrors && c.request.phase != notHTTP
	for err != nil && hold && !c.ended && !c.closed {
		c.changed.Wait()
	}
	return n, err
}

// Read implements net.Conn. It returns io.EOF only if the request that was begun has been written and
// delivered.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) {
		err = c.awaitEnd()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if headErr := c.checkHead(p[:n]); headErr != nil {
		n, err = 0, headErr
	}
	if err != nil {
		c.ended = true
		c.changed.Broadcast()
	}
	return n, err
}

// awaitEnd waits until the request has been written and delivered and returns io.EOF, or an error if
// that is not possible.
func (c *Conn) awaitEnd() error {
	if err := c.awaitWrite(); err != nil {
		return err
	}
	if err := c.awaitDelivery(); err != nil {
		return err
	}
	return io.EOF
}

// NextResponse begins the check of another response to the last request. buffered is the part of it
// that has been read. The caller must not be reading.
func (c *Conn) NextResponse(buffered []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head = responseHead{}
	return c.checkHead(buffered)
}

// checkHead checks p if it belongs to the head of a response. After an error it always returns
// that. The caller holds mu.
func (c *Conn) checkHead(p []byte) error {
	if c.checkHeads && c.headErr == nil && c.request.phase != notHTTP {
		c.headErr = c.head.check(p)
	}
	return c.headErr
}

// awaitWrite waits until the request has been written.
func (c *Conn) awaitWrite() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for (c.writing || c.request.unfinished()) && c.writeErr == nil && !c.closed {
		c.changed.Wait()
	}
	switch {
	case c.writeErr != nil:
		return fmt.Errorf("connection ended before the request was written: %w", c.writeErr)
	case c.writing || c.request.unfinished():
		return net.ErrClosed
	}
	return nil
}

// awaitDelivery waits until the peer's system has acknowledged all that was written. It does not
// wait on connections whose system does not tell.
func (c *Conn) awaitDelivery() error {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return err
	}
	for pause := minDeliveryCheck; ; pause = min(2*pause, maxDeliveryCheck) {
		size, reset, err := unacknowledged(raw)
		switch {
		case errors.Is(err, net.ErrClosed):
			return err
		case err != nil || size == 0:
			return nil
		case reset:
			return errResetBeforeDelivery
		}
		time.Sleep(pause)
	}
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	err := c.Conn.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	c.changed.Broadcast()
	return err
}

// RequestWritten reports whether the last request has been written.
func (c *Conn) RequestWritten() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.writing && c.writeErr == nil && c.request.phase == betweenRequests
}
