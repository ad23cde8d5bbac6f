package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/inbound"
)

const (
	// maxPlainBytes is the maximum size in bytes of an answer that is not an event stream.
	// Answers over maxBufferedBytes are forwarded without being buffered: 100 concurrent
	// answers must fit into the memory of a VM with 184 MB.
	maxPlainBytes    = 16 << 20
	maxBufferedBytes = 256 << 10
	// maxUnsent is the number of attempts that may fail before the request is sent: the
	// replica was unreachable or the memory of a helper could not be reserved.
	maxUnsent = 3
	// maxUnusable bounds the placements on replicas that this node cannot use: unknown,
	// leaving or in a cooldown. During a rollout that replaces a tenth of the replicas
	// per second, the views of two nodes differ by up to ten replicas for the 250 ms
	// between heartbeats; a placement takes 1 to 4 ms.
	maxUnusable = 12
	// minStallTimeout is the minimum stall timeout: the time without an event after which
	// the request is placed on another replica.
	minStallTimeout = 1200 * time.Millisecond
	// failedRetryAfter is the Retry-After when replicas failed: the interval between heartbeats,
	// with which nodes tell each other what they know of replicas.
	failedRetryAfter = 250 * time.Millisecond
	// permitLifetime is how long after its time a request may be sent to a rate-limited replica.
	permitLifetime = 300 * time.Millisecond
	// maxRefusedTime is how long a stream that has begun is offered to the placer again when it is
	// refused.
	maxRefusedTime = time.Second
	// callerWriteTimeout is the write timeout for a single event or chunk sent to the caller.
	callerWriteTimeout = 5 * time.Second
)

// exchange is the state of one caller's request and its attempts.
type exchange struct {
	gateway       *Gateway
	w             http.ResponseWriter
	arrivedAt     time.Time
	deadline      time.Time
	configVersion int64
	route         catkinspindle.Route
	service       string
	workspace     string
	priority      int
	envelope      catkinspindle.Envelope
	replicas      map[string]catkinspindle.Replica
	// body is the memory of the request body; nil if there is none.
	body *inbound.Holding
	// bodyRead is true once the whole body has been read.
	bodyRead bool
	// keys are the keys under which crashes of replicas are recorded. isTrial is true if the
	// request may be sent once although one of them is held.
	keys    []catkinspindle.RequestKey
	isTrial bool

	// standby is true in the copy that a takeover uses, beside has the attempts that run beside it
	// and are not in sent.
	standby bool
	beside  []*attempt
	// sent counts the attempts in which the request was written to a replica, unsent those that
	// failed before that. rejected counts the rejections that are not in sent.
	sent     int
	rejected int
	unsent   int
	// unusable counts placements on replicas that this node cannot use.
	unusable int
	avoid    []string
	// verdict says whether the request may have been executed, over all attempts.
	verdict catkinspindle.Verdict
	// timeToFirstEvent is the time from arrival to the first event, or to the answer if it is no
	// stream.
	timeToFirstEvent time.Duration
	// lastEventID is the ID of the last event that the caller has received.
	lastEventID string
	// responseBegun is true once the response to the caller has begun.
	responseBegun bool
	status        int
	modelVersion  string
	replica       string
	placingTime   time.Duration
	// placedBy is the node that placed the last attempt.
	placedBy string
	// expectedFirstEvent is the placer's estimate of the time to the first event.
	expectedFirstEvent time.Duration
	// expectedWait and slowdown are the parts of expectedFirstEvent of a long prompt.
	expectedWait time.Duration
	slowdown     float64
	// firstEventLimit is the maximum expected time to the first event that admission accepted or
	// would have accepted; check is the admission check that refused the request.
	firstEventLimit time.Duration
	check           catkinspindle.Check
	helperCount     int
	delay           time.Duration
	// longestEventGap is the longest time between two events so far, lastEventAt the time of the
	// last one.
	longestEventGap time.Duration
	lastEventAt     time.Time
	// broken is set while an attempt ends whose connection broke.
	broken *brokenAttempt
	// sending is true while the request is being sent, so that its verdict is not known yet.
	sending bool
	// control is the controller of w, and endWrite ends a write to the caller. Both are nil before the first write.
	control  *http.ResponseController
	endWrite func()
	// attemptCount counts attempts; it makes the IDs of their reservations unique.
	attemptCount int
}

// serve places and forwards the request until the caller has an answer or no further
// attempt is allowed.
func (x *exchange) serve(ctx context.Context) *catkinspindle.Failure {
	g := x.gateway
	now := time.Now()
	g.budget.CountRequest(now, x.service)
	ctx, cancel := context.WithDeadline(ctx, x.deadline)
	defer cancel()
	ctx, cancelCause := context.WithCancelCause(ctx)
	defer cancelCause(nil)
	defer context.AfterFunc(g.ended, func() { cancelCause(errNodeStopped) })()
	x.lastEventID = x.envelope.AfterEvent
	x.checkTrial(ctx)
	var (
		counted      bool // The next retry is in the budget.
		refusedSince time.Time
	)
	for {
		if f := x.contextFailure(ctx); f != nil {
			return f
		}
		if f := x.heldFailure(); f != nil {
			return f
		}
		if x.arrivals() > 0 && !counted && !g.budget.AllowRetry(time.Now(), x.service) {
			return x.fail(catkinspindle.ReasonBackendFailed, "retry budget exhausted")
		}
		counted = true
		p := x.place(ctx, x.avoid)
		if f := x.contextFailure(ctx); f != nil {
			if !p.Refused() {
				g.placer.ReportResult(catkinspindle.AttemptResult{JobID: p.JobID, Replica: p.Replica, Outcome: catkinspindle.OutcomeGivenUp})
			}
			return f
		}
		if p.Refused() {
			if refusedSince.IsZero() {
				refusedSince = time.Now()
			}
			if x.responseBegun && time.Since(refusedSince) < maxRefusedTime {
				// A caller that has a part of the stream cannot be told to return.
				_ = sleep(ctx, standbyRetry) // The loop checks ctx.
				continue
			}
			return x.refusal(p)
		}
		counted, refusedSince = false, time.Time{}
		if f := x.waitDelay(ctx, p); f != nil {
			return f
		}
		done, f := x.attempt(ctx, p)
		if done || f != nil {
			return f
		}
	}
}

// sleep waits for d or until ctx is done.
func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

var errNodeStopped = errors.New("the node stops")

// contextFailure returns a failure if the deadline has passed, the caller has disconnected or
// the node stops.
func (x *exchange) contextFailure(ctx context.Context) *catkinspindle.Failure {
	if ctx.Err() == nil {
		return nil
	}
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return x.fail(catkinspindle.ReasonDeadline, "deadline exceeded")
	case errors.Is(context.Cause(ctx), errNodeStopped):
		return x.fail(catkinspindle.ReasonStopping, "the node stopped before the answer was complete")
	}
	return x.fail(reasonCallerGone, "client disconnected")
}

// reasonCallerGone is logged when the caller has disconnected; it is never sent.
const reasonCallerGone catkinspindle.Reason = "caller-gone"

func (x *exchange) fail(r catkinspindle.Reason, text string) *catkinspindle.Failure {
	return catkinspindle.Fail(x.verdict, r, "%s", text).WithRetryAfter(failedRetryAfter)
}

// arrivals returns how often the request has been sent to a replica.
func (x *exchange) arrivals() int { return x.sent + x.rejected + len(x.beside) }

// mayRun returns how many replicas the request may have run on.
func (x *exchange) mayRun() int {
	n := x.sent
	for _, a := range x.beside {
		if !a.notRun.Load() {
			n++
		}
	}
	return n
}

// attempt sends the request to the placed replica, and to others while that one is silent. done is
// true when the caller has its answer; if done is false and f is nil, another attempt follows.
func (x *exchange) attempt(ctx context.Context, p catkinspindle.Placement) (done bool, f *catkinspindle.Failure) {
	a := newAttempt(ctx, p)
	defer func() {
		if v := recover(); v != nil {
			failure := x.endRecovered(a, v)
			if !done {
				f = failure
			}
			return
		}
		x.end(a)
	}()
	helpers, probe, ok, f := x.prepare(a)
	if !ok {
		return false, f
	}
	t := x.watch(ctx, a)
	defer func() { x.settle(t, true, 0) }()
	answered := x.trySend(a, helpers, probe)
	for {
		if answered {
			done, f = x.forward(a, t)
		}
		if ctx.Err() != nil && !done {
			a.result.Outcome = catkinspindle.OutcomeGivenUp
		}
		x.end(a)
		next := x.settle(t, done || f != nil, 0)
		if next == nil {
			break
		}
		x.recordPlacement(next.placement)
		x.replica, x.verdict = next.replica.ID, catkinspindle.Ran
		a, t, answered = next, x.watch(ctx, next), true
	}
	if done || f != nil {
		return done, f
	}
	if f := x.contextFailure(ctx); f != nil {
		return false, f
	}
	return false, x.retryFailure()
}
