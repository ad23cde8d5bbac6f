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

// forwardPlain forwards an answer that is not an event stream. An answer of at most
// maxBufferedBytes is read completely before its head is sent, so that a failed attempt can
// be retried.
func (x *exchange) forwardPlain(ctx context.Context, p catkinspindle.Placement, replica catkinspindle.Replica, answer *catkinspindle.Answer, result *catkinspindle.AttemptResult, startedAt time.Time) (bool, *catkinspindle.Failure) {
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxBufferedBytes+1))
	if err != nil {
		x.logFailedAttempt(p, "broken", err)
		x.broke(replica, err, len(body) > 0)
		return false, x.retrySent(ctx, result, p.Replica)
	}
	result.TimeToFirstEvent = time.Since(startedAt)
	if answer.Status/100 == 2 {
		x.recordBegun()
	}
	if x.responseBegun {
		x.logFailedAttempt(p, "answered a resumed stream with status "+strconv.Itoa(answer.Status), nil)
		return false, x.retrySent(ctx, result, p.Replica)
	}
	if answer.Status >= http.StatusInternalServerError {
		x.logFailedAttempt(p, "failed with status "+strconv.Itoa(answer.Status), nil)
		if x.route.RetryMode != catkinspindle.RetryNever && x.retrySent(ctx, result, p.Replica) == nil {
			return false, nil
		}
	}
	x.timeToFirstEvent = time.Since(x.arrivedAt)
	x.beginResponse(answer)
	if len(body) > maxBufferedBytes {
		return x.forwardUnbuffered(p, answer, body, result)
	}
	if answer.Status < http.StatusInternalServerError {
		result.Outcome = catkinspindle.OutcomeDone
	}
	x.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	x.w.WriteHeader(answer.Status)
	if _, err := x.w.Write(body); err != nil {
		return true, x.fail(reasonCallerGone, "client disconnected")
	}
	return true, nil
}

// forwardUnbuffered forwards an answer of over maxBufferedBytes while it is being received.
// Such a request cannot be retried: if the replica's body is truncated, so is the caller's.
func (x *exchange) forwardUnbuffered(p catkinspindle.Placement, answer *catkinspindle.Answer, buffered []byte, result *catkinspindle.AttemptResult) (bool, *catkinspindle.Failure) {
	if answer.Length >= 0 {
		x.w.Header().Set("Content-Length", strconv.FormatInt(answer.Length, 10))
	}
	x.w.WriteHeader(answer.Status)
	control := http.NewResponseController(x.w)
	remaining := io.LimitReader(answer.Body, maxPlainBytes-int64(len(buffered))+1)
	forwarded := 0
	for chunk := buffered; ; {
		err := control.SetWriteDeadline(time.Now().Add(callerWriteTimeout))
		if err == nil {
			_, err = x.w.Write(chunk)
		}
		if err != nil {
			result.Outcome = catkinspindle.OutcomeGivenUp
			return false, x.fail(reasonCallerGone, "client disconnected")
		}
		forwarded += len(chunk)
		n, err := remaining.Read(buffered[:cap(buffered)])
		switch {
		case forwarded+n > maxPlainBytes:
			err = errAnswerTooLong
		case errors.Is(err, io.EOF) && n == 0:
			if answer.Status < http.StatusInternalServerError {
				result.Outcome = catkinspindle.OutcomeDone
			}
			return true, nil
		case errors.Is(err, io.EOF):
			err = nil
		}
		if err != nil {
			x.logFailedAttempt(p, "broken after "+strconv.Itoa(forwarded)+" bytes", err)
			return false, x.fail(catkinspindle.ReasonBackendFailed, "the answer was truncated")
		}
		chunk = buffered[:n]
	}
}

var errAnswerTooLong = errors.New("answer exceeds the size limit")

// beginResponse copies the status and headers of answer to the response, without writing
// them. From here on a failure can only abort the caller's connection.
func (x *exchange) beginResponse(answer *catkinspindle.Answer) {
	x.responseBegun = true
	x.status = answer.Status
	x.modelVersion = answer.Version
	h := x.w.Header()
	for name, values := range answer.Header {
		h[name] = values
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil
	}
}

// forwardEvents forwards complete events as they arrive.
func (x *exchange) forwardEvents(ctx context.Context, p catkinspindle.Placement, replica catkinspindle.Replica, answer *catkinspindle.Answer, stall *stallTimer, result *catkinspindle.AttemptResult, startedAt time.Time) (bool, *catkinspindle.Failure) {
	reader := eventstream.NewReader(answer.Body)
	control := http.NewResponseController(x.w)
	received, resumed := 0, x.responseBegun
	for {
		event, err := reader.Next()
		if errors.Is(err, io.EOF) {
			result.Outcome = catkinspindle.OutcomeDone
			if received > 0 && received < harmlessEvents {
				x.recordBegun()
			}
			if !x.responseBegun {
				x.beginResponse(answer)
				x.w.WriteHeader(answer.Status)
			}
			return true, nil
		}
		if err == nil {
			err = x.checkSequence(event, resumed)
		}
		if errors.Is(err, errDuplicateEvent) {
			continue
		}
		if err != nil {
			if ctx.Err() == nil {
				x.logFailedAttempt(p, "stream broken after event "+x.lastEventID, err)
				x.broke(replica, err, received >= harmlessEvents)
			}
			if f := x.retrySent(ctx, result, p.Replica); f != nil {
				return false, f
			}
			if x.route.RetryMode != catkinspindle.RetryResume && x.responseBegun {
				return false, x.fail(catkinspindle.ReasonBackendFailed, "the stream broke and its route does not allow resuming")
			}
			return false, nil
		}
		if !event.CommentOnly {
			stall.reset()
			x.receiveData()
			if received++; received == harmlessEvents {
				x.recordBegun()
			}
		}
		if result.TimeToFirstEvent == 0 && !event.CommentOnly {
			result.TimeToFirstEvent = time.Since(startedAt)
			if x.timeToFirstEvent == 0 {
				x.timeToFirstEvent = time.Since(x.arrivedAt)
			}
		}
		if !x.responseBegun {
			x.beginResponse(answer)
			x.w.WriteHeader(answer.Status)
		}
		err = control.SetWriteDeadline(time.Now().Add(callerWriteTimeout))
		if err == nil {
			_, err = x.w.Write(event.Bytes)
		}
		if err == nil {
			err = control.Flush()
		}
		if err != nil {
			result.Outcome = catkinspindle.OutcomeGivenUp
			return false, x.fail(reasonCallerGone, "client disconnected")
		}
		if event.ID != "" {
			x.lastEventID = event.ID
		}
		if event.CommentOnly {
			continue
		}
		now := time.Now()
		if !x.lastEventAt.IsZero() {
			x.longestEventGap = max(x.longestEventGap, now.Sub(x.lastEventAt))
		}
		x.lastEventAt = now
	}
}

var (
	errDuplicateEvent = errors.New("event was already forwarded")
	errEventGap       = errors.New("gap in event numbers")
	errForeignEvent   = errors.New("event of a resumed stream has no number")
)

// checkSequence checks that event has the number after that of the last forwarded event. An event
// without a numeric ID is not checked, unless it comes from a replica that resumes the stream: it
// may be no part of it.
func (x *exchange) checkSequence(event eventstream.Event, resumed bool) error {
	last, err := strconv.ParseInt(x.lastEventID, 10, 64)
	if err != nil {
		return nil
	}
	n, err := event.NumericID()
	if err != nil {
		if resumed && !event.CommentOnly {
			return errForeignEvent
		}
		return nil
	}
	if n <= last {
		return errDuplicateEvent
	}
	if n > last+1 {
		return errEventGap
	}
	return nil
}
