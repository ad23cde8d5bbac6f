// Package replicas sends HTTP requests to replicas over pooled connections. A
// connection carries one request at a time and is closed when anything
// unexpected arrives on it. A request is never sent twice.
package replicas

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/buffers"
)

const (
	// maxStaleResponses bounds the stale responses, those to earlier requests, that are
	// skipped before the response to a request.
	maxStaleResponses = 2
	// maxStaleBodyBytes bounds the body of a stale response in bytes.
	maxStaleBodyBytes = 256 << 10
	// maxResponseHeads bounds the response heads that are read until a final, non-1xx one.
	maxResponseHeads = 4
	// maxInlineBodyBytes is the largest body in bytes that is written before the response
	// is read. It fits into the socket's send buffer.
	maxInlineBodyBytes = 16 << 10
)

// Encoder returns the headers of an attempt.
type Encoder func(catkinspindle.Envelope, catkinspindle.Attempt) http.Header

// Decoder interprets the status and headers of a response.
type Decoder func(status int, h http.Header) catkinspindle.AnswerHead

// Client sends requests to replicas.
type Client struct {
	pool   *pool
	encode Encoder
	decode Decoder
	group  *errgroup.Group
	dials  metrics.Counter
}

// Option configures a Client.
type Option func(*Client)

// WithConnector sets how connections are opened. The default is Dialer.
func WithConnector(d catkinspindle.Connector) Option {
	return func(c *Client) { c.pool.connector = d }
}

// WithMetrics counts new connections in r.
func WithMetrics(r metrics.Registry) Option {
	return func(c *Client) { c.dials = metrics.GetOrRegisterCounter("replica-connections", r) }
}

// WithBuffers sets the budget of the memory for response heads. The default has no limit.
func WithBuffers(b *buffers.Budget) Option { return func(c *Client) { c.pool.buffers = b } }

// WithIdleCheck sets the function that decides whether an idle connection to a replica's address,
// on which data last arrived at lastRead, may carry another request. Without it all may.
func WithIdleCheck(f func(address string, lastRead time.Time) bool) Option {
	return func(c *Client) { c.pool.mayReuse = f }
}

// New returns a Client that writes and reads headers with encode and decode.
func New(encode Encoder, decode Decoder, opts ...Option) *Client {
	c := &Client{pool: newPool(), encode: encode, decode: decode, group: &errgroup.Group{}, dials: metrics.NewCounter()}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Send sends e once and returns the response, whose body the caller must read
// and close. If newConn is true, it dials instead of reusing a connection. An
// error is a *Failure, with the verdict NotRun when nothing was written.
// Cancelling ctx closes the connection.
func (c *Client) Send(ctx context.Context, e catkinspindle.Envelope, a catkinspindle.Attempt, newConn bool) (*catkinspindle.Answer, error) {
	conn := c.pool.get(a.Replica, newConn)
	if conn == nil {
		c.dials.Inc(1)
		var err error
		if conn, err = c.pool.dial(ctx, a.Replica); err != nil {
			return nil, catkinspindle.Fail(catkinspindle.NotRun, catkinspindle.ReasonPeerUnreachable, "replica %s: %w", a.Replica.ID, err)
		}
	}
	stopClose := context.AfterFunc(ctx, conn.close)
	answer, err := c.exchange(conn, e, a)
	if err != nil {
		stopClose()
		conn.close()
		conn.releaseHead()
		return nil, catkinspindle.Fail(catkinspindle.MayHaveRun, catkinspindle.ReasonBackendFailed, "replica %s: %w", a.Replica.ID, err)
	}
	body := answer.Body.(*body)
	body.stopClose = stopClose
	return answer, nil
}

func (c *Client) exchange(conn *conn, e catkinspindle.Envelope, a catkinspindle.Attempt) (*catkinspindle.Answer, error) {
	if err := c.write(conn, e, c.encode(e, a)); err != nil {
		return nil, err
	}
	for range maxStaleResponses + 1 {
		resp, err := readResponseHead(conn, e.Method)
		if err != nil {
			return nil, err
		}
		head := c.decode(resp.StatusCode, resp.Header)
		if head.ID != "" && head.ID != e.ID {
			// A late duplicate response to an earlier request on this connection.
			n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxStaleBodyBytes+1))
			if err == nil && n > maxStaleBodyBytes {
				err = fmt.Errorf("body exceeds %d bytes", maxStaleBodyBytes)
			}
			if err == nil {
				err = conn.nextResponse()
			}
			if err != nil {
				return nil, fmt.Errorf("skipping the response to another request: %w", err)
			}
			continue
		}
		if head.Encoded || (head.Status/100 == 2 && !head.Sealed) {
			return nil, fmt.Errorf("response with status %d does not come from the replica: it is encoded or has no seal", head.Status)
		}
		if head.ID == "" && conn.reused {
			// It may be a late duplicate response to an earlier request, also if it states that
			// the request was not run.
			return nil, fmt.Errorf("response with status %d on a reused connection has no request ID", head.Status)
		}
		b := &body{
			Reader:      resp.Body,
			conn:        conn,
			pool:        c.pool,
			reusable:    !resp.Close && !conn.relayed() && (resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0),
			idleTimeout: head.KeepAlive,
		}
		return &catkinspindle.Answer{AnswerHead: head, Length: resp.ContentLength, Body: b}, nil
	}
	return nil, errors.New("too many responses to other requests")
}

// write sends the request. Most of a body over maxInlineBodyBytes is written in the
// background, because a replica may respond before it has read the whole body. The head of
// the request is written at once, because the check of the response's head begins with it.
func (c *Client) write(conn *conn, e catkinspindle.Envelope, h http.Header) error {
	w := bufio.NewWriterSize(conn.net, 4<<10)
	_, _ = fmt.Fprintf(w, "%s %s HTTP/1.1\r\nHost: %s\r\n", e.Method, e.Target, e.Host)
	if len(e.Body) > 0 || e.Method == http.MethodPost || e.Method == http.MethodPut || e.Method == http.MethodPatch {
		_, _ = fmt.Fprintf(w, "Content-Length: %d\r\n", len(e.Body))
	}
	_ = h.Write(w)
	_, _ = w.WriteString("\r\n")
	first := len(e.Body)
	if first > maxInlineBodyBytes {
		first = w.Available()
	}
	_, _ = w.Write(e.Body[:first])
	if err := w.Flush(); err != nil || first == len(e.Body) {
		return err // That of the first write that failed.
	}
	c.group.Go(func() error {
		_, _ = conn.net.Write(e.Body[first:]) // Reading the response reports the error.
		return nil
	})
	return nil
}

func readResponseHead(conn *conn, method string) (*http.Response, error) {
	for range maxResponseHeads {
		conn.setReadLimit(maxHeadBytes)
		resp, err := http.ReadResponse(conn.reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= 200 {
			conn.setReadLimit(noLimit)
			return resp, nil
		}
	}
	return nil, errors.New("too many 1xx responses")
}

// Probe connects to r. relayed is true if only another node could. A direct connection is kept for
// the next request.
func (c *Client) Probe(ctx context.Context, r catkinspindle.Replica) (relayed bool, err error) {
	c.dials.Inc(1)
	conn, err := c.pool.dial(ctx, r)
	if err != nil {
		return false, err
	}
	if conn.relayed() {
		conn.close()
		return true, nil
	}
	c.pool.put(conn, 0)
	return false, nil
}

// Retain closes the idle connections to incarnations that are not in replicas or
// that are leaving.
func (c *Client) Retain(replicas map[string]catkinspindle.Replica) { c.pool.retain(replicas) }

// SetMaxIdle sets the maximum number of idle connections to one replica.
func (c *Client) SetMaxIdle(n int) { c.pool.setMaxIdle(n) }

// Close closes the idle connections and waits until the background writes of
// request bodies have ended.
func (c *Client) Close() error {
	c.pool.retain(nil)
	return c.group.Wait()
}

// body is the body of a response. Close returns its connection to the pool when the
// body has been read to its end and no further bytes have arrived.
type body struct {
	io.Reader
	conn        *conn
	pool        *pool
	stopClose   func() bool
	reusable    bool
	complete    bool
	idleTimeout time.Duration
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if errors.Is(err, io.EOF) {
		b.complete = true
	}
	return n, err
}

// Close implements io.Closer.
func (b *body) Close() error {
	if b.conn == nil {
		return nil
	}
	conn := b.conn
	b.conn = nil
	conn.releaseHead()
	// If stopClose returns false, the context has ended and closes the connection.
	active := b.stopClose()
	if active && b.complete && b.reusable && conn.net.RequestWritten() && conn.reader.Buffered() == 0 {
		b.pool.put(conn, b.idleTimeout)
		return nil
	}
	conn.close()
	return nil
}
