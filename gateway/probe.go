package gateway

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/catkinspindle/catkinspindle"
)

const (
	// probeTimeout bounds the connection that shows whether a failed attempt was the replica's fault.
	probeTimeout = 600 * time.Millisecond
	// lateRejection is the time after which a rejection is late. It matches the time without data from
	// which a replica counts as silent.
	lateRejection = 400 * time.Millisecond
)

// Prober connects to replicas whose connections broke.
type Prober interface {
	// Probe connects to r. relayed is true if only another node could. An error that is a
	// *catkinspindle.ConnectFailure says whether other nodes could not connect either.
	Probe(ctx context.Context, r catkinspindle.Replica) (relayed bool, err error)
}

// WithProber sets how the gateway tells failed replicas from broken paths. Without it each failure
// counts as the replica's.
func WithProber(p Prober) Option { return func(g *Gateway) { g.prober = p } }

// noProber reaches every replica.
type noProber struct{}

func (noProber) Probe(context.Context, catkinspindle.Replica) (bool, error) { return false, nil }

// MostSilent reports whether most of the other replicas of r's service that this node awaits data from
// are silent.
func (g *Gateway) MostSilent(r catkinspindle.Replica) bool { return g.silence.Prevails(time.Now(), r) }

// probeResult is what a probe of a replica has shown.
type probeResult struct {
	// outcome is what a broken attempt at the replica says about it.
	outcome catkinspindle.Outcome
	// refused is true when the replica refuses connections.
	refused bool
}

// probe connects to a replica whose connection broke. Requests of the same incarnation share a
// probe.
func (g *Gateway) probe(r catkinspindle.Replica) probeResult {
	result, _, _ := g.probes.Do(fmt.Sprintf("%s/%d", r.ID, r.Incarnation), func() (any, error) {
		ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
		defer cancel()
		relayed, err := g.prober.Probe(ctx, r)
		switch {
		case relayed:
			return probeResult{outcome: catkinspindle.OutcomeNoPath}, nil
		case err != nil:
			outcome, refused := connectOutcome(err)
			return probeResult{outcome, refused}, nil
		}
		return probeResult{outcome: catkinspindle.OutcomeFailed}, nil
	})
	return result.(probeResult)
}

// connectOutcome returns the outcome of an attempt that could not connect, and whether the replica
// is known to refuse connections.
func connectOutcome(err error) (outcome catkinspindle.Outcome, refused bool) {
	var failure *catkinspindle.ConnectFailure
	if errors.As(err, &failure) && !failure.Confirmed {
		return catkinspindle.OutcomeNoPath, false
	}
	return catkinspindle.OutcomeUnreachable, failure != nil && failure.Refused
}

// brokenAttempt is an attempt whose connection broke, hung or got no answer.
type brokenAttempt struct {
	replica catkinspindle.Replica
	at      time.Time
	// mayHaveCrashed is true if the request may have crashed the replica.
	mayHaveCrashed bool
}

// broke records that the connection of the current attempt to r broke with err. begun is true if
// the replica had begun to answer, which it survived.
func (x *exchange) broke(r catkinspindle.Replica, err error, begun bool) {
	x.broken = &brokenAttempt{r, time.Now(), !begun && connectionBroke(err)}
}

// report reports the result of the current attempt. If its connection broke, it probes the replica
// first: what this node saw may be a fault of its path.
func (x *exchange) report(result catkinspindle.AttemptResult) {
	g, b := x.gateway, x.broken
	x.broken = nil
	if b == nil || result.Outcome != catkinspindle.OutcomeFailed {
		x.reportRefusal(result)
		return
	}
	g.reportLater(result, func(result *catkinspindle.AttemptResult) {
		p := g.probe(b.replica)
		result.Outcome = p.outcome
		if b.mayHaveCrashed {
			x.recordCrash(b.at, b.replica, p)
		}
	})
}

// reportRefusal reports the result of an attempt whose connection did not break. A helper that it
// names is probed first if it may only have been silent.
func (x *exchange) reportRefusal(result catkinspindle.AttemptResult) {
	g := x.gateway
	helper, ok := x.replicas[result.FaultyReplica]
	if !ok || helper.ID == result.Replica || !x.maybeSilent(helper, result) {
		g.placer.ReportResult(result)
		return
	}
	g.reportLater(result, func(result *catkinspindle.AttemptResult) {
		if g.probe(helper).outcome == catkinspindle.OutcomeFailed {
			*result = failedHelper(*result, helper)
		}
	})
}

// maybeSilent reports whether a rejection may name a helper that was only silent: it came late, or
// replicas are silent now. A replica reports at once that a helper is full or leaving.
func (x *exchange) maybeSilent(helper catkinspindle.Replica, result catkinspindle.AttemptResult) bool {
	g := x.gateway
	return result.Duration >= lateRejection || g.MostSilent(helper) || slices.Contains(g.silence.Silent(time.Now(), helper.Service), helper.ID)
}

// failedHelper returns a result that counts as one failed attempt at a helper that can be reached: it
// may only have been silent for a moment, so that only repeated failures make it suspected.
func failedHelper(result catkinspindle.AttemptResult, helper catkinspindle.Replica) catkinspindle.AttemptResult {
	result.Replica, result.Outcome, result.FaultyReplica = helper.ID, catkinspindle.OutcomeFailed, ""
	return result
}

// reportReservation reports the result of an attempt for which a helper made no reservation. If the
// helper did not answer, it is probed first.
func (x *exchange) reportReservation(result catkinspindle.AttemptResult, err error) {
	g := x.gateway
	helper, ok := x.replicas[result.FaultyReplica]
	if !ok || !errors.Is(err, catkinspindle.ErrNoAnswer) {
		g.placer.ReportResult(result)
		return
	}
	g.reportLater(result, func(result *catkinspindle.AttemptResult) {
		switch g.probe(helper).outcome {
		case catkinspindle.OutcomeNoPath:
			result.Outcome, result.FaultyReplica = catkinspindle.OutcomeNoPath, ""
		case catkinspindle.OutcomeFailed:
			*result = failedHelper(*result, helper)
		}
	})
}
