// Package httpserver is an HTTP/1.1 server whose limits can change while connections are open.
package httpserver

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"math"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/inbound"
)

// Limits where none are set.
const (
	headerTimeout  = 3 * time.Second
	idleTimeout    = 20 * time.Second
	maxHeaderBytes = 16 << 10
)

// idleTimeoutMargin is added to the idle timeout that responses state, so that the server does not
// close a connection while a request is in transit. It is also the time for which a connection stays
// open after a lowered idle timeout, which callers may learn of later.
const idleTimeoutMargin = 2 * time.Second

// Server is an HTTP server. New limits hold for open connections too.
type Server struct {
	server       *http.Server
	account      *account
	registry     metrics.Registry
	inbound      *inbound.Budget
	onIdleClosed func(timeout time.Duration)
	limits       atomic.Pointer[catkinspindle.TrafficLimits]
	closing      atomic.Bool

	mu          sync.Mutex
	listeners   []*listener
	connections map[*conn]struct{}
	// drained is closed when the last connection has been closed; nil while nobody waits for that.
	drained chan struct{}
}

// Option configures a server.
type Option func(*Server)

// WithOnIdleClosed sets a function that is called when the server closes a connection that has been
// idle for the timeout.
func WithOnIdleClosed(f func(timeout time.Duration)) Option {
	return func(s *Server) { s.onIdleClosed = f }
}

// WithMetrics registers the server's counters in r.
func WithMetrics(r metrics.Registry) Option { return func(s *Server) { s.registry = r } }

// WithInbound sets the budget of connections and of the headers that are being read. The default has no limit.
func WithInbound(b *inbound.Budget) Option { return func(s *Server) { s.inbound = b } }

// New returns a server of h with default limits.
func New(h http.Handler, log *slog.Logger, opts ...Option) *Server {
	s := &Server{onIdleClosed: func(time.Duration) {}, registry: metrics.NewRegistry(), inbound: inbound.New(), connections: map[*conn]struct{}{}}
	for _, opt := range opts {
		opt(s)
	}
	s.account = newAccount(h, s.keepAlive, s.registry, log)
	// Each conn applies the limits itself. The read header timeout is set because a conn learns from
	// the deadlines whether a header is being read.
	s.server = &http.Server{
		Handler:           s.account,
		ReadHeaderTimeout: headerTimeout,
		MaxHeaderBytes:    math.MaxInt32,
		// Without it, net/http answers OPTIONS * itself.
		DisableGeneralOptionsHandler: true,
		ConnState:                    s.connStateChanged,
		ConnContext:                  func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) },
		ErrorLog:                     slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}
	s.SetLimits(catkinspindle.TrafficLimits{})
	return s
}

// Serve accepts connections from l until the server is stopped or closed, and returns
// http.ErrServerClosed then.
func (s *Server) Serve(l net.Listener) error {
	limited := &listener{Listener: l, server: s, done: make(chan struct{})}
	s.mu.Lock()
	s.listeners = append(s.listeners, limited)
	s.mu.Unlock()
	err := s.server.Serve(limited)
	if s.closing.Load() && errors.Is(err, net.ErrClosed) {
		return http.ErrServerClosed
	}
	return err
}

// Stop accepts the connections that wait and closes the listeners, refuses what arrives on idle connections
// and waits until all connections are closed, each after the request in flight on it. When ctx is done it
// closes the rest.
func (s *Server) Stop(ctx context.Context) error {
	s.closing.Store(true)
	s.mu.Lock()
	listeners := slices.Clone(s.listeners)
	s.mu.Unlock()
	errs := make([]error, 0, len(listeners)+1)
	for _, l := range listeners {
		errs = append(errs, l.closeWhenEmpty())
	}
	for _, l := range listeners {
		select {
		case <-l.done:
		case <-ctx.Done():
		}
	}
	for _, c := range s.openConnections() {
		c.expire()
	}
	select {
	case <-s.noneOpen():
	case <-ctx.Done():
	}
	return errors.Join(append(errs, s.server.Close())...)
}

// noneOpen returns a channel that is closed when no connection is open, once.
func (s *Server) noneOpen() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	drained := make(chan struct{})
	if len(s.connections) == 0 {
		close(drained)
		return drained
	}
	s.drained = drained
	return drained
}

// Close closes the listeners and connections at once.
func (s *Server) Close() error {
	s.closing.Store(true)
	return s.server.Close()
}

// SetLimits applies limits to new and open connections. The header of a request that has begun to
// arrive is not held to lower limits than before.
func (s *Server) SetLimits(limits catkinspindle.TrafficLimits) {
	if limits.HeaderTimeout <= 0 {
		limits.HeaderTimeout = headerTimeout
	}
	if limits.MaxHeader <= 0 {
		limits.MaxHeader = maxHeaderBytes
	}
	if limits.IdleTimeout > 0 {
		limits.IdleTimeout += idleTimeoutMargin
	} else {
		limits.IdleTimeout = idleTimeout
	}
	if former := s.limits.Swap(&limits); former != nil && *former == limits {
		return
	}
	// A connection that is added later takes the new limits by itself.
	now := time.Now()
	for _, c := range s.openConnections() {
		c.updateDeadline(now)
	}
}

func (s *Server) openConnections() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Keys(s.connections))
}

// keepAlive returns the idle timeout in force as the value of a Keep-Alive field, whose unit is a second.
// It is empty while the server stops.
func (s *Server) keepAlive() string {
	if s.closing.Load() {
		return ""
	}
	seconds := int((s.limits.Load().IdleTimeout - idleTimeoutMargin) / time.Second)
	return "timeout=" + strconv.Itoa(max(1, seconds))
}

func (s *Server) connStateChanged(nc net.Conn, state http.ConnState) {
	c := nc.(*conn)
	switch state {
	case http.StateNew:
		s.mu.Lock()
		s.connections[c] = struct{}{}
		s.mu.Unlock()
		c.beginIdle(phaseNew)
	case http.StateIdle:
		c.beginIdle(phaseIdle)
	case http.StateHijacked, http.StateClosed:
		s.mu.Lock()
		delete(s.connections, c)
		if s.drained != nil && len(s.connections) == 0 {
			close(s.drained)
			s.drained = nil
		}
		s.mu.Unlock()
	case http.StateActive:
	}
}

// listener returns connections to which the server's limits apply. Only its first Close has an effect.
type listener struct {
	net.Listener
	server *Server
	closed sync.Once
	// done is closed when the listener has been closed.
	done chan struct{}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.accept()
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: accepted, server: l.server}
		if c.holding, err = l.server.inbound.Accept(c.evict); err == nil {
			return c, nil
		}
		_ = accepted.Close() // Nothing of a request has been read.
	}
}

func (l *listener) accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if errors.Is(err, os.ErrDeadlineExceeded) && l.server.closing.Load() {
		if c, err = acceptWaiting(l.Listener); err != nil {
			err = errors.Join(l.Close(), net.ErrClosed)
		}
	}
	return c, err
}

// closeWhenEmpty makes Accept close the listener once no connection waits to be accepted: the kernel resets
// those that wait at a close.
func (l *listener) closeWhenEmpty() error {
	if d, ok := l.Listener.(interface{ SetDeadline(t time.Time) error }); ok && d.SetDeadline(time.Now()) == nil {
		return nil
	}
	return l.Close()
}

// Close implements net.Listener.
func (l *listener) Close() (err error) {
	l.closed.Do(func() {
		err = l.Listener.Close()
		close(l.done)
	})
	return err
}
