package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/eventstream"
)

// plain forwards an answer that is not an event stream. An answer of at most maxGathered
// bytes is read completely before its head is sent, so that a failed attempt can be retried.
func (x *exchange) plain(ctx context.Context, p catkinspindle.Placement, answer *catkinspindle.Answer, e *catkinspindle.Ending, began time.Time) (bool, *catkinspindle.Failure) {
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxGathered+1))
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
			return false, x.fail(catkinspindle.ReasonBackendFailed, "the replica failed to resume the stream")
		}
	}
	if x.started {
		return false, x.fail(catkinspindle.ReasonBackendFailed, "the replica answered a resumed stream with a plain response")
	}
	x.first = time.Since(x.arrived)
	x.head(answer)
	if len(body) > maxGathered {
		return x.passOn(p, answer, body, e)
	}
	if answer.Status < http.StatusInternalServerError {
		e.Outcome = catkinspindle.OutcomeDone
	}
	x.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	x.w.WriteHeader(answer.Status)
	if _, err := x.w.Write(body); err != nil {
		return true, x.fail(reasonGone, "client disconnected")
	}
	return true, nil
}

// passOn forwards an answer of over maxGathered bytes while it is being received. Such a
// request cannot be retried: if the replica's body is truncated, so is the caller's.
func (x *exchange) passOn(p catkinspindle.Placement, answer *catkinspindle.Answer, begun []byte, e *catkinspindle.Ending) (bool, *catkinspindle.Failure) {
	if answer.Length >= 0 {
		x.w.Header().Set("Content-Length", strconv.FormatInt(answer.Length, 10))
	}
	x.w.WriteHeader(answer.Status)
	control := http.NewResponseController(x.w)
	rest := io.LimitReader(answer.Body, maxPlain-int64(len(begun))+1)
	passed := 0
	for chunk := begun; ; {
		err := control.SetWriteDeadline(time.Now().Add(callerStall))
		if err == nil {
			_, err = x.w.Write(chunk)
		}
		if err != nil {
			e.Outcome = catkinspindle.OutcomeGivenUp
			return false, x.fail(reasonGone, "client disconnected")
		}
		passed += len(chunk)
		n, err := rest.Read(begun[:cap(begun)])
		switch {
		case passed+n > maxPlain:
			err = errAnswerTooLong
		case errors.Is(err, io.EOF) && n == 0:
			if answer.Status < http.StatusInternalServerError {
				e.Outcome = catkinspindle.OutcomeDone
			}
			return true, nil
		case errors.Is(err, io.EOF):
			err = nil
		}
		if err != nil {
			x.logAttempt(p, "broken after "+strconv.Itoa(passed)+" bytes", err)
			return false, x.fail(catkinspindle.ReasonBackendFailed, "the answer was truncated")
		}
		chunk = begun[:n]
	}
}

var errAnswerTooLong = errors.New("answer exceeds the size limit")

// head copies the status and headers of answer to the response, without writing them. From
// here on a failure can only end the caller's connection.
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

// stream forwards complete events as they arrive.
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
				return false, x.fail(catkinspindle.ReasonBackendFailed, "the stream broke and its route does not allow resuming")
			}
			return false, nil
		}
		if !event.Empty {
			stall.reset()
		}
		if e.First == 0 && !event.Empty {
			e.First = time.Since(began)
			if x.first == 0 {
				x.first = time.Since(x.arrived)
			}
		}
		if !x.started {
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
			return false, x.fail(reasonGone, "client disconnected")
		}
		if event.ID != "" {
			x.last = event.ID
		}
		if event.Empty {
			continue
		}
		now := time.Now()
		if !x.eventAt.IsZero() {
			x.pause = max(x.pause, now.Sub(x.eventAt))
		}
		x.eventAt = now
	}
}

var (
	errPassed = errors.New("event was already forwarded")
	errGap    = errors.New("gap in event numbers")
)

// follows checks that event has the number after that of the last forwarded event. Events
// without a numeric ID are not checked.
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
