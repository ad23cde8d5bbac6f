package gateway

import (
	"context"
	"errors"
	"io"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/catkinspindle/catkinspindle"
)

const (
	// standbyInterval is the interval between searches for a standby when none was found,
	// standbyRetry the time after which another one is sought when a standby has failed.
	standbyInterval = time.Second
	standbyRetry    = 100 * time.Millisecond
	// doubtTime is how long the running attempt may still deliver when a standby has answered with
	// an error or with the end of the stream.
	doubtTime = 500 * time.Millisecond
	// silenceInterval is the interval at which a takeover checks whether most replicas are still
	// silent, maxPatience how long after the stall timeout it waits for that.
	silenceInterval = 100 * time.Millisecond
	maxPatience     = 400 * time.Millisecond
	// maxRejected bounds the rejections that do not count as attempts.
	maxRejected = 4
)

var (
	errTakenOver = errors.New("silent, and another replica delivered first")
	errGoesOn    = errors.New("the other replica goes on")
	errOver      = errors.New("the request has ended")
)

// takeover watches the running attempt of a request. When no event arrives within the stall
// timeout, it sends the request to another replica as well. This second attempt, the standby,
// takes over once it has delivered what the running one owes: the next event or a complete
// answer. If the running attempt delivers first, the standby is ended.
type takeover struct {
	// ctx is the context of the request.
	ctx     context.Context
	running *attempt
	// exchange is the state of the request that the standbys use, one after the other. It belongs
	// to the goroutine of a standby while done is set, and to that of the request once settle has
	// stopped the takeover. before is a copy of it when its attempts were last counted.
	exchange *exchange
	before   exchange
	// ended is closed when the running attempt has ended.
	ended    chan struct{}
	endsOnce sync.Once

	mu      sync.Mutex
	timer   *time.Timer
	timeout time.Duration
	// done is closed when the standby that runs has ended or is proven; cancelStandby ends it.
	done          chan struct{}
	cancelStandby context.CancelCauseFunc
	// proven is the standby that has taken over.
	proven *attempt
	// quietSince is when the running attempt began or an event was last forwarded.
	quietSince time.Time
	// forwarding is true while an event is being written to the caller. stopped is true once no
	// further standby may begin or take over.
	forwarding, stopped bool
	// begun, lastEventID and modelVersion are where a standby has to go on.
	begun        bool
	lastEventID  string
	modelVersion string
}

// watch starts the takeover of a, which the caller ends with settle.
func (x *exchange) watch(ctx context.Context, a *attempt) *takeover {
	standby := *x
	standby.standby = true
	if !a.counted {
		standby.beside = append(slices.Clone(x.beside), a)
	}
	standby.avoid = append(slices.Clone(x.avoid), a.placement.Replica)
	t := &takeover{
		ctx: ctx, running: a, timeout: x.stallTimeout(a.placement), exchange: &standby, before: standby, ended: make(chan struct{}),
		quietSince: time.Now(), begun: x.responseBegun, lastEventID: x.lastEventID, modelVersion: x.modelVersion,
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = x.route.RetryMode == catkinspindle.RetryNever
	t.timer = time.AfterFunc(t.timeout, t.expire)
	return t
}

// expire runs a standby until it is proven or has failed.
func (t *takeover) expire() {
	ctx, cancel, done := t.beginStandby()
	if done == nil {
		return
	}
	defer close(done)
	defer func() {
		if v := recover(); v != nil {
			_ = t.exchange.recovered(v) // The running attempt goes on.
			cancel(nil)
			t.mu.Lock()
			defer t.mu.Unlock()
			t.done = nil
		}
	}()
	a, retryAfter := t.runStandby(ctx)
	if t.accept(ctx, a) {
		return
	}
	goesOn := errors.Is(context.Cause(ctx), errGoesOn)
	cancel(nil)
	if a != nil {
		a.result.Outcome = catkinspindle.OutcomeGivenUp
		t.exchange.end(a)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.done = nil
	switch {
	case t.stopped || t.forwarding:
	case goesOn:
		t.timer.Reset(t.timeout)
	case retryAfter > 0:
		t.timer.Reset(min(t.timeout, retryAfter))
	}
}

// accept lets a take over unless it is nil or ctx has ended.
func (t *takeover) accept(ctx context.Context, a *attempt) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if a == nil || ctx.Err() != nil {
		return false
	}
	t.proven, t.stopped, t.done = a, true, nil
	t.running.cancel(errTakenOver)
	return true
}

// beginStandby prepares the exchange for a standby. It returns nil if none may begin now.
func (t *takeover) beginStandby() (context.Context, context.CancelCauseFunc, chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stopped || t.forwarding || t.done != nil {
		return nil, nil, nil
	}
	quiet := time.Since(t.quietSince)
	if quiet < t.timeout {
		// The timer had expired already when an event stopped it.
		t.timer.Reset(t.timeout - quiet)
		return nil, nil, nil
	}
	x := t.exchange
	if quiet < t.timeout+maxPatience && x.gateway.silence.Prevails(time.Now(), t.running.replica) {
		// Another replica would hardly answer sooner, and those that return would have more to do.
		t.timer.Reset(silenceInterval)
		return nil, nil, nil
	}
	x.responseBegun, x.lastEventID, x.modelVersion = t.begun, t.lastEventID, t.modelVersion
	ctx, cancel := context.WithCancelCause(t.ctx)
	done := make(chan struct{})
	t.done, t.cancelStandby = done, cancel
	return ctx, cancel, done
}

// receive is called with each event of the running attempt. It returns false if a standby has taken
// over, so that the event must not be forwarded. Otherwise the caller forwards it and calls resume.
func (t *takeover) receive() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.proven != nil {
		return false
	}
	t.forwarding = true
	t.timer.Stop()
	if t.done != nil {
		t.cancelStandby(errGoesOn)
	}
	return true
}

// resume starts the stall timeout again after an event of x has been forwarded.
func (t *takeover) resume(x *exchange) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.forwarding, t.quietSince, t.timeout = false, time.Now(), x.eventTimeout()
	t.begun, t.lastEventID, t.modelVersion = x.responseBegun, x.lastEventID, x.modelVersion
	if !t.stopped && t.done == nil {
		t.timer.Reset(t.timeout)
	}
}

// begin is called when the running attempt begins the response without an event. It returns false if
// a standby has taken over.
func (t *takeover) begin(modelVersion string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.proven != nil {
		return false
	}
	if t.done != nil {
		// It does not know that the response has begun.
		t.cancelStandby(errGoesOn)
	}
	t.begun, t.modelVersion = true, modelVersion
	return true
}

// commit keeps standbys from taking over from now on. It returns false if one has taken over.
func (t *takeover) commit() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.proven != nil {
		return false
	}
	t.stopped = true
	t.timer.Stop()
	if t.done != nil {
		t.cancelStandby(errGoesOn)
	}
	return true
}

// settle ends the takeover when the running attempt has ended. If the request is not over, it waits
// for a standby that runs, for at most the given time unless that is zero, and returns the one that
// goes on, if any. The standbys' attempts then count as those of x. Later calls have no further effect.
func (x *exchange) settle(t *takeover, over bool, limit time.Duration) *attempt {
	t.endsOnce.Do(func() { close(t.ended) })
	t.mu.Lock()
	t.stopped = true
	t.timer.Stop()
	done := t.done
	if done != nil && over {
		t.cancelStandby(errOver)
	}
	t.mu.Unlock()
	if done != nil && !over && t.running.rejected {
		// The request may still run elsewhere, so the rejection does not count as an attempt.
		t.running.rejected = false
		x.sent--
		x.rejected++
	}
	if done != nil {
		if limit > 0 {
			timer := time.AfterFunc(limit, func() { t.cancelStandby(errOver) })
			defer timer.Stop()
		}
		<-done
	}
	t.mu.Lock()
	next := t.proven
	if over {
		t.proven = nil
	}
	t.mu.Unlock()
	x.merge(t)
	if next != nil && over {
		next.result.Outcome = catkinspindle.OutcomeGivenUp
		t.exchange.end(next)
		return nil
	}
	return next
}

// merge adds the attempts of t's standbys to those of x, once.
func (x *exchange) merge(t *takeover) {
	o, b := t.exchange, &t.before
	x.sent += o.sent - b.sent
	x.rejected += o.rejected - b.rejected
	x.unsent += o.unsent - b.unsent
	x.unusable += o.unusable - b.unusable
	x.verdict = max(x.verdict, o.verdict)
	x.avoid = append(x.avoid, o.avoid[len(b.avoid):]...)
	x.attemptCount = max(x.attemptCount, o.attemptCount)
	x.placingTime += o.placingTime - b.placingTime
	t.before = *o
}

// runStandby sends the request to another replica. It returns the attempt once it is proven, or the
// time after which another standby may be sought, zero if none may. A standby that is silent itself is
// watched like the running attempt.
func (t *takeover) runStandby(ctx context.Context) (proven *attempt, retryAfter time.Duration) {
	x := t.exchange
	if x.retryFailure() != nil || x.unusable >= maxUnusable {
		return nil, 0
	}
	if x.heldFailure() != nil {
		return nil, standbyInterval
	}
	p := x.place(ctx, slices.Concat(x.avoid, x.gateway.silence.Silent(time.Now(), x.service)))
	if p.Refused() {
		return nil, standbyInterval
	}
	if ctx.Err() != nil || !x.gateway.budget.AllowRetry(time.Now(), x.service) {
		x.gateway.placer.ReportResult(catkinspindle.AttemptResult{JobID: p.JobID, Replica: p.Replica, Outcome: catkinspindle.OutcomeGivenUp})
		return nil, standbyInterval
	}
	if x.waitDelay(ctx, p) != nil {
		return nil, standbyInterval
	}
	return t.attempt(ctx, p)
}

// attempt sends the request to the replica of p. It returns the same as runStandby.
func (t *takeover) attempt(ctx context.Context, p catkinspindle.Placement) (proven *attempt, retryAfter time.Duration) {
	x := t.exchange
	a := newAttempt(ctx, p)
	var next *takeover
	defer func() {
		if v := recover(); v != nil {
			if next != nil {
				x.settle(next, true, 0)
			}
			_ = x.endRecovered(a, v) // The running attempt goes on.
			proven, retryAfter = nil, 0
		}
	}()
	helpers, probe, ok, _ := x.prepare(a)
	if !ok {
		x.end(a)
		return nil, standbyRetry
	}
	next = x.watch(ctx, a)
	if x.trySend(a, helpers, probe) && x.prove(a) && next.commit() {
		x.settle(next, true, 0)
		if t.awaitRunning(ctx, a) {
			return a, 0
		}
	}
	if ctx.Err() != nil {
		a.result.Outcome = catkinspindle.OutcomeGivenUp
	}
	x.end(a)
	if a := x.settle(next, ctx.Err() != nil, 0); a != nil {
		if t.awaitRunning(ctx, a) {
			return a, 0
		}
		x.end(a)
	}
	return nil, standbyRetry
}

// awaitRunning gives the running attempt some time if a has delivered an error or the end of a
// stream: the caller may still get an answer from the running one. It returns false if ctx has ended meanwhile.
func (t *takeover) awaitRunning(ctx context.Context, a *attempt) bool {
	if a.answer.Status/100 == 2 && (a.peeked == nil || a.peeked.err == nil) {
		return true
	}
	timer := time.NewTimer(doubtTime)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-t.ended:
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}

// prove reads the next event of a stream, or the whole answer if it is no stream, and reports whether
// the replica has delivered it.
func (x *exchange) prove(a *attempt) bool {
	if !x.isStream(a) {
		return x.provePlain(a)
	}
	for {
		event, err := a.next()
		if err == nil && event.CommentOnly {
			continue
		}
		if err == nil {
			err = x.checkSequence(event, x.responseBegun)
		}
		switch {
		case errors.Is(err, errDuplicateEvent):
			continue
		case err == nil || errors.Is(err, io.EOF):
			a.peeked = &peekedEvent{event, err}
			x.receiveData(a)
			return true
		}
		x.handleBroken(a, "stream broken after event "+x.lastEventID, err, false)
		return false
	}
}

func (x *exchange) provePlain(a *attempt) bool {
	if err := a.readBody(); err != nil {
		x.handleBroken(a, "broken", err, false)
		return false
	}
	if x.responseBegun {
		x.avoid = append(x.avoid, a.placement.Replica)
		x.logFailedAttempt(a, "answered a resumed stream with status "+strconv.Itoa(a.answer.Status), nil)
		return false
	}
	x.receiveData(a)
	return true
}

// handleBroken handles an attempt whose answer broke. begun is true if the replica has survived the
// begin of its answer.
func (x *exchange) handleBroken(a *attempt, outcome string, err error, begun bool) {
	x.avoid = append(x.avoid, a.placement.Replica)
	takenOver := errors.Is(context.Cause(a.ctx), errTakenOver)
	if a.ctx.Err() != nil && !takenOver {
		a.result.Outcome = catkinspindle.OutcomeGivenUp
		return
	}
	x.logFailedAttempt(a, outcome, err)
	x.broke(a.replica, err, begun || takenOver)
}

// lose handles an attempt that has delivered something after a standby took over or the request
// ended: its replica has not failed. It returns nil.
func (x *exchange) lose(a *attempt) *catkinspindle.Failure {
	x.avoid = append(x.avoid, a.placement.Replica)
	a.result.Outcome = catkinspindle.OutcomeGivenUp
	x.logFailedAttempt(a, "too late", context.Cause(a.ctx))
	return nil
}
