// Package gateway serves callers over HTTP. It resolves the route and workspace of a
// request, has it placed on a replica, forwards it, and where the route allows it retries
// or resumes it on another replica. Each request ends with the replica's answer or with a
// failure that states whether the request may have been executed.
package gateway

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"math"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"
	"golang.org/x/sync/singleflight"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/buffers"
	"github.com/catkinspindle/catkinspindle/cooldown"
	"github.com/catkinspindle/catkinspindle/inbound"
	"github.com/catkinspindle/catkinspindle/quarantine"
	"github.com/catkinspindle/catkinspindle/ratelimits"
	"github.com/catkinspindle/catkinspindle/retries"
	"github.com/catkinspindle/catkinspindle/routes"
	"github.com/catkinspindle/catkinspindle/silence"
	"github.com/catkinspindle/catkinspindle/view"
)

const (
	defaultMaxBodyBytes = 64 << 20
	// notReadyRetryAfter is the Retry-After of a node that has no configuration because the
	// store was unavailable when it started; such outages last for seconds.
	notReadyRetryAfter = 2500 * time.Millisecond
	// configExpectedRetryAfter is the Retry-After of a node that expects its first
	// configuration soon.
	configExpectedRetryAfter = 300 * time.Millisecond
	// configWait bounds how long a request waits for the first configuration: a node
	// that reaches the store or its peers has it within a second of its start.
	// configWaitShare is the maximum part of the caller's timeout that this wait may use,
	// configWaitStep the interval at which the wait checks whether the store has failed.
	configWait      = time.Second
	configWaitShare = 0.15
	configWaitStep  = 50 * time.Millisecond
	// stoppingRetryAfter is the Retry-After of a node that is shutting down or has no memory
	// left for request bodies.
	stoppingRetryAfter = 100 * time.Millisecond
	// unreadBodyTimeout bounds how long net/http waits for the body of a refused request before it
	// sends the refusal. A caller that has sent the body by then may keep its connection.
	unreadBodyTimeout = 200 * time.Millisecond
	// readChunk is the number of bytes of an answer that are in no budget, and of those that are drained
	// from a refusal.
	readChunk = 4 << 10
)

// Codec decodes callers' requests.
type Codec struct {
	// Key returns the API key; false means that there is none.
	Key func(*http.Request) (string, bool)
	// Timeout returns the caller's timeout; zero if it is not stated.
	Timeout func(*http.Request) time.Duration
	// Request decodes the request with its body.
	Request func(r *http.Request, body []byte) (catkinspindle.Envelope, error)
}

// Placer assigns requests to replicas and receives the result of each attempt.
type Placer interface {
	Place(ctx context.Context, j catkinspindle.Job) catkinspindle.Placement
	ReportResult(result catkinspindle.AttemptResult)
}

// Sender sends a request to a replica, without retries. fresh requires a new connection: the
// replica may already have closed an idle one, and a request that must not run twice could
// not be retried after such a failure.
type Sender interface {
	Send(ctx context.Context, e catkinspindle.Envelope, a catkinspindle.Attempt, fresh bool) (*catkinspindle.Answer, error)
}

// ReservationManager reserves memory on replicas. Acquire makes all reservations of the list
// or none; release ends them.
type ReservationManager interface {
	Acquire(ctx context.Context, list []catkinspindle.Reservation) (release func(), err error)
}

// Gateway is the http.Handler of callers' requests.
type Gateway struct {
	view       *view.View
	placer     Placer
	sender     Sender
	buffers    *buffers.Budget
	reserver   ReservationManager
	budget     *retries.Budget
	codec      Codec
	dataCentre string
	log        *slog.Logger
	metrics    metrics.Registry

	// configExpected reports whether the first configuration is expected soon.
	configExpected func() bool
	cooldown       *cooldown.Table
	rateLimits     *ratelimits.Table
	// onRateLimit is called with a replica whose rate limit the placing node may not know.
	onRateLimit func(catkinspindle.Replica)
	// silence has the replicas that this node awaits data from.
	silence *silence.Table
	// quarantine has the requests that crash replicas.
	quarantine *quarantine.Table
	allowTrial func(context.Context, catkinspindle.RequestKey) bool
	// group runs the probes of replicas whose connections broke, probes shares a probe between
	// the requests of one replica.
	prober           Prober
	group            errgroup.Group
	probes           singleflight.Group
	inFlight         atomic.Int64
	closeConnections atomic.Bool
	refusing         atomic.Bool
	// end is when the node ends all requests because it stops; nil while it does not. ended is
	// done from then on.
	end         atomic.Pointer[time.Time]
	ended       context.Context
	endRequests context.CancelFunc
	answerTimes *answerTimes
	inbound     *inbound.Budget
}

// Option configures a Gateway.
type Option func(*Gateway)

// WithDataCentre sets the data centre in which the gateway runs.
func WithDataCentre(name string) Option { return func(g *Gateway) { g.dataCentre = name } }

// WithMetrics registers the gateway's counters and timers in r.
func WithMetrics(r metrics.Registry) Option { return func(g *Gateway) { g.metrics = r } }

// WithMaxBodyBytes sets the maximum number of bytes of request bodies in memory; 64 MiB if
// neither it nor WithInbound is given.
func WithMaxBodyBytes(n int64) Option { return WithInbound(inbound.New(inbound.WithMaxBytes(n))) }

// WithInbound sets the budget of request bodies.
func WithInbound(b *inbound.Budget) Option { return func(g *Gateway) { g.inbound = b } }

// WithRateLimits sets the table of the replicas' rate limits. report is called with a replica whose
// limit the placing node may not know.
func WithRateLimits(t *ratelimits.Table, report func(catkinspindle.Replica)) Option {
	return func(g *Gateway) { g.rateLimits, g.onRateLimit = t, report }
}

// WithConfigExpected sets the function that reports whether the first configuration is
// expected soon. While it returns true, requests wait for it, for a limited time, instead of
// being refused.
// The default always returns true.
func WithConfigExpected(f func() bool) Option { return func(g *Gateway) { g.configExpected = f } }

// New returns a Gateway.
func New(v *view.View, p Placer, s Sender, m ReservationManager, b *retries.Budget, codec Codec, log *slog.Logger, opts ...Option) *Gateway {
	g := &Gateway{view: v, placer: p, sender: s, reserver: m, budget: b, codec: codec, log: log, metrics: metrics.NewRegistry(), configExpected: func() bool { return true }, answerTimes: newAnswerTimes(), cooldown: cooldown.New(), rateLimits: ratelimits.New(), onRateLimit: func(catkinspindle.Replica) {}, silence: silence.New(), quarantine: quarantine.New(), prober: noProber{}, allowTrial: func(context.Context, catkinspindle.RequestKey) bool { return false }, inbound: inbound.New(inbound.WithMaxBytes(defaultMaxBodyBytes))}
	g.ended, g.endRequests = context.WithCancel(context.Background())
	for _, opt := range opts {
		opt(g)
	}
	return g
}

// Wait waits until no replica is being probed.
func (g *Gateway) Wait() error { return g.group.Wait() }

// InFlight returns the number of requests in flight.
func (g *Gateway) InFlight() int64 { return g.inFlight.Load() }

// CloseConnections makes the gateway close each connection after its next answer.
func (g *Gateway) CloseConnections() { g.closeConnections.Store(true) }

// StopBy announces that all requests end at a time. New ones whose answers are not expected by then
// are refused.
func (g *Gateway) StopBy(end time.Time) { g.end.Store(&end) }

// EndRequests ends the requests in flight. Their callers get a failure unless the answer has
// begun.
func (g *Gateway) EndRequests() { g.endRequests() }

// RefuseRequests makes the gateway refuse new requests.
func (g *Gateway) RefuseRequests() { g.refusing.Store(true) }

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	x := &exchange{gateway: g, w: w, arrivedAt: time.Now()}
	g.announceClose(w.Header())
	x.finish(r, x.run(r))
}

// announceClose asks the caller to close its connection if the node stops.
func (g *Gateway) announceClose(h http.Header) {
	if g.closeConnections.Load() {
		h.Set("Connection", "close")
		h.Del("Keep-Alive")
	}
}

// admit resolves the route, the workspace and the deadline of the request and reads its body.
func (x *exchange) admit(r *http.Request) *catkinspindle.Failure {
	g := x.gateway
	state := g.awaitState(r)
	x.configVersion = state.Version()
	if state.Table == nil {
		retryAfter := notReadyRetryAfter
		if g.configExpected() {
			retryAfter = configExpectedRetryAfter
		}
		return catkinspindle.Fail(catkinspindle.NotRun, catkinspindle.ReasonNotReady, "no configuration is known yet").WithRetryAfter(retryAfter)
	}
	if g.refusing.Load() {
		return catkinspindle.Fail(catkinspindle.NotRun, catkinspindle.ReasonStopping, "this node is stopping").WithRetryAfter(stoppingRetryAfter)
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	if !strings.HasPrefix(path, "/") {
		return catkinspindle.Fail(catkinspindle.NotRun, catkinspindle.ReasonBadRequest, "request target %q is not a path", r.RequestURI)
	}
	route, ok := state.Table.Find(r.Host, path)
	if !ok {
		return catkinspindle.Fail(catkinspindle.NotRun, catkinspindle.ReasonUnknownService, "no route for %s%s", r.Host, path)
	}
	x.route = route
	x.priority = route.Priority
	if end := g.end.Load(); end != nil && x.arrivedAt.Add(g.answerTimes.expected(route.Name)).After(*end) {
		return catkinspindle.Fail(catkinspindle.NotRun, catkinspindle.ReasonStopping, "this node is stopping before the answer would be complete").WithRetryAfter(stoppingRetryAfter)
	}
	if state.Table.RequiresKey(route) {
		key, ok := g.codec.Key(r)
		if !ok {
			return catkinspindle.Fail(catkinspindle.NotRun, catkinspindle.ReasonUnauthorized, "API key is missing or malformed")
		}
		workspace, ok := state.Table.Workspace(key)
		if !ok {
			return catkinspindle.Fail(catkinspindle.NotRun, catkinspindle.ReasonUnauthorized, "API key is unknown")
		}
		x.workspace = workspace.Workspace
		if workspace.Priority != nil {
			x.priority = *workspace.Priority
		}
	}
	bodyEnd := x.arrivedAt.Add(shorterTimeout(route.Timeout, g.codec.Timeout(r)))
	body, err := x.readBodyUntil(bodyEnd, r, state.Table.Routing().Limits.MaxBody)
	if err != nil {
		return g.bodyFailure(err)
	}
	x.bodyRead = true
	x.envelope, err = g.codec.Request(r, body)
	if err != nil {
		return catkinspindle.Fail(catkinspindle.NotRun, catkinspindle.ReasonBadRequest, "%w", err)
	}
	x.keys = x.requestKeys()
	x.service = routes.Target(route, rand.Float64())
	x.replicas = state.Replicas
	x.deadline = x.arrivedAt.Add(shorterTimeout(route.Timeout, x.envelope.Timeout))
	return nil
}

// awaitState returns the newest state. If there is no configuration yet and one is
// expected soon, it waits for at most configWait and configWaitShare of the caller's
// timeout.
func (g *Gateway) awaitState(r *http.Request) *view.State {
	state := g.view.State()
	if state.Table != nil {
		return state
	}
	timeout := configWait
	if t := g.codec.Timeout(r); t > 0 {
		timeout = min(timeout, time.Duration(configWaitShare*float64(t)))
	}
	for end := time.Now().Add(timeout); state.Table == nil && r.Context().Err() == nil && g.configExpected(); {
		left := time.Until(end)
		if left <= 0 {
			break
		}
		state = g.view.WaitForRouting(r.Context(), min(left, configWaitStep))
	}
	return state
}

// shorterTimeout returns the shorter one of a route's and a caller's timeout that are positive.
func shorterTimeout(route, caller time.Duration) time.Duration {
	if caller > 0 && (route <= 0 || caller < route) {
		return caller
	}
	return route
}

// readBodyUntil reads a body of at most limit bytes until a time or the end of all requests.
func (x *exchange) readBodyUntil(end time.Time, r *http.Request, limit int64) ([]byte, error) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	// It fails on closed connections only, as the read does.
	setDeadline := func(t time.Time) { _ = http.NewResponseController(x.w).SetReadDeadline(t) }
	setDeadline(end)
	aborted := make(chan struct{})
	stop := context.AfterFunc(x.gateway.ended, func() {
		defer close(aborted)
		setDeadline(time.Now())
	})
	body, holding, err := x.gateway.inbound.Read(x.w, r, limit)
	x.body = holding
	if !stop() {
		<-aborted
	}
	if err == nil {
		// Otherwise net/http would wait for the rest of the body before it sends the failure.
		setDeadline(time.Time{})
	}
	return body, err
}

func (g *Gateway) bodyFailure(err error) *catkinspindle.Failure {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, inbound.ErrExhausted), errors.Is(err, inbound.ErrEvicted):
		return catkinspindle.Fail(catkinspindle.NotRun, catkinspindle.ReasonOverload, "read request body: %w", err).WithRetryAfter(stoppingRetryAfter)
	case errors.Is(err, os.ErrDeadlineExceeded) && g.ended.Err() != nil:
		return catkinspindle.Fail(catkinspindle.NotRun, catkinspindle.ReasonStopping, "the node stopped: read request body: %w", err).WithRetryAfter(stoppingRetryAfter)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return catkinspindle.Fail(catkinspindle.NotRun, catkinspindle.ReasonDeadline, "read request body: %w", err)
	case errors.As(err, &tooLarge):
		return catkinspindle.Fail(catkinspindle.NotRun, catkinspindle.ReasonTooLarge, "read request body: %w", err)
	}
	return catkinspindle.Fail(catkinspindle.NotRun, catkinspindle.ReasonBadRequest, "read request body: %w", err)
}

// statuses maps reasons to the HTTP status of a request that was not run; 503 for all others.
var statuses = map[catkinspindle.Reason]int{
	catkinspindle.ReasonBadRequest:     http.StatusBadRequest,
	catkinspindle.ReasonUnauthorized:   http.StatusUnauthorized,
	catkinspindle.ReasonUnknownService: http.StatusNotFound,
	catkinspindle.ReasonTooLarge:       http.StatusRequestEntityTooLarge,
}

// status returns the HTTP status for f. 502 and 504 mean that the request may have run; all
// others guarantee that it has not run and will not.
func status(f *catkinspindle.Failure) int {
	if f.Verdict != catkinspindle.NotRun {
		if f.Reason == catkinspindle.ReasonDeadline {
			return http.StatusGatewayTimeout
		}
		return http.StatusBadGateway
	}
	if s, ok := statuses[f.Reason]; ok {
		return s
	}
	return http.StatusServiceUnavailable
}

// writeFailure writes f as the response and returns its status.
func writeFailure(w http.ResponseWriter, f *catkinspindle.Failure) int {
	s := status(f)
	h := w.Header()
	h.Set("Content-Type", "text/plain; charset=utf-8")
	if f.RetryAfter > 0 && s == http.StatusServiceUnavailable {
		h.Set("Retry-After", strconv.FormatFloat(math.Ceil(100*f.RetryAfter.Seconds())/100, 'f', 2, 64))
	}
	text := string(f.Reason) + " (" + f.Verdict.String() + ")\n"
	h.Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(s)
	_, _ = io.WriteString(w, text) // The client may have disconnected.
	return s
}
