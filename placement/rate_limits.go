package placement

import (
	"slices"
	"time"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/pacing"
	"github.com/catkinspindle/catkinspindle/ratelimits"
)

// WithRateLimits sets the table of the replicas' rate limits. Without it no replica is limited.
func WithRateLimits(t *ratelimits.Table) Option { return func(p *Planner) { p.rateLimits = t } }

// PlaceWith is Place with a limited authority over the replicas' rate limits.
func (p *Planner) PlaceWith(now time.Time, j catkinspindle.Job, authority catkinspindle.RateAuthority) catkinspindle.Placement {
	p.mu.Lock()
	defer p.mu.Unlock()
	usable, model, placed := p.candidates(now, j, authority)
	if placed != nil {
		return *placed
	}
	return p.placePrompt(now, j, *model, usable)
}

// HasRateLimits reports whether a replica of the service states a rate limit or has one because it
// is cold.
func (p *Planner) HasRateLimits(now time.Time, service string) bool {
	ids := p.rateLimits.Limited()
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Before(p.coldUntil[service]) || slices.ContainsFunc(ids, func(id string) bool {
		r, ok := p.replicas[id]
		return ok && r.Service == service
	})
}

// PoolOf returns the pool that contains a replica.
func (p *Planner) PoolOf(r catkinspindle.Replica) catkinspindle.Pool {
	p.mu.Lock()
	defer p.mu.Unlock()
	parts := p.poolCount(r.Service)
	if parts <= 1 {
		return catkinspindle.Pool{}
	}
	return catkinspindle.Pool{Part: int(newReplica(r).hash % uint64(parts)), Parts: parts}
}

// updateRate sets ratePerSecond and mayHost.
func (r *replica) updateRate(now time.Time, limits *ratelimits.Table, authority catkinspindle.RateAuthority) {
	perSecond, limited := limits.Limit(r.Replica)
	if cold, ok := r.ColdLimit(now); ok && (!limited || cold < perSecond) {
		perSecond, limited = cold, true
	}
	if limited && !r.limited {
		r.pacer.StartAt(now, perSecond)
	}
	r.limited, r.ratePerSecond, r.mayHost = limited, perSecond*authority.Share, true
	if !limited {
		return
	}
	r.mayHost = false
	if authority.Share > 0 {
		r.pacer.StartAt(authority.Since, r.ratePerSecond)
		r.mayHost = r.pacer.Wait(now, r.ratePerSecond) == 0
	}
}

// hosts returns the replicas of a list that the job may be sent to, without those whose rate
// limit is used up. These can still help to prefill a prompt.
func hosts(list []*replica) []*replica {
	for i, r := range list {
		if r.mayHost {
			continue
		}
		kept := append(make([]*replica, 0, len(list)-1), list[:i]...)
		for _, r := range list[i+1:] {
			if r.mayHost {
				kept = append(kept, r)
			}
		}
		return kept
	}
	return list
}

// rateLimitRefusal refuses a job because the rate limits of all usable replicas are used up.
// RetryAfter is the job's turn among the refused jobs that can still be served before their
// deadline.
func (p *Planner) rateLimitRefusal(now time.Time, j catkinspindle.Job, usable []*replica) catkinspindle.Placement {
	total := 0.0
	var next time.Time
	for _, r := range usable {
		if r.ratePerSecond <= 0 {
			continue
		}
		total += r.ratePerSecond
		if free := now.Add(r.pacer.Wait(now, r.ratePerSecond)); next.IsZero() || free.Before(next) {
			next = free
		}
	}
	if total <= 0 {
		return refusal(j, catkinspindle.ReasonOverload, p.policy.NoReplicaRetry, 0).WithCheck(catkinspindle.CheckRateLimit, 0)
	}
	key := servicePool{j.Service, j.Pool}
	turns, ok := p.rateTurns[key]
	if !ok {
		turns = &pacing.Pacer{}
		p.rateTurns[key] = turns
	}
	wait := turns.Turn(now, next.Sub(now), total, j.TimeLeft)
	return refusal(j, catkinspindle.ReasonOverload, wait, wait).WithCheck(catkinspindle.CheckRateLimit, 0)
}

// accept commits a job that this planner has placed. If its replica is rate-limited, the job uses
// the replica's next permit.
func (p *Planner) accept(now time.Time, a *activeJob, urgency int) catkinspindle.Placement {
	placed := p.commit(now, a, urgency)
	if a.replica.limited {
		a.replica.pacer.Take(a.sendAt, a.replica.ratePerSecond)
		placed.RatePermit = true
	}
	return placed
}
