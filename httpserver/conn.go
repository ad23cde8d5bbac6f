package httpserver

import (
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/catkinspindle/catkinspindle/inbound"
)

const (
	// readAheadBytes is how much net/http may read beyond the header with which it ends.
	readAheadBytes = 4096
	// lastReadTimeout is the timeout of the read that follows a deadline, so that a request is served
	// that has arrived by then.
	lastReadTimeout = time.Millisecond
	// resetDelay is the time between a refusal and the close of the connection, whose reset could reach
	// the caller before it has read the refusal. It is that of net/http.
	resetDelay = 500 * time.Millisecond
	// maxDiscardedBytes bounds the bytes that are read after a refusal.
	maxDiscardedBytes = 256 << 10
	// timeoutRefusal is the response of RFC 9110, section 15.5.9, to a caller whose connection is closed.
	timeoutRefusal = "HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
	// memoryRefusal is the response to a request for whose header there is no memory.
	memoryRefusal = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
)

var errHeaderTooLarge = errors.New("request header too large")

// phase says what a connection is used for.
type phase int

const (
	// phaseNew begins with the connection. It is an idle phase that net/http does not know.
	phaseNew phase = iota
	// phaseHeader begins with the first byte of a request.
	phaseHeader
	// phaseRequest begins when the header has been read and ends when the request is answered.
	phaseRequest
	phaseIdle
)

// conn is a caller's connection. It applies the limits of its server to idle connections and
// headers; net/http sets deadlines in phaseRequest only.
type conn struct {
	net.Conn
	server *Server
	// holding is what the connection takes of the server's budget.
	holding *inbound.Holding

	mu    sync.Mutex
	phase phase
	// since is when the phase began.
	since time.Time
	// deadline is when the connection is closed in phases other than phaseRequest.
	deadline time.Time
	// pastDeadline is true if the deadline has passed and the last read may be under way.
	pastDeadline bool
	// headerBytes is the number of bytes read since the end of the last request, maxHeader the limit
	// when the header began.
	headerBytes, maxHeader int
	// requests counts the requests that were read. reason is why the connection is closed, if that
	// is known.
	requests int
	reason   reason
	closed   bool
	// evicted is true once the connection has to make room for others.
	evicted bool
	// refused is true once nothing that arrives may be served any more.
	refused bool
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	for {
		left, refused := c.headerBytesLeft()
		if refused {
			// net/http reads again if it has a part of a line.
			return 0, net.ErrClosed
		}
		if left <= 0 {
			return 0, c.rejectHeader()
		}
		n, err := c.Conn.Read(p[:min(len(p), left)])
		if n > 0 && c.received(n) {
			if err := c.holding.Grow(int64(n)); errors.Is(err, inbound.ErrExhausted) {
				return 0, c.refuseHeader()
			}
			c.holding.Progress(n)
		}
		expired := errors.Is(err, os.ErrDeadlineExceeded)
		if err != nil && !expired {
			c.closeFor(reasonCaller)
		}
		if n > 0 || !expired {
			return n, err
		}
		if again, refuse := c.mayReadAgain(); !again {
			if refuse {
				c.refuseLate()
			}
			return n, err
		}
	}
}

// headerBytesLeft returns how much may still be read of the header, and whether its request was refused.
func (c *conn) headerBytesLeft() (left int, refused bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == phaseRequest {
		return math.MaxInt, false
	}
	return max(c.maxHeader, c.server.limits.Load().MaxHeader) + readAheadBytes - c.headerBytes, c.refused
}

// refuseHeader answers a request for whose header there is no memory and closes the connection.
func (c *conn) refuseHeader() error {
	c.closeFor(reasonMemory)
	c.mu.Lock()
	c.refused = true
	c.mu.Unlock()
	_ = c.SetWriteDeadline(time.Now().Add(resetDelay)) // It fails on closed connections only, as the write does.
	_, _ = io.WriteString(c.Conn, memoryRefusal)
	return errors.Join(net.ErrClosed, c.Conn.Close())
}

// rejectHeader answers a request whose header exceeds the limit and closes the connection, because
// net/http takes a header line that has been read in part for a malformed one and answers that.
func (c *conn) rejectHeader() error {
	c.closeFor(reasonHeaderSize)
	const status = http.StatusRequestHeaderFieldsTooLarge
	text := strconv.Itoa(status) + " " + http.StatusText(status)
	_, err := io.WriteString(c.Conn, "HTTP/1.1 "+text+"\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n"+text)
	if err == nil && c.CloseWrite() == nil {
		time.Sleep(resetDelay)
	}
	_ = c.Conn.Close() // It may have been closed already.
	return &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: errHeaderTooLarge}
}

// received records that n bytes have been read, and returns whether they are of a header.
func (c *conn) received(n int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch c.phase {
	case phaseRequest:
		return false
	case phaseNew, phaseIdle:
		c.startHeader()
	case phaseHeader:
	}
	c.headerBytes += n
	return true
}

// mayReadAgain is called when a read has exceeded its deadline. If it returns refuse, what arrives from
// now on must not be served and the connection is to be closed.
func (c *conn) mayReadAgain() (again, refuse bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == phaseRequest {
		return false, false
	}
	now := time.Now()
	switch {
	case now.Before(c.deadline):
		return true, false // It has just been postponed.
	case !c.pastDeadline:
		c.pastDeadline = true
		return c.Conn.SetReadDeadline(now.Add(lastReadTimeout)) == nil, false
	}
	switch {
	case c.server.closing.Load():
		c.reason = reasonStop
	case c.evicted:
		c.reason = reasonEvicted
	case c.phase == phaseNew, c.phase == phaseIdle:
		c.reason = reasonIdle
		c.server.onIdleClosed(c.server.limits.Load().IdleTimeout)
	default:
		c.reason = reasonHeaderTimeout
	}
	c.refused = true
	return false, true
}

// expire ends the time that the caller has for its next request.
func (c *conn) expire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != phaseRequest && !c.refused {
		c.setDeadline(time.Now())
	}
}

// evict makes room for other connections. One on which nothing has arrived is closed at once; its caller
// may send the request again.
func (c *conn) evict() {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.phase == phaseRequest || c.refused:
	case c.phase == phaseNew:
		c.refused, c.reason = true, reasonEvicted
		_ = c.Conn.Close() // It may have been closed already.
	default:
		c.evicted = true
		c.setDeadline(time.Now())
	}
}

// refuseLate answers a request that the caller may have sent before it learns that the connection is
// closed: it has not run. Bytes that arrive are discarded for a time, because a close with unread bytes
// could reset the connection before the caller has read the answer.
func (c *conn) refuseLate() {
	delay := resetDelay
	c.mu.Lock()
	if c.reason == reasonEvicted {
		delay = lastReadTimeout // Others wait for the descriptor.
	}
	c.mu.Unlock()
	_ = c.SetWriteDeadline(time.Now().Add(delay)) // It fails on closed connections only, as the write does.
	if _, err := io.WriteString(c.Conn, timeoutRefusal); err != nil || c.CloseWrite() != nil {
		return
	}
	_ = c.Conn.SetReadDeadline(time.Now().Add(delay))
	n, _ := io.Copy(io.Discard, io.LimitReader(c.Conn, maxDiscardedBytes)) // The caller closes, or the deadline passes.
	if n > 0 {
		c.server.account.requestRefused(c, n)
	}
}

// closeFor records why the connection is about to be closed. The first reason counts.
func (c *conn) closeFor(why reason) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reason == "" {
		c.reason = why
	}
}

// abort records that the handler has given up its request.
func (c *conn) abort() { c.closeFor(reasonAborted) }

// Close implements net.Conn.
func (c *conn) Close() error {
	defer c.holding.Close()
	c.mu.Lock()
	why, first := c.closeReason(), !c.closed
	c.closed = true
	since, headerBytes, requests := time.Since(c.since), c.headerBytes, c.requests
	c.mu.Unlock()
	if first {
		c.server.account.connectionClosed(c, why, since, headerBytes, requests)
	}
	return c.Conn.Close()
}

// closeReason returns why the connection is closed. The caller holds c.mu.
func (c *conn) closeReason() reason {
	switch {
	case c.reason != "":
		return c.reason
	case c.server.closing.Load():
		return reasonStop
	case c.phase == phaseHeader:
		return reasonMalformed
	}
	return reasonAnswered
}

// SetReadDeadline implements net.Conn. Before a request has been read, it serves to tell the phases:
// net/http sets a deadline when the first bytes of a header have been read, and removes it when the
// header is complete.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.refused {
		return nil
	}
	switch c.phase {
	case phaseNew:
		return nil
	case phaseIdle:
		if !t.IsZero() {
			c.startHeader()
		}
		return nil
	case phaseHeader:
		if !t.IsZero() {
			return nil
		}
		c.phase, c.since = phaseRequest, time.Now()
		c.requests++
		c.holding.Serve()
	case phaseRequest:
	}
	return c.Conn.SetReadDeadline(t)
}

// CloseWrite closes the writing side of the connection, as net/http does before it closes a
// connection from which it has not read everything.
func (c *conn) CloseWrite() error {
	w, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return errors.ErrUnsupported
	}
	return w.CloseWrite()
}

// startHeader begins phaseHeader. The caller holds c.mu.
func (c *conn) startHeader() {
	limits := c.server.limits.Load()
	c.phase, c.since, c.maxHeader, c.evicted = phaseHeader, time.Now(), limits.MaxHeader, false
	c.setDeadline(c.since.Add(limits.HeaderTimeout))
}

// beginIdle begins phaseNew or phaseIdle.
func (c *conn) beginIdle(p phase) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase, c.since, c.headerBytes, c.maxHeader = p, time.Now(), 0, c.server.limits.Load().MaxHeader
	c.holding.Wait()
	if c.server.closing.Load() {
		c.setDeadline(c.since)
		return
	}
	c.setDeadline(c.since.Add(c.server.limits.Load().IdleTimeout))
}

// setDeadline sets the time at which the connection is closed. The caller holds c.mu.
func (c *conn) setDeadline(t time.Time) {
	c.deadline, c.pastDeadline = t, false
	_ = c.Conn.SetReadDeadline(t) // It fails on closed connections only, as the next read does.
}

// updateDeadline applies changed limits.
func (c *conn) updateDeadline(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.refused {
		return
	}
	limits := c.server.limits.Load()
	var deadline time.Time
	switch c.phase {
	case phaseRequest:
		return
	case phaseHeader:
		deadline = later(c.since.Add(limits.HeaderTimeout), c.deadline)
	case phaseNew, phaseIdle:
		deadline = c.since.Add(limits.IdleTimeout)
		if margin := now.Add(idleTimeoutMargin); c.deadline.After(margin) {
			deadline = later(deadline, margin)
		} else {
			deadline = later(deadline, c.deadline)
		}
	}
	if !deadline.Equal(c.deadline) {
		c.setDeadline(deadline)
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
