package gateway

import (
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/eventstream"
)

// forward forwards the answer of a to the caller. done is true when the caller has its answer; if done is
// false and f is nil, a standby goes on or another attempt follows.
func (x *exchange) forward(a *attempt, t *takeover) (done bool, f *catkinspindle.Failure) {
	if x.isStream(a) {
		return x.forwardEvents(a, t)
	}
	return x.forwardPlain(a, t)
}

// forwardPlain forwards an answer that is not an event stream. An answer of at most
// maxBufferedBytes is read completely before its head is sent, so that a failed attempt can
// be retried, unless memory is lacking.
func (x *exchange) forwardPlain(a *attempt, t *takeover) (bool, *catkinspindle.Failure) {
	if err := a.readBody(); err != nil {
		x.handleBroken(a, "broken", err, false)
		return false, nil
	}
	answer := a.answer
	x.receiveData(a)
	if answer.Status/100 == 2 {
		x.recordBegun()
	}
	if x.responseBegun {
		x.avoid = append(x.avoid, a.placement.Replica)
		x.logFailedAttempt(a, "answered a resumed stream with status "+strconv.Itoa(answer.Status), nil)
		return false, nil
	}
	if answer.Status >= http.StatusInternalServerError {
		x.avoid = append(x.avoid, a.placement.Replica)
		x.logFailedAttempt(a, "failed with status "+strconv.Itoa(answer.Status), nil)
		if x.route.RetryMode != catkinspindle.RetryNever && (x.settle(t, false, t.timeout) != nil || (t.ctx.Err() == nil && x.retryFailure() == nil)) {
			return false, nil
		}
	}
	if !t.commit() {
		return false, x.lose(a)
	}
	x.timeToFirstEvent = time.Since(x.arrivedAt)
	x.beginResponse(answer)
	if a.partial || len(a.body) > maxBufferedBytes {
		return x.forwardUnbuffered(a)
	}
	if answer.Status < http.StatusInternalServerError {
		a.result.Outcome = catkinspindle.OutcomeDone
	}
	// A caller that reads slowly occupies no connection to the replica and does not make it look silent.
	_ = answer.Body.Close()
	x.gateway.silence.End(a.replica, a.placement.JobID)
	x.w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	x.w.WriteHeader(answer.Status)
	for chunk := range slices.Chunk(a.body, writeChunk) {
		if f := x.write(a, chunk, false); f != nil {
			return true, f
		}
	}
	return true, nil
}

// forwardUnbuffered forwards an answer that is not buffered completely while it is being received.
// Such a request cannot be retried: if the replica's body is truncated, so is the caller's.
func (x *exchange) forwardUnbuffered(a *attempt) (bool, *catkinspindle.Failure) {
	answer, chunk := a.answer, a.body
	a.body = nil
	if answer.Length >= 0 {
		x.w.Header().Set("Content-Length", strconv.FormatInt(answer.Length, 10))
	}
	x.w.WriteHeader(answer.Status)
	remaining := io.LimitReader(a.metered.ReadCloser, maxPlainBytes-int64(len(chunk))+1)
	var buffer []byte
	for forwarded := 0; ; {
		if f := x.write(a, chunk, false); f != nil {
			a.result.Outcome = catkinspindle.OutcomeGivenUp
			return false, f
		}
		forwarded += len(chunk)
		if buffer == nil {
			buffer = a.newChunk()
		}
		n, err := remaining.Read(buffer)
		switch {
		case forwarded+n > maxPlainBytes:
			err = errAnswerTooLong
		case errors.Is(err, io.EOF) && n == 0:
			if answer.Status < http.StatusInternalServerError {
				a.result.Outcome = catkinspindle.OutcomeDone
			}
			return true, nil
		case errors.Is(err, io.EOF):
			err = nil
		}
		if err != nil {
			x.logFailedAttempt(a, "broken after "+strconv.Itoa(forwarded)+" bytes", err)
			return false, x.fail(catkinspindle.ReasonBackendFailed, "the answer was truncated")
		}
		chunk = buffer[:n]
	}
}

// newChunk returns a buffer for the rest of an answer whose begin has been forwarded.
func (a *attempt) newChunk() []byte {
	a.metered.release()
	if a.metered.tryReserve(maxChunk) {
		return make([]byte, maxChunk)
	}
	return make([]byte, readChunk)
}

// maxChunk is the size in bytes of the chunks in which an answer is forwarded unbuffered.
const maxChunk = 64 << 10

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
	x.gateway.announceClose(h)
}

// forwardEvents forwards complete events as they arrive.
func (x *exchange) forwardEvents(a *attempt, t *takeover) (bool, *catkinspindle.Failure) {
	received, resumed := 0, x.responseBegun
	commentBytes := 0
	for {
		event, err := a.next()
		if errors.Is(err, io.EOF) {
			if !t.commit() {
				return false, x.lose(a)
			}
			a.result.Outcome = catkinspindle.OutcomeDone
			if received > 0 && received < harmlessEvents {
				x.recordBegun()
			}
			if !x.responseBegun {
				x.beginResponse(a.answer)
				x.w.WriteHeader(a.answer.Status)
			}
			return true, nil
		}
		if err == nil {
			err = x.checkSequence(event, resumed)
		}
		if err == nil && event.CommentOnly {
			if commentBytes += len(event.Bytes); commentBytes > maxCommentBytes {
				err = errTooManyComments
			}
		}
		if errors.Is(err, errDuplicateEvent) {
			continue
		}
		if err != nil {
			x.handleBroken(a, "stream broken after event "+x.lastEventID, err, received >= harmlessEvents)
			return false, nil
		}
		if event.CommentOnly && (a.ctx.Err() != nil || (!x.responseBegun && !t.begin(a.answer.Version))) {
			return false, x.lose(a)
		}
		if !event.CommentOnly {
			if !t.receive() {
				return false, x.lose(a)
			}
			commentBytes = 0
			x.receiveData(a)
			if received++; received == harmlessEvents {
				x.recordBegun()
			}
			x.recordEvent()
		}
		if f := x.writeEvent(a, event); f != nil {
			return false, f
		}
		if !event.CommentOnly {
			t.resume(x)
		}
	}
}

// recordEvent records the times of an event.
func (x *exchange) recordEvent() {
	now := time.Now()
	if x.timeToFirstEvent == 0 {
		x.timeToFirstEvent = now.Sub(x.arrivedAt)
	}
	if !x.lastEventAt.IsZero() {
		x.longestEventGap = max(x.longestEventGap, now.Sub(x.lastEventAt))
	}
	x.lastEventAt = now
}

// writeEvent writes an event of a to the caller.
func (x *exchange) writeEvent(a *attempt, event eventstream.Event) *catkinspindle.Failure {
	if !x.responseBegun {
		x.beginResponse(a.answer)
		x.w.WriteHeader(a.answer.Status)
	}
	if f := x.write(a, event.Bytes, true); f != nil {
		a.result.Outcome = catkinspindle.OutcomeGivenUp
		return f
	}
	if event.ID != "" {
		x.lastEventID = event.ID
	}
	return nil
}

// maxCommentBytes is the maximum size in bytes of the comments between two events.
const maxCommentBytes = 128 << 10

var (
	errDuplicateEvent  = errors.New("event was already forwarded")
	errTooManyComments = errors.New("comments without an event exceed the size limit")
	errEventGap        = errors.New("gap in event numbers")
	errForeignEvent    = errors.New("event of a resumed stream has no number")
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
