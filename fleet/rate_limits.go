package fleet

import (
	"time"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/events"
	"github.com/catkinspindle/catkinspindle/ratelimits"
)

// takeoverMargin is how long before the larger part of a divided fleet takes over the shares of the
// rest the rest gives them up. The parts notice the division up to a few seconds apart.
const takeoverMargin = 5 * time.Second

// WithRateLimits sets the table of the replicas' rate limits, which the nodes share.
func WithRateLimits(t *ratelimits.Table) Option {
	return func(l *Fleet) { l.rateLimits = t }
}

// RateAuthority returns this node's authority over the rate limits of the replicas in a pool. Each
// node gives its share to the one coordinator that it follows, so that the shares of several
// nodes that believe that they are the coordinator add up to no more than the whole limit.
func (f *Fleet) RateAuthority(p catkinspindle.Pool) catkinspindle.RateAuthority {
	coordinator, ok := f.Coordinator(p)
	if !ok || coordinator.Name != f.self.Name {
		return catkinspindle.RateAuthority{}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	followers, members := 0, 0
	for _, n := range f.members {
		follows := now.Sub(n.followedAt) < livenessTimeout
		if p.Divided() {
			follows = now.Sub(n.lastHeartbeat) < livenessTimeout
		}
		if n.Name == f.self.Name || follows {
			followers++
		}
		if n.Name == f.self.Name || follows || now.Sub(n.lastSeen()) < membershipTimeout {
			members++
		}
	}
	// Only the larger part of a divided fleet takes over the shares of the others.
	if 2*followers <= len(f.members) {
		members = len(f.members)
		if !f.minoritySince.IsZero() && now.Sub(f.minoritySince) > membershipTimeout-takeoverMargin {
			followers = 0
		}
	}
	since := f.coordinatorSince
	if p.Divided() {
		since = f.hubsSince
	}
	return catkinspindle.RateAuthority{Share: float64(followers) / float64(members), Since: since}
}

// recordRateLimits records the rate limits of replicas that another node has sent.
func (f *Fleet) recordRateLimits(list []catkinspindle.RateLimitReport, source string) {
	for _, l := range f.rateLimits.Apply(time.Now(), list) {
		f.log.Info("rate limit of a replica changed", events.RateLimited.Attr(), "replica", l.ID, "limited", l.Limited, "per-second", l.PerSecond, "source", source)
	}
}
