package gateway

import (
	"context"
	"errors"
	"sync"
	"time"
)

// failoverInterval is the maximum interval between searches for another replica while the
// current one is stalled.
const failoverInterval = time.Second

var errStalled = errors.New("replica stalled: no event within the stall timeout")

// stallTimer detects attempts that produce no events. A stalled attempt is cancelled only once
// another replica has been found to take over.
type stallTimer struct {
	timeout time.Duration
	cancel  context.CancelCauseFunc
	// failover places the request on another replica and reports whether there is one;
	// release ends that placement.
	failover func() bool
	release  func()

	mu      sync.Mutex
	timer   *time.Timer
	events  int
	stopped bool
}

func newStallTimer(ctx context.Context, timeout time.Duration, failover func() bool, release func()) (context.Context, *stallTimer) {
	ctx, cancel := context.WithCancelCause(ctx)
	s := &stallTimer{timeout: timeout, cancel: cancel, failover: failover, release: release}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timer = time.AfterFunc(timeout, s.expire)
	return ctx, s
}

func (s *stallTimer) expire() {
	s.mu.Lock()
	events, stopped := s.events, s.stopped
	s.mu.Unlock()
	if stopped {
		return
	}
	placed := s.failover()
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case placed && !s.stopped && events == s.events:
		s.cancel(errStalled)
		return
	case placed:
		s.release()
	}
	if !s.stopped {
		s.timer.Reset(min(s.timeout, failoverInterval))
	}
}

// reset restarts the timer after an event.
func (s *stallTimer) reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events++
	if !s.stopped {
		s.timer.Reset(s.timeout)
	}
}

func (s *stallTimer) stop() {
	s.mu.Lock()
	s.stopped = true
	s.timer.Stop()
	s.mu.Unlock()
	s.cancel(nil)
}
