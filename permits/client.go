// Package permits keeps the rate limits that replicas of plain services state. A limit holds for
// the calls of all VMs together, so one VM owns it: before a call to a limited replica, the
// others request a permit from the owner.
package permits

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/events"
	"github.com/catkinspindle/catkinspindle/pacing"
	"github.com/catkinspindle/catkinspindle/ratelimits"
)

const (
	kindPermit = "permit"
	// ownerRetry is when to retry after a refusal because no owner answered or the VMs do not
	// agree on one. Both last until the failure of a VM has been detected.
	ownerRetry = time.Second
)

// Client requests permits and, for the replicas that this VM owns the limits of, grants them. It
// implements catkinspindle.RatePermits.
type Client struct {
	snapshot func() *catkinspindle.Snapshot
	// share returns the part of each limit that this VM may grant.
	share   func() float64
	peers   catkinspindle.Peers
	limits  *ratelimits.Table
	timeout time.Duration
	log     *slog.Logger

	mu     sync.Mutex
	pacers map[string]*replicaPacers
}

// replicaPacers are those of one replica: of the granted calls and of the refused callers' turns.
type replicaPacers struct{ granted, turns pacing.Pacer }

// permitRequest asks for a permit to call a replica. Limit is what the sender knows of its limit.
type permitRequest struct {
	Replica  string                        `cbor:"1,keyasint"`
	Limit    catkinspindle.RateLimitReport `cbor:"2,keyasint"`
	TimeLeft time.Duration                 `cbor:"3,keyasint"`
}

// permitReply grants a permit if Wait is zero; otherwise Wait is when the caller should retry.
type permitReply struct {
	Wait time.Duration `cbor:"1,keyasint,omitempty"`
}

// New returns a client and registers its handler with peers. timeout bounds a request to another
// VM.
func New(snapshot func() *catkinspindle.Snapshot, share func() float64, peers catkinspindle.Peers, limits *ratelimits.Table, timeout time.Duration, log *slog.Logger) *Client {
	c := &Client{snapshot: snapshot, share: share, peers: peers, limits: limits, timeout: timeout, log: log, pacers: map[string]*replicaPacers{}}
	peers.Handle(kindPermit, c.handlePermit)
	return c
}

func asReplica(vm catkinspindle.VM) catkinspindle.Replica { return catkinspindle.Replica{ID: vm.Name} }

// Observe implements catkinspindle.RatePermits.
func (c *Client) Observe(sentAt time.Time, vm catkinspindle.VM, l catkinspindle.RateLimit) {
	if l.Malformed != "" {
		c.log.Warn("backend server states a malformed rate limit; ignored", events.RateLimited.Attr(), "backend", vm.Name, "value", l.Malformed)
	}
	if c.limits.Observe(time.Now(), sentAt, asReplica(vm), l) {
		c.log.Info("rate limit of a backend server changed", events.RateLimited.Attr(), "backend", vm.Name, "limited", l.Stated, "per-second", l.PerSecond, "source", "answer")
		serving := map[string]catkinspindle.Replica{}
		for _, a := range c.snapshot().Serving {
			serving[a.VM.Name] = asReplica(a.VM)
		}
		c.limits.Prune(time.Now(), serving)
	}
}

// Acquire implements catkinspindle.RatePermits.
func (c *Client) Acquire(ctx context.Context, vm catkinspindle.VM, deadline time.Time) time.Duration {
	if _, limited := c.limits.Limit(asReplica(vm)); !limited {
		return 0
	}
	snap := c.snapshot()
	owner, ok := ownerOf(snap, vm.Name)
	switch {
	case !ok:
		return ownerRetry
	case owner.Origin == snap.Self.Origin:
		return c.grant(vm.Name, time.Until(deadline))
	}
	known := c.limits.Reports(time.Now(), []string{vm.Name})
	if len(known) == 0 {
		return 0 // The limit has been dropped meanwhile.
	}
	req := permitRequest{Replica: vm.Name, Limit: known[0], TimeLeft: time.Until(deadline)}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var reply permitReply
	if err := c.peers.Call(ctx, owner.PeerAddress, kindPermit, req, &reply); err != nil {
		c.log.Warn("no permit from the owner of a rate limit", events.PeerUnreachable.Attr(), "owner", owner.Origin.String(), "backend", vm.Name, "error", err)
		return ownerRetry
	}
	return reply.Wait
}

// ownerOf returns the member that owns the rate limit of a backend server, by rendezvous hashing
// over the members that are not leaving.
func ownerOf(snap *catkinspindle.Snapshot, backend string) (owner catkinspindle.Member, ok bool) {
	highest := uint64(0)
	for _, m := range snap.Members {
		if score := catkinspindle.RendezvousScore(backend, m.Origin.VM); !m.Leaving && (!ok || score > highest) {
			owner, highest, ok = m, score, true
		}
	}
	return owner, ok
}

func (c *Client) handlePermit(_ context.Context, decode func(any) error) (any, error) {
	var req permitRequest
	if err := decode(&req); err != nil {
		return nil, err
	}
	c.limits.Apply(time.Now(), []catkinspindle.RateLimitReport{req.Limit})
	snap := c.snapshot()
	if owner, ok := ownerOf(snap, req.Replica); !ok || owner.Origin != snap.Self.Origin || snap.Superseded {
		return permitReply{Wait: ownerRetry}, nil
	}
	return permitReply{Wait: c.grant(req.Replica, req.TimeLeft)}, nil
}

// grant takes a permit for a replica. If none is free, it returns the caller's turn.
func (c *Client) grant(backend string, timeLeft time.Duration) time.Duration {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	perSecond, limited := c.limits.Limit(catkinspindle.Replica{ID: backend})
	if !limited {
		delete(c.pacers, backend)
		return 0
	}
	perSecond *= c.share()
	p, ok := c.pacers[backend]
	if !ok {
		// What was sent before, also with permits of a previous owner, is unknown.
		p = &replicaPacers{}
		p.granted.StartAt(now, perSecond)
		c.pacers[backend] = p
	}
	wait := p.granted.Wait(now, perSecond)
	if wait == 0 {
		p.granted.Take(now, perSecond)
		return 0
	}
	return p.turns.Turn(now, wait, perSecond, timeLeft)
}
