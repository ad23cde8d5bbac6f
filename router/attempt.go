package router

import (
	"context"
	"sync"
	"time"

	"github.com/catkinspindle/catkinspindle"
)

// attempt is one attempt at an answer: the stream that generates it and, if the
// prompt does not fit on one engine, the segments that are prefilled first.
type attempt struct {
	router *Router
	// ctx ends the attempt.
	ctx            context.Context
	segments       []*segment
	stream         catkinspindle.Stream
	cancel         context.CancelCauseFunc
	timer          *time.Timer
	firstTokenOnce sync.Once
}

// segment is a part of the prompt, or all of it, with its reservation on one engine.
type segment struct {
	vm      catkinspindle.VM
	ticket  catkinspindle.Ticket
	grant   catkinspindle.Grant
	prompt  string
	version string
	started bool
}

// beginAttempt reserves memory on one or more engines and starts the stream.
func (r *Router) beginAttempt(a *answer) (*attempt, error) {
	segments, err := r.reserveEngines(a)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancelCause(a.ctx)
	at := &attempt{router: r, ctx: ctx, segments: segments, cancel: cancel}
	at.timer = time.AfterFunc(r.timing.ProgressTimeout, func() {
		cancel(catkinspindle.Fail(catkinspindle.MayHaveRun, catkinspindle.ReasonNoProgress, "engine %s: %w", at.engine(), errNoProgress))
	})
	a.version = segments[0].version
	if err := at.run(ctx, a); err != nil {
		at.abort()
		a.failed[at.engine()] = true
		return nil, r.startFailure(a, at.engine(), err)
	}
	at.timer.Stop()
	a.attempts++
	return at, nil
}

// startFailure returns the failure to report for an engine that did not start a stream.
func (r *Router) startFailure(a *answer, engine string, err error) error {
	f := catkinspindle.AsFailure(err)
	if f.Verdict != catkinspindle.NotRun {
		a.attempts++
	}
	switch f.Reason {
	case catkinspindle.ReasonStopping:
		r.onStopping(engine)
	case catkinspindle.ReasonOverload:
		// The ledger had granted the memory, so the engine is only temporarily full
		// with streams that another home granted. The fleet is not overloaded.
		return catkinspindle.Fail(f.Verdict, catkinspindle.ReasonNoBackend, "%w: %w", errEngineFull, f.Err).WithRetryAfter(time.Second)
	}
	return f
}

// engine returns the name of the engine that was started last, or of the first one if
// none was.
func (at *attempt) engine() string {
	for i := len(at.segments) - 1; i > 0; i-- {
		if at.segments[i].started {
			return at.segments[i].vm.Name
		}
	}
	return at.segments[0].vm.Name
}

// run prefills the segments one after another and starts the stream that generates.
func (at *attempt) run(ctx context.Context, a *answer) error {
	var imports []catkinspindle.KVExport
	for i, seg := range at.segments {
		final := i == len(at.segments)-1
		s, err := at.startSegment(ctx, a, seg, imports, !final)
		if err != nil {
			return err
		}
		if final {
			at.stream = s
			return nil
		}
		handle, err := at.awaitExport(s)
		if err != nil {
			return err
		}
		imports = append(imports, catkinspindle.KVExport{Handle: handle, Tokens: catkinspindle.CountTokens(seg.prompt)})
	}
	return nil
}

func (at *attempt) startSegment(ctx context.Context, a *answer, seg *segment, imports []catkinspindle.KVExport, export bool) (catkinspindle.Stream, error) {
	seg.started = true
	s, err := at.router.dialer.Engine(seg.vm).Start(ctx, catkinspindle.StreamStart{
		ID:        seg.ticket.ID,
		Model:     a.req.Model,
		Version:   seg.version,
		Adapter:   a.req.Adapter,
		Prompt:    seg.prompt,
		MaxTokens: seg.ticket.MaxTokens,
		Priority:  seg.grant.Priority,
		Resume:    a.received,
		Imports:   imports,
		Export:    export,
		Deadline:  a.req.Deadline,
	})
	if err != nil {
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
		return nil, err
	}
	at.resetProgressTimer()
	at.router.affinity.add(seg.vm.Name, seg.prompt)
	return s, nil
}

// awaitExport reads a segment's stream to its end and returns the handle of its
// exported KV cache.
func (at *attempt) awaitExport(s catkinspindle.Stream) (string, error) {
	defer s.Close()
	for {
		c, err := s.Next()
		if err != nil {
			return "", catkinspindle.Fail(catkinspindle.MayHaveRun, catkinspindle.ReasonBackendFailed, "segment prefill failed: %w", err)
		}
		at.resetProgressTimer()
		if c.End {
			return c.Export, nil
		}
	}
}

// resetProgressTimer restarts the timer that cancels the attempt when an engine sends nothing
// before the stream that generates has started.
func (at *attempt) resetProgressTimer() { at.timer.Reset(at.router.timing.ProgressTimeout) }

// deliver sends the chunks of the stream to results until it or the attempt ends.
func (at *attempt) deliver(results chan<- result) {
	defer at.stream.Close()
	for {
		c, err := at.stream.Next()
		select {
		case results <- result{at, c, err}:
		case <-at.ctx.Done():
			return
		}
		if err != nil || c.End {
			return
		}
	}
}

// reportFirstToken reports the first token to the home of the engine, once.
func (at *attempt) reportFirstToken() {
	at.firstTokenOnce.Do(func() { at.router.reserver.Prefilled(at.segments[len(at.segments)-1].ticket) })
}

// finish releases the reservation of a stream that has ended normally, and cancels
// the segments whose exports it used.
func (at *attempt) finish() {
	at.close()
	last := len(at.segments) - 1
	for _, seg := range at.segments[:last] {
		at.router.cancelAndRelease(seg.vm, seg.ticket)
	}
	at.router.reserver.Release(at.segments[last].ticket)
}

// abort cancels the streams that were started and releases the other reservations.
func (at *attempt) abort() {
	at.close()
	for _, seg := range at.segments {
		if seg.started {
			at.router.cancelAndRelease(seg.vm, seg.ticket)
			continue
		}
		at.router.reserver.Release(seg.ticket)
	}
}

func (at *attempt) close() {
	at.timer.Stop()
	at.cancel(nil)
}
