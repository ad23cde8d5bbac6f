// Package limits enforces the rate and concurrency limits of workspaces. Each node enforces
// an equal share of the fleet-wide limit.
package limits

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/catkinspindle/catkinspindle"
)

// Limits tracks the requests and prompt tokens in flight on this node, per workspace.
type Limits struct {
	snapshot    func() *catkinspindle.Snapshot
	maxRequests int

	mu         sync.Mutex
	inFlight   int
	workspaces map[string]*usage
}

type usage struct {
	limiter        *rate.Limiter
	tokensInFlight int
}

// New returns Limits that admit at most maxRequests in flight on this node.
func New(snapshot func() *catkinspindle.Snapshot, maxRequests int) *Limits {
	return &Limits{snapshot: snapshot, maxRequests: maxRequests, workspaces: map[string]*usage{}}
}

// minBurst is the minimum burst in requests, for workspaces with a low rate.
const minBurst = 4

// Admit admits a request with the given number of prompt tokens. The caller must call done
// when the request ends. A refusal is a *catkinspindle.Failure with the verdict NotRun.
func (l *Limits) Admit(w catkinspindle.WorkspaceSpec, tokens int) (done func(), err error) {
	nodes := max(1, len(l.snapshot().Members))
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.inFlight >= l.maxRequests {
		return nil, catkinspindle.Fail(catkinspindle.NotRun, catkinspindle.ReasonOverload, "too many requests in flight on this VM: %d", l.inFlight).WithRetryAfter(time.Second)
	}
	u := l.usage(w, nodes)
	share := w.MaxTokens / nodes
	// A prompt larger than the share is admitted if no other one is in flight.
	if w.MaxTokens > 0 && u.tokensInFlight > 0 && u.tokensInFlight+tokens > share {
		return nil, catkinspindle.Fail(catkinspindle.NotRun, catkinspindle.ReasonWorkspaceLimit, "workspace %q has %d prompt tokens in flight on this VM, its share is %d", w.Name, u.tokensInFlight, share).WithRetryAfter(time.Second)
	}
	if r := u.limiter.Reserve(); r.Delay() > 0 {
		wait := r.Delay()
		r.Cancel()
		return nil, catkinspindle.Fail(catkinspindle.NotRun, catkinspindle.ReasonWorkspaceLimit, "workspace %q exceeds its rate limit of %g requests per second", w.Name, w.RequestsPerSecond).WithRetryAfter(wait)
	}
	l.inFlight++
	u.tokensInFlight += tokens
	return sync.OnceFunc(func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.inFlight--
		u.tokensInFlight -= tokens
	}), nil
}

// usage returns the usage of a workspace. It sets the workspace's rate limiter to the share
// of one node, for the given number of nodes.
func (l *Limits) usage(w catkinspindle.WorkspaceSpec, nodes int) *usage {
	limit := rate.Inf
	if w.RequestsPerSecond > 0 {
		limit = rate.Limit(w.RequestsPerSecond / float64(nodes))
	}
	burst := max(minBurst, int(limit))
	if limit == rate.Inf {
		burst = minBurst
	}
	u, ok := l.workspaces[w.Name]
	if !ok {
		u = &usage{limiter: rate.NewLimiter(limit, burst)}
		l.workspaces[w.Name] = u
	}
	if u.limiter.Limit() != limit {
		u.limiter.SetLimit(limit)
		u.limiter.SetBurst(burst)
	}
	return u
}

// InFlight returns the number of requests in flight on this node.
func (l *Limits) InFlight() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inFlight
}
