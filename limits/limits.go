// Package limits enforces the rate and concurrency limits of workspaces. One node owns the rate
// of a workspace and admits the requests of all nodes; each node enforces an equal share of the
// limit on prompt tokens in flight.
package limits

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/events"
)

// Limits tracks the requests and prompt tokens in flight on this node, per workspace, and the
// rates of the workspaces that this node owns.
type Limits struct {
	snapshot    func() *catkinspindle.Snapshot
	maxRequests int
	// peers is nil on a node that owns all workspaces. share is the part of each rate that this
	// node may admit.
	peers   catkinspindle.Peers
	share   func() float64
	timeout time.Duration
	log     *slog.Logger

	mu             sync.Mutex
	inFlight       int
	tokensInFlight map[string]int
	rates          map[string]*rate.Limiter
}

// Option configures Limits.
type Option func(*Limits)

// WithPeers shares the rates of the workspaces with the other nodes. share returns the part of
// each rate that this node may admit; timeout bounds a call to another node.
func WithPeers(p catkinspindle.Peers, share func() float64, timeout time.Duration, log *slog.Logger) Option {
	return func(l *Limits) { l.peers, l.share, l.timeout, l.log = p, share, timeout, log }
}

// New returns Limits that admit at most maxRequests in flight on this node.
func New(snapshot func() *catkinspindle.Snapshot, maxRequests int, opts ...Option) *Limits {
	l := &Limits{
		snapshot:       snapshot,
		maxRequests:    maxRequests,
		share:          func() float64 { return 1 },
		tokensInFlight: map[string]int{},
		rates:          map[string]*rate.Limiter{},
	}
	for _, opt := range opts {
		opt(l)
	}
	if l.peers != nil {
		l.peers.Handle(kindAdmit, l.handleAdmit)
	}
	return l
}

// minBurst is the minimum burst in requests, for workspaces with a low rate.
const minBurst = 4

const (
	kindAdmit = "admit"
	// maxOwners is the number of VMs that are tried as the owner of a workspace's rate: the
	// second one takes over as soon as the first does not answer.
	maxOwners = 2
	// ownerRetry is when to retry after no owner has answered, which lasts until the failure of
	// a VM has been detected.
	ownerRetry = time.Second
)

// admitRequest asks the owner of a workspace's rate to admit a request.
type admitRequest struct {
	Workspace string  `cbor:"1,keyasint"`
	PerSecond float64 `cbor:"2,keyasint"`
}

// admitReply admits the request if Wait is zero; otherwise Wait is when to retry.
type admitReply struct {
	Wait time.Duration `cbor:"1,keyasint,omitempty"`
}

// Admit admits a request with the given number of prompt tokens. The caller must call done
// when the request ends. A refusal is a *catkinspindle.Failure with the verdict NotRun.
func (l *Limits) Admit(ctx context.Context, w catkinspindle.WorkspaceSpec, tokens int) (done func(), err error) {
	done, err = l.admitInFlight(w, tokens)
	if err != nil || w.RequestsPerSecond <= 0 {
		return done, err
	}
	if wait := l.acquire(ctx, w); wait > 0 {
		done()
		return nil, catkinspindle.Fail(catkinspindle.NotRun, catkinspindle.ReasonWorkspaceLimit, "workspace %q exceeds its rate limit of %g requests per second", w.Name, w.RequestsPerSecond).WithRetryAfter(wait)
	}
	return done, nil
}

// admitInFlight admits a request within the limits on what is in flight on this node.
func (l *Limits) admitInFlight(w catkinspindle.WorkspaceSpec, tokens int) (done func(), err error) {
	nodes := max(1, len(l.snapshot().Members))
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.inFlight >= l.maxRequests {
		return nil, catkinspindle.Fail(catkinspindle.NotRun, catkinspindle.ReasonOverload, "too many requests in flight on this VM: %d", l.inFlight).WithRetryAfter(time.Second)
	}
	inFlight := l.tokensInFlight[w.Name]
	share := w.MaxTokens / nodes
	// A prompt larger than the share is admitted if no other one is in flight.
	if w.MaxTokens > 0 && inFlight > 0 && inFlight+tokens > share {
		return nil, catkinspindle.Fail(catkinspindle.NotRun, catkinspindle.ReasonWorkspaceLimit, "workspace %q has %d prompt tokens in flight on this VM, its share is %d", w.Name, inFlight, share).WithRetryAfter(time.Second)
	}
	l.inFlight++
	l.tokensInFlight[w.Name] += tokens
	return sync.OnceFunc(func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.inFlight--
		if l.tokensInFlight[w.Name] -= tokens; l.tokensInFlight[w.Name] <= 0 {
			delete(l.tokensInFlight, w.Name)
		}
	}), nil
}

// acquire counts a request against the rate of a workspace, with its owner. It returns zero, or
// when to retry if the rate is exceeded or no owner answers.
func (l *Limits) acquire(ctx context.Context, w catkinspindle.WorkspaceSpec) time.Duration {
	if l.peers == nil {
		return l.take(w.Name, w.RequestsPerSecond)
	}
	self := l.snapshot().Self.Origin
	for _, owner := range l.owners(w.Name) {
		if owner.Origin == self {
			return l.take(w.Name, w.RequestsPerSecond)
		}
		callCtx, cancel := context.WithTimeout(ctx, l.timeout)
		var reply admitReply
		err := l.peers.Call(callCtx, owner.PeerAddress, kindAdmit, admitRequest{w.Name, w.RequestsPerSecond}, &reply)
		cancel()
		if err == nil {
			return reply.Wait
		}
		l.log.Warn("owner of a workspace's rate does not answer", events.PeerUnreachable.Attr(), "owner", owner.Origin.String(), "workspace", w.Name, "error", err)
	}
	return ownerRetry
}

// owners returns the members that own the rate of a workspace, in order of preference: the
// maxOwners with the highest rendezvous scores that are not leaving.
func (l *Limits) owners(workspace string) []catkinspindle.Member {
	var (
		best   [maxOwners]catkinspindle.Member
		scores [maxOwners]uint64
		found  int
	)
	for _, m := range l.snapshot().Members {
		if m.Leaving {
			continue
		}
		score := catkinspindle.RendezvousScore(workspace, m.Origin.VM)
		for i := range best {
			if i >= found || score > scores[i] {
				copy(best[i+1:], best[i:])
				copy(scores[i+1:], scores[i:])
				best[i], scores[i] = m, score
				found = min(found+1, maxOwners)
				break
			}
		}
	}
	return best[:found]
}

func (l *Limits) handleAdmit(_ context.Context, decode func(any) error) (any, error) {
	var req admitRequest
	if err := decode(&req); err != nil {
		return nil, err
	}
	return admitReply{Wait: l.take(req.Workspace, req.PerSecond)}, nil
}

// take counts a request against the rate of a workspace that this node owns. It returns zero, or
// when to retry if the rate is exceeded.
func (l *Limits) take(workspace string, perSecond float64) time.Duration {
	share := l.share()
	limit := rate.Limit(perSecond * share)
	burst := max(1, int(share*max(minBurst, perSecond)))
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	limiter, ok := l.rates[workspace]
	if !ok {
		limiter = rate.NewLimiter(limit, burst)
		// What a previous owner admitted is unknown, so the first burst is a single request.
		limiter.AllowN(now, burst-1)
		l.rates[workspace] = limiter
	}
	if limiter.Limit() != limit || limiter.Burst() != burst {
		limiter.SetLimitAt(now, limit)
		limiter.SetBurstAt(now, burst)
	}
	r := limiter.ReserveN(now, 1)
	wait := r.DelayFrom(now)
	if wait > 0 {
		r.CancelAt(now)
	}
	return wait
}

// InFlight returns the number of requests in flight on this node.
func (l *Limits) InFlight() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inFlight
}
