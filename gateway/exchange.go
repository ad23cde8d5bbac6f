package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/events"
	"github.com/catkinspindle/catkinspindle/eventstream"
	"github.com/catkinspindle/catkinspindle/reservations"
)

const (
	// maxPlain bounds an answer that is no stream, in bytes.
	maxPlain = 16 << 20
	// maxUnsent bounds the replicas that are tried without a connection.
	maxUnsent = 3
	// minStall is the shortest silence of a replica that counts as a failure.
	minStall = 1200 * time.Millisecond
	// minRefusal is the shortest Retry-After.
	minRefusal = 250 * time.Millisecond
	// callerStall is how long a caller may leave an event unread.
	callerStall = 5 * time.Second
)

// exchange is one request of a caller.
type exchange struct {
	gateway   *Gateway
	w         http.ResponseWriter
	arrived   time.Time
	deadline  time.Time
	version   int64
	route     catkinspindle.Route
	service   string
	workspace string
	priority  int
	envelope  catkinspindle.Envelope
	replicas  map[string]catkinspindle.Replica
	held      int64

	mu sync.Mutex
	// secured is where the request goes when the present replica stays silent.
	secured *catkinspindle.Placement
	// sent counts replicas that the request was written to, unsent those that
	// could not be reached.
	sent   int
	unsent int
	avoid  []string
	// verdict is the highest that any attempt left open.
	verdict catkinspindle.Verdict
	// first is the time to the first event or answer.
	first time.Duration
	last  string
	// started is true once the answer's head has been sent to the caller.
	started bool
	status  int
	model   string
	replica string
	placing time.Duration
	// placedBy is the node that placed the last attempt.
	placedBy string
	// spent is the time that the caller has waited in earlier attempts.
	spent time.Duration
	// expected is the placer's estimate of the time to the first event.
	expected time.Duration
	helping  int
	delay    time.Duration
	// pause is the longest pause between events so far, since the last one.
	pause   time.Duration
	eventAt time.Time
	// tries counts placements; it tells apart their reservations.
	tries int
}

// serve places and forwards the request until it has an answer or a failure.
func (x *exchange) serve(ctx context.Context) *catkinspindle.Failure {
	g := x.gateway
	now := time.Now()
	g.budget.Request(now, x.service)
	ctx, cancel := context.WithDeadline(ctx, x.deadline)
	defer cancel()
	x.last = x.envelope.AfterEvent
	defer x.stay()
	for {
		if f := x.over(ctx); f != nil {
			return f
		}
		p, ok := x.takeSecured()
		if ok {
			x.note(p)
		} else {
			if x.sent > 0 && !g.budget.Repeat(time.Now(), x.service) {
				return x.fail(catkinspindle.ReasonBackendFailed, "the budget of repeats is used up")
			}
			p = x.place(ctx, x.avoid)
		}
		if f := x.over(ctx); f != nil {
			if !p.Refused() {
				g.placer.End(catkinspindle.Ending{Job: p.Job, Replica: p.Replica, Outcome: catkinspindle.OutcomeGivenUp})
			}
			return f
		}
		if p.Refused() {
			return x.refused(p)
		}
		if f := x.wait(ctx, p); f != nil {
			return f
		}
		done, f := x.attempt(ctx, p)
		if done || f != nil {
			return f
		}
	}
}

// wait waits until the placed replicas have read what was placed before.
func (x *exchange) wait(ctx context.Context, p catkinspindle.Placement) *catkinspindle.Failure {
	if p.Delay <= 0 {
		return nil
	}
	timer := time.NewTimer(p.Delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		x.gateway.placer.End(catkinspindle.Ending{Job: p.Job, Replica: p.Replica, Outcome: catkinspindle.OutcomeGivenUp})
		return x.over(ctx)
	}
}

func (x *exchange) over(ctx context.Context) *catkinspindle.Failure {
	if ctx.Err() == nil {
		return nil
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return x.fail(catkinspindle.ReasonDeadline, "the time is over")
	}
	return x.fail(reasonGone, "the caller has gone")
}

// reasonGone is logged for callers that have closed their connection.
const reasonGone catkinspindle.Reason = "caller-gone"

func (x *exchange) fail(r catkinspindle.Reason, text string) *catkinspindle.Failure {
	return catkinspindle.Fail(x.verdict, r, "%s", text).WithRetryAfter(minRefusal)
}

func (x *exchange) refused(p catkinspindle.Placement) *catkinspindle.Failure {
	f := catkinspindle.Fail(x.verdict, p.Reason, "no replica can serve the request in time")
	return f.WithRetryAfter(max(minRefusal, p.RetryAfter))
}

// secure finds another replica for a request whose present one is silent. sent
// counts the attempts with this one; avoid names the replicas tried.
func (x *exchange) secure(ctx context.Context, sent int, avoid []string) bool {
	if x.route.Repeat == catkinspindle.RepeatNever || sent >= x.route.MaxAttempts {
		return false
	}
	if !x.gateway.budget.Repeat(time.Now(), x.service) {
		return false
	}
	p := x.job(ctx, avoid, true)
	if p.Refused() {
		return false
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.secured = &p
	return true
}

// takeSecured returns the placement that secure has found.
func (x *exchange) takeSecured() (catkinspindle.Placement, bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.secured == nil {
		return catkinspindle.Placement{}, false
	}
	p := *x.secured
	x.secured = nil
	return p, true
}

// stay gives back a placement that secure has found and nobody needs.
func (x *exchange) stay() {
	if p, ok := x.takeSecured(); ok {
		x.gateway.placer.End(catkinspindle.Ending{Job: p.Job, Replica: p.Replica, Outcome: catkinspindle.OutcomeGivenUp})
	}
}

func (x *exchange) note(p catkinspindle.Placement) {
	x.placedBy, x.expected, x.helping, x.delay = p.By, p.First, len(p.Helpers), p.Delay
}

func (x *exchange) place(ctx context.Context, avoid []string) catkinspindle.Placement {
	now := time.Now()
	p := x.job(ctx, avoid, x.sent > 0)
	x.placing += time.Since(now)
	x.note(p)
	return p
}

// job has the request placed.
func (x *exchange) job(ctx context.Context, avoid []string, again bool) catkinspindle.Placement {
	now := time.Now()
	return x.gateway.placer.Place(ctx, catkinspindle.Job{
		Service:    x.service,
		Prompt:     x.envelope.PromptTokens,
		Answer:     x.envelope.AnswerTokens,
		Left:       x.deadline.Sub(now),
		Aim:        x.arrived.Add(x.route.Aim - x.spent).Sub(now),
		Returned:   x.spent > 0,
		MaxPause:   x.route.MaxPause,
		Priority:   x.priority,
		Avoid:      avoid,
		Again:      again,
		DataCentre: x.gateway.dataCentre,
	})
}

// attempt sends the request to the placed replica. done is true when the
// caller has its answer; otherwise a nil failure asks for another attempt.
func (x *exchange) attempt(ctx context.Context, p catkinspindle.Placement) (done bool, f *catkinspindle.Failure) {
	g := x.gateway
	began := time.Now()
	e := catkinspindle.Ending{Job: p.Job, Replica: p.Replica}
	x.replica = p.Replica
	x.replicas = g.view.State().Replicas
	replica, ok := x.replicas[p.Replica]
	if !ok || replica.Service != x.service || replica.Leaving {
		// The coordinator knows a replica that this node has not heard of.
		e.Outcome = catkinspindle.OutcomeGivenUp
		g.placer.End(e)
		return false, x.next(ctx, &e, p.Replica)
	}
	e.Outcome = catkinspindle.OutcomeFailed
	defer func() {
		e.Total = time.Since(began)
		g.placer.End(e)
	}()
	helpers, release, err := x.reserve(ctx, p)
	if err != nil {
		e.Outcome = catkinspindle.OutcomeRefused
		culprit := p.Replica
		var failure *reservations.Failure
		if errors.As(err, &failure) {
			culprit = failure.Replica
			e.Culprit = culprit
		}
		x.logAttempt(p, "memory not reserved", err)
		return false, x.next(ctx, &e, culprit)
	}
	defer release()
	sent, avoid := x.sent+1, append(slices.Clone(x.avoid), p.Replica)
	attemptCtx, stall := newStall(ctx, x.stallLimit(p), func() bool { return x.secure(ctx, sent, avoid) }, x.stay)
	defer stall.stop()
	answer, err := g.sender.Send(attemptCtx, x.envelope, catkinspindle.Attempt{
		Replica:    replica,
		Workspace:  x.workspace,
		Left:       time.Until(x.deadline),
		AfterEvent: x.last,
		Version:    x.model,
		Urgency:    p.Urgency,
		Helpers:    helpers,
	}, x.route.Repeat == catkinspindle.RepeatNever)
	if err != nil {
		failure := catkinspindle.AsFailure(err)
		if failure.Verdict == catkinspindle.NotRun {
			e.Outcome = catkinspindle.OutcomeUnreachable
			return false, x.next(ctx, &e, p.Replica)
		}
		x.sent++
		x.verdict = max(x.verdict, catkinspindle.MayHaveRun)
		x.logAttempt(p, "broken", err)
		return false, x.retry(ctx, &e, p.Replica)
	}
	defer func() { _ = answer.Body.Close() }()
	x.sent++
	if answer.NotRun {
		e.Outcome = catkinspindle.OutcomeRefused
		e.Culprit = x.culprit(answer.Culprit)
		_, _ = io.Copy(io.Discard, io.LimitReader(answer.Body, readChunk)) // Only to keep the connection.
		x.logAttempt(p, "refused, at fault: "+answer.Culprit, nil)
		if e.Culprit != "" && e.Culprit != p.Replica {
			x.avoid = append(x.avoid, e.Culprit)
		}
		return false, x.retry(ctx, &e, p.Replica)
	}
	x.verdict = catkinspindle.Ran
	if answer.Status/100 == 2 && x.route.Streaming {
		return x.stream(ctx, p, answer, stall, &e, began)
	}
	return x.plain(ctx, p, answer, &e, began)
}

// culprit returns the ID of the replica that an answer names by ID or address.
func (x *exchange) culprit(name string) string {
	if _, ok := x.replicas[name]; ok || name == "" {
		return name
	}
	for id, r := range x.replicas {
		if r.Address == name {
			return id
		}
	}
	return ""
}

// next moves on to another replica after one that got nothing.
func (x *exchange) next(ctx context.Context, e *catkinspindle.Ending, replica string) *catkinspindle.Failure {
	x.unsent++
	x.avoid = append(x.avoid, replica)
	if x.unsent >= maxUnsent {
		return x.fail(catkinspindle.ReasonNoBackend, "no replica could be reached")
	}
	if ctx.Err() != nil {
		e.Outcome = catkinspindle.OutcomeGivenUp
	}
	return nil
}

// retry returns nil when the request may go to another replica.
func (x *exchange) retry(ctx context.Context, e *catkinspindle.Ending, replica string) *catkinspindle.Failure {
	x.avoid = append(x.avoid, replica)
	if f := x.over(ctx); f != nil {
		e.Outcome = catkinspindle.OutcomeGivenUp
		return f
	}
	if x.route.Repeat == catkinspindle.RepeatNever && x.verdict != catkinspindle.NotRun {
		return x.fail(catkinspindle.ReasonBackendFailed, "the replica broke off and the request may run once only")
	}
	if x.sent >= x.route.MaxAttempts {
		return x.fail(catkinspindle.ReasonBackendFailed, "all attempts failed")
	}
	return nil
}

// helpers returns the replicas that read parts, with the reservations that they
// need.
func (x *exchange) helpers(p catkinspindle.Placement) ([]catkinspindle.Helper, []catkinspindle.Reservation, error) {
	var (
		list  []catkinspindle.Helper
		holds []catkinspindle.Reservation
	)
	for i, id := range p.Helpers {
		r, ok := x.replicas[id]
		if !ok || r.Service != x.service || r.Leaving {
			if len(p.Holds) > 0 {
				return nil, nil, &reservations.Failure{Replica: id, Err: errors.New("the replica is not known here")}
			}
			continue
		}
		h := catkinspindle.Helper{Address: r.Address}
		if len(p.Holds) > i && p.Holds[i] > 0 {
			h.Reservation = fmt.Sprintf("%s-%d", x.envelope.ID, x.tries)
			holds = append(holds, catkinspindle.Reservation{ID: h.Reservation, Replica: r, Tokens: p.Holds[i]})
		}
		list = append(list, h)
	}
	return list, holds, nil
}

// reserve makes the reservations that a placement asks for.
func (x *exchange) reserve(ctx context.Context, p catkinspindle.Placement) ([]catkinspindle.Helper, func(), error) {
	x.tries++
	helpers, holds, err := x.helpers(p)
	if err != nil || len(holds) == 0 {
		return helpers, func() {}, err
	}
	release, err := x.gateway.keeper.Acquire(ctx, holds)
	return helpers, release, err
}

// stallLimit is the silence after which the replica counts as failed.
func (x *exchange) stallLimit(p catkinspindle.Placement) time.Duration {
	if !x.route.Streaming {
		return max(minStall, 4*x.route.Aim)
	}
	return max(minStall, 3*p.First, 3*x.route.MaxPause, 4*x.route.Aim)
}

// plain forwards an answer that is no stream.
func (x *exchange) plain(ctx context.Context, p catkinspindle.Placement, answer *catkinspindle.Answer, e *catkinspindle.Ending, began time.Time) (bool, *catkinspindle.Failure) {
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxPlain+1))
	if err == nil && len(body) > maxPlain {
		err = errors.New("answer is too large")
	}
	if err != nil {
		x.logAttempt(p, "broken", err)
		return false, x.retry(ctx, e, p.Replica)
	}
	e.First = time.Since(began)
	if answer.Status >= http.StatusInternalServerError {
		x.logAttempt(p, "failed with status "+strconv.Itoa(answer.Status), nil)
		if x.route.Repeat != catkinspindle.RepeatNever && x.retry(ctx, e, p.Replica) == nil && !x.started {
			return false, nil
		}
		if x.started {
			return false, x.fail(catkinspindle.ReasonBackendFailed, "the replica could not go on")
		}
	} else {
		e.Outcome = catkinspindle.OutcomeDone
	}
	if x.started {
		return false, x.fail(catkinspindle.ReasonBackendFailed, "the answer to a resumed stream is no stream")
	}
	x.first = time.Since(x.arrived)
	x.head(answer)
	x.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	x.w.WriteHeader(answer.Status)
	if _, err := x.w.Write(body); err != nil {
		return true, x.fail(reasonGone, "the caller has gone")
	}
	return true, nil
}

func (x *exchange) head(answer *catkinspindle.Answer) {
	x.started = true
	x.status = answer.Status
	x.model = answer.Version
	h := x.w.Header()
	for name, values := range answer.Header {
		h[name] = values
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil
	}
}

// stream forwards whole events as they come.
func (x *exchange) stream(ctx context.Context, p catkinspindle.Placement, answer *catkinspindle.Answer, stall *stall, e *catkinspindle.Ending, began time.Time) (bool, *catkinspindle.Failure) {
	reader := eventstream.New(answer.Body)
	control := http.NewResponseController(x.w)
	for {
		event, err := reader.Next()
		if errors.Is(err, io.EOF) {
			e.Outcome = catkinspindle.OutcomeDone
			if !x.started {
				x.head(answer)
				x.w.WriteHeader(answer.Status)
			}
			return true, nil
		}
		if err == nil {
			err = x.follows(event)
		}
		if errors.Is(err, errPassed) {
			continue
		}
		if err != nil {
			if ctx.Err() == nil {
				x.logAttempt(p, "stream broken after event "+x.last, err)
			}
			if f := x.retry(ctx, e, p.Replica); f != nil {
				return false, f
			}
			if x.route.Repeat != catkinspindle.RepeatResume && x.started {
				return false, x.fail(catkinspindle.ReasonBackendFailed, "the stream cannot be resumed")
			}
			return false, nil
		}
		stall.reset()
		if e.First == 0 {
			e.First = time.Since(began)
		}
		if !x.started {
			x.first = time.Since(x.arrived)
			x.head(answer)
			x.w.WriteHeader(answer.Status)
		}
		err = control.SetWriteDeadline(time.Now().Add(callerStall))
		if err == nil {
			_, err = x.w.Write(event.Bytes)
		}
		if err == nil {
			err = control.Flush()
		}
		if err != nil {
			e.Outcome = catkinspindle.OutcomeGivenUp
			return false, x.fail(reasonGone, "the caller has gone")
		}
		if event.ID != "" {
			x.last = event.ID
		}
		now := time.Now()
		if !x.eventAt.IsZero() {
			x.pause = max(x.pause, now.Sub(x.eventAt))
		}
		x.eventAt = now
	}
}

var (
	errPassed = errors.New("event was passed on before")
	errGap    = errors.New("events are missing")
)

// follows checks that an event is the one after the last that was passed on.
func (x *exchange) follows(event eventstream.Event) error {
	last, err := strconv.ParseInt(x.last, 10, 64)
	if err != nil {
		return nil
	}
	n, err := event.Number()
	if err != nil {
		return nil
	}
	if n <= last {
		return errPassed
	}
	if n > last+1 {
		return errGap
	}
	return nil
}

// end writes the failure, if any, and the log line of the request.
func (x *exchange) end(r *http.Request, f *catkinspindle.Failure) {
	g := x.gateway
	g.held.Add(-x.held)
	total := time.Since(x.arrived)
	abort := f != nil && (x.started || f.Reason == reasonGone)
	if f != nil && !abort {
		x.status = writeFailure(x.w, f)
	}
	x.measure(f, total)
	attrs := []any{
		events.RequestEnded.Attr(), "request", x.envelope.ID, "route", x.route.Name, "workspace", x.workspace,
		"status", x.status, "total", total, "first", x.first, "expected-first", x.expected, "longest-pause", x.pause, "helpers", x.helping, "delay", x.delay, "placing", x.placing, "placed-by", x.placedBy, "waits", x.envelope.Timeout, "spent", x.spent, "attempts", x.sent, "replica", x.replica,
		"prompt-tokens", x.envelope.PromptTokens, "version", x.version, "replicas-revision", x.gateway.view.State().ReplicasRevision,
	}
	if f == nil {
		g.log.Info("request answered", attrs...)
		return
	}
	attrs = append(attrs, "reason", string(f.Reason), "verdict", f.Verdict.String(), "retry-after", f.RetryAfter, "cause", f.Err.Error(), "cut", abort)
	if x.envelope.ID == "" {
		attrs = append(attrs, "host", r.Host, "target", r.RequestURI)
	}
	g.log.Info("request failed", attrs...)
	if abort {
		panic(http.ErrAbortHandler)
	}
}

func (x *exchange) measure(f *catkinspindle.Failure, total time.Duration) {
	m := x.gateway.metrics
	name := "requests-answered"
	if f != nil {
		name = "requests-failed-" + string(f.Reason)
	}
	metrics.GetOrRegisterCounter(name, m).Inc(1)
	if f == nil {
		metrics.GetOrRegisterTimer("request-time", m).Update(total)
		metrics.GetOrRegisterTimer("first-event-time", m).Update(x.first)
	}
}

func (x *exchange) logAttempt(p catkinspindle.Placement, outcome string, err error) {
	attrs := []any{events.ReplicaFailed.Attr(), "request", x.envelope.ID, "replica", p.Replica, "helpers", len(p.Helpers), "outcome", outcome, "expected-first", p.First}
	if err != nil {
		attrs = append(attrs, "error", err.Error())
	}
	x.gateway.log.Info("attempt failed", attrs...)
}
