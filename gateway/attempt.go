package gateway

import (
	"context"
	"errors"
	"io"
	"sync/atomic"
	"time"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/eventstream"
	"github.com/catkinspindle/catkinspindle/reservations"
	"github.com/catkinspindle/catkinspindle/silence"
)

// minUnmeasuredSilence is the shared silence from which the times of an attempt are not measured.
const minUnmeasuredSilence = 900 * time.Millisecond

// drainTimeout bounds the time to read the body of a rejection.
const drainTimeout = 100 * time.Millisecond

var errRejectionEndless = errors.New("the body of the rejection does not end")

// attempt is one attempt at the replica of a placement. It is used by one goroutine at a time.
type attempt struct {
	placement catkinspindle.Placement
	replica   catkinspindle.Replica
	// ctx ends the attempt; its cause says why.
	ctx       context.Context
	cancel    context.CancelCauseFunc
	startedAt time.Time
	result    catkinspindle.AttemptResult
	// reservationErr is why the memory of a helper was not reserved.
	reservationErr error
	release        func()
	answer         *catkinspindle.Answer
	events         *eventstream.Reader
	// counted is true once the attempt is in the count of sent ones, rejected if it is there
	// although the replica has rejected it.
	counted, rejected bool
	// notRun is true once it is known that the replica has not run the request and will not.
	notRun atomic.Bool
	closed bool
	// peeked is an event that has been read and not yet been forwarded, or the end of the stream.
	peeked *peekedEvent
	// metered is the body of answer, nil before there is one.
	metered *meteredBody
	// body has the begin of an answer that is no stream, at most maxBufferedBytes and one byte.
	body []byte
	// partial is true if memory was lacking for the rest of body.
	partial bool
	// unmeasured is true if the attempt's times must not count as those of its replica.
	unmeasured bool
	// dataAt is when the request was sent or data last arrived.
	dataAt time.Time
}

type peekedEvent struct {
	event eventstream.Event
	err   error
}

func newAttempt(ctx context.Context, p catkinspindle.Placement) *attempt {
	ctx, cancel := context.WithCancelCause(ctx)
	now := time.Now()
	return &attempt{
		placement: p, ctx: ctx, cancel: cancel, startedAt: now, dataAt: now, release: func() {},
		result: catkinspindle.AttemptResult{JobID: p.JobID, Replica: p.Replica, Outcome: catkinspindle.OutcomeGivenUp},
	}
}

// next returns the next event that is not forwarded yet.
func (a *attempt) next() (eventstream.Event, error) {
	if p := a.peeked; p != nil {
		a.peeked = nil
		return p.event, p.err
	}
	a.metered.release() // The event before has been forwarded.
	return a.events.Next()
}

// isStream reports whether the answer is an event stream.
func (x *exchange) isStream(a *attempt) bool {
	return a.answer.Status/100 == 2 && x.route.Streaming
}

// readBody reads the answer until it is complete or exceeds maxBufferedBytes.
func (a *attempt) readBody() error {
	if a.body != nil {
		return nil
	}
	body := make([]byte, 0, readChunk)
	for len(body) <= maxBufferedBytes {
		if len(body) == cap(body) {
			size := min(2*cap(body), maxBufferedBytes+1)
			if !a.metered.tryReserve(int64(size)) {
				a.partial = true
				break
			}
			body = append(make([]byte, 0, size), body...)
		}
		n, err := a.metered.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return err
		}
	}
	a.body = body
	return nil
}

// attrs returns the log attributes that tell a replica that ended an attempt from one that was given
// up by this node, and one silent replica from many.
func (a *attempt) attrs(t *silence.Table) []any {
	endedBy := "replica"
	if a.ctx.Err() != nil {
		endedBy = "node: " + context.Cause(a.ctx).Error()
	}
	now := time.Now()
	silent, awaited := t.Others(now, a.replica)
	return []any{"ended-by", endedBy, "silent-for", now.Sub(a.dataAt), "others-silent", silent, "others-awaited", awaited}
}

// prepare reserves the memory that the placement needs. It returns false if the request must not be
// sent to the replica, and a failure if no other replica may be tried.
func (x *exchange) prepare(a *attempt) (helpers []catkinspindle.Helper, probe, ok bool, f *catkinspindle.Failure) {
	p := a.placement
	x.replica = p.Replica
	if _, usable := x.usableReplica(p.Replica); !usable {
		// The coordinator's view differs: the replica is not yet in this node's list, or its
		// departure has not yet reached the coordinator.
		return nil, false, false, x.skipUnavailable(a)
	}
	helpers, release, err := x.reserve(a.ctx, p)
	if err != nil {
		a.reservationErr = err
		return nil, false, false, x.handleReservationError(a, err)
	}
	a.release = release
	// Replicas may have begun to leave or a cooldown, or been evacuated, while the memory was reserved.
	x.usableReplica(p.Replica)
	if helpers, _, err = x.resolveHelpers(p); err != nil {
		a.reservationErr = err
		return nil, false, false, x.handleReservationError(a, err)
	}
	a.replica, probe, ok = x.beginAttempt(p)
	if !ok {
		return nil, false, false, x.skipUnavailable(a)
	}
	if f := x.heldFailure(); f != nil {
		if probe {
			x.gateway.cooldown.EndProbe(a.replica)
		}
		return nil, false, false, f
	}
	a.result.Outcome = catkinspindle.OutcomeFailed
	a.dataAt = time.Now()
	within := 2 * p.ExpectedFirstEvent
	if !x.route.Streaming {
		within = max(within, x.route.LatencyObjective)
	}
	x.gateway.silence.Expect(a.dataAt, a.replica, p.JobID, within)
	return helpers, probe, true, nil
}

// receiveData records that an event of a, or its whole answer, has arrived.
func (x *exchange) receiveData(a *attempt) {
	x.receiveBytes(a, x.route.MaxEventGap)
	if a.result.TimeToFirstEvent == 0 {
		a.result.TimeToFirstEvent = a.dataAt.Sub(a.startedAt)
	}
}

// receiveBytes records that the head or data of the answer of a has arrived. More is expected within the given
// time.
func (x *exchange) receiveBytes(a *attempt, within time.Duration) {
	a.dataAt = time.Now()
	t := x.gateway.silence
	silence := t.Receive(a.dataAt, a.replica, a.placement.JobID, within)
	if a.result.TimeToFirstEvent == 0 && silence >= minUnmeasuredSilence && t.Prevails(a.dataAt, a.replica) {
		// The whole service was silent, which says nothing about the speed of this replica. Under
		// load it is silent for less.
		a.unmeasured = true
	}
}

// send sends the request once and applies the replica's state that the answer reports. answered is
// true if the replica has begun to answer and does not state that it did not run the request.
func (x *exchange) send(a *attempt, helpers []catkinspindle.Helper, probe bool) (answered bool) {
	sentAt := time.Now()
	a.dataAt = sentAt
	answer, err := x.gateway.sender.Send(a.ctx, x.envelope, catkinspindle.Attempt{
		Replica:    a.replica,
		Workspace:  x.workspace,
		TimeLeft:   time.Until(x.deadline),
		AfterEvent: x.lastEventID,
		Version:    x.modelVersion,
		Urgency:    a.placement.Urgency,
		Helpers:    helpers,
	}, x.route.RetryMode == catkinspindle.RetryNever)
	if err == nil {
		x.applyReplicaState(a.replica, answer, &a.result)
		x.recordRateLimit(sentAt, a.replica, answer)
	}
	if probe {
		x.gateway.cooldown.EndProbe(a.replica)
	}
	if err != nil {
		x.handleSendError(a, err)
		return false
	}
	a.metered = x.gateway.newMeteredBody(a, answer.Body)
	answer.Body = a.metered
	a.answer = answer
	x.receiveBytes(a, 2*a.placement.ExpectedFirstEvent)
	if answer.NotRun {
		x.handleRejection(a)
		return false
	}
	x.sent++
	a.counted = true
	x.verdict = catkinspindle.Ran
	a.events = eventstream.NewReader(answer.Body)
	return true
}

// end closes the attempt's connection, releases its memory and reports its result, once.
func (x *exchange) end(a *attempt) {
	if a.closed {
		return
	}
	a.closed = true
	if a.answer != nil {
		_ = a.answer.Body.Close() // It has been read, or is of no more use.
		a.metered.release()
	}
	a.cancel(nil)
	x.gateway.silence.End(a.replica, a.placement.JobID)
	a.release()
	a.result.Duration = time.Since(a.startedAt)
	if a.unmeasured {
		a.result.TimeToFirstEvent, a.result.Duration = 0, 0
	}
	if a.reservationErr != nil {
		x.reportReservation(a.result, a.reservationErr)
		return
	}
	x.report(a.result)
}

// handleReservationError handles an attempt that failed because a helper's memory could not be
// reserved.
func (x *exchange) handleReservationError(a *attempt, err error) *catkinspindle.Failure {
	a.result.Outcome = catkinspindle.OutcomeRefused
	faulty := a.placement.Replica
	var failure *reservations.Failure
	if errors.As(err, &failure) {
		faulty = failure.Replica
		a.result.FaultyReplica = faulty
	}
	x.logFailedAttempt(a, "memory not reserved", err)
	return x.skipUnsent(a, faulty)
}

// handleSendError handles an attempt that ended without an answer.
func (x *exchange) handleSendError(a *attempt, err error) {
	if catkinspindle.AsFailure(err).Verdict == catkinspindle.NotRun {
		a.notRun.Store(true)
		a.result.Outcome, _ = connectOutcome(err)
		x.logFailedAttempt(a, a.result.Outcome.String(), err)
		x.skipUnsent(a, a.placement.Replica)
		return
	}
	x.sent++
	x.verdict = max(x.verdict, catkinspindle.MayHaveRun)
	x.avoid = append(x.avoid, a.placement.Replica)
	x.logFailedAttempt(a, "broken", err)
	x.broke(a.replica, err, false)
}

// handleRejection handles an answer that states that the replica did not run the request. It does not
// count as an attempt if the caller would lose what another replica has begun.
func (x *exchange) handleRejection(a *attempt) {
	if x.standby || x.responseBegun {
		x.rejected++
	} else {
		x.sent++
		a.rejected = true
	}
	a.notRun.Store(true)
	a.result.Outcome = catkinspindle.OutcomeRefused
	a.result.FaultyReplica = x.resolveFaultyReplica(a.answer.FaultyReplica)
	drain := time.AfterFunc(drainTimeout, func() { a.cancel(errRejectionEndless) })
	_, _ = io.Copy(io.Discard, io.LimitReader(a.answer.Body, readChunk)) // Drained so that the connection can be reused.
	drain.Stop()
	x.logFailedAttempt(a, "refused, at fault: "+a.answer.FaultyReplica, nil)
	if a.result.FaultyReplica != "" && a.result.FaultyReplica != a.placement.Replica {
		x.avoid = append(x.avoid, a.result.FaultyReplica)
	}
	x.avoid = append(x.avoid, a.placement.Replica)
}

// skipUnsent excludes a replica because of which the request was not sent. It returns a failure if
// no other replica may be tried.
func (x *exchange) skipUnsent(a *attempt, replica string) *catkinspindle.Failure {
	x.unsent++
	x.avoid = append(x.avoid, replica)
	if a.ctx.Err() != nil {
		a.result.Outcome = catkinspindle.OutcomeGivenUp
	}
	return x.unsentFailure()
}

func (x *exchange) unsentFailure() *catkinspindle.Failure {
	if x.unsent < maxUnsent {
		return nil
	}
	return x.fail(catkinspindle.ReasonNoBackend, "could not reach any replica within the attempt limit")
}

// retryFailure returns a failure if the request must not be sent to another replica.
func (x *exchange) retryFailure() *catkinspindle.Failure {
	if x.route.RetryMode == catkinspindle.RetryNever && x.verdict != catkinspindle.NotRun {
		return x.fail(catkinspindle.ReasonBackendFailed, "the attempt failed and the route forbids a retry of a request that may have run")
	}
	if x.responseBegun && x.route.RetryMode != catkinspindle.RetryResume {
		return x.fail(catkinspindle.ReasonBackendFailed, "the stream broke and its route does not allow resuming")
	}
	if x.mayRun() >= x.route.MaxAttempts || x.rejected >= maxRejected {
		return x.fail(catkinspindle.ReasonBackendFailed, "all attempts failed")
	}
	return x.unsentFailure()
}
