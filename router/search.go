package router

import (
	"errors"
	"maps"
	"time"

	"github.com/catkinspindle/catkinspindle"
)

// maxRetryWait is the maximum wait before all engines are tried again.
const maxRetryWait = 200 * time.Millisecond

// maxOverloadRefusals is the number of refusals by overloaded engines that ends the search.
const maxOverloadRefusals = 3

// search is the state of the search for an engine that accepts a request.
type search struct {
	// lastRefusal is the most recent refusal by an overloaded engine.
	lastRefusal *catkinspindle.Failure
	refusals    int
	// rateLimited counts the engines that have refused the request because of their rate limit
	// since all engines were eligible.
	rateLimited int
	// noCandidateSince is when the current period without a candidate began, or zero. A
	// candidate that only lacks memory ends the period.
	noCandidateSince time.Time
}

// startAttempts tries the engines in order of cost until one accepts the request. While no
// engine is ready, it retries for as long as the fleet may need to detect a dead VM
// and to move its engines to another home. The search ends at once when all candidates,
// or maxOverloadRefusals of them, have refused because they are overloaded, unless the answer
// has begun.
func (a *answer) startAttempts() (*attempt, *catkinspindle.Failure) {
	s := &search{}
	for {
		at, err := a.router.beginAttempt(a)
		if err == nil {
			a.verdict = max(a.verdict, catkinspindle.MayHaveRun)
			return at, nil
		}
		f := catkinspindle.AsFailure(err)
		a.verdict = max(a.verdict, f.Verdict)
		if a.ctx.Err() != nil {
			return nil, a.deadlineFailure(f)
		}
		if final := a.finalFailure(s, f); final != nil {
			return nil, final.WithVerdict(a.verdict)
		}
		if wait := errors.Is(f, errHoldExpired) || errors.Is(f, errNoCandidate); wait && !a.waitToRetry() {
			return nil, a.deadlineFailure(f)
		}
	}
}

// finalFailure returns the failure that ends the search after f, or nil if the search
// continues.
func (a *answer) finalFailure(s *search, f *catkinspindle.Failure) *catkinspindle.Failure {
	if f.Reason == catkinspindle.ReasonNeverFits || a.attempts >= a.router.limits.Attempts {
		return f
	}
	switch {
	case errors.Is(f, errHoldExpired), errors.Is(f, errEngineFull):
		s.noCandidateSince = time.Time{}
	case f.Reason == catkinspindle.ReasonRateLimit:
		// Other engines may have no limit.
		s.rateLimited++
		if s.lastRefusal == nil || f.RetryAfter < s.lastRefusal.RetryAfter {
			s.lastRefusal = f
		}
	case f.Reason == catkinspindle.ReasonOverload:
		s.lastRefusal = f
		s.refusals++
		if s.refusals >= maxOverloadRefusals && !a.begun {
			return f
		}
	case errors.Is(f, errNoCandidate):
		return a.noCandidateFailure(s, f)
	}
	return nil
}

// noCandidateFailure handles a search without a candidate. It returns the failure that
// ends the search if an overloaded engine refused the request, the rate limits of all engines
// are used up, or none was ready for too long, else nil. Refusals alone end no search for an
// answer that has begun.
func (a *answer) noCandidateFailure(s *search, f *catkinspindle.Failure) *catkinspindle.Failure {
	rateLimited := s.rateLimited
	s.rateLimited = 0
	if s.lastRefusal != nil && !a.begun && (s.lastRefusal.Reason != catkinspindle.ReasonRateLimit || rateLimited >= len(serving(a.router.snapshot(), a.req.Model))) {
		return s.lastRefusal
	}
	if s.noCandidateSince.IsZero() {
		s.noCandidateSince = time.Now()
	}
	if time.Since(s.noCandidateSince) > a.router.maxEngineWait(a.req, a.arrived) {
		if s.lastRefusal != nil {
			return s.lastRefusal
		}
		return f
	}
	return nil
}

// deadlineFailure returns the failure of a request whose context has ended.
func (a *answer) deadlineFailure(last *catkinspindle.Failure) *catkinspindle.Failure {
	f := catkinspindle.Fail(a.verdict, catkinspindle.ReasonDeadline, "deadline passed: %w", last.Err)
	return f.WithRetryAfter(max(last.RetryAfter, time.Second))
}

// waitToRetry waits for a random time between half of maxRetryWait and all of it, then
// makes all engines eligible again that no attempt runs on. The jitter keeps prompts that blocked each other from
// retrying in step. It returns false if the request's context ended meanwhile.
func (a *answer) waitToRetry() bool {
	a.failed = map[string]bool{}
	maps.Copy(a.failed, a.occupied)
	select {
	case <-a.ctx.Done():
		return false
	case <-time.After(maxRetryWait/2 + time.Duration(a.router.random.intN(int(maxRetryWait/2)))):
		return true
	}
}
