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
	"github.com/catkinspindle/catkinspindle/httpserver"
	"github.com/catkinspindle/catkinspindle/inbound"
	"github.com/catkinspindle/catkinspindle/platform"
)

const (
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
	settings catkinspindle.GatewaySettings
	callers  *httpserver.Server
	// handlers has the handlers of the interfaces without configured limits, by address.
	handlers map[string]http.Handler
	inbound  *inbound.Budget
	log      *slog.Logger
	group    errgroup.Group

	mu           sync.Mutex
	servers      []*httpserver.Server
	netListeners []net.Listener
}

func newListeners(s catkinspindle.GatewaySettings, callers http.Handler, addressHandler *addresses.Handler, requests *inbound.Budget, registry metrics.Registry, log *slog.Logger) *listeners {
	readyMux := http.NewServeMux()
	readyMux.HandleFunc("GET "+platform.ReadyPath, addressHandler.ServeReadiness)
	addressesMux := http.NewServeMux()
	addressesMux.HandleFunc("GET "+platform.AddressesPath, addressHandler.ServeAddresses)
	metricsMux := http.NewServeMux()
	metricsMux.HandleFunc("GET "+metricsPath, func(w http.ResponseWriter, _ *http.Request) {
		metrics.WriteOnce(registry, w)
	})
	countIdleClosed := func(timeout time.Duration) {
		metrics.GetOrRegisterCounter(idleClosedCounter+timeout.String(), registry).Inc(1)
	}
	return &listeners{
		settings: s,
		callers:  httpserver.New(callers, log, httpserver.WithOnIdleClosed(countIdleClosed), httpserver.WithMetrics(registry), httpserver.WithInbound(requests)),
		inbound:  requests,
		handlers: map[string]http.Handler{s.Ready: readyMux, s.Addresses: addressesMux, s.Metrics: metricsMux},
		log:      log,
	}
}

// Start opens all listeners and starts to serve them.
func (l *listeners) Start(ctx context.Context) error {
	for address, h := range l.handlers {
		if err := l.serve(ctx, httpserver.New(h, l.log, httpserver.WithInbound(l.inbound)), address); err != nil {
			return err
		}
	}
	return l.serve(ctx, l.callers, l.settings.Callers)
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

func (l *listeners) serve(ctx context.Context, s *httpserver.Server, address string) error {
	ln, err := l.listen(ctx, address)
	if err != nil {
		return err
	}
	l.mu.Lock()
	l.servers = append(l.servers, s)
	l.mu.Unlock()
	l.group.Go(func() error {
		if err := s.Serve(ln); err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			return err
		}
		return nil
	})
	return nil
}

// SetLimits applies limits to the connections of callers.
func (l *listeners) SetLimits(limits catkinspindle.TrafficLimits) { l.callers.SetLimits(limits) }

// Stop refuses what may still arrive from callers until ctx is done, and closes all listeners,
// connections and servers. It is called after the drain, in which responses have asked callers to close
// their connections.
func (l *listeners) Stop(ctx context.Context) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	errs := make([]error, len(l.servers)+1)
	var group errgroup.Group
	for i, s := range l.servers {
		group.Go(func() error {
			errs[i] = s.Stop(ctx)
			return nil
		})
	}
	_ = group.Wait() // No function returns an error.
	for _, ln := range l.netListeners {
		// A server has already closed the listener that it serves.
		if err := ln.Close(); !errors.Is(err, net.ErrClosed) {
			errs = append(errs, err)
		}
	}
	return errors.Join(errs...)
}
