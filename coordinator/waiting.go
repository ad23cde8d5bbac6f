package coordinator

import (
	"context"
	"time"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/placement"
)

const (
	// firstHold is how long the first call for a job that waits is held. It leaves the rest of
	// placeTimeout for the network. nextHold is that of the following calls: until it is over a node does not
	// learn that its coordinator has failed.
	firstHold = 60 * time.Millisecond
	nextHold  = 300 * time.Millisecond
	// dispatchInterval is the longest time between two looks for room while jobs wait,
	// minDispatchInterval the shortest: with hundreds of nodes their reports come all the time.
	dispatchInterval    = 15 * time.Millisecond
	minDispatchInterval = 5 * time.Millisecond
	// unclaimedTimeout is how long a job waits without a call for it. Its node has failed then, follows
	// another coordinator or no longer wants it.
	unclaimedTimeout = 2 * nextHold
)

// waiter is a job that waits at this node's planner.
type waiter struct {
	service string
	pool    catkinspindle.Pool
	// decided receives the decision.
	decided chan catkinspindle.Placement
	// held counts the calls that are held for the job, askedAt is when the last one ended.
	held    int
	askedAt time.Time
}

// offer returns the decision on j. If j waits, the call is held for j.Hold at most; another call for the
// same job goes on waiting.
func (c *Coordinator) offer(ctx context.Context, j catkinspindle.Job) catkinspindle.Placement {
	w, placed := c.enqueue(j)
	if w == nil {
		return placed
	}
	timer := time.NewTimer(j.Hold)
	defer timer.Stop()
	select {
	case placed = <-w.decided:
	case <-timer.C:
	case <-ctx.Done():
	}
	c.waitMu.Lock()
	defer c.waitMu.Unlock()
	w.held--
	w.askedAt = time.Now()
	if placed.Waiting {
		select {
		case placed = <-w.decided:
		default:
			return placed
		}
	}
	delete(c.waiters, j.ID)
	return placed
}

// enqueue offers j to the planner, unless it waits already. The waiter is nil if the placement is final.
func (c *Coordinator) enqueue(j catkinspindle.Job) (*waiter, catkinspindle.Placement) {
	now := time.Now()
	c.waitMu.Lock()
	defer c.waitMu.Unlock()
	w, ok := c.waiters[j.ID]
	if !ok {
		placed := c.planner.Offer(now, j, c.authorityFor(now, j.Service, j.Pool))
		if !placed.Waiting {
			return nil, placed
		}
		w = &waiter{service: j.Service, pool: j.Pool, decided: make(chan catkinspindle.Placement, 1)}
		c.waiters[j.ID] = w
		c.wakeDispatcher()
	}
	w.held++
	return w, catkinspindle.Placement{JobID: j.ID, Waiting: true}
}

// deliver passes decisions to the calls that wait for them. The caller holds c.waitMu.
func (c *Coordinator) deliver(decided []catkinspindle.Placement) {
	for _, p := range decided {
		if w, ok := c.waiters[p.JobID]; ok {
			w.decided <- p
		}
	}
}

func (c *Coordinator) wakeDispatcher() {
	select {
	case c.room <- struct{}{}:
	default:
	}
}

// dispatchLoop decides on waiting jobs when jobs have ended, and at least every dispatchInterval.
func (c *Coordinator) dispatchLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.room:
		}
		for c.dispatch(time.Now()) {
			select {
			case <-ctx.Done():
				return
			case <-time.After(minDispatchInterval):
			}
			select {
			case <-ctx.Done():
				return
			case <-c.room:
			case <-time.After(dispatchInterval - minDispatchInterval):
			}
		}
	}
}

// dispatch decides on the jobs that need not wait any longer and drops those that nobody asks for. It
// reports whether jobs still wait.
func (c *Coordinator) dispatch(now time.Time) bool {
	c.waitMu.Lock()
	defer c.waitMu.Unlock()
	type key struct {
		service string
		pool    catkinspindle.Pool
	}
	queues := map[key]bool{}
	for id, w := range c.waiters {
		if w.held == 0 && now.Sub(w.askedAt) > unclaimedTimeout {
			delete(c.waiters, id)
			c.planner.ReportResult(now, catkinspindle.AttemptResult{JobID: id, Outcome: catkinspindle.OutcomeGivenUp})
			continue
		}
		queues[key{w.service, w.pool}] = true
	}
	for k := range queues {
		c.deliver(c.planner.Dispatch(now, k.service, k.pool, c.authorityFor(now, k.service, k.pool)))
	}
	return len(c.waiters) > 0
}

// withdraw drops a job of this node that it no longer wants placed.
func (c *Coordinator) withdraw(id string) {
	c.waitMu.Lock()
	defer c.waitMu.Unlock()
	delete(c.waiters, id)
	c.planner.ReportResult(time.Now(), catkinspindle.AttemptResult{JobID: id, Outcome: catkinspindle.OutcomeGivenUp})
}

// placeHere places a job with this node's planner, after it has waited there if it has to.
func (c *Coordinator) placeHere(ctx context.Context, j catkinspindle.Job) catkinspindle.Placement {
	for {
		p := c.offer(ctx, j)
		if !p.Waiting {
			return p
		}
		if ctx.Err() != nil {
			c.withdraw(j.ID)
			return catkinspindle.Placement{JobID: j.ID, Reason: catkinspindle.ReasonNoBackend}
		}
	}
}

// hold returns how long a call for j may be held; zero for jobs that must not wait.
func hold(j catkinspindle.Job) time.Duration {
	switch {
	case !placement.MayWait(j):
		return 0
	case j.Waited > 0:
		return nextHold
	}
	return firstHold
}
