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
	// maxPlain bounds an answer that is no stream, in bytes. What is over maxGathered
	// is passed on as it comes: a hundred answers at once must fit into the memory of
	// a VM with 184 MB.
	maxPlain    = 16 << 20
	maxGathered = 256 << 10
	// maxUnsent bounds the replicas that are tried without a connection.
	maxUnsent = 3
	// maxUnknown bounds the placements on replicas that this node does not know yet or
	// knows to be leaving. While a release replaces a tenth of the replicas a second,
	// up to ten differ for the 250 ms between heartbeats; a placement takes 1 to 4 ms.
	maxUnknown = 12
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
	// unknown counts placements on replicas that this node could not use.
	unknown int
	avoid   []string
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
	// limit is the latest first event that was accepted, check what refused the request.
	limit   time.Duration
	check   catkinspindle.Check
	helping int
	delay   time.Duration
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
				return x.fail(catkinspindle.ReasonBackendFailed, "the budget of repeats is used up")
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

func (x *exchange) ended(ctx context.Context) *catkinspindle.Failure {
	if ctx.Err() == nil {
		return nil
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return x.fail(catkinspindle.ReasonDeadline, "deadline exceeded")
	}
	return x.fail(reasonGone, "client disconnected")
}

// reasonGone is logged for callers that have closed their connection.
const reasonGone catkinspindle.Reason = "caller-gone"

func (x *exchange) fail(r catkinspindle.Reason, text string) *catkinspindle.Failure {
	return catkinspindle.Fail(x.verdict, r, "%s", text).WithRetryAfter(minRefusal)
}

// attempt sends the request to the placed replica. done is true when the
// caller has its answer; otherwise a nil failure asks for another attempt.
func (x *exchange) attempt(ctx context.Context, p catkinspindle.Placement) (done bool, f *catkinspindle.Failure) {
	began := time.Now()
	e := catkinspindle.Ending{Job: p.Job, Replica: p.Replica, Outcome: catkinspindle.OutcomeGivenUp}
	x.replica = p.Replica
	defer func() {
		e.Total = time.Since(began)
		x.gateway.placer.End(e)
	}()
	if _, ok := x.usable(p.Replica); !ok {
		// The coordinator knows a replica that is not on the list of this node, or does not
		// know yet that it leaves.
		return false, x.skipPlacement(e)
	}
	helpers, release, err := x.reserve(ctx, p)
	if err != nil {
		return false, x.notReserved(ctx, p, &e, err)
	}
	defer release()
	// The replica may have begun to leave, or refused another request, meanwhile.
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

// send sends the request and notes what the answer says of the replica.
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

// notReserved goes on after memory that the request needs could not be set aside.
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

// unanswered goes on after an attempt without an answer.
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

// turnedAway goes on after a refusal of the replica.
func (x *exchange) turnedAway(ctx context.Context, p catkinspindle.Placement, answer *catkinspindle.Answer, e *catkinspindle.Ending) *catkinspindle.Failure {
	e.Outcome = catkinspindle.OutcomeRefused
	e.Culprit = x.culprit(answer.Culprit)
	_, _ = io.Copy(io.Discard, io.LimitReader(answer.Body, readChunk)) // Only to keep the connection.
	x.logAttempt(p, "refused, at fault: "+answer.Culprit, nil)
	if e.Culprit != "" && e.Culprit != p.Replica {
		x.avoid = append(x.avoid, e.Culprit)
	}
	return x.retry(ctx, e, p.Replica)
}

// tryNext moves on to another replica after one that got nothing.
func (x *exchange) tryNext(ctx context.Context, e *catkinspindle.Ending, replica string) *catkinspindle.Failure {
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
	if f := x.ended(ctx); f != nil {
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
