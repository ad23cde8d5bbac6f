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
	// minRetryAfter is the minimum Retry-After.
	minRetryAfter = 250 * time.Millisecond
	// permitLifetime is how long after its time a request may be sent to a rate-limited replica.
	permitLifetime = 300 * time.Millisecond
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
	bodyBytes     int64
	// keys are the keys under which crashes of replicas are recorded. isTrial is true if the
	// request may be sent once although one of them is held.
	keys    []catkinspindle.RequestKey
	isTrial bool

	mu sync.Mutex
	// failover is the placement that takes over when the current replica stalls.
	failover *catkinspindle.Placement
	// sent counts the attempts in which the request was written to a replica, unsent
	// those that failed before that.
	sent   int
	unsent int
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
	// alreadyWaited is the time that the caller has waited in its earlier requests.
	alreadyWaited time.Duration
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
	// running is the current attempt.
	running runningAttempt
	// broken is set while an attempt ends whose connection broke.
	broken *brokenAttempt
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
	defer x.releaseFailover()
	x.checkTrial(ctx)
	for {
		if f := x.contextFailure(ctx); f != nil {
			return f
		}
		if f := x.heldFailure(); f != nil {
			return f
		}
		p, ok := x.takeFailover()
		if ok {
			x.recordPlacement(p)
		} else {
			if x.sent > 0 && !g.budget.AllowRetry(time.Now(), x.service) {
				return x.fail(catkinspindle.ReasonBackendFailed, "retry budget exhausted")
			}
			p = x.place(ctx, x.avoid)
		}
		if f := x.contextFailure(ctx); f != nil {
			if !p.Refused() {
				g.placer.ReportResult(catkinspindle.AttemptResult{JobID: p.JobID, Replica: p.Replica, Outcome: catkinspindle.OutcomeGivenUp})
			}
			return f
		}
		if p.Refused() {
			return x.refusal(p)
		}
		if f := x.waitDelay(ctx, p); f != nil {
			return f
		}
		done, f := x.attempt(ctx, p)
		if done || f != nil {
			return f
		}
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
	return catkinspindle.Fail(x.verdict, r, "%s", text).WithRetryAfter(minRetryAfter)
}

// attempt sends the request to the placed replica. done is true when the caller has its
// answer; if done is false and f is nil, another attempt follows.
func (x *exchange) attempt(ctx context.Context, p catkinspindle.Placement) (done bool, f *catkinspindle.Failure) {
	startedAt := time.Now()
	result := catkinspindle.AttemptResult{JobID: p.JobID, Replica: p.Replica, Outcome: catkinspindle.OutcomeGivenUp}
	x.replica = p.Replica
	report := x.report
	defer func() {
		result.Duration = time.Since(startedAt)
		report(result)
	}()
	if _, ok := x.usableReplica(p.Replica); !ok {
		// The coordinator's view differs: the replica is not yet in this node's list, or its
		// departure has not yet reached the coordinator.
		return false, x.skipPlacement(result)
	}
	helpers, release, err := x.reserve(ctx, p)
	if err != nil {
		report = func(r catkinspindle.AttemptResult) { x.reportReservation(r, err) }
		return false, x.handleReservationError(ctx, p, &result, err)
	}
	defer release()
	// The replica may have begun to leave or a cooldown while the memory was reserved.
	replica, probe, ok := x.beginAttempt(p)
	if !ok {
		return false, x.skipPlacement(result)
	}
	if f := x.heldFailure(); f != nil {
		if probe {
			x.gateway.cooldown.EndProbe(replica)
		}
		return false, f
	}
	result.Outcome = catkinspindle.OutcomeFailed
	sent, avoid := x.sent+1, append(slices.Clone(x.avoid), p.Replica)
	attemptCtx, stall := newStallTimer(ctx, x.stallTimeout(p), func() bool { return x.placeFailover(ctx, sent, avoid) }, x.releaseFailover)
	defer stall.stop()
	x.expectData(attemptCtx, p, replica)
	defer x.gateway.silence.End(replica, p.JobID)
	answer, err := x.send(attemptCtx, p, replica, helpers, probe, &result)
	if err != nil {
		return false, x.handleSendError(ctx, p, replica, &result, err)
	}
	defer func() { _ = answer.Body.Close() }()
	x.sent++
	if answer.NotRun {
		return false, x.handleRefusal(ctx, p, answer, &result)
	}
	x.verdict = catkinspindle.Ran
	if answer.Status/100 == 2 && x.route.Streaming {
		return x.forwardEvents(ctx, p, replica, answer, stall, &result, startedAt)
	}
	return x.forwardPlain(ctx, p, replica, answer, &result, startedAt)
}

// send sends the request once and applies the replica's state that the answer reports.
func (x *exchange) send(ctx context.Context, p catkinspindle.Placement, replica catkinspindle.Replica, helpers []catkinspindle.Helper, probe bool, result *catkinspindle.AttemptResult) (*catkinspindle.Answer, error) {
	sentAt := time.Now()
	answer, err := x.gateway.sender.Send(ctx, x.envelope, catkinspindle.Attempt{
		Replica:    replica,
		Workspace:  x.workspace,
		TimeLeft:   time.Until(x.deadline),
		AfterEvent: x.lastEventID,
		Version:    x.modelVersion,
		Urgency:    p.Urgency,
		Helpers:    helpers,
	}, x.route.RetryMode == catkinspindle.RetryNever)
	if err == nil {
		x.applyReplicaState(replica, answer, result)
		x.recordRateLimit(sentAt, replica, answer)
	}
	if probe {
		x.gateway.cooldown.EndProbe(replica)
	}
	return answer, err
}

// handleReservationError handles an attempt that failed because a helper's memory could not
// be reserved.
func (x *exchange) handleReservationError(ctx context.Context, p catkinspindle.Placement, result *catkinspindle.AttemptResult, err error) *catkinspindle.Failure {
	result.Outcome = catkinspindle.OutcomeRefused
	faulty := p.Replica
	var failure *reservations.Failure
	if errors.As(err, &failure) {
		faulty = failure.Replica
		result.FaultyReplica = faulty
	}
	x.logFailedAttempt(p, "memory not reserved", err)
	return x.retryUnsent(ctx, result, faulty)
}

// handleSendError handles an attempt that ended without an answer.
func (x *exchange) handleSendError(ctx context.Context, p catkinspindle.Placement, replica catkinspindle.Replica, result *catkinspindle.AttemptResult, err error) *catkinspindle.Failure {
	if catkinspindle.AsFailure(err).Verdict == catkinspindle.NotRun {
		result.Outcome, _ = connectOutcome(err)
		x.logFailedAttempt(p, result.Outcome.String(), err)
		return x.retryUnsent(ctx, result, p.Replica)
	}
	x.sent++
	x.verdict = max(x.verdict, catkinspindle.MayHaveRun)
	x.logFailedAttempt(p, "broken", err)
	x.broke(replica, err, false)
	return x.retrySent(ctx, result, p.Replica)
}

// handleRefusal handles an answer that states that the replica did not run the request.
func (x *exchange) handleRefusal(ctx context.Context, p catkinspindle.Placement, answer *catkinspindle.Answer, result *catkinspindle.AttemptResult) *catkinspindle.Failure {
	result.Outcome = catkinspindle.OutcomeRefused
	result.FaultyReplica = x.resolveFaultyReplica(answer.FaultyReplica)
	_, _ = io.Copy(io.Discard, io.LimitReader(answer.Body, readChunk)) // Drained so that the connection can be reused.
	x.logFailedAttempt(p, "refused, at fault: "+answer.FaultyReplica, nil)
	if result.FaultyReplica != "" && result.FaultyReplica != p.Replica {
		x.avoid = append(x.avoid, result.FaultyReplica)
	}
	return x.retrySent(ctx, result, p.Replica)
}

// retryUnsent excludes a replica to which the request was not sent. It returns nil if
// another replica may be tried.
func (x *exchange) retryUnsent(ctx context.Context, result *catkinspindle.AttemptResult, replica string) *catkinspindle.Failure {
	x.unsent++
	x.avoid = append(x.avoid, replica)
	if x.unsent >= maxUnsent {
		return x.fail(catkinspindle.ReasonNoBackend, "could not reach any replica within the attempt limit")
	}
	if ctx.Err() != nil {
		result.Outcome = catkinspindle.OutcomeGivenUp
	}
	return nil
}

// retrySent excludes a replica that failed the request. It returns nil if the request may
// be sent to another one.
func (x *exchange) retrySent(ctx context.Context, result *catkinspindle.AttemptResult, replica string) *catkinspindle.Failure {
	x.avoid = append(x.avoid, replica)
	if f := x.contextFailure(ctx); f != nil {
		result.Outcome = catkinspindle.OutcomeGivenUp
		return f
	}
	if x.route.RetryMode == catkinspindle.RetryNever && x.verdict != catkinspindle.NotRun {
		return x.fail(catkinspindle.ReasonBackendFailed, "the attempt failed and the route forbids a retry of a request that may have run")
	}
	if x.sent >= x.route.MaxAttempts {
		return x.fail(catkinspindle.ReasonBackendFailed, "all attempts failed")
	}
	return nil
}
