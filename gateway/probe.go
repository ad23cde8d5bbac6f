package gateway

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/catkinspindle/catkinspindle"
)

// probeTimeout bounds the connection that shows whether a failed attempt was the replica's fault.
const probeTimeout = 600 * time.Millisecond

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
		g.placer.ReportResult(result)
		return
	}
	g.group.Go(func() error {
		p := g.probe(b.replica)
		result.Outcome = p.outcome
		g.placer.ReportResult(result)
		if b.mayHaveCrashed {
			x.recordCrash(b.at, b.replica, p)
		}
		return nil
	})
}

// reportReservation reports the result of an attempt for which a helper made no reservation. If the
// helper did not answer, it is probed first. When it can be reached, it may only have been silent for a
// moment: that counts as one failed attempt at it, so that only repeated ones make it suspected.
func (x *exchange) reportReservation(result catkinspindle.AttemptResult, err error) {
	g := x.gateway
	helper, ok := x.replicas[result.FaultyReplica]
	if !ok || !errors.Is(err, catkinspindle.ErrNoAnswer) {
		g.placer.ReportResult(result)
		return
	}
	g.group.Go(func() error {
		switch g.probe(helper).outcome {
		case catkinspindle.OutcomeNoPath:
			result.Outcome, result.FaultyReplica = catkinspindle.OutcomeNoPath, ""
		case catkinspindle.OutcomeFailed:
			result.Replica, result.Outcome, result.FaultyReplica = helper.ID, catkinspindle.OutcomeFailed, ""
		}
		g.placer.ReportResult(result)
		return nil
	})
}
