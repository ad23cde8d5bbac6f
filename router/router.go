// Package router serves prompts: it chooses engines, reserves memory on them, starts
// streams, and resumes them on other engines after a failure.
package router

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/catkinspindle/catkinspindle"
)

// Router answers prompts. It implements catkinspindle.Service.
type Router struct {
	snapshot    func() *catkinspindle.Snapshot
	reserver    catkinspindle.Reserver
	dialer      catkinspindle.Dialer
	policy      catkinspindle.Policy
	timing      catkinspindle.Timing
	limits      catkinspindle.Limits
	log         *slog.Logger
	onStopping  func(backend string)
	seq         atomic.Uint64
	openAnswers sync.WaitGroup
	affinity    *affinity
	random      *lockedRand
	group       *errgroup.Group
	ctx         context.Context
	cancel      context.CancelFunc
}

// Option configures a Router.
type Option func(*Router)

// WithStoppingHandler sets the function that is called with the name of a backend server that
// refuses work because it is stopping.
func WithStoppingHandler(f func(backend string)) Option {
	return func(r *Router) { r.onStopping = f }
}

// WithSeed seeds the random choice among engines of similar cost, for reproducible
// runs.
func WithSeed(seed uint64) Option {
	return func(r *Router) { r.random = newLockedRand(seed) }
}

// New returns a router. Stop must be called to end its background cancellations.
func New(
	snapshot func() *catkinspindle.Snapshot,
	reserver catkinspindle.Reserver,
	dialer catkinspindle.Dialer,
	policy catkinspindle.Policy,
	timing catkinspindle.Timing,
	limits catkinspindle.Limits,
	log *slog.Logger,
	opts ...Option,
) *Router {
	r := &Router{
		snapshot:   snapshot,
		reserver:   reserver,
		dialer:     dialer,
		policy:     policy,
		timing:     timing,
		limits:     limits,
		log:        log,
		onStopping: func(string) {},
		affinity:   newAffinity(),
		random:     newLockedRand(uint64(time.Now().UnixNano())),
		group:      &errgroup.Group{},
	}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	for _, opt := range opts {
		opt(r)
	}
	return r
}

// Start implements catkinspindle.Service.
func (r *Router) Start(context.Context) error { return nil }

// Stop implements catkinspindle.Service. It waits until ctx ends for open answers and
// for cancellations in progress. What is left then is cleaned up by the homes.
func (r *Router) Stop(ctx context.Context) error {
	stop := context.AfterFunc(ctx, r.cancel)
	defer stop()
	ended := make(chan struct{})
	r.group.Go(func() error {
		r.openAnswers.Wait()
		close(ended)
		return nil
	})
	select {
	case <-ended:
	case <-ctx.Done():
		return ctx.Err()
	}
	err := r.group.Wait()
	r.cancel()
	return err
}

// Open starts the answer to req. Errors are of type *catkinspindle.Failure.
func (r *Router) Open(ctx context.Context, req catkinspindle.Request) (catkinspindle.Stream, error) {
	a := &answer{
		router:  r,
		req:     req,
		arrived: time.Now(),
		failed:  map[string]bool{},
		results: make(chan result),
		silence: time.NewTimer(r.timing.ProgressTimeout),
	}
	a.ctx, a.cancel = context.WithDeadline(ctx, req.Deadline)
	at, f := a.startAttempts()
	if f != nil {
		a.cancel()
		return nil, f
	}
	a.add(at)
	r.openAnswers.Add(1)
	return a, nil
}

// newID returns a stream ID that is unique in the fleet.
func (r *Router) newID() catkinspindle.StreamID {
	return catkinspindle.StreamID{Owner: r.snapshot().Self.Origin, Seq: r.seq.Add(1)}
}

// Backoff between attempts to cancel a stream: the first wait and the maximum.
const (
	cancelBackoff    = 200 * time.Millisecond
	maxCancelBackoff = 2 * time.Second
)

// cancelAndRelease cancels a stream in the background and then releases its reservation.
// The cancellation is retried until the engine confirms it or is no longer in the list of
// VMs.
func (r *Router) cancelAndRelease(vm catkinspindle.VM, t catkinspindle.Ticket) {
	r.group.Go(func() error {
		engine := r.dialer.Engine(vm)
		backoff := cancelBackoff
		for r.ctx.Err() == nil {
			ctx, cancel := context.WithTimeout(r.ctx, r.timing.CallTimeout)
			err := engine.Cancel(ctx, t.ID)
			cancel()
			if err == nil || !r.isListed(vm) {
				break
			}
			select {
			case <-time.After(backoff):
			case <-r.ctx.Done():
			}
			backoff = min(2*backoff, maxCancelBackoff)
		}
		r.reserver.Release(t)
		return nil
	})
}

// isListed reports whether the engine is still in the list of VMs.
func (r *Router) isListed(vm catkinspindle.VM) bool {
	_, ok := r.snapshot().Homes[vm.Name]
	return ok
}

// engineWaitDivisor is the divisor of a request's time that gives its minimum wait for an
// engine: a quarter.
const engineWaitDivisor = 4

// maxEngineWait returns how long a request waits for an engine to become ready: the time
// to detect a dead home and to rebuild its ledgers elsewhere, or a share of the
// request's own time if that is longer.
func (r *Router) maxEngineWait(req catkinspindle.Request, arrived time.Time) time.Duration {
	rebuild := r.timing.FailureTimeout + 2*r.timing.Heartbeat + 2*r.timing.StatusInterval
	return max(rebuild, req.Deadline.Sub(arrived)/engineWaitDivisor)
}

// errNoCandidate means that no engine is ready, except engines that this request has
// already failed on.
var errNoCandidate = errors.New("no engine is ready")

// errEngineFull means that an engine refused a stream for lack of memory although its
// ledger had granted it. The request keeps waiting for memory, as it would in the
// admission queue of the engine.
var errEngineFull = errors.New("engine is full with streams granted by another home")

// errHoldExpired means that the engines for the segments of a prompt could not all be
// reserved within Timing.HoldLimit.
var errHoldExpired = errors.New("engines could not be reserved together in time")

// errNoProgress means that an engine sent nothing for too long.
var errNoProgress = errors.New("no token or progress report in time")
