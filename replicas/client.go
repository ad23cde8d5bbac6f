// Package replicas sends requests to replicas over connections that it keeps.
// A connection carries one request at a time and is dropped when anything
// unexpected arrives on it. Nothing is ever sent twice.
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
)

const (
	// maxStale bounds the answers to earlier requests that are passed over.
	maxStale = 2
	// maxStaleBody bounds the body of such an answer in bytes.
	maxStaleBody = 256 << 10
	// maxInterim bounds the 1xx answers before the final one.
	maxInterim = 4
	// inlineBody is the largest body in bytes that is written before the
	// answer is awaited; it fits the socket's buffer.
	inlineBody = 16 << 10
)

// Encoder writes the headers of an attempt.
type Encoder func(catkinspindle.Envelope, catkinspindle.Attempt) http.Header

// Decoder reads the headers of an answer.
type Decoder func(status int, h http.Header) catkinspindle.AnswerHead

// Client sends requests to replicas.
type Client struct {
	pool   *pool
	encode Encoder
	decode Decoder
	group  *errgroup.Group
	dials  metrics.Counter
}

// Option changes a client.
type Option func(*Client)

// WithDialTimeout bounds the time to connect.
func WithDialTimeout(d time.Duration) Option {
	return func(c *Client) { c.pool.dialer.Timeout = d }
}

// WithMetrics counts new connections in r.
func WithMetrics(r metrics.Registry) Option {
	return func(c *Client) { c.dials = metrics.GetOrRegisterCounter("replica-connections", r) }
}

// New returns a client that spells headers with encode and decode.
func New(encode Encoder, decode Decoder, opts ...Option) *Client {
	c := &Client{pool: newPool(), encode: encode, decode: decode, group: &errgroup.Group{}, dials: metrics.NewCounter()}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Send sends e once and returns the answer's head with its body to be read.
// fresh asks for a new connection. An error is a Failure: NotRun when no byte
// was written. Cancelling ctx closes the connection.
func (c *Client) Send(ctx context.Context, e catkinspindle.Envelope, a catkinspindle.Attempt, fresh bool) (*catkinspindle.Answer, error) {
	conn := c.pool.take(a.Replica, fresh)
	if conn == nil {
		c.dials.Inc(1)
		var err error
		if conn, err = c.pool.dial(ctx, a.Replica); err != nil {
			return nil, catkinspindle.Fail(catkinspindle.NotRun, catkinspindle.ReasonUnreachable, "replica %s: %w", a.Replica.ID, err)
		}
	}
	stop := context.AfterFunc(ctx, conn.close)
	answer, err := c.exchange(conn, e, a)
	if err != nil {
		stop()
		conn.close()
		return nil, catkinspindle.Fail(catkinspindle.MayHaveRun, catkinspindle.ReasonBackendFailed, "replica %s: %w", a.Replica.ID, err)
	}
	body := answer.Body.(*body)
	body.stop = stop
	return answer, nil
}

func (c *Client) exchange(conn *conn, e catkinspindle.Envelope, a catkinspindle.Attempt) (*catkinspindle.Answer, error) {
	written, err := c.write(conn, e, c.encode(e, a))
	if err != nil {
		return nil, err
	}
	for range maxStale + 1 {
		resp, err := readHead(conn, e.Method)
		if err != nil {
			return nil, err
		}
		head := c.decode(resp.StatusCode, resp.Header)
		if head.ID != "" && head.ID != e.ID {
			// A late second answer to an earlier request on this connection.
			n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxStaleBody+1))
			if err == nil && n > maxStaleBody {
				err = fmt.Errorf("over %d bytes", maxStaleBody)
			}
			if err != nil {
				return nil, fmt.Errorf("answer to another request: %w", err)
			}
			continue
		}
		if head.Encoded || (head.Status/100 == 2 && !head.Sealed) {
			return nil, fmt.Errorf("status %d: not an answer of the replica", head.Status)
		}
		if head.ID == "" && conn.used && !head.NotRun {
			// It may be a late second answer to an earlier request.
			return nil, fmt.Errorf("status %d: answer names no request", head.Status)
		}
		b := &body{
			Reader:   resp.Body,
			conn:     conn,
			pool:     c.pool,
			written:  written,
			keep:     !resp.Close && (resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0),
			lifetime: head.KeepAlive,
		}
		return &catkinspindle.Answer{AnswerHead: head, Length: resp.ContentLength, Body: b}, nil
	}
	return nil, errors.New("only answers to other requests")
}

// write sends the request. A long body is written beside reading, because a
// replica may answer before it has read it.
func (c *Client) write(conn *conn, e catkinspindle.Envelope, h http.Header) (func() bool, error) {
	w := bufio.NewWriterSize(conn.net, 4<<10)
	_, _ = fmt.Fprintf(w, "%s %s HTTP/1.1\r\nHost: %s\r\n", e.Method, e.Target, e.Host)
	if len(e.Body) > 0 || e.Method == http.MethodPost || e.Method == http.MethodPut || e.Method == http.MethodPatch {
		_, _ = fmt.Fprintf(w, "Content-Length: %d\r\n", len(e.Body))
	}
	_ = h.Write(w)
	_, _ = w.WriteString("\r\n")
	if len(e.Body) <= inlineBody {
		_, _ = w.Write(e.Body)
		// The writer keeps its first error.
		return func() bool { return true }, w.Flush()
	}
	done := make(chan error, 1)
	c.group.Go(func() error {
		_, _ = w.Write(e.Body)
		done <- w.Flush()
		return nil
	})
	return func() bool {
		select {
		case err := <-done:
			return err == nil
		default:
			return false
		}
	}, nil
}

func readHead(conn *conn, method string) (*http.Response, error) {
	for range maxInterim {
		conn.allow(maxHead)
		resp, err := http.ReadResponse(conn.reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= 200 {
			conn.allow(noLimit)
			return resp, nil
		}
	}
	return nil, errors.New("too many interim answers")
}

// Retain closes the idle connections to all other incarnations of replicas.
func (c *Client) Retain(replicas map[string]catkinspindle.Replica) { c.pool.retain(replicas) }

// SetIdle bounds the idle connections to one replica.
func (c *Client) SetIdle(n int) { c.pool.setIdle(n) }

// Close closes idle connections and waits for writers.
func (c *Client) Close() error {
	c.pool.retain(nil)
	return c.group.Wait()
}

// body is the body of an answer. Its connection is kept when the body has been
// read whole and nothing else has come.
type body struct {
	io.Reader
	conn     *conn
	pool     *pool
	stop     func() bool
	written  func() bool
	keep     bool
	whole    bool
	lifetime time.Duration
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if errors.Is(err, io.EOF) {
		b.whole = true
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
	// When the context has ended its function closes the connection.
	live := b.stop()
	if live && b.whole && b.keep && b.written() && conn.reader.Buffered() == 0 {
		b.pool.put(conn, b.lifetime)
		return nil
	}
	conn.close()
	return nil
}
