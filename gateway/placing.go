package gateway

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/events"
	"github.com/catkinspindle/catkinspindle/reservations"
)

// place has the request placed and records the placement and the time that it took.
func (x *exchange) place(ctx context.Context, avoid []string) catkinspindle.Placement {
	now := time.Now()
	p := x.job(ctx, avoid, x.sent > 0)
	x.placing += time.Since(now)
	x.note(p)
	return p
}

// job asks the placer for a placement that avoids the given replicas and those in a
// cooldown.
func (x *exchange) job(ctx context.Context, avoid []string, again bool) catkinspindle.Placement {
	now := time.Now()
	closed, soonest := x.gateway.cooldown.Closed(now, x.service)
	if len(closed) > 0 {
		avoid = slices.Concat(avoid, closed)
	}
	p := x.gateway.placer.Place(ctx, catkinspindle.Job{
		Service:    x.service,
		Prompt:     x.envelope.PromptTokens,
		Answer:     x.envelope.AnswerTokens,
		Left:       x.deadline.Sub(now),
		Aim:        x.arrived.Add(x.route.Aim - x.spent).Sub(now),
		Returned:   x.spent > 0,
		MaxPause:   x.route.MaxPause,
		Priority:   x.priority,
		Avoid:      avoid,
		Again:      again || x.last != "",
		DataCentre: x.gateway.dataCentre,
	})
	if p.Refused() && p.Reason == catkinspindle.ReasonNoBackend && len(closed) > 0 {
		p.RetryAfter = max(p.RetryAfter, soonest)
	}
	return p
}

// usable returns the replica with the given ID. ok is false if this node does not know it
// for the service or knows that it is leaving.
func (x *exchange) usable(id string) (catkinspindle.Replica, bool) {
	x.replicas = x.gateway.view.State().Replicas
	r, ok := x.replicas[id]
	return r, ok && r.Service == x.service && !r.Leaving
}

// beginAttempt repeats the check of usable right before a request is sent and also checks
// the replica's cooldown. probe is true if the request is the first one after the cooldown.
func (x *exchange) beginAttempt(id string) (replica catkinspindle.Replica, probe, ok bool) {
	replica, ok = x.usable(id)
	if ok {
		ok, probe = x.gateway.cooldown.Enter(time.Now(), replica)
	}
	return replica, probe, ok
}

// skipPlacement excludes the replica of a placement that this node cannot use. It returns
// nil if another placement may be tried.
func (x *exchange) skipPlacement(e catkinspindle.Ending) *catkinspindle.Failure {
	x.avoid = append(x.avoid, e.Replica)
	if x.unknown++; x.unknown >= maxUnknown {
		return x.fail(catkinspindle.ReasonNoBackend, "the replicas of all placements are unusable for this node")
	}
	return nil
}

// noteAnswer applies what an answer says about its replica's state: that the replica is
// leaving, or that it asks for a cooldown.
func (x *exchange) noteAnswer(r catkinspindle.Replica, answer *catkinspindle.Answer, e *catkinspindle.Ending) {
	g := x.gateway
	if answer.Cooldown > 0 {
		g.cooldown.Begin(time.Now(), r, answer.Cooldown)
		g.log.Info("replica requested a cooldown", events.ReplicaChanged.Attr(), "request", x.envelope.ID, "replica", r.ID, "cooldown", answer.Cooldown)
	}
	if !answer.Leaving || answer.Status == http.StatusMisdirectedRequest {
		// Status 421 comes from another replica at the same address: its state says nothing
		// about r.
		return
	}
	d := r.Departure()
	e.Departed = &d
	if g.view.Leave(d, true) {
		g.log.Info("replica leaves", events.ReplicaChanged.Attr(), "request", x.envelope.ID, "replica", r.ID, "born", r.Born, "source", "answer")
	}
}

// secure places the request on another replica when the current one stalls. sent is the
// number of attempts including the current one, avoid lists the replicas tried so far.
func (x *exchange) secure(ctx context.Context, sent int, avoid []string) bool {
	if x.route.Repeat == catkinspindle.RepeatNever || sent >= x.route.MaxAttempts {
		return false
	}
	p := x.job(ctx, avoid, true)
	if p.Refused() {
		return false
	}
	if !x.gateway.budget.Repeat(time.Now(), x.service) {
		x.gateway.placer.End(catkinspindle.Ending{Job: p.Job, Replica: p.Replica, Outcome: catkinspindle.OutcomeGivenUp})
		return false
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.secured = &p
	return true
}

// takeSecured returns and clears the placement that secure has found.
func (x *exchange) takeSecured() (catkinspindle.Placement, bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.secured == nil {
		return catkinspindle.Placement{}, false
	}
	p := *x.secured
	x.secured = nil
	return p, true
}

// releaseSecured ends the placement that secure has found, if it was not used.
func (x *exchange) releaseSecured() {
	if p, ok := x.takeSecured(); ok {
		x.gateway.placer.End(catkinspindle.Ending{Job: p.Job, Replica: p.Replica, Outcome: catkinspindle.OutcomeGivenUp})
	}
}

func (x *exchange) note(p catkinspindle.Placement) {
	x.placedBy, x.expected, x.helping, x.delay = p.By, p.First, len(p.Helpers), p.Delay
	x.limit, x.check = p.Limit, p.Check
}

// wait waits for the delay of the placement, in which the replicas prefill prompts that
// were placed earlier.
func (x *exchange) wait(ctx context.Context, p catkinspindle.Placement) *catkinspindle.Failure {
	if p.Delay <= 0 {
		return nil
	}
	timer := time.NewTimer(p.Delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		x.gateway.placer.End(catkinspindle.Ending{Job: p.Job, Replica: p.Replica, Outcome: catkinspindle.OutcomeGivenUp})
		return x.ended(ctx)
	}
}

func (x *exchange) refused(p catkinspindle.Placement) *catkinspindle.Failure {
	f := catkinspindle.Fail(x.verdict, p.Reason, "no replica can serve the request in time")
	return f.WithRetryAfter(max(minRefusal, p.RetryAfter))
}

// helpers returns the replicas that prefill parts of the prompt, with the memory
// reservations that they need. Unusable helpers are left out, unless the placement reserves
// memory on them: then it is an error.
func (x *exchange) helpers(p catkinspindle.Placement) ([]catkinspindle.Helper, []catkinspindle.Reservation, error) {
	var (
		list  []catkinspindle.Helper
		holds []catkinspindle.Reservation
	)
	for i, id := range p.Helpers {
		r, ok := x.replicas[id]
		if !ok || r.Service != x.service || r.Leaving {
			if len(p.Holds) > 0 {
				return nil, nil, &reservations.Failure{Replica: id, Err: errors.New("helper is unknown to this node or leaving")}
			}
			continue
		}
		h := catkinspindle.Helper{Address: r.Address}
		if len(p.Holds) > i && p.Holds[i] > 0 {
			h.Reservation = fmt.Sprintf("%s-%d", x.envelope.ID, x.tries)
			holds = append(holds, catkinspindle.Reservation{ID: h.Reservation, Replica: r, Tokens: p.Holds[i]})
		}
		list = append(list, h)
	}
	return list, holds, nil
}

// reserve makes the memory reservations of a placement.
func (x *exchange) reserve(ctx context.Context, p catkinspindle.Placement) ([]catkinspindle.Helper, func(), error) {
	x.tries++
	helpers, holds, err := x.helpers(p)
	if err != nil || len(holds) == 0 {
		return helpers, func() {}, err
	}
	release, err := x.gateway.keeper.Acquire(ctx, holds)
	return helpers, release, err
}

// culprit returns the ID of the replica that an answer blames by ID or address, or "" if it
// is unknown.
func (x *exchange) culprit(name string) string {
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

// stallLimit returns the time without an event after which the replica counts as stalled.
func (x *exchange) stallLimit(p catkinspindle.Placement) time.Duration {
	if !x.route.Streaming {
		return max(minStall, 4*x.route.Aim)
	}
	return max(minStall, 3*p.First, 3*x.route.MaxPause, 2*x.route.Aim)
}
