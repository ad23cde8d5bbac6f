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

// Limits until a configuration names its own, and those of the interfaces that
// have none.
const (
	headerTimeout = 3 * time.Second
	idleTimeout   = 20 * time.Second
	maxHeader     = 16 << 10
	// idleSlack is added to the idle time that callers are told of, so that
	// none of their requests crosses the close.
	idleSlack = 2 * time.Second
	// metricsPath is where counters and histograms are served.
	metricsPath = "/metrics"
	// acceptProbe and acceptProbes notice callers whose connection is silent.
	acceptProbe  = 5 * time.Second
	acceptProbes = 2
)

// listeners are the HTTP interfaces of a node.
type listeners struct {
	settings catkinspindle.GatewaySettings
	handler  http.Handler
	fixed    map[string]http.Handler
	log      *slog.Logger
	group    errgroup.Group

	mu      sync.Mutex
	limits  catkinspindle.TrafficLimits
	current *server
	servers []*http.Server
	closers []net.Listener
}

func newListeners(s catkinspindle.GatewaySettings, callers http.Handler, a *addresses.Answerer, registry metrics.Registry, log *slog.Logger) *listeners {
	ready := http.NewServeMux()
	ready.HandleFunc("GET "+platform.ReadyPath, a.Ready)
	directory := http.NewServeMux()
	directory.HandleFunc("GET "+platform.AddressesPath, a.Addresses)
	measured := http.NewServeMux()
	measured.HandleFunc("GET "+metricsPath, func(w http.ResponseWriter, _ *http.Request) {
		metrics.WriteOnce(registry, w)
	})
	return &listeners{
		settings: s,
		handler:  callers,
		fixed:    map[string]http.Handler{s.Ready: ready, s.Addresses: directory, s.Metrics: measured},
		log:      log,
	}
}

// Start opens all listeners.
func (l *listeners) Start(ctx context.Context) error {
	for address, h := range l.fixed {
		ln, err := l.open(ctx, address)
		if err != nil {
			return err
		}
		srv := l.newServer(h, catkinspindle.TrafficLimits{})
		l.serve(srv, ln)
	}
	ln, err := l.open(ctx, l.settings.Callers)
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

func (l *listeners) open(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: acceptProbe, Interval: acceptProbe, Count: acceptProbes}}
	ln, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closers = append(l.closers, ln)
	return ln, nil
}

func (l *listeners) newServer(h http.Handler, limits catkinspindle.TrafficLimits) *http.Server {
	s := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeader,
		ErrorLog:          slog.NewLogLogger(l.log.Handler(), slog.LevelDebug),
	}
	if limits.HeaderTimeout > 0 {
		s.ReadHeaderTimeout = limits.HeaderTimeout
	}
	if limits.IdleTimeout > 0 {
		s.IdleTimeout = limits.IdleTimeout + idleSlack
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

// server is the server of callers' connections under one set of limits.
type server struct {
	connections chan net.Conn
	address     net.Addr
	done        chan struct{}
	once        sync.Once
}

// Accept implements net.Listener.
func (s *server) Accept() (net.Conn, error) {
	select {
	case c := <-s.connections:
		return c, nil
	case <-s.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (s *server) Close() error {
	s.once.Do(func() { close(s.done) })
	return nil
}

// Addr implements net.Listener.
func (s *server) Addr() net.Addr { return s.address }

// SetLimits makes new connections subject to limits. Open ones keep theirs.
func (l *listeners) SetLimits(limits catkinspindle.TrafficLimits) {
	l.mu.Lock()
	if l.current != nil && limits == l.limits {
		l.mu.Unlock()
		return
	}
	l.limits = limits
	next := &server{connections: make(chan net.Conn), address: &net.TCPAddr{}, done: make(chan struct{})}
	l.current = next
	l.mu.Unlock()
	l.serve(l.newServer(l.handler, limits), next)
}

// accept hands each connection to the newest server.
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
		case <-current.done:
			_ = c.Close() // The node has stopped.
		}
	}
}

// Stop closes all connections. Idle ones are closed after those in use have
// been told with their last answer.
func (l *listeners) Stop(context.Context) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	var errs []error
	for _, s := range l.servers {
		errs = append(errs, s.Close())
	}
	for _, ln := range l.closers {
		// The servers have closed the listeners that they serve.
		if err := ln.Close(); !errors.Is(err, net.ErrClosed) {
			errs = append(errs, err)
		}
	}
	return errors.Join(errs...)
}
