package gateway

import (
	"context"
	"errors"
	"sync"
	"time"
)

// searchPause is the maximum interval between searches for another replica while the
// current one is stalled.
const searchPause = time.Second

var errStalled = errors.New("replica stalled: no event within the stall timeout")

// stall detects attempts that bring no events. A stalled attempt is cancelled only once
// another replica has been found to take over.
type stall struct {
	limit  time.Duration
	cancel context.CancelCauseFunc
	// move finds another replica and reports whether there is one; release gives up the
	// placement that move found.
	move    func() bool
	release func()

	mu      sync.Mutex
	timer   *time.Timer
	signs   int
	stopped bool
}

func newStall(ctx context.Context, limit time.Duration, move func() bool, release func()) (context.Context, *stall) {
	ctx, cancel := context.WithCancelCause(ctx)
	s := &stall{limit: limit, cancel: cancel, move: move, release: release}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timer = time.AfterFunc(limit, s.expire)
	return ctx, s
}

func (s *stall) expire() {
	s.mu.Lock()
	signs, stopped := s.signs, s.stopped
	s.mu.Unlock()
	if stopped {
		return
	}
	found := s.move()
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case found && !s.stopped && signs == s.signs:
		s.cancel(errStalled)
		return
	case found:
		s.release()
	}
	if !s.stopped {
		s.timer.Reset(min(s.limit, searchPause))
	}
}

// reset restarts the timer after an event.
func (s *stall) reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.signs++
	if !s.stopped {
		s.timer.Reset(s.limit)
	}
}

func (s *stall) stop() {
	s.mu.Lock()
	s.stopped = true
	s.timer.Stop()
	s.mu.Unlock()
	s.cancel(nil)
}
