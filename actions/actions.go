// Package actions calls plain services. A call that is not idempotent is executed by a
// backend server at most once.
package actions

import (
	"context"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/catkinspindle/catkinspindle"
)

const kindAction = "action"

// Actions implements catkinspindle.Actions and catkinspindle.Service.
type Actions struct {
	snapshot   func() *catkinspindle.Snapshot
	isDead     func(catkinspindle.Origin) bool
	onStopping func(backend string)
	dialer     catkinspindle.Dialer
	peers      catkinspindle.Peers
	claimer    catkinspindle.Claimer
	timing     catkinspindle.Timing
	limits     catkinspindle.Limits
	permits    catkinspindle.RatePermits
	started    time.Time
	outcomes   *outcomes
	group      *errgroup.Group
}

// Option configures Actions.
type Option func(*Actions)

// WithDeadCheck sets the function that reports whether an incarnation is dead: it has been
// silent for too long, or a newer incarnation replaced it.
func WithDeadCheck(f func(catkinspindle.Origin) bool) Option {
	return func(a *Actions) { a.isDead = f }
}

// WithStoppingHandler sets the function that is called with the name of a backend server that
// refuses work because it is stopping.
func WithStoppingHandler(f func(backend string)) Option {
	return func(a *Actions) { a.onStopping = f }
}

// WithRatePermits sets what permits calls to rate-limited replicas. Without it, no replica is
// limited.
func WithRatePermits(p catkinspindle.RatePermits) Option {
	return func(a *Actions) { a.permits = p }
}

// unlimited permits all calls. It implements catkinspindle.RatePermits.
type unlimited struct{}

func (unlimited) Acquire(context.Context, catkinspindle.VM, time.Time) time.Duration { return 0 }

func (unlimited) Observe(time.Time, catkinspindle.VM, catkinspindle.RateLimit) {}

// New returns the actions of a node and registers their peer handler.
func New(
	snapshot func() *catkinspindle.Snapshot,
	dialer catkinspindle.Dialer,
	peers catkinspindle.Peers,
	claimer catkinspindle.Claimer,
	timing catkinspindle.Timing,
	limits catkinspindle.Limits,
	opts ...Option,
) *Actions {
	a := &Actions{
		snapshot:   snapshot,
		isDead:     func(catkinspindle.Origin) bool { return false },
		onStopping: func(string) {},
		dialer:     dialer,
		peers:      peers,
		claimer:    claimer,
		timing:     timing,
		limits:     limits,
		permits:    unlimited{},
		started:    time.Now(),
		outcomes:   newOutcomes(),
		group:      &errgroup.Group{},
	}
	for _, opt := range opts {
		opt(a)
	}
	peers.Handle(kindAction, a.handle)
	return a
}

// Start implements catkinspindle.Service.
func (a *Actions) Start(context.Context) error { return nil }

// Stop implements catkinspindle.Service. It waits for calls in progress.
func (a *Actions) Stop(context.Context) error { return a.group.Wait() }

// Origin implements catkinspindle.Actions.
func (a *Actions) Origin() catkinspindle.ActionOrigin {
	epoch := int64(time.Since(a.started) / a.timing.KeyRetention)
	return catkinspindle.ActionOrigin{Origin: a.snapshot().Self.Origin, Epoch: epoch}
}

// Call implements catkinspindle.Actions.
func (a *Actions) Call(ctx context.Context, act catkinspindle.Action) (catkinspindle.PlainReply, error) {
	method, err := a.findMethod(act.Call)
	if err != nil {
		return catkinspindle.PlainReply{}, err
	}
	switch {
	case method.Idempotent:
		return a.callIdempotent(ctx, act.Call)
	case act.Call.Key == "":
		return a.callOnce(ctx, act.Call)
	case act.Origin == nil:
		return a.runAtClaimHolder(ctx, act)
	default:
		return a.runAtOrigin(ctx, act)
	}
}

func (a *Actions) findMethod(c catkinspindle.PlainCall) (catkinspindle.MethodSpec, error) {
	s, ok := a.snapshot().Config.Service(c.Service)
	if !ok || s.Kind != catkinspindle.ServicePlain {
		return catkinspindle.MethodSpec{}, catkinspindle.Fail(catkinspindle.NotRun, catkinspindle.ReasonUnknownService, "no plain service %q", c.Service)
	}
	m, ok := s.Method(c.Method)
	if !ok {
		return m, catkinspindle.Fail(catkinspindle.NotRun, catkinspindle.ReasonUnknownService, "service %q has no method %q", c.Service, c.Method)
	}
	return m, nil
}

// runAtClaimHolder runs an action whose key came without an origin, at the origin that
// holds the claim for the key.
func (a *Actions) runAtClaimHolder(ctx context.Context, act catkinspindle.Action) (catkinspindle.PlainReply, error) {
	owner, err := a.claimer.Claim(ctx, act.Workspace+"/"+act.Call.Key, a.Origin())
	if err != nil {
		return catkinspindle.PlainReply{}, err
	}
	return a.runAtOrigin(ctx, act.WithOrigin(owner))
}

// runAtOrigin runs an action at its origin: in this process, or on the VM that the origin
// names.
func (a *Actions) runAtOrigin(ctx context.Context, act catkinspindle.Action) (catkinspindle.PlainReply, error) {
	if act.Origin.Origin == a.snapshot().Self.Origin {
		return a.runLocally(ctx, act)
	}
	return a.relay(ctx, act)
}

// relayRetryInterval is the wait between attempts to reach an origin.
const relayRetryInterval = 200 * time.Millisecond

// relay forwards the action to the origin's VM and retries while it is unreachable and
// not known to be dead. Failures are MayHaveRun, because the caller may have sent the
// key there before.
func (a *Actions) relay(ctx context.Context, act catkinspindle.Action) (catkinspindle.PlainReply, error) {
	o := act.Origin.Origin
	ctx, cancel := context.WithDeadline(ctx, act.Call.Deadline)
	defer cancel()
	for {
		m, ok := a.member(o)
		if !ok && (a.isDead(o) || !a.isOtherVM(o)) {
			return catkinspindle.PlainReply{}, originGone(o)
		}
		if ok {
			reply, err := a.relayOnce(ctx, m, act)
			if err == nil || catkinspindle.AsFailure(err).Reason != catkinspindle.ReasonPeerUnreachable {
				return reply, err
			}
		}
		select {
		case <-ctx.Done():
			return catkinspindle.PlainReply{}, catkinspindle.Fail(catkinspindle.MayHaveRun, catkinspindle.ReasonDeadline, "origin %s did not answer before the deadline", o)
		case <-time.After(relayRetryInterval):
		}
	}
}

// relayOnce forwards the action once. It stops waiting once the origin is known to be dead.
func (a *Actions) relayOnce(ctx context.Context, m catkinspindle.Member, act catkinspindle.Action) (catkinspindle.PlainReply, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	ended := make(chan struct{})
	defer close(ended)
	a.group.Go(func() error {
		a.watchOrigin(m.Origin, ended, func() { cancel(originGone(m.Origin)) })
		return nil
	})
	var reply catkinspindle.PlainReply
	err := a.peers.Call(ctx, m.PeerAddress, kindAction, act, &reply)
	if err == nil {
		return reply, nil
	}
	if cause := context.Cause(ctx); cause != nil {
		err = catkinspindle.Fail(catkinspindle.MayHaveRun, catkinspindle.ReasonDeadline, "origin %s: %w", m.Origin, cause)
	}
	return reply, err
}

// watchOrigin polls until the origin is dead, then calls f, or until ended is closed.
func (a *Actions) watchOrigin(o catkinspindle.Origin, ended <-chan struct{}, f func()) {
	ticker := time.NewTicker(a.timing.Heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-ended:
			return
		case <-ticker.C:
			if a.isDead(o) {
				f()
				return
			}
		}
	}
}

func originGone(o catkinspindle.Origin) error {
	return catkinspindle.Fail(catkinspindle.MayHaveRun, catkinspindle.ReasonOriginGone, "origin %s is gone", o)
}

func (a *Actions) member(o catkinspindle.Origin) (catkinspindle.Member, bool) {
	for _, m := range a.snapshot().Members {
		if m.Origin == o {
			return m, true
		}
	}
	return catkinspindle.Member{}, false
}

// isOtherVM reports whether o is an incarnation of another VM, which this node's member
// list may not contain yet. An unknown incarnation of this VM is a previous one.
func (a *Actions) isOtherVM(o catkinspindle.Origin) bool {
	return o.VM != a.snapshot().Self.Origin.VM
}

func (a *Actions) handle(ctx context.Context, decode func(any) error) (any, error) {
	var act catkinspindle.Action
	if err := decode(&act); err != nil {
		return nil, err
	}
	if act.Origin == nil || act.Origin.Origin != a.snapshot().Self.Origin {
		return nil, catkinspindle.Fail(catkinspindle.MayHaveRun, catkinspindle.ReasonOriginGone, "action was sent to %s, which is not its origin", a.snapshot().Self.Origin)
	}
	return a.runLocally(ctx, act)
}

// runLocally runs the call of a key at most once in this process. A repeated call gets the outcome of
// the first one, unless that outcome was NotRun: then the repeated call runs.
func (a *Actions) runLocally(ctx context.Context, act catkinspindle.Action) (catkinspindle.PlainReply, error) {
	epoch := a.Origin().Epoch
	if act.Origin.Epoch < epoch-1 {
		return catkinspindle.PlainReply{}, catkinspindle.Fail(catkinspindle.MayHaveRun, catkinspindle.ReasonOriginGone, "epoch of origin %s has expired", act.Origin)
	}
	a.outcomes.removeBefore(epoch - 1)
	o, isFirst, err := a.outcomes.begin(act)
	if err != nil {
		return catkinspindle.PlainReply{}, err
	}
	if isFirst {
		a.group.Go(func() error {
			// Independent of the caller's context: if its connection breaks, the
			// outcome is kept for the repeated call.
			reply, err := a.callOnce(context.Background(), act.Call)
			a.outcomes.end(act, o, reply, err)
			return nil
		})
	}
	select {
	case <-o.done:
		return o.reply, o.err
	case <-ctx.Done():
		return catkinspindle.PlainReply{}, catkinspindle.Fail(catkinspindle.MayHaveRun, catkinspindle.ReasonDeadline, "call is still in progress: %w", ctx.Err())
	}
}

// callOnce sends the call to a replica, and to another one only if the failure is NotRun.
func (a *Actions) callOnce(ctx context.Context, c catkinspindle.PlainCall) (catkinspindle.PlainReply, error) {
	return a.callReplicas(ctx, c, func(f *catkinspindle.Failure) bool { return f.Verdict == catkinspindle.NotRun })
}

// callIdempotent sends an idempotent call to other replicas after any failure.
func (a *Actions) callIdempotent(ctx context.Context, c catkinspindle.PlainCall) (catkinspindle.PlainReply, error) {
	return a.callReplicas(ctx, c, func(*catkinspindle.Failure) bool { return true })
}

// callReplicas sends the call to up to Limits.Attempts replicas. After a failure it tries
// the next one only if retryable returns true. It passes over replicas whose rate limit is used
// up.
func (a *Actions) callReplicas(ctx context.Context, c catkinspindle.PlainCall, retryable func(*catkinspindle.Failure) bool) (catkinspindle.PlainReply, error) {
	ctx, cancel := context.WithDeadline(ctx, c.Deadline)
	defer cancel()
	verdict := catkinspindle.NotRun
	last := catkinspindle.Fail(catkinspindle.NotRun, catkinspindle.ReasonNoBackend, "service %q has no replica", c.Service).WithRetryAfter(time.Second)
	tried := map[string]bool{}
	for attempts := 0; attempts < a.limits.Attempts; {
		vm, ok := a.pickReplica(c, tried)
		if !ok {
			break
		}
		tried[vm.Name] = true
		if wait := a.permits.Acquire(ctx, vm, c.Deadline); wait > 0 {
			if attempts == 0 && (last.Reason != catkinspindle.ReasonRateLimit || wait < last.RetryAfter) {
				last = catkinspindle.Fail(catkinspindle.NotRun, catkinspindle.ReasonRateLimit, "rate limits of the replicas of service %q are used up", c.Service).WithRetryAfter(wait)
			}
			continue
		}
		attempts++
		// After a pause of the process the deadline may have passed although the
		// timer of ctx has not fired yet.
		if !time.Now().Before(c.Deadline) {
			return catkinspindle.PlainReply{}, catkinspindle.Fail(verdict, catkinspindle.ReasonDeadline, "deadline passed")
		}
		sentAt := time.Now()
		reply, err := a.dialer.Plain(vm).Call(ctx, c)
		if err == nil || reply.RateLimit.Stated {
			a.permits.Observe(sentAt, vm, reply.RateLimit)
		}
		if err == nil {
			return reply, nil
		}
		last = catkinspindle.AsFailure(err)
		verdict = max(verdict, last.Verdict)
		if last.Reason == catkinspindle.ReasonStopping {
			a.onStopping(vm.Name)
		}
		if !retryable(last) {
			break
		}
	}
	return catkinspindle.PlainReply{}, last.WithVerdict(verdict)
}

// pickReplica returns a replica of the service that has not been tried, chosen by
// rendezvous hashing with the call's key and the current time.
func (a *Actions) pickReplica(c catkinspindle.PlainCall, tried map[string]bool) (catkinspindle.VM, bool) {
	var best catkinspindle.VM
	bestScore, found := uint64(0), false
	spread := fmt.Sprintf("%s/%d", c.Key, time.Now().UnixNano())
	for _, r := range a.snapshot().Replicas(c.Service) {
		score := catkinspindle.RendezvousScore(spread, r.VM.Name)
		if !tried[r.VM.Name] && (!found || score > bestScore) {
			best, bestScore, found = r.VM, score, true
		}
	}
	return best, found
}
