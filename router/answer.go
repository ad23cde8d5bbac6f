package router

import (
	"context"
	"errors"
	"io"
	"slices"
	"time"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/events"
)

// answer is the answer to one request, made of one or more attempts. While no attempt delivers
// anything, further ones are started on other engines; the first one with a new token goes on and
// the others end. It implements catkinspindle.Stream.
type answer struct {
	router  *Router
	req     catkinspindle.Request
	ctx     context.Context
	cancel  context.CancelFunc
	arrived time.Time

	// attempts counts the engines that the request was sent to since the last token.
	attempts int
	failed   map[string]bool
	// begun is true in the search for a further engine after the first one has accepted.
	begun bool
	// occupied has the engines of the attempts that run while another one is sought.
	occupied map[string]bool
	running  []*attempt
	results  chan result
	// found has the outcome of the search for a further engine, nil while there is none.
	found        chan found
	cancelSearch context.CancelFunc
	// silence expires when no attempt has delivered anything for Timing.ProgressTimeout.
	silence    *time.Timer
	silentFrom time.Time
	received   int
	version    string
	ended      bool
	closed     bool
	// verdict is the maximum of the verdicts of all attempts.
	verdict catkinspindle.Verdict
}

// result is a chunk of an attempt, or the error that ended it.
type result struct {
	attempt *attempt
	chunk   catkinspindle.Chunk
	err     error
}

// found is the attempt that a search has started, or its failure. search is the copy of the answer
// that it used.
type found struct {
	search  *answer
	attempt *attempt
	failure *catkinspindle.Failure
}

// Next implements catkinspindle.Stream. It returns chunks that have new tokens or end
// the stream.
func (a *answer) Next() (catkinspindle.Chunk, error) {
	if a.ended {
		return catkinspindle.Chunk{}, io.EOF
	}
	a.notSilent()
	for {
		select {
		case r := <-a.results:
			if fresh, ok := a.receive(r); ok {
				return fresh, nil
			}
		case f := <-a.found:
			if err := a.endSearch(f); err != nil {
				return catkinspindle.Chunk{}, err
			}
		case <-a.silence.C:
			if err := a.handleSilence(); err != nil {
				return catkinspindle.Chunk{}, err
			}
		case <-a.ctx.Done():
			a.abortAll()
			return catkinspindle.Chunk{}, catkinspindle.Fail(a.verdict, catkinspindle.ReasonDeadline, "deadline passed after %d tokens", a.received).WithRetryAfter(time.Second)
		}
	}
}

// notSilent restarts the time for which no attempt has delivered anything.
func (a *answer) notSilent() {
	a.silentFrom = time.Now()
	a.silence.Reset(a.router.timing.ProgressTimeout)
}

// receive handles a result and reports whether its chunk must be delivered.
func (a *answer) receive(r result) (catkinspindle.Chunk, bool) {
	a.notSilent()
	if r.err == nil && r.chunk.Offset > a.received {
		r.err = errors.New("gap in the token stream")
	}
	if r.err != nil {
		a.router.log.Warn("stream failed; resuming on another engine", events.StreamRetried.Attr(),
			"engine", r.attempt.engine(), "received", a.received, "error", r.err)
		a.drop(r.attempt)
		if len(a.running) == 0 && a.found == nil {
			a.startSearch()
		}
		return catkinspindle.Chunk{}, false
	}
	return a.trimReceived(r.attempt, r.chunk)
}

// trimReceived removes the tokens that the caller already has from c, and reports whether
// the rest must be delivered. If it has new tokens or ends the stream, the other attempts end.
func (a *answer) trimReceived(at *attempt, c catkinspindle.Chunk) (catkinspindle.Chunk, bool) {
	known := min(a.received-c.Offset, len(c.Tokens))
	c.Tokens = c.Tokens[known:]
	c.Offset += known
	if len(c.Tokens) == 0 && !c.End {
		return c, false
	}
	a.keepOnly(at)
	if len(c.Tokens) > 0 {
		at.reportFirstToken()
		a.attempts = 0
	}
	a.received += len(c.Tokens)
	if c.End {
		a.ended = true
		a.verdict = catkinspindle.Ran
		a.running = nil
		at.finish()
		a.cancel()
	}
	return c, true
}

// add makes at a running attempt.
func (a *answer) add(at *attempt) {
	a.running = append(a.running, at)
	a.router.group.Go(func() error {
		at.deliver(a.results)
		return nil
	})
}

// drop ends an attempt that has failed.
func (a *answer) drop(at *attempt) {
	at.abort()
	a.failed[at.engine()] = true
	a.running = slices.DeleteFunc(a.running, func(o *attempt) bool { return o == at })
}

// keepOnly ends the search and all attempts except at.
func (a *answer) keepOnly(at *attempt) {
	a.abortSearch()
	for _, o := range slices.Clone(a.running) {
		if o != at {
			a.drop(o)
		}
	}
}

// abortAll ends all attempts and the search.
func (a *answer) abortAll() {
	a.keepOnly(nil)
	a.ended = true
}

// Close implements catkinspindle.Stream.
func (a *answer) Close() {
	if a.closed {
		return
	}
	a.closed = true
	a.cancel()
	a.silence.Stop()
	a.abortAll()
	a.router.openAnswers.Done()
}
