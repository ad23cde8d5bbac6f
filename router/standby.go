package router

import (
	"context"
	"maps"
	"time"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/events"
)

// handleSilence seeks a further engine when no attempt has delivered anything for
// Timing.ProgressTimeout. The silent ones are kept, because they may go on before another one has
// delivered. It returns a failure when none can be expected to.
func (a *answer) handleSilence() error {
	a.silence.Reset(a.router.timing.ProgressTimeout)
	switch {
	case a.found != nil:
	case a.attempts < a.router.limits.Attempts:
		a.router.log.Warn("engine is silent; asking another engine as well", events.StreamRetried.Attr(),
			"engine", a.running[0].engine(), "received", a.received, "attempts", a.attempts)
		a.startSearch()
	case a.silentForGood():
		f := catkinspindle.Fail(a.verdict, catkinspindle.ReasonNoProgress, "engine %s: %w", a.running[0].engine(), errNoProgress)
		a.abortAll()
		return f
	}
	return nil
}

// silentForGood reports whether no attempt has delivered anything for as long as the fleet may need
// to move an engine.
func (a *answer) silentForGood() bool {
	return time.Since(a.silentFrom) > a.router.maxEngineWait(a.req, a.arrived)
}

// startSearch starts the search for a further engine.
func (a *answer) startSearch() {
	search := *a
	search.begun = true
	search.failed, search.occupied = maps.Clone(a.failed), map[string]bool{}
	for _, at := range a.running {
		search.failed[at.engine()], search.occupied[at.engine()] = true, true
	}
	search.ctx, a.cancelSearch = context.WithCancel(a.ctx)
	outcome := make(chan found)
	a.found = outcome
	a.router.group.Go(func() error {
		at, failure := search.startAttempts()
		select {
		case outcome <- found{&search, at, failure}:
		case <-search.ctx.Done():
			if at != nil {
				at.stream.Close()
				at.abort()
			}
		}
		return nil
	})
}

// endSearch takes over what a search has found. It returns its failure if no attempt is left that
// may go on.
func (a *answer) endSearch(f found) error {
	a.found = nil
	a.attempts, a.failed, a.version = f.search.attempts, f.search.failed, f.search.version
	a.verdict = max(a.verdict, f.search.verdict)
	if f.attempt != nil {
		context.AfterFunc(f.attempt.ctx, a.cancelSearch)
		a.silence.Reset(a.router.timing.ProgressTimeout)
		a.add(f.attempt)
		return nil
	}
	a.cancelSearch()
	if len(a.running) > 0 && !a.silentForGood() {
		return nil
	}
	a.abortAll()
	return f.failure
}

// abortSearch ends the search, if any.
func (a *answer) abortSearch() {
	if a.found == nil {
		return
	}
	a.cancelSearch()
	a.found = nil
}
