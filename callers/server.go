// Package callers implements the HTTP API for callers: address answers, chat completions
// with server-sent events, and calls to plain services.
package callers

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/go-kit/kit/endpoint"
	kithttp "github.com/go-kit/kit/transport/http"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/events"
	"github.com/catkinspindle/catkinspindle/httpserver"
	"github.com/catkinspindle/catkinspindle/inbound"
	"github.com/catkinspindle/catkinspindle/limits"
)

// Request and response headers.
const (
	// TimeoutHeader is the request timeout as a Go duration, such as "30s".
	TimeoutHeader = "Catkinspindle-Timeout"
	// OriginHeader is the origin from the address answer under which the caller first used
	// the idempotency key.
	OriginHeader = "Catkinspindle-Origin"
	// IdempotencyKeyHeader is the caller's idempotency key.
	IdempotencyKeyHeader = "Idempotency-Key"
	// VerdictHeader says whether a backend server may have executed the request. It is set
	// on failures and on replies of plain services.
	VerdictHeader = "Catkinspindle-Verdict"
)

const (
	maxHeaderBytes = 16 << 10
	headerTimeout  = 5 * time.Second
	idleTimeout    = 2 * time.Minute
)

// Server is the HTTP server for callers. It implements catkinspindle.Service.
type Server struct {
	address   string
	snapshot  func() *catkinspindle.Snapshot
	prompts   catkinspindle.PromptService
	actions   catkinspindle.Actions
	admission *limits.Limits
	timing    catkinspindle.Timing
	limits    catkinspindle.Limits
	metrics   metrics.Registry
	log       *slog.Logger
	inbound   *inbound.Budget
	http      *httpserver.Server
	group     *errgroup.Group
}

// Option configures a server.
type Option func(*Server)

// WithInbound sets the budget of connections and of requests that are being read. The default has no limit.
func WithInbound(b *inbound.Budget) Option { return func(s *Server) { s.inbound = b } }

// New returns a server that listens on the address listen once it is started.
func New(
	address string,
	snapshot func() *catkinspindle.Snapshot,
	prompts catkinspindle.PromptService,
	actions catkinspindle.Actions,
	admission *limits.Limits,
	timing catkinspindle.Timing,
	requestLimits catkinspindle.Limits,
	registry metrics.Registry,
	log *slog.Logger,
	opts ...Option,
) *Server {
	s := &Server{
		address:   address,
		snapshot:  snapshot,
		prompts:   prompts,
		actions:   actions,
		admission: admission,
		timing:    timing,
		limits:    requestLimits,
		metrics:   registry,
		log:       log,
		inbound:   inbound.New(),
	}
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// Start implements catkinspindle.Service.
func (s *Server) Start(context.Context) error {
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return fmt.Errorf("callers: %w", err)
	}
	s.http = httpserver.New(s.withReadTimeout(s.Handler()), s.log, httpserver.WithMetrics(s.metrics), httpserver.WithInbound(s.inbound))
	s.http.SetLimits(catkinspindle.TrafficLimits{MaxHeader: maxHeaderBytes, HeaderTimeout: headerTimeout, IdleTimeout: idleTimeout})
	s.group = &errgroup.Group{}
	s.group.Go(func() error { return s.http.Serve(listener) })
	return nil
}

// withReadTimeout bounds the time in which a body is read. A deadline on a request without a body would
// end its context and those of all later requests of the connection.
func (s *Server) withReadTimeout(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Body == http.NoBody {
			h.ServeHTTP(w, r)
			return
		}
		if err := http.NewResponseController(w).SetReadDeadline(time.Now().Add(s.limits.MaxTimeout)); err != nil {
			s.log.Debug("read timeout cannot be set", "error", err) // The connection is closed.
		}
		h.ServeHTTP(w, r)
	})
}

// Stop implements catkinspindle.Service. It closes the listener and waits for requests in
// flight until ctx ends.
func (s *Server) Stop(ctx context.Context) error {
	if err := s.http.Stop(ctx); err != nil {
		return fmt.Errorf("callers: %w", err)
	}
	if err := s.group.Wait(); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("callers: %w", err)
	}
	return nil
}

// Handler returns the HTTP handler with all routes for callers.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /v1/addresses", s.newHandler("addresses", s.addresses, decodeEmpty, kithttp.EncodeJSONResponse))
	mux.Handle("POST /v1/chat/completions", s.newHandler("chat", s.chat, s.decodeChat, s.encodeChat))
	mux.Handle("POST /v1/services/{service}/{method}", s.newHandler("service", s.callPlain, s.decodePlain, encodePlain))
	return mux
}

// newHandler returns the go-kit HTTP handler of an endpoint, with the middleware for metrics
// and readiness.
func (s *Server) newHandler(name string, e endpoint.Endpoint, dec kithttp.DecodeRequestFunc, enc kithttp.EncodeResponseFunc) http.Handler {
	e = endpoint.Chain(s.withMetrics(name), s.requireReady)(e)
	return s.withBody(s.recoverPanics(name, kithttp.NewServer(e, dec, enc, kithttp.ServerErrorEncoder(s.encodeError))))
}

// requireReady rejects requests until the node has a fleet configuration.
func (s *Server) requireReady(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		if !s.snapshot().Ready() {
			return nil, catkinspindle.Fail(catkinspindle.NotRun, catkinspindle.ReasonNotReady, "this VM does not know the operators' text yet").WithRetryAfter(time.Second)
		}
		return next(ctx, request)
	}
}

// withMetrics records the duration of requests to an endpoint and counts failures by reason.
func (s *Server) withMetrics(name string) endpoint.Middleware {
	timer := metrics.GetOrRegisterTimer("callers."+name+".time", s.metrics)
	return func(next endpoint.Endpoint) endpoint.Endpoint {
		return func(ctx context.Context, request any) (any, error) {
			defer timer.UpdateSince(time.Now())
			response, err := next(ctx, request)
			if err != nil {
				f := catkinspindle.AsFailure(err)
				metrics.GetOrRegisterCounter("callers."+name+".failed."+string(f.Reason), s.metrics).Inc(1)
			}
			return response, err
		}
	}
}

func decodeEmpty(context.Context, *http.Request) (any, error) { return struct{}{}, nil }

// encodeError logs a failure and writes the error response of a request for which no part
// of a response has been sent yet.
func (s *Server) encodeError(_ context.Context, err error, w http.ResponseWriter) {
	f := catkinspindle.AsFailure(err)
	s.log.Info("request failed", events.RequestFailed.Attr(), "reason", string(f.Reason), "verdict", f.Verdict.String(), "error", f.Err)
	writeFailure(w, f)
}
