// Package limits enforces the rate and concurrency limits of workspaces. One node owns the limits
// of a workspace and admits the requests of all nodes.
package limits

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/events"
)

const (
	kindUsage = "usage"
	// maxOwners is the number of VMs that are tried as the owner of a workspace's limits: the
	// second one takes over as soon as the first does not answer.
	maxOwners = 2
	// ownerRetry is when to retry after no owner has answered, which lasts until the failure of
	// a VM has been detected.
	ownerRetry = time.Second
)

// Limits tracks the requests in flight on this node and the usage of the workspaces that this
// node owns.
type Limits struct {
	snapshot    func() *catkinspindle.Snapshot
	maxRequests int
	// peers is nil on a node that owns all workspaces. share is the part of each limit that this
	// node may admit.
	peers   catkinspindle.Peers
	share   func() float64
	timeout time.Duration
	log     *slog.Logger
	group   errgroup.Group

	mu       sync.Mutex
	inFlight int
	// lastSeq is the sequence number of the last message to an owner.
	lastSeq uint64
	// tokensInFlight are the prompt tokens in flight on this node by workspace.
	tokensInFlight map[string]int
	owned          map[string]*usage
}

// Option configures Limits.
type Option func(*Limits)

// WithPeers shares the limits of the workspaces with the other nodes. share returns the part of
// each limit that this node may admit; timeout bounds a call to another node.
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
		owned:          map[string]*usage{},
	}
	for _, opt := range opts {
		opt(l)
	}
	if l.peers != nil {
		l.peers.Handle(kindUsage, l.handleUsage)
	}
	return l
}

// Admit admits a request with the given number of prompt tokens. The caller must call done
// when the request ends, at its deadline at the latest. A refusal is a *catkinspindle.Failure
// with the verdict NotRun.
func (l *Limits) Admit(ctx context.Context, w catkinspindle.WorkspaceSpec, tokens int, deadline time.Time) (done func(), err error) {
	report, err := l.begin(w, tokens)
	if err != nil {
		return nil, err
	}
	done = sync.OnceFunc(func() { l.end(w, tokens) })
	if w.RequestsPerSecond <= 0 && w.MaxTokens <= 0 {
		return done, nil
	}
	report.TimeLeft = time.Until(deadline)
	if wait := l.send(ctx, report); wait > 0 {
		done()
		return nil, catkinspindle.Fail(catkinspindle.NotRun, catkinspindle.ReasonWorkspaceLimit, "workspace %q exceeds its limits of %g requests per second and %d prompt tokens in flight", w.Name, w.RequestsPerSecond, w.MaxTokens).WithRetryAfter(wait)
	}
	return done, nil
}

// begin counts a request on this node and returns the report that asks the owner to admit it.
func (l *Limits) begin(w catkinspindle.WorkspaceSpec, tokens int) (usageReport, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.inFlight >= l.maxRequests {
		return usageReport{}, catkinspindle.Fail(catkinspindle.NotRun, catkinspindle.ReasonOverload, "too many requests in flight on this VM: %d", l.inFlight).WithRetryAfter(time.Second)
	}
	r := l.report(w)
	r.Admit, r.Tokens = true, tokens
	l.inFlight++
	l.tokensInFlight[w.Name] += tokens
	return r, nil
}

// end removes a request that has ended and reports that to the owner of its workspace.
func (l *Limits) end(w catkinspindle.WorkspaceSpec, tokens int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight--
	if l.tokensInFlight[w.Name] -= tokens; l.tokensInFlight[w.Name] <= 0 {
		delete(l.tokensInFlight, w.Name)
	}
	if w.MaxTokens <= 0 {
		return
	}
	r := l.report(w)
	l.group.Go(func() error {
		l.send(context.Background(), r)
		return nil
	})
}

// report returns a report of this node's usage of a workspace. The caller holds l.mu.
func (l *Limits) report(w catkinspindle.WorkspaceSpec) usageReport {
	l.lastSeq++
	return usageReport{
		Workspace: w.Name,
		From:      l.snapshot().Self.Origin,
		Seq:       l.lastSeq,
		InFlight:  l.tokensInFlight[w.Name],
		PerSecond: w.RequestsPerSecond,
		MaxTokens: w.MaxTokens,
	}
}

// send passes a report to the owner of its workspace. It returns zero if the owner admits the
// request, and otherwise when to retry.
func (l *Limits) send(ctx context.Context, r usageReport) time.Duration {
	if l.peers == nil {
		return l.apply(r)
	}
	for _, owner := range l.owners(r.Workspace) {
		if owner.Origin == r.From {
			return l.apply(r)
		}
		callCtx, cancel := context.WithTimeout(ctx, l.timeout)
		var reply usageReply
		err := l.peers.Call(callCtx, owner.PeerAddress, kindUsage, r, &reply)
		cancel()
		if err == nil {
			return reply.Wait
		}
		l.log.Warn("owner of a workspace's limits does not answer", events.PeerUnreachable.Attr(), "owner", owner.Origin.String(), "workspace", r.Workspace, "error", err)
	}
	return ownerRetry
}

// owners returns the members that own the limits of a workspace, in order of preference: the
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

// InFlight returns the number of requests in flight on this node.
func (l *Limits) InFlight() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inFlight
}
