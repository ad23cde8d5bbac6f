package gatewaynode

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/addresses"
	"github.com/catkinspindle/catkinspindle/platform"
)

// Limits of the caller interface until a configuration sets them, and of the interfaces
// that have no configured limits.
const (
	headerTimeout  = 3 * time.Second
	idleTimeout    = 20 * time.Second
	maxHeaderBytes = 16 << 10
	// idleTimeoutMargin is added to the idle timeout that callers expect, so that the
	// server does not close a connection while a request is in transit.
	idleTimeoutMargin = 2 * time.Second
	// metricsPath is the HTTP path of counters and histograms.
	metricsPath = "/metrics"
	// idleClosedCounter is the name of the counter of connections that the node has closed
	// because they were idle, before the timeout.
	idleClosedCounter = "idle-connections-closed-"
	// keepAliveInterval is the TCP keep-alive idle time and interval of accepted connections,
	// maxKeepAliveProbes the number of unanswered probes after which one is closed.
	keepAliveInterval  = 5 * time.Second
	maxKeepAliveProbes = 2
)

// listeners holds the HTTP servers and listeners of a node.
type listeners struct {
	settings      catkinspindle.GatewaySettings
	callerHandler http.Handler
	fixedHandlers map[string]http.Handler
	registry      metrics.Registry
	log           *slog.Logger
	group         errgroup.Group

	mu           sync.Mutex
	limits       catkinspindle.TrafficLimits
	current      *callerListener
	servers      []*http.Server
	netListeners []net.Listener
}

func newListeners(s catkinspindle.GatewaySettings, callers http.Handler, addressHandler *addresses.Handler, registry metrics.Registry, log *slog.Logger) *listeners {
	readyMux := http.NewServeMux()
	readyMux.HandleFunc("GET "+platform.ReadyPath, addressHandler.ServeReadiness)
	addressesMux := http.NewServeMux()
	addressesMux.HandleFunc("GET "+platform.AddressesPath, addressHandler.ServeAddresses)
	metricsMux := http.NewServeMux()
	metricsMux.HandleFunc("GET "+metricsPath, func(w http.ResponseWriter, _ *http.Request) {
		metrics.WriteOnce(registry, w)
	})
	return &listeners{
		settings:      s,
		callerHandler: callers,
		fixedHandlers: map[string]http.Handler{s.Ready: readyMux, s.Addresses: addressesMux, s.Metrics: metricsMux},
		registry:      registry,
		log:           log,
	}
}

// Start opens all listeners and starts to serve them.
func (l *listeners) Start(ctx context.Context) error {
	for address, h := range l.fixedHandlers {
		ln, err := l.listen(ctx, address)
		if err != nil {
			return err
		}
		srv := l.newServer(h, catkinspindle.TrafficLimits{})
		l.serve(srv, ln)
	}
	ln, err := l.listen(ctx, l.settings.Callers)
	if err != nil {
		return err
	}
	l.SetLimits(catkinspindle.TrafficLimits{})
	l.group.Go(func() error {
		l.accept(ln)
		return nil
	})
	return nil
}

func (l *listeners) listen(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: maxKeepAliveProbes}}
	ln, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.netListeners = append(l.netListeners, ln)
	return ln, nil
}

func (l *listeners) newServer(h http.Handler, limits catkinspindle.TrafficLimits) *http.Server {
	s := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          slog.NewLogLogger(l.log.Handler(), slog.LevelDebug),
	}
	if limits.HeaderTimeout > 0 {
		s.ReadHeaderTimeout = limits.HeaderTimeout
	}
	if limits.IdleTimeout > 0 {
		s.IdleTimeout = limits.IdleTimeout + idleTimeoutMargin
	}
	if limits.MaxHeader > 0 {
		s.MaxHeaderBytes = limits.MaxHeader
	}
	return s
}

func (l *listeners) serve(s *http.Server, ln net.Listener) {
	l.mu.Lock()
	l.servers = append(l.servers, s)
	l.mu.Unlock()
	l.group.Go(func() error {
		if err := s.Serve(ln); err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			return err
		}
		return nil
	})
}

// callerListener is the net.Listener of the HTTP server for one set of limits. The accept
// loop passes callers' connections to it.
type callerListener struct {
	connections chan net.Conn
	address     net.Addr
	closed      chan struct{}
	closeOnce   sync.Once
}

// Accept implements net.Listener.
func (l *callerListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.connections:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *callerListener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *callerListener) Addr() net.Addr { return l.address }

// SetLimits applies limits to new connections. Open connections keep the limits under
// which they were accepted.
func (l *listeners) SetLimits(limits catkinspindle.TrafficLimits) {
	l.mu.Lock()
	if l.current != nil && limits == l.limits {
		l.mu.Unlock()
		return
	}
	l.limits = limits
	next := &callerListener{connections: make(chan net.Conn), address: &net.TCPAddr{}, closed: make(chan struct{})}
	l.current = next
	l.mu.Unlock()
	server := l.newServer(l.callerHandler, limits)
	server.ConnState = l.countIdleClosed(server.IdleTimeout)
	l.serve(server, next)
}

// countIdleClosed returns a function that counts the connections closed after having been idle
// for the given timeout.
func (l *listeners) countIdleClosed(timeout time.Duration) func(net.Conn, http.ConnState) {
	var idleSince sync.Map
	return func(c net.Conn, state http.ConnState) {
		since, wasIdle := idleSince.LoadAndDelete(c)
		switch {
		case state == http.StateIdle:
			idleSince.Store(c, time.Now())
		case wasIdle && state == http.StateClosed && time.Since(since.(time.Time)) >= timeout:
			metrics.GetOrRegisterCounter(idleClosedCounter+timeout.String(), l.registry).Inc(1)
		}
	}
}

// accept passes each connection to the server with the current limits.
func (l *listeners) accept(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		l.mu.Lock()
		current := l.current
		l.mu.Unlock()
		select {
		case current.connections <- c:
		case <-current.closed:
			_ = c.Close() // The server is closed because the node has stopped.
		}
	}
}

// Stop closes all servers, connections and listeners at once. It is called after the
// drain, in which responses have asked callers to close their connections.
func (l *listeners) Stop(context.Context) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	var errs []error
	for _, s := range l.servers {
		errs = append(errs, s.Close())
	}
	for _, ln := range l.netListeners {
		// A server has already closed the listener that it serves.
		if err := ln.Close(); !errors.Is(err, net.ErrClosed) {
			errs = append(errs, err)
		}
	}
	return errors.Join(errs...)
}
