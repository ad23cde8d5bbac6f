package gateway

import (
	"context"
	"errors"
	"time"
)

var errStalled = errors.New("the replica is silent")

// stall ends a context when nothing has happened for a time.
type stall struct {
	timer  *time.Timer
	limit  time.Duration
	cancel context.CancelCauseFunc
}

func newStall(ctx context.Context, limit time.Duration) (context.Context, *stall) {
	ctx, cancel := context.WithCancelCause(ctx)
	s := &stall{limit: limit, cancel: cancel}
	s.timer = time.AfterFunc(limit, func() { cancel(errStalled) })
	return ctx, s
}

func (s *stall) reset() { s.timer.Reset(s.limit) }

func (s *stall) stop() {
	s.timer.Stop()
	s.cancel(nil)
}
