package gateway_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/gateway"
	"github.com/catkinspindle/catkinspindle/platform"
	"github.com/catkinspindle/catkinspindle/retries"
	"github.com/catkinspindle/catkinspindle/view"
)

// at returns a position in the store's era 1.
func at(revision int64) catkinspindle.Position {
	return catkinspindle.Position{Era: 1, Revision: revision}
}

// TestMain starts the ticker of the metrics library outside of the synctest bubbles.
func TestMain(m *testing.M) {
	metrics.NewMeter().Stop()
	os.Exit(m.Run())
}

// scriptedAnswer is the scripted result of one attempt.
type scriptedAnswer struct {
	// err is returned instead of an answer.
	err    error
	status int
	notRun bool
	body   string
	// headAfter is the time before the head of the answer.
	headAfter time.Duration
	// broken truncates the answer after body; silent keeps it open without further data.
	broken, silent bool
	// repeated is sent repeatedly after body until the attempt is cancelled.
	repeated string
	// rest is sent after body and pause.
	rest  string
	pause time.Duration
	// faultyReplica is the replica that a refusal reports as faulty.
	faultyReplica string
	// leaving is true if the answer announces that the replica is leaving, cooldown is
	// the cooldown that it requests.
	leaving  bool
	cooldown time.Duration
	// rateLimit is what the answer states about the replica's rate limit; sealed is true if it
	// carries a seal.
	rateLimit catkinspindle.RateLimit
	sealed    bool
}

// fakeCluster is a fake placer and a fake sender that record their calls.
type fakeCluster struct {
	mu             sync.Mutex
	steps          []scriptedAnswer
	attempts       []catkinspindle.Attempt
	outcomes       []catkinspindle.Outcome
	firstEvents    []time.Duration
	departed       []catkinspindle.Departure
	faultyReplicas []string
	reported       []catkinspindle.AttemptResult
	avoided        [][]string
	jobs           []catkinspindle.Job
	refusal        *catkinspindle.Placement
	placed         int
	cancelled      chan struct{}
	// preferred lists the replicas that jobs are placed on, in order of preference; r1 to r3
	// if it is empty.
	preferred []string
	// delays are the delays of the next placements.
	delays []time.Duration
	// permits sets RatePermit in all placements; reserveTime is how long a reservation takes.
	permits     bool
	reserveTime time.Duration
	// retryPlacingTime is how long the placement of a retry takes; releases has the times at which
	// reservations ended.
	retryPlacingTime time.Duration
	releases         []time.Time
	// reserveErr is the error of the next reservation.
	reserveErr error
	// leaving is the replica that begins to leave right after a placement.
	leaving string
	view    *view.View
	// overloadedUntil is the time until which retries are refused for overload.
	overloadedUntil time.Time
}

func (w *fakeCluster) Place(_ context.Context, j catkinspindle.Job) catkinspindle.Placement {
	if j.MayBePartial {
		time.Sleep(w.retryPlacingTime)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.refusal != nil {
		return *w.refusal
	}
	if j.MayBePartial && time.Now().Before(w.overloadedUntil) {
		return catkinspindle.Placement{Reason: catkinspindle.ReasonOverload, RetryAfter: time.Second}
	}
	w.placed++
	if w.leaving != "" {
		w.view.ChangeReplicas([]view.Change{{Replica: catkinspindle.Replica{ID: w.leaving, Service: "s", Leaving: true}}}, at(2), time.Time{})
	}
	w.avoided = append(w.avoided, j.Avoid)
	w.jobs = append(w.jobs, j)
	names := w.preferred
	if len(names) == 0 {
		names = []string{"r1", "r2", "r3"}
	}
	for _, id := range names {
		avoided := false
		for _, a := range j.Avoid {
			avoided = avoided || a == id
		}
		if !avoided {
			p := catkinspindle.Placement{JobID: "j" + strconv.Itoa(w.placed), Replica: id, RatePermit: w.permits}
			if w.reserveTime > 0 {
				p.Helpers, p.HelperTokens = []string{"r3"}, []int{1}
			}
			if len(w.delays) > 0 {
				p.Delay, w.delays = w.delays[0], w.delays[1:]
			}
			return p
		}
	}
	return catkinspindle.Placement{Reason: catkinspindle.ReasonNoBackend, RetryAfter: time.Second}
}

func (w *fakeCluster) ReportResult(result catkinspindle.AttemptResult) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.outcomes = append(w.outcomes, result.Outcome)
	w.firstEvents = append(w.firstEvents, result.TimeToFirstEvent)
	w.faultyReplicas = append(w.faultyReplicas, result.FaultyReplica)
	w.reported = append(w.reported, catkinspindle.AttemptResult{Replica: result.Replica, Outcome: result.Outcome, FaultyReplica: result.FaultyReplica})
	if result.Departure != nil {
		w.departed = append(w.departed, *result.Departure)
	}
}

func (w *fakeCluster) Send(ctx context.Context, _ catkinspindle.Envelope, a catkinspindle.Attempt, _ bool) (*catkinspindle.Answer, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.attempts = append(w.attempts, a)
	if len(w.steps) == 0 {
		return nil, catkinspindle.Fail(catkinspindle.NotRun, catkinspindle.ReasonPeerUnreachable, "no more steps")
	}
	s := w.steps[0]
	w.steps = w.steps[1:]
	if s.headAfter > 0 {
		w.mu.Unlock()
		time.Sleep(s.headAfter)
		w.mu.Lock()
	}
	if s.err != nil {
		return nil, s.err
	}
	var end io.Reader = strings.NewReader("")
	if s.broken {
		end = failingReader{io.ErrUnexpectedEOF}
	}
	if s.silent {
		end = blockingReader{ctx, w.cancelled}
	}
	if s.repeated != "" {
		end = repeatingReader{ctx, s.repeated}
	}
	if s.rest != "" {
		end = io.MultiReader(pausingReader{ctx, s.pause}, strings.NewReader(s.rest), end)
	}
	return &catkinspindle.Answer{
		AnswerHead: catkinspindle.AnswerHead{Status: s.status, NotRun: s.notRun, FaultyReplica: s.faultyReplica, Leaving: s.leaving, Cooldown: s.cooldown, RateLimit: s.rateLimit, Sealed: s.sealed, Header: http.Header{"Response-Seal": {a.Replica.ID}}},
		Body:       io.NopCloser(io.MultiReader(strings.NewReader(s.body), end)),
	}, nil
}

func (w *fakeCluster) Acquire(context.Context, []catkinspindle.Reservation) (func(), error) {
	time.Sleep(w.reserveTime)
	w.reserveTime = 0
	if err := w.reserveErr; err != nil {
		w.reserveErr = nil
		return nil, err
	}
	return func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.releases = append(w.releases, time.Now())
	}, nil
}

type failingReader struct{ err error }

func (f failingReader) Read([]byte) (int, error) { return 0, f.err }

// repeatingReader sends text every 300 ms until the attempt is cancelled.
type repeatingReader struct {
	ctx  context.Context
	text string
}

func (d repeatingReader) Read(b []byte) (int, error) {
	select {
	case <-time.After(300 * time.Millisecond):
		return copy(b, d.text), nil
	case <-d.ctx.Done():
		return 0, d.ctx.Err()
	}
}

// pausingReader is an empty part of a body that ends after a delay, or fails when the attempt
// is cancelled.
type pausingReader struct {
	ctx   context.Context
	pause time.Duration
}

func (s pausingReader) Read([]byte) (int, error) {
	select {
	case <-time.After(s.pause):
		return 0, io.EOF
	case <-s.ctx.Done():
		return 0, s.ctx.Err()
	}
}

type blockingReader struct {
	ctx       context.Context
	cancelled chan struct{}
}

func (w blockingReader) Read([]byte) (int, error) {
	<-w.ctx.Done()
	if w.cancelled != nil {
		close(w.cancelled)
	}
	return 0, w.ctx.Err()
}

func routing() catkinspindle.Routing {
	target := []catkinspindle.RouteTarget{{Service: "s", Weight: 1}}
	route := func(prefix string, mode catkinspindle.RetryMode, streaming bool, attempts int) catkinspindle.Route {
		return catkinspindle.Route{Name: prefix, Host: "h.example", Prefix: prefix, RetryMode: mode, Streaming: streaming, MaxAttempts: attempts, Timeout: 20 * time.Second, LatencyObjective: 10 * time.Second, MaxEventGap: 10 * time.Second, Targets: target}
	}
	quick := func(r catkinspindle.Route) catkinspindle.Route {
		r.Timeout, r.LatencyObjective, r.MaxEventGap = 60*time.Second, 100*time.Millisecond, 100*time.Millisecond
		return r
	}
	short := func(r catkinspindle.Route) catkinspindle.Route {
		r = quick(r)
		r.Timeout = 5 * time.Second
		return r
	}
	patient := route("/patient/", catkinspindle.RetryResume, true, 2)
	patient.Timeout, patient.LatencyObjective, patient.MaxEventGap = 15*time.Second, 3*time.Second, time.Second
	patient.Patience = 12 * time.Second
	open := route("/open/", catkinspindle.RetryAlways, false, 2)
	open.Public = true
	brief := route("/brief/", catkinspindle.RetryAlways, false, 2)
	brief.Timeout = time.Millisecond
	return catkinspindle.Routing{
		Version: 1,
		Routes: []catkinspindle.Route{
			route("/once/", catkinspindle.RetryNever, false, 1), route("/once-of-three/", catkinspindle.RetryNever, false, 3), route("/any/", catkinspindle.RetryAlways, false, 2),
			route("/stream/", catkinspindle.RetryResume, true, 2), route("/stream-of-three/", catkinspindle.RetryResume, true, 3), open, brief, patient,
			quick(route("/quick/", catkinspindle.RetryResume, true, 2)), short(route("/short-once/", catkinspindle.RetryNever, false, 1)), short(route("/short/", catkinspindle.RetryResume, true, 2)), quick(route("/quick-any/", catkinspindle.RetryAlways, false, 2)),
			quick(route("/quick-of-three/", catkinspindle.RetryResume, true, 3)), quick(route("/quick-any-of-three/", catkinspindle.RetryAlways, false, 3)), quick(route("/quick-once-of-three/", catkinspindle.RetryNever, false, 3)),
		},
		Services:      []catkinspindle.ReplicaService{{Name: "s"}},
		Limits:        catkinspindle.TrafficLimits{MaxBody: 1000},
		WorkspaceKeys: []catkinspindle.WorkspaceKeys{{Workspace: "w", Keys: []string{"k"}}},
	}
}

func newServer(t *testing.T, w *fakeCluster, allowance float64, known bool) (*gateway.Gateway, *httptest.Server) {
	t.Helper()
	return newServerWithSender(t, w, w, allowance, known)
}

// newServerWithSender is newServer with another sender than w.
func newServerWithSender(t *testing.T, w *fakeCluster, replicas gateway.Sender, allowance float64, known bool) (*gateway.Gateway, *httptest.Server) {
	t.Helper()
	g := newGateway(w, replicas, allowance, known)
	server := httptest.NewServer(g)
	t.Cleanup(server.Close)
	return g, server
}

// testBudget is a retry budget that allows all retries of a test.
var testBudget = catkinspindle.RetryBudget{Window: 10 * time.Second, Min: 9}

// newGateway returns a gateway with w as its placer.
func newGateway(w *fakeCluster, replicas gateway.Sender, allowance float64, known bool, opts ...gateway.Option) *gateway.Gateway {
	v := view.New(nil)
	if known {
		v.SetRouting(routing())
	}
	list := map[string]catkinspindle.Replica{}
	for _, id := range []string{"r1", "r2", "r3"} {
		list[id] = catkinspindle.Replica{ID: id, Service: "s", Address: "at-" + id}
	}
	v.SetReplicas(list, at(1), time.Time{})
	w.view = v
	budget := testBudget
	budget.Min = allowance
	b := retries.New(budget, 1)
	return gateway.New(v, w, replicas, w, b, gateway.Codec{Key: platform.APIKey, Timeout: platform.RequestTimeout, Request: platform.DecodeRequest}, slog.New(slog.DiscardHandler), opts...)
}

func post(t *testing.T, server *httptest.Server, path, key string, body string) (*http.Response, string, error) {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, server.URL+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "h.example"
	req.Header.Set("Attempt-Id", "a")
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	resp, err := server.Client().Do(req)
	if err != nil {
		return nil, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return resp, string(data), err
}

var (
	errAfterSend  = catkinspindle.Fail(catkinspindle.MayHaveRun, catkinspindle.ReasonBackendFailed, "reset")
	errBeforeSend = catkinspindle.Fail(catkinspindle.NotRun, catkinspindle.ReasonPeerUnreachable, "no connection")
	okAnswer      = scriptedAnswer{status: 200, body: "fine"}
	errorAnswer   = scriptedAnswer{status: 500, body: "oops"}
	refusedAnswer = scriptedAnswer{status: 503, notRun: true}
)

// A status that guarantees that nothing was run is sent only if that is true, and a request
// on a non-idempotent route is never retried once it may have run.
func TestVerdicts(t *testing.T) {
	tests := map[string]struct {
		path     string
		steps    []scriptedAnswer
		refused  bool
		budget   float64
		status   int
		attempts int
	}{
		"once, answered":                    {"/once/", []scriptedAnswer{okAnswer}, false, 9, 200, 1},
		"once, placing refused":             {"/once/", nil, true, 9, 503, 0},
		"once, replica refuses":             {"/once/", []scriptedAnswer{refusedAnswer, okAnswer}, false, 9, 503, 1},
		"once, broken after sending":        {"/once/", []scriptedAnswer{{err: errAfterSend}, okAnswer}, false, 9, 502, 1},
		"once, answer truncated":            {"/once/", []scriptedAnswer{{status: 200, body: "fi", broken: true}, okAnswer}, false, 9, 502, 1},
		"once, replica's failure unchanged": {"/once/", []scriptedAnswer{errorAnswer, okAnswer}, false, 9, 500, 1},
		"once, unreachable then answered":   {"/once/", []scriptedAnswer{{err: errBeforeSend}, okAnswer}, false, 9, 200, 2},
		"once, no replica reachable":        {"/once/", []scriptedAnswer{{err: errBeforeSend}, {err: errBeforeSend}, {err: errBeforeSend}}, false, 9, 503, 3},
		"once, three attempts, broken":      {"/once-of-three/", []scriptedAnswer{{err: errAfterSend}, okAnswer}, false, 9, 502, 1},
		"once, three attempts, truncated":   {"/once-of-three/", []scriptedAnswer{{status: 200, body: "fi", broken: true}, okAnswer}, false, 9, 502, 1},
		"once, three attempts, one refuses": {"/once-of-three/", []scriptedAnswer{refusedAnswer, okAnswer}, false, 9, 200, 2},
		"once, three attempts, then broken": {"/once-of-three/", []scriptedAnswer{refusedAnswer, {err: errAfterSend}, okAnswer}, false, 9, 502, 2},
		"any, replica refuses":              {"/any/", []scriptedAnswer{refusedAnswer, okAnswer}, false, 9, 200, 2},
		"any, all refuse":                   {"/any/", []scriptedAnswer{refusedAnswer, refusedAnswer, okAnswer}, false, 9, 503, 2},
		"any, broken then answered":         {"/any/", []scriptedAnswer{{err: errAfterSend}, okAnswer}, false, 9, 200, 2},
		"any, failure then answered":        {"/any/", []scriptedAnswer{errorAnswer, okAnswer}, false, 9, 200, 2},
		"any, two failures":                 {"/any/", []scriptedAnswer{errorAnswer, errorAnswer, okAnswer}, false, 9, 500, 2},
		"any, broken then refused":          {"/any/", []scriptedAnswer{{err: errAfterSend}, refusedAnswer}, false, 9, 502, 2},
		"any, no budget for a retry":        {"/any/", []scriptedAnswer{{err: errAfterSend}, okAnswer}, false, 0, 502, 1},
		"any, refusal and no budget":        {"/any/", []scriptedAnswer{refusedAnswer, okAnswer}, false, 0, 503, 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			w := &fakeCluster{steps: tt.steps}
			if tt.refused {
				w.refusal = &catkinspindle.Placement{Reason: catkinspindle.ReasonOverload, RetryAfter: 1500 * time.Millisecond}
			}
			_, server := newServer(t, w, tt.budget, true)
			resp, _, err := post(t, server, tt.path, "k", "")
			server.Close()
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff([]int{tt.status, tt.attempts}, []int{resp.StatusCode, len(w.attempts)}); diff != "" {
				t.Errorf("status and attempts (-want +got):\n%s", diff)
			}
			if fromGateway := resp.Header.Get("Response-Seal") == ""; fromGateway != (resp.StatusCode > 500) {
				t.Errorf("status %d with seal %q", resp.StatusCode, resp.Header.Get("Response-Seal"))
			}
			if resp.StatusCode == 503 && resp.Header.Get("Retry-After") == "" {
				t.Error("status 503 without Retry-After")
			}
		})
	}
}

// A stalled answer is aborted only if another replica can take over.
func TestStalledReplica(t *testing.T) {
	tests := map[string]struct {
		path     string
		budget   float64
		status   int
		attempts int
	}{
		"resumed elsewhere":      {"/quick/", 9, 200, 2},
		"no retry budget":        {"/short/", 0, 0, 1},
		"may run once only":      {"/short-once/", 9, 504, 1},
		"retried without events": {"/quick-any/", 9, 200, 2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			w := &fakeCluster{steps: []scriptedAnswer{{status: 200, body: "id: 1\ndata: a\n\n", silent: true}, {status: 200, body: "id: 2\ndata: b\n\n"}}}
			_, server := newServer(t, w, tt.budget, true)
			resp, body, err := post(t, server, tt.path, "k", "")
			server.Close()
			if tt.status == 0 {
				if err == nil || body != "id: 1\ndata: a\n\n" {
					t.Errorf("body %q, error %v; want the first event and an aborted connection at the timeout", body, err)
				}
			} else if err != nil || resp.StatusCode != tt.status {
				t.Errorf("answer %v, error %v; want status %d", resp, err, tt.status)
			}
			if diff := cmp.Diff(tt.attempts, len(w.attempts)); diff != "" {
				t.Errorf("attempts (-want +got):\n%s", diff)
			}
		})
	}
}

// deadlineRecorder is a ResponseRecorder that accepts write deadlines.
type deadlineRecorder struct{ *httptest.ResponseRecorder }

func (deadlineRecorder) SetWriteDeadline(time.Time) error { return nil }

// A request whose first event is overdue fails over well before its caller's deadline: at
// the stall timeout, or after it as soon as another replica accepts the request.
func TestOverdueFirstEventFailsOver(t *testing.T) {
	const whole = "id: 1\ndata: a\n\n"
	tests := map[string]struct{ overloaded, want time.Duration }{
		"another replica has room": {0, 6 * time.Second},
		"another has room later":   {7500 * time.Millisecond, 8 * time.Second},
		"no replica has room":      {time.Hour, 15 * time.Second},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := &fakeCluster{steps: []scriptedAnswer{{status: 200, silent: true}, {status: 200, body: whole}}, overloadedUntil: time.Now().Add(tt.overloaded)}
				g := newGateway(w, w, 9, true)
				answer := deadlineRecorder{httptest.NewRecorder()}
				start := time.Now()
				func() {
					defer func() {
						// A failed stream aborts its connection.
						if r := recover(); r != nil && r != http.ErrAbortHandler {
							panic(r)
						}
					}()
					g.ServeHTTP(answer, newRequest("/patient/"))
				}()
				if diff := cmp.Diff(tt.want, time.Since(start)); diff != "" {
					t.Errorf("time to the answer (-want +got):\n%s", diff)
				}
				if failedOver := tt.overloaded < time.Hour; failedOver != (answer.Body.String() == whole) {
					t.Errorf("status %d, body %q", answer.Code, answer.Body)
				}
			})
		})
	}
}

// Comments and partial events do not reset the stall timer: a stream that brings nothing
// else fails over to another replica. A slow stream with complete events within the stall
// timeout does not.
func TestStreamWithoutCompleteEvents(t *testing.T) {
	const first, second = "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"
	tests := map[string]struct {
		step     scriptedAnswer
		attempts int
	}{
		"comments":          {scriptedAnswer{status: 200, body: first, repeated: ": ping\n\n"}, 2},
		"bytes of an event": {scriptedAnswer{status: 200, body: first + "id: 2\ndata: ", repeated: "x"}, 2},
		"slow but complete": {scriptedAnswer{status: 200, body: first, rest: second, pause: 1100 * time.Millisecond}, 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			w := &fakeCluster{steps: []scriptedAnswer{tt.step, {status: 200, body: second}}}
			_, server := newServer(t, w, 9, true)
			_, body, err := post(t, server, "/quick/", "k", "")
			server.Close()
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(tt.attempts, len(w.attempts)); diff != "" {
				t.Errorf("attempts (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(first+second, strings.ReplaceAll(body, ": ping\n\n", "")); diff != "" {
				t.Errorf("events (-want +got):\n%s", diff)
			}
		})
	}
}

// A request to a stalled replica is answered at the route's timeout, or at the caller's
// if that is shorter.
func TestRouteTimeout(t *testing.T) {
	tests := map[string]struct {
		path     string
		deadline string
		want     time.Duration
	}{
		"may run once only":           {"/once/", "", 20 * time.Second},
		"may be retried":              {"/any/", "", 20 * time.Second},
		"caller's timeout is shorter": {"/once/", "3000", 3 * time.Second},
		"caller's timeout is longer":  {"/once/", "90000", 20 * time.Second},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				silent := scriptedAnswer{status: 200, silent: true}
				w := &fakeCluster{steps: []scriptedAnswer{silent, silent}}
				g := newGateway(w, w, 9, true)
				req := newRequest(tt.path)
				if tt.deadline != "" {
					req.Header.Set("Deadline-Ms", tt.deadline)
				}
				answer := httptest.NewRecorder()
				start := time.Now()
				g.ServeHTTP(answer, req)
				if diff := cmp.Diff(tt.want, time.Since(start)); diff != "" {
					t.Errorf("time to the answer (-want +got):\n%s", diff)
				}
				if diff := cmp.Diff(http.StatusGatewayTimeout, answer.Code); diff != "" {
					t.Errorf("status (-want +got):\n%s", diff)
				}
			})
		})
	}
}

// A stream that stalls and then continues is not aborted if no other replica could take
// over.
func TestStalledReplicaContinues(t *testing.T) {
	w := &fakeCluster{steps: []scriptedAnswer{{status: 200, body: "id: 1\ndata: a\n\n", rest: "id: 2\ndata: b\n\n", pause: 1700 * time.Millisecond}}}
	_, server := newServer(t, w, 0, true)
	resp, body, err := post(t, server, "/quick/", "k", "")
	server.Close()
	if err != nil || resp.StatusCode != 200 || body != "id: 1\ndata: a\n\nid: 2\ndata: b\n\n" {
		t.Errorf("body %q, error %v", body, err)
	}
}

// A request is not sent to a replica that begins to leave between the placement and the
// attempt.
func TestReplicaLeavesWhileTheRequestWaits(t *testing.T) {
	w := &fakeCluster{steps: []scriptedAnswer{okAnswer}, leaving: "r1"}
	_, server := newServer(t, w, 9, true)
	resp, _, err := post(t, server, "/any/", "k", "")
	server.Close()
	if err != nil || resp.StatusCode != 200 {
		t.Fatalf("answer %v, error %v", resp, err)
	}
	if diff := cmp.Diff("r2", w.attempts[0].Replica.ID); diff != "" {
		t.Errorf("replica (-want +got):\n%s", diff)
	}
}

// newRequest returns a request for use without a connection.
func newRequest(path string) *http.Request {
	req := httptest.NewRequest(http.MethodPost, "http://h.example"+path, nil)
	req.RequestURI = path
	req.Header.Set("Attempt-Id", "a")
	req.Header.Set("Authorization", "Bearer k")
	return req
}

// serveRequest serves a request without a connection.
func serveRequest(g *gateway.Gateway, path string) *httptest.ResponseRecorder {
	req := newRequest(path)
	answer := httptest.NewRecorder()
	g.ServeHTTP(answer, req)
	return answer
}

// sentTo returns the replicas that requests were sent to, in order.
func (w *fakeCluster) sentTo() (ids []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, a := range w.attempts {
		ids = append(ids, a.Replica.ID)
	}
	return ids
}

// After any answer that announces that its replica is leaving, this node sends it no more
// requests, even if the placer still chooses it, and the placer is notified.
func TestLeavingReplicaGetsNoMoreRequests(t *testing.T) {
	for name, s := range map[string]scriptedAnswer{
		"in a good answer": {status: 200, body: "fine", leaving: true},
		"in a refusal":     {status: 503, notRun: true, leaving: true},
		"in a failure":     {status: 500, leaving: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := &fakeCluster{steps: []scriptedAnswer{s, okAnswer, okAnswer, okAnswer}}
				g := newGateway(w, w, 9, true)
				serveRequest(g, "/any/")
				for range 2 {
					if answer := serveRequest(g, "/any/"); answer.Code != 200 {
						t.Errorf("status %d", answer.Code)
					}
				}
				ids := w.sentTo()
				if ids[0] != "r1" || slices.Contains(ids[1:], "r1") {
					t.Errorf("requests reached %v", ids)
				}
				if diff := cmp.Diff([]catkinspindle.Departure{{ID: "r1"}}, w.departed); diff != "" {
					t.Errorf("departures reported to the placer (-want +got):\n%s", diff)
				}
			})
		})
	}
}

// A 421 comes from another replica at the address: the addressed one is not leaving.
func TestMisdirectedAnswerDoesNotMarkReplicaLeaving(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &fakeCluster{steps: []scriptedAnswer{{status: 421, notRun: true, leaving: true}, okAnswer, okAnswer}}
		g := newGateway(w, w, 9, true)
		serveRequest(g, "/any/")
		serveRequest(g, "/any/")
		if diff := cmp.Diff([]string{"r1", "r2", "r1"}, w.sentTo()); diff != "" {
			t.Errorf("replicas (-want +got):\n%s", diff)
		}
	})
}

// A replica in a cooldown gets no requests and is in the placer's list to avoid; after the
// cooldown it gets one request as a probe.
func TestReplicaCooldown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		refusal := scriptedAnswer{status: 503, notRun: true, cooldown: 3 * time.Second}
		w := &fakeCluster{steps: []scriptedAnswer{refusal, okAnswer, okAnswer, okAnswer, refusal, okAnswer, okAnswer}}
		g := newGateway(w, w, 9, true)
		serveRequest(g, "/any/")
		for range 2 {
			time.Sleep(1400 * time.Millisecond)
			serveRequest(g, "/any/")
		}
		if diff := cmp.Diff([]string{"r1", "r2", "r2", "r2"}, w.sentTo()); diff != "" {
			t.Errorf("replicas during the cooldown (-want +got):\n%s", diff)
		}
		if diff := cmp.Diff([]string{"r1"}, w.avoided[len(w.avoided)-1]); diff != "" {
			t.Errorf("replicas to avoid (-want +got):\n%s", diff)
		}
		time.Sleep(time.Second)
		serveRequest(g, "/any/")
		time.Sleep(time.Second)
		serveRequest(g, "/any/")
		if diff := cmp.Diff([]string{"r1", "r2", "r2"}, w.sentTo()[4:]); diff != "" {
			t.Errorf("replicas after the cooldown (-want +got):\n%s", diff)
		}
	})
}

// A request whose replica enters a cooldown during the placement's delay is sent to another
// replica.
func TestCooldownBeginsWhileTheRequestWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &fakeCluster{steps: []scriptedAnswer{{status: 503, notRun: true, cooldown: 9 * time.Second}, okAnswer, okAnswer}, delays: []time.Duration{time.Second}}
		g := newGateway(w, w, 9, true)
		var group errgroup.Group
		group.Go(func() error {
			serveRequest(g, "/any/")
			return nil
		})
		synctest.Wait()
		serveRequest(g, "/any/")
		if err := group.Wait(); err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff([]string{"r1", "r2", "r2"}, w.sentTo()); diff != "" {
			t.Errorf("replicas (-want +got):\n%s", diff)
		}
	})
}

// If all replicas are in a cooldown, the caller gets the shortest one as Retry-After at once.
func TestAllReplicasInCooldown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var steps []scriptedAnswer
		for i := range 3 {
			steps = append(steps, scriptedAnswer{status: 503, notRun: true, cooldown: time.Duration(4+i) * time.Second})
		}
		w := &fakeCluster{steps: steps}
		g := newGateway(w, w, 9, true)
		serveRequest(g, "/any/")
		serveRequest(g, "/any/")
		start := time.Now()
		answer := serveRequest(g, "/any/")
		if answer.Code != 503 || answer.Header().Get("Retry-After") != "4.00" || time.Since(start) > 0 {
			t.Errorf("status %d, Retry-After %q after %v", answer.Code, answer.Header().Get("Retry-After"), time.Since(start))
		}
		if diff := cmp.Diff(3, len(w.attempts)); diff != "" {
			t.Errorf("attempts (-want +got):\n%s", diff)
		}
	})
}

// During a rollout the placer may choose replicas that are not yet in this node's list or
// are marked there as leaving: the request is then placed again, up to a limit.
func TestPlacementsOnUnknownReplicas(t *testing.T) {
	unknown := func(n int) (names []string) {
		for i := range n {
			names = append(names, fmt.Sprintf("new-%d", i))
		}
		return names
	}
	tests := map[string]struct {
		names  []string
		status int
		placed int
	}{
		"eight, then a known one": {append(unknown(8), "r1"), 200, 9},
		"eight, no known one":     {unknown(8), 503, 9},
		"over the limit":          {unknown(100), 503, 12},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			w := &fakeCluster{preferred: tt.names, steps: []scriptedAnswer{okAnswer}}
			_, server := newServer(t, w, 9, true)
			resp, _, err := post(t, server, "/once/", "k", "")
			server.Close()
			if err != nil {
				t.Fatal(err)
			}
			if resp.StatusCode != tt.status {
				t.Errorf("status %d, want %d", resp.StatusCode, tt.status)
			}
			w.mu.Lock()
			defer w.mu.Unlock()
			if tt.status == 200 && w.placed != tt.placed || w.placed > tt.placed {
				t.Errorf("placed %d times, want %d", w.placed, tt.placed)
			}
		})
	}
}

// A refusal that reports a helper as faulty, by its address, is reported to the placer with
// the helper's ID, and the next attempt avoids the helper.
func TestRefusalNamesAHelper(t *testing.T) {
	w := &fakeCluster{steps: []scriptedAnswer{{status: 503, notRun: true, faultyReplica: "at-r3"}, okAnswer}}
	_, server := newServer(t, w, 9, true)
	resp, _, err := post(t, server, "/any/", "k", "")
	server.Close()
	if err != nil || resp.StatusCode != 200 {
		t.Fatalf("answer %v, error %v", resp, err)
	}
	if diff := cmp.Diff([]string{"r3", ""}, w.faultyReplicas); diff != "" {
		t.Errorf("faulty replicas (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff([][]string{nil, {"r3", "r1"}}, w.avoided); diff != "" {
		t.Errorf("replicas to avoid (-want +got):\n%s", diff)
	}
}

func TestRefusalsBeforePlacing(t *testing.T) {
	tests := map[string]struct {
		path, key, body string
		status          int
	}{
		"no route":        {"/none/", "k", "", 404},
		"no key":          {"/any/", "", "", 401},
		"unknown key":     {"/any/", "other", "", 401},
		"public":          {"/open/", "", "", 200},
		"body too large":  {"/any/", "k", strings.Repeat("x", 1001), 413},
		"body just fits":  {"/any/", "k", strings.Repeat("x", 1000), 200},
		"route timeout":   {"/brief/", "k", "", 504},
		"route by prefix": {"/any/deeper?q=/none/", "k", "", 200},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			w := &fakeCluster{steps: []scriptedAnswer{okAnswer}}
			if tt.path == "/brief/" {
				w.steps = []scriptedAnswer{{status: 200, silent: true}}
			}
			_, server := newServer(t, w, 9, true)
			resp, _, err := post(t, server, tt.path, tt.key, tt.body)
			server.Close()
			if err != nil {
				t.Fatal(err)
			}
			// The 1 ms timeout may expire before the request is sent: then it has not run.
			if tt.status == 504 && resp.StatusCode == 503 && len(w.attempts) == 0 {
				return
			}
			if diff := cmp.Diff(tt.status, resp.StatusCode); diff != "" {
				t.Errorf("status (-want +got):\n%s", diff)
			}
		})
	}
}

// A request that arrives before the first configuration waits for it for a part of the
// caller's timeout, and is refused at once when the store fails.
func TestFirstConfigurationIsAwaited(t *testing.T) {
	tests := map[string]struct {
		// configAfter is when the configuration arrives, storeFailsAfter when the store fails.
		configAfter, storeFailsAfter time.Duration
		deadline                     string
		status                       int
		want                         time.Duration
		retryAfter                   string
	}{
		"soon":                         {600 * time.Millisecond, time.Hour, "10000", 200, 600 * time.Millisecond, ""},
		"too late":                     {3 * time.Second, time.Hour, "10000", 503, time.Second, "0.30"},
		"too late for a short timeout": {600 * time.Millisecond, time.Hour, "1000", 503, 150 * time.Millisecond, "0.30"},
		"the store fails":              {600 * time.Millisecond, 0, "10000", 503, 0, "2.50"},
		"the store fails meanwhile":    {600 * time.Millisecond, 100 * time.Millisecond, "10000", 503, 100 * time.Millisecond, "2.50"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := &fakeCluster{steps: []scriptedAnswer{okAnswer}}
				start := time.Now()
				g := newGateway(w, w, 9, false, gateway.WithConfigExpected(func() bool { return time.Since(start) < tt.storeFailsAfter }))
				time.AfterFunc(tt.configAfter, func() { w.view.SetRouting(routing()) })
				req := newRequest("/any/")
				req.Header.Set("Deadline-Ms", tt.deadline)
				answer := httptest.NewRecorder()
				g.ServeHTTP(answer, req)
				if answer.Code != tt.status || answer.Header().Get("Retry-After") != tt.retryAfter {
					t.Errorf("status %d, Retry-After %q", answer.Code, answer.Header().Get("Retry-After"))
				}
				if diff := cmp.Diff(tt.want, time.Since(start)); diff != "" {
					t.Errorf("time to the answer (-want +got):\n%s", diff)
				}
				time.Sleep(time.Hour)
			})
		})
	}
}

// A node without a configuration answers 503 with a Retry-After.
func TestWithoutConfiguration(t *testing.T) {
	_, server := newServer(t, &fakeCluster{}, 9, false)
	resp, _, err := post(t, server, "/any/", "k", "")
	if err != nil {
		t.Fatal(err)
	}
	if resp.StatusCode != 503 || resp.Header.Get("Retry-After") == "" {
		t.Errorf("status %d, Retry-After %q", resp.StatusCode, resp.Header.Get("Retry-After"))
	}
}

// A broken stream resumes on another replica after the last complete event, under the head
// of the first answer; no event is lost, duplicated or merged with another.
func TestStreamIsResumed(t *testing.T) {
	tests := map[string]struct {
		steps   []scriptedAnswer
		want    string
		aborted bool
	}{
		"between events":      {[]scriptedAnswer{{status: 200, body: "id: 1\ndata: a\n\n", broken: true}, {status: 200, body: "id: 2\ndata: b\n\n"}}, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", false},
		"within an event":     {[]scriptedAnswer{{status: 200, body: "id: 1\ndata: a\n\nid: 2\nda", broken: true}, {status: 200, body: "id: 2\ndata: b\n\n"}}, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", false},
		"ends in an event":    {[]scriptedAnswer{{status: 200, body: "id: 1\ndata: a\n\nid: 2\n"}, {status: 200, body: "id: 2\ndata: b\n\n"}}, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", false},
		"repeats an event":    {[]scriptedAnswer{{status: 200, body: "id: 1\ndata: a\n\n", broken: true}, {status: 200, body: "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"}}, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", false},
		"leaves an event out": {[]scriptedAnswer{{status: 200, body: "id: 1\ndata: a\n\n", broken: true}, {status: 200, body: "id: 3\ndata: c\n\n"}}, "id: 1\ndata: a\n\n", true},
		"resume is refused":   {[]scriptedAnswer{{status: 200, body: "id: 1\ndata: a\n\n", broken: true}, refusedAnswer}, "id: 1\ndata: a\n\n", true},
		"fails when resumed":  {[]scriptedAnswer{{status: 200, body: "id: 1\ndata: a\n\n", broken: true}, errorAnswer}, "id: 1\ndata: a\n\n", true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			w := &fakeCluster{steps: tt.steps}
			_, server := newServer(t, w, 9, true)
			resp, body, err := post(t, server, "/stream/", "k", "")
			server.Close()
			if resp == nil {
				t.Fatal(err)
			}
			if (err != nil) != tt.aborted {
				t.Errorf("error %v, want an aborted connection: %t", err, tt.aborted)
			}
			if diff := cmp.Diff(tt.want, body); diff != "" {
				t.Errorf("stream (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff("r1", resp.Header.Get("Response-Seal")); diff != "" {
				t.Errorf("seal (-want +got):\n%s", diff)
			}
			if len(w.attempts) == 2 && w.attempts[1].AfterEvent != "1" {
				t.Errorf("resumed after event %q", w.attempts[1].AfterEvent)
			}
		})
	}
}

// A replica that answers a resumed stream with something else must leave neither bytes nor an end
// in the stream of the caller, and does not keep another replica from going on with it.
func TestFailedResumptionDoesNotReachTheStream(t *testing.T) {
	const first, second = "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"
	tests := map[string]scriptedAnswer{
		"error":                  errorAnswer,
		"error of the caller":    {status: 404, body: "no such stream"},
		"plain text":             {status: 200, body: "overloaded"},
		"text in two lines":      {status: 200, body: "overloaded\n\n"},
		"event without an ID":    {status: 200, body: "data: overloaded\n\n"},
		"ID that is no number":   {status: 200, body: "id: x\ndata: overloaded\n\n"},
		"error within an event":  {status: 200, body: "id: 2\nHTTP/1.1 500 Internal Server Error\n"},
		"truncated error":        {status: 500, body: "oo", broken: true},
		"connection that closes": {err: errAfterSend},
	}
	for name, answer := range tests {
		t.Run(name, func(t *testing.T) {
			broken := scriptedAnswer{status: 200, body: first, broken: true}
			for _, tt := range []struct {
				path, want string
				steps      []scriptedAnswer
				aborted    bool
			}{
				{"/stream/", first, []scriptedAnswer{broken, answer}, true},
				{"/stream-of-three/", first + second, []scriptedAnswer{broken, answer, {status: 200, body: second}}, false},
			} {
				_, server := newServer(t, &fakeCluster{steps: tt.steps}, 9, true)
				resp, body, err := post(t, server, tt.path, "k", "")
				server.Close()
				if resp == nil {
					t.Fatal(err)
				}
				if (err != nil) != tt.aborted {
					t.Errorf("%s: error %v, want an aborted connection: %t", tt.path, err, tt.aborted)
				}
				if diff := cmp.Diff(tt.want, body); diff != "" {
					t.Errorf("%s: stream (-want +got):\n%s", tt.path, diff)
				}
			}
		})
	}
}

// When the caller disconnects, the attempt is cancelled and no other replica is tried.
func TestCallerDisconnects(t *testing.T) {
	w := &fakeCluster{steps: []scriptedAnswer{{status: 200, body: "id: 1\ndata: a\n\n", silent: true}, okAnswer}, cancelled: make(chan struct{})}
	_, server := newServer(t, w, 9, true)
	ctx, cancel := context.WithCancel(context.Background())
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, server.URL+"/stream/", nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "h.example"
	req.Header.Set("Attempt-Id", "a")
	req.Header.Set("Authorization", "Bearer k")
	resp, err := server.Client().Do(req)
	if err != nil {
		t.Fatal(err)
	}
	cancel()
	select {
	case <-w.cancelled:
	case <-time.After(10 * time.Second): // Half of the route's timeout.
		t.Error("the replica's connection is still open")
	}
	_ = resp.Body.Close()
	server.Close()
	if diff := cmp.Diff([]catkinspindle.Outcome{catkinspindle.OutcomeGivenUp}, w.outcomes); diff != "" {
		t.Errorf("outcomes (-want +got):\n%s", diff)
	}
	if len(w.attempts) != 1 {
		t.Errorf("%d attempts, want no retry after the caller disconnected", len(w.attempts))
	}
}

// During a shutdown each answer closes its connection; after RefuseRequests new requests get a 503.
func TestStopping(t *testing.T) {
	w := &fakeCluster{steps: []scriptedAnswer{okAnswer, okAnswer}}
	g, server := newServer(t, w, 9, true)
	g.CloseConnections()
	resp, _, err := post(t, server, "/any/", "k", "")
	if err != nil || resp.StatusCode != 200 || !resp.Close {
		t.Fatalf("answer %v, error %v; want a success that closes the connection", resp, err)
	}
	g.RefuseRequests()
	resp, _, err = post(t, server, "/any/", "k", "")
	server.Close()
	if err != nil || resp.StatusCode != 503 {
		t.Errorf("answer %v, error %v; want 503", resp, err)
	}
	if len(w.attempts) != 1 {
		t.Errorf("%d attempts", len(w.attempts))
	}
}
