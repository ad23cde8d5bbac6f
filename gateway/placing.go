package gateway

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/events"
	"github.com/catkinspindle/catkinspindle/reservations"
)

// coldSkipsMetric counts the requests that were not sent to the replica of their placement because it
// was cold and they had no permit.
const coldSkipsMetric = "requests-kept-from-cold-replicas"

// place has the request placed and records the placement and the time that it took.
func (x *exchange) place(ctx context.Context, avoid []string) catkinspindle.Placement {
	now := time.Now()
	p := x.requestPlacement(ctx, avoid, x.arrivals() > 0)
	x.placingTime += time.Since(now)
	x.recordPlacement(p)
	return p
}

// requestPlacement requests a placement that avoids the given replicas and those in a
// cooldown.
func (x *exchange) requestPlacement(ctx context.Context, avoid []string, retry bool) catkinspindle.Placement {
	now := time.Now()
	inCooldown, earliestEnd := x.gateway.cooldown.Cooling(now, x.service)
	if len(inCooldown) > 0 {
		avoid = slices.Concat(avoid, inCooldown)
	}
	p := x.gateway.placer.Place(ctx, catkinspindle.Job{
		Service:          x.service,
		PromptTokens:     x.envelope.PromptTokens,
		AnswerTokens:     x.envelope.AnswerTokens,
		TimeLeft:         x.deadline.Sub(now),
		LatencyObjective: x.route.LatencyObjective,
		Replacement:      retry || x.unsent+x.unusable > 0,
		MaxEventGap:      x.route.MaxEventGap,
		Patience:         x.patience(now),
		Priority:         x.priority,
		Avoid:            avoid,
		MayBePartial:     retry || x.lastEventID != "",
		DataCentre:       x.gateway.dataCentre,
	})
	if p.Refused() && p.Reason == catkinspindle.ReasonNoBackend && len(inCooldown) > 0 {
		p.RetryAfter = max(p.RetryAfter, earliestEnd)
	}
	if p.RatePermit {
		p.PermitEnd = time.Now().Add(p.Delay + permitLifetime)
	}
	return p
}

// patience returns the time left until the caller leaves for want of an event; zero if that is
// unknown, as for one that is still there although it was expected to leave.
func (x *exchange) patience(now time.Time) time.Duration {
	if x.route.Patience <= 0 {
		return 0
	}
	since := x.arrivedAt
	if !x.lastEventAt.IsZero() {
		since = x.lastEventAt
	}
	return max(0, x.route.Patience-now.Sub(since))
}

// usableReplica returns the replica with the given ID, and whether this node may send it the
// request: it is in this node's list, belongs to the service and accepts further requests.
func (x *exchange) usableReplica(id string) (catkinspindle.Replica, bool) {
	x.replicas = x.gateway.view.State().Replicas
	r, ok := x.replicas[id]
	return r, ok && r.Service == x.service && r.Accepts()
}

// beginAttempt repeats the check of usableReplica right before a request is sent and also
// checks the replica's rate limit and cooldown. probe is true if the request is the first one
// after the cooldown.
func (x *exchange) beginAttempt(p catkinspindle.Placement) (replica catkinspindle.Replica, probe, ok bool) {
	replica, ok = x.usableReplica(p.Replica)
	now := time.Now()
	if _, cold := replica.ColdLimit(now); cold && now.After(p.PermitEnd) {
		metrics.GetOrRegisterCounter(coldSkipsMetric, x.gateway.metrics).Inc(1)
		return replica, false, false
	}
	if _, limited := x.gateway.rateLimits.Limit(replica); limited && now.After(p.PermitEnd) {
		// The limit was stated after the placement, the placing node does not know it, or the
		// permit is too old: requests sent long after their time could pile up.
		x.gateway.onRateLimit(replica)
		return replica, false, false
	}
	if ok {
		ok, probe = x.gateway.cooldown.Admit(now, replica)
	}
	return replica, probe, ok
}

// skipPlacement excludes the replica of a placement that this node cannot use. It returns
// nil if another placement may be tried.
func (x *exchange) skipPlacement(result catkinspindle.AttemptResult) *catkinspindle.Failure {
	x.avoid = append(x.avoid, result.Replica)
	if x.unusable++; x.unusable >= maxUnusable {
		return x.fail(catkinspindle.ReasonNoBackend, "the replicas of all placements are unusable for this node")
	}
	return nil
}

// applyReplicaState applies the state that an answer reports: that its replica is leaving, or
// that it requests a cooldown.
func (x *exchange) applyReplicaState(r catkinspindle.Replica, answer *catkinspindle.Answer, result *catkinspindle.AttemptResult) {
	g := x.gateway
	if answer.Cooldown > 0 {
		g.cooldown.Start(time.Now(), r, answer.Cooldown)
		g.log.Info("replica requested a cooldown", events.ReplicaChanged.Attr(), "request", x.envelope.ID, "replica", r.ID, "cooldown", answer.Cooldown)
	}
	if !answer.Leaving || answer.Status == http.StatusMisdirectedRequest {
		// Status 421 comes from another replica at the same address, so the reported state
		// is not that of r.
		return
	}
	d := r.Departure()
	result.Departure = &d
	if g.view.AddDeparture(d, true) {
		g.log.Info("replica leaves", events.ReplicaChanged.Attr(), "request", x.envelope.ID, "replica", r.ID, "born", r.Incarnation, "source", "answer")
	}
}

// recordRateLimit records what the answer to a request that was sent at sentAt states about the
// rate limit of r. Only an answer with a seal can show that the limit has ended, because
// others may not come from the replica.
func (x *exchange) recordRateLimit(sentAt time.Time, r catkinspindle.Replica, answer *catkinspindle.Answer) {
	g := x.gateway
	l := answer.RateLimit
	if l.Malformed != "" {
		g.log.Warn("replica states a malformed rate limit; ignored", events.RateLimited.Attr(), "request", x.envelope.ID, "replica", r.ID, "value", l.Malformed)
	}
	if !l.Stated && !answer.Sealed {
		return
	}
	if g.rateLimits.Observe(time.Now(), sentAt, r, l) {
		g.log.Info("rate limit of a replica changed", events.RateLimited.Attr(), "request", x.envelope.ID, "replica", r.ID, "limited", l.Stated, "per-second", l.PerSecond, "source", "answer")
		g.onRateLimit(r)
	}
}

func (x *exchange) recordPlacement(p catkinspindle.Placement) {
	x.placedBy, x.expectedFirstEvent, x.helperCount, x.delay = p.PlacedBy, p.ExpectedFirstEvent, len(p.Helpers), p.Delay
	x.expectedWait, x.slowdown = p.ExpectedWait, p.Slowdown
	x.firstEventLimit, x.check = p.FirstEventLimit, p.Check
}

// waitDelay waits for the delay of the placement, in which the replicas prefill prompts that
// were placed earlier.
func (x *exchange) waitDelay(ctx context.Context, p catkinspindle.Placement) *catkinspindle.Failure {
	if p.Delay <= 0 {
		return nil
	}
	timer := time.NewTimer(p.Delay)
	defer timer.Stop()
	elapsed := false
	defer func() {
		if !elapsed {
			x.gateway.placer.ReportResult(catkinspindle.AttemptResult{JobID: p.JobID, Replica: p.Replica, Outcome: catkinspindle.OutcomeGivenUp})
		}
	}()
	for {
		changed := x.gateway.quarantine.Changed()
		if f := x.heldFailure(); f != nil {
			return f
		}
		select {
		case <-timer.C:
			elapsed = true
			return nil
		case <-changed:
		case <-ctx.Done():
			return x.contextFailure(ctx)
		}
	}
}

func (x *exchange) refusal(p catkinspindle.Placement) *catkinspindle.Failure {
	f := catkinspindle.Fail(x.verdict, p.Reason, "no replica can serve the request in time")
	return f.WithRetryAfter(p.RetryAfter)
}

// resolveHelpers returns the replicas that prefill parts of the prompt, with the memory
// reservations that they need. Unusable helpers are left out, unless the placement reserves
// memory on them: then it is an error.
func (x *exchange) resolveHelpers(p catkinspindle.Placement) ([]catkinspindle.Helper, []catkinspindle.Reservation, error) {
	var (
		list   []catkinspindle.Helper
		needed []catkinspindle.Reservation
	)
	for i, id := range p.Helpers {
		r, ok := x.replicas[id]
		if !ok || r.Service != x.service || !r.Accepts() {
			if len(p.HelperTokens) > 0 {
				return nil, nil, &reservations.Failure{Replica: id, Err: errors.New("helper is unknown to this node, leaving or evacuated")}
			}
			continue
		}
		h := catkinspindle.Helper{Address: r.Address}
		if len(p.HelperTokens) > i && p.HelperTokens[i] > 0 {
			h.Reservation = fmt.Sprintf("%s-%d", x.envelope.ID, x.attemptCount)
			needed = append(needed, catkinspindle.Reservation{ID: h.Reservation, Replica: r, Tokens: p.HelperTokens[i]})
		}
		list = append(list, h)
	}
	return list, needed, nil
}

// reserve makes the memory reservations of a placement.
func (x *exchange) reserve(ctx context.Context, p catkinspindle.Placement) ([]catkinspindle.Helper, func(), error) {
	x.attemptCount++
	helpers, needed, err := x.resolveHelpers(p)
	if err != nil || len(needed) == 0 {
		return helpers, func() {}, err
	}
	release, err := x.gateway.reserver.Acquire(ctx, needed)
	return helpers, release, err
}

// resolveFaultyReplica returns the ID of the replica that an answer reports as faulty, by ID or
// address; empty if this node has no such replica.
func (x *exchange) resolveFaultyReplica(name string) string {
	if _, ok := x.replicas[name]; ok || name == "" {
		return name
	}
	for id, r := range x.replicas {
		if r.Address == name {
			return id
		}
	}
	return ""
}

// stallTimeout returns the time without an event after which the replica counts as stalled.
func (x *exchange) stallTimeout(p catkinspindle.Placement) time.Duration {
	if !x.route.Streaming {
		return max(minStallTimeout, 4*x.route.LatencyObjective)
	}
	return max(x.eventTimeout(), 3*p.ExpectedFirstEvent)
}

// eventTimeout returns the time after an event without another one after which the replica counts as
// stalled.
func (x *exchange) eventTimeout() time.Duration {
	return max(minStallTimeout, 3*x.route.MaxEventGap, 2*x.route.LatencyObjective)
}
