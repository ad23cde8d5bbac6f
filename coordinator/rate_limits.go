package coordinator

import (
	"slices"
	"time"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/ratelimits"
)

// WithRateLimits sets the table of the replicas' rate limits, and the function that returns this
// node's authority over those of a pool. Without it the node has full authority.
func WithRateLimits(t *ratelimits.Table, authority func(catkinspindle.Pool) catkinspindle.RateAuthority) Option {
	return func(c *Coordinator) { c.rateLimits, c.authority = t, authority }
}

// ReportRateLimit queues the rate limit of a replica for its coordinator.
func (c *Coordinator) ReportRateLimit(r catkinspindle.Replica) {
	pool := c.planner.PoolOf(r)
	c.mu.Lock()
	c.queueUpdate(pool, func(n *updates) {
		if !slices.Contains(n.changedLimits, r.ID) {
			n.changedLimits = append(n.changedLimits, r.ID)
		}
	})
	c.mu.Unlock()
	c.wakeReporter()
}

// authorityFor returns this node's authority over the rate limits of a pool. It is needed only if the
// service has some.
func (c *Coordinator) authorityFor(now time.Time, service string, pool catkinspindle.Pool) catkinspindle.RateAuthority {
	if c.planner.HasRateLimits(now, service) {
		return c.authority(pool)
	}
	return catkinspindle.RateAuthority{}
}
