package limits

import (
	"context"
	"time"

	"golang.org/x/time/rate"

	"github.com/catkinspindle/catkinspindle"
)

const (
	// minBurst is the minimum burst in requests, for workspaces with a low rate.
	minBurst = 4
	// tokensRetry is when to retry while too many prompt tokens are in flight.
	tokensRetry = time.Second
	// reportSlack is how long after the deadline of its last request a node's tokens are counted
	// if the report of their end is lost.
	reportSlack = time.Second
)

// usageReport tells the owner of a workspace how many of its prompt tokens are in flight on a
// node, and may ask it to admit one more request.
type usageReport struct {
	Workspace string               `cbor:"1,keyasint"`
	From      catkinspindle.Origin `cbor:"2,keyasint"`
	// Seq orders the reports of a node.
	Seq uint64 `cbor:"3,keyasint"`
	// InFlight does not include the Tokens of the request to admit.
	InFlight  int           `cbor:"4,keyasint,omitempty"`
	Admit     bool          `cbor:"5,keyasint,omitempty"`
	Tokens    int           `cbor:"6,keyasint,omitempty"`
	TimeLeft  time.Duration `cbor:"7,keyasint,omitempty"`
	PerSecond float64       `cbor:"8,keyasint,omitempty"`
	MaxTokens int           `cbor:"9,keyasint,omitempty"`
}

// usageReply admits the request of a report if Wait is zero; otherwise Wait is when to retry.
type usageReply struct {
	Wait time.Duration `cbor:"1,keyasint,omitempty"`
}

// usage is what the owner of a workspace knows of its usage.
type usage struct {
	limiter *rate.Limiter
	nodes   map[catkinspindle.Origin]nodeUsage
}

// nodeUsage are the prompt tokens in flight on a node as of its report seq. They count until the
// deadline of the last request.
type nodeUsage struct {
	seq    uint64
	tokens int
	until  time.Time
}

func (l *Limits) handleUsage(_ context.Context, decode func(any) error) (any, error) {
	var r usageReport
	if err := decode(&r); err != nil {
		return nil, err
	}
	return usageReply{Wait: l.apply(r)}, nil
}

// apply records a report on a workspace that this node owns. It returns zero if the request is
// admitted, and otherwise when to retry.
func (l *Limits) apply(r usageReport) time.Duration {
	share, now := l.share(), time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	u, ok := l.owned[r.Workspace]
	if !ok {
		u = &usage{nodes: map[catkinspindle.Origin]nodeUsage{}}
		l.owned[r.Workspace] = u
	}
	if !r.Admit {
		u.record(r, r.InFlight, now)
		return 0
	}
	if !u.admitsTokens(now, r, share) {
		u.record(r, r.InFlight, now)
		return tokensRetry
	}
	if wait := u.takeRate(now, r.PerSecond, share); wait > 0 {
		u.record(r, r.InFlight, now)
		return wait
	}
	u.record(r, r.InFlight+r.Tokens, now)
	return 0
}

// record stores the tokens in flight on the sender of a report if they are limited and no later
// report is known.
func (u *usage) record(r usageReport, tokens int, now time.Time) {
	known := u.nodes[r.From]
	if r.MaxTokens <= 0 || known.seq > r.Seq {
		return
	}
	until := now.Add(r.TimeLeft + reportSlack)
	if known.until.After(until) {
		until = known.until
	}
	u.nodes[r.From] = nodeUsage{r.Seq, tokens, until}
}

// admitsTokens reports whether the tokens of a request fit into the limit. A prompt larger than
// this node's share of the limit is admitted if it is the only one and this node is in the
// larger part of the fleet.
func (u *usage) admitsTokens(now time.Time, r usageReport, share float64) bool {
	if r.MaxTokens <= 0 {
		return true
	}
	total := r.InFlight
	for node, n := range u.nodes {
		if now.After(n.until) {
			delete(u.nodes, node)
			continue
		}
		if node != r.From {
			total += n.tokens
		}
	}
	return total+r.Tokens <= int(share*float64(r.MaxTokens)) || (total == 0 && share > 0.5)
}

// takeRate counts a request against the rate. It returns zero, or when to retry if the rate is
// exceeded.
func (u *usage) takeRate(now time.Time, perSecond, share float64) time.Duration {
	if perSecond <= 0 {
		return 0
	}
	limit := rate.Limit(perSecond * share)
	burst := max(1, int(share*max(minBurst, perSecond)))
	if u.limiter == nil {
		u.limiter = rate.NewLimiter(limit, burst)
		// What a previous owner admitted is unknown, so the first burst is a single request.
		u.limiter.AllowN(now, burst-1)
	}
	if u.limiter.Limit() != limit || u.limiter.Burst() != burst {
		u.limiter.SetLimitAt(now, limit)
		u.limiter.SetBurstAt(now, burst)
	}
	reservation := u.limiter.ReserveN(now, 1)
	wait := reservation.DelayFrom(now)
	if wait > 0 {
		reservation.CancelAt(now)
	}
	return wait
}
