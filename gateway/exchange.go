package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/reservations"
)

const (
	// maxPlain is the maximum size in bytes of an answer that is not an event stream.
	// Answers over maxGathered bytes are forwarded without being buffered: 100 concurrent
	// answers must fit into the memory of a VM with 184 MB.
	maxPlain    = 16 << 20
	maxGathered = 256 << 10
	// maxUnsent is the number of attempts that may fail before the request is sent: the
	// replica was unreachable or the memory of a helper could not be reserved.
	maxUnsent = 3
	// maxUnknown bounds the placements on replicas that this node cannot use: unknown,
	// leaving or in a cooldown. During a rollout that replaces a tenth of the replicas
	// per second, the views of two nodes differ by up to ten replicas for the 250 ms
	// between heartbeats; a placement takes 1 to 4 ms.
	maxUnknown = 12
	// minStall is the minimum stall timeout: the time without an event after which another
	// replica is looked for.
	minStall = 1200 * time.Millisecond
	// minRefusal is the minimum Retry-After.
	minRefusal = 250 * time.Millisecond
	// callerStall is the write timeout for a single event or chunk sent to the caller.
	callerStall = 5 * time.Second
)

// exchange is the state of one caller's request and its attempts.
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
	// secured is the placement that takes over when the current replica stalls.
	secured *catkinspindle.Placement
	// sent counts the attempts in which the request was written to a replica, unsent
	// those that failed before that.
	sent   int
	unsent int
	// unknown counts placements on replicas that this node cannot use.
	unknown int
	avoid   []string
	// verdict says whether the request may have been executed, over all attempts.
	verdict catkinspindle.Verdict
	// first is the time from arrival to the first event, or to the answer if it is no stream.
	first time.Duration
	// last is the ID of the last event that the caller has received.
	last string
	// started is true once the response to the caller has begun.
	started bool
	status  int
	model   string
	replica string
	placing time.Duration
	// placedBy is the node that placed the last attempt.
	placedBy string
	// spent is the time that the caller has waited in its earlier requests.
	spent time.Duration
	// expected is the placer's estimate of the time to the first event.
	expected time.Duration
	// limit is the maximum expected time to the first event that admission accepted or
	// would have accepted; check is the admission check that refused the request.
	limit   time.Duration
	check   catkinspindle.Check
	helping int
	delay   time.Duration
	// pause is the longest time between two events so far; eventAt is the time of the last.
	pause   time.Duration
	eventAt time.Time
	// tries counts attempts; it makes the IDs of their reservations unique.
	tries int
}

// serve places and forwards the request until the caller has an answer or no further
// attempt is allowed.
func (x *exchange) serve(ctx context.Context) *catkinspindle.Failure {
	g := x.gateway
	now := time.Now()
	g.budget.Request(now, x.service)
	ctx, cancel := context.WithDeadline(ctx, x.deadline)
	defer cancel()
	x.last = x.envelope.AfterEvent
	defer x.releaseSecured()
	for {
		if f := x.ended(ctx); f != nil {
			return f
		}
		p, ok := x.takeSecured()
		if ok {
			x.note(p)
		} else {
			if x.sent > 0 && !g.budget.Repeat(time.Now(), x.service) {
				return x.fail(catkinspindle.ReasonBackendFailed, "retry budget exhausted")
			}
			p = x.place(ctx, x.avoid)
		}
		if f := x.ended(ctx); f != nil {
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

// ended returns a failure if the deadline has passed or the caller has disconnected.
func (x *exchange) ended(ctx context.Context) *catkinspindle.Failure {
	if ctx.Err() == nil {
		return nil
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return x.fail(catkinspindle.ReasonDeadline, "deadline exceeded")
	}
	return x.fail(reasonGone, "client disconnected")
}

// reasonGone is logged when the caller has disconnected; it is never sent.
const reasonGone catkinspindle.Reason = "caller-gone"

func (x *exchange) fail(r catkinspindle.Reason, text string) *catkinspindle.Failure {
	return catkinspindle.Fail(x.verdict, r, "%s", text).WithRetryAfter(minRefusal)
}

// attempt sends the request to the placed replica. done is true when the caller has its
// answer; if done is false and f is nil, another attempt follows.
func (x *exchange) attempt(ctx context.Context, p catkinspindle.Placement) (done bool, f *catkinspindle.Failure) {
	began := time.Now()
	e := catkinspindle.Ending{Job: p.Job, Replica: p.Replica, Outcome: catkinspindle.OutcomeGivenUp}
	x.replica = p.Replica
	defer func() {
		e.Total = time.Since(began)
		x.gateway.placer.End(e)
	}()
	if _, ok := x.usable(p.Replica); !ok {
		// The coordinator's view differs: this node does not know the replica yet, or the
		// coordinator does not know yet that it is leaving.
		return false, x.skipPlacement(e)
	}
	helpers, release, err := x.reserve(ctx, p)
	if err != nil {
		return false, x.notReserved(ctx, p, &e, err)
	}
	defer release()
	// During the reservation the replica may have begun to leave or started a cooldown.
	replica, probe, ok := x.beginAttempt(p.Replica)
	if !ok {
		return false, x.skipPlacement(e)
	}
	e.Outcome = catkinspindle.OutcomeFailed
	sent, avoid := x.sent+1, append(slices.Clone(x.avoid), p.Replica)
	attemptCtx, stall := newStall(ctx, x.stallLimit(p), func() bool { return x.secure(ctx, sent, avoid) }, x.releaseSecured)
	defer stall.stop()
	answer, err := x.send(attemptCtx, p, replica, helpers, probe, &e)
	if err != nil {
		return false, x.unanswered(ctx, p, &e, err)
	}
	defer func() { _ = answer.Body.Close() }()
	x.sent++
	if answer.NotRun {
		return false, x.turnedAway(ctx, p, answer, &e)
	}
	x.verdict = catkinspindle.Ran
	if answer.Status/100 == 2 && x.route.Streaming {
		return x.stream(ctx, p, answer, stall, &e, began)
	}
	return x.plain(ctx, p, answer, &e, began)
}

// send sends the request once and applies what the answer says about the replica's state.
func (x *exchange) send(ctx context.Context, p catkinspindle.Placement, replica catkinspindle.Replica, helpers []catkinspindle.Helper, probe bool, e *catkinspindle.Ending) (*catkinspindle.Answer, error) {
	answer, err := x.gateway.sender.Send(ctx, x.envelope, catkinspindle.Attempt{
		Replica:    replica,
		Workspace:  x.workspace,
		Left:       time.Until(x.deadline),
		AfterEvent: x.last,
		Version:    x.model,
		Urgency:    p.Urgency,
		Helpers:    helpers,
	}, x.route.Repeat == catkinspindle.RepeatNever)
	if err == nil {
		x.noteAnswer(replica, answer, e)
	}
	if probe {
		x.gateway.cooldown.End(replica)
	}
	return answer, err
}

// notReserved handles an attempt that failed because a helper's memory could not be reserved.
func (x *exchange) notReserved(ctx context.Context, p catkinspindle.Placement, e *catkinspindle.Ending, err error) *catkinspindle.Failure {
	e.Outcome = catkinspindle.OutcomeRefused
	culprit := p.Replica
	var failure *reservations.Failure
	if errors.As(err, &failure) {
		culprit = failure.Replica
		e.Culprit = culprit
	}
	x.logAttempt(p, "memory not reserved", err)
	return x.tryNext(ctx, e, culprit)
}

// unanswered handles an attempt that ended without an answer.
func (x *exchange) unanswered(ctx context.Context, p catkinspindle.Placement, e *catkinspindle.Ending, err error) *catkinspindle.Failure {
	if catkinspindle.AsFailure(err).Verdict == catkinspindle.NotRun {
		e.Outcome = catkinspindle.OutcomeUnreachable
		return x.tryNext(ctx, e, p.Replica)
	}
	x.sent++
	x.verdict = max(x.verdict, catkinspindle.MayHaveRun)
	x.logAttempt(p, "broken", err)
	return x.retry(ctx, e, p.Replica)
}

// turnedAway handles an answer by which the replica refuses the request without running it.
func (x *exchange) turnedAway(ctx context.Context, p catkinspindle.Placement, answer *catkinspindle.Answer, e *catkinspindle.Ending) *catkinspindle.Failure {
	e.Outcome = catkinspindle.OutcomeRefused
	e.Culprit = x.culprit(answer.Culprit)
	_, _ = io.Copy(io.Discard, io.LimitReader(answer.Body, readChunk)) // Drained only so that the connection is reused.
	x.logAttempt(p, "refused, at fault: "+answer.Culprit, nil)
	if e.Culprit != "" && e.Culprit != p.Replica {
		x.avoid = append(x.avoid, e.Culprit)
	}
	return x.retry(ctx, e, p.Replica)
}

// tryNext excludes a replica to which the request was not sent. It returns nil if another
// replica may be tried.
func (x *exchange) tryNext(ctx context.Context, e *catkinspindle.Ending, replica string) *catkinspindle.Failure {
	x.unsent++
	x.avoid = append(x.avoid, replica)
	if x.unsent >= maxUnsent {
		return x.fail(catkinspindle.ReasonNoBackend, "could not reach any replica within the attempt limit")
	}
	if ctx.Err() != nil {
		e.Outcome = catkinspindle.OutcomeGivenUp
	}
	return nil
}

// retry excludes a replica that failed the request. It returns nil if the request may be
// sent to another one.
func (x *exchange) retry(ctx context.Context, e *catkinspindle.Ending, replica string) *catkinspindle.Failure {
	x.avoid = append(x.avoid, replica)
	if f := x.ended(ctx); f != nil {
		e.Outcome = catkinspindle.OutcomeGivenUp
		return f
	}
	if x.route.Repeat == catkinspindle.RepeatNever && x.verdict != catkinspindle.NotRun {
		return x.fail(catkinspindle.ReasonBackendFailed, "the attempt failed and the route forbids a retry of a request that may have run")
	}
	if x.sent >= x.route.MaxAttempts {
		return x.fail(catkinspindle.ReasonBackendFailed, "all attempts failed")
	}
	return nil
}
