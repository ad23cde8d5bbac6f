package gatewaynode

import (
	"context"
	"errors"
	"time"

	"github.com/catkinspindle/catkinspindle/events"
	"github.com/catkinspindle/catkinspindle/platform"
)

const (
	// cachedLifetimes is the number of lifetimes for which some callers cache an address response.
	// New requests are served that long; later ones might not finish in time and are refused as
	// not run.
	cachedLifetimes = 3
	// The shares are fractions of the grace period after which the phases of a stop end, so that
	// the last request has finished before the process is killed. acceptShare leaves requests in
	// flight at least half of it.
	acceptShare = 0.5
	// drainShare is the end of the phase in which requests in flight may finish.
	drainShare = 0.92
	// unregisterTimeout is the timeout for removing the registration.
	unregisterTimeout = 300 * time.Millisecond
	// answerTimeout is the time for the failures of requests that the drain has not ended.
	answerTimeout = 100 * time.Millisecond
	// closeShare is the end of the phase in which idle connections are closed.
	closeShare = 0.97
	// drainPollInterval is the interval at which requests in flight are counted.
	drainPollInterval = 50 * time.Millisecond
)

// Stop drains the node and stops it within the grace period. The node removes itself
// from address responses, serves callers that have cached an older response, refuses
// later requests and those that would take too long, and waits for requests in flight to finish.
// Requests that outlast the drain get a failure, or are aborted if their answer has begun; their
// number is logged.
func (n *Node) Stop(ctx context.Context) error {
	startedAt := time.Now()
	grace := time.Duration(n.grace.Load())
	n.log.Info("node is leaving", events.NodeLeaving.Attr(), "in-flight", n.gateway.InFlight(), "grace", grace)
	if n.isJoined() {
		n.fleet.Leave()
	}
	drainEnd := startedAt.Add(time.Duration(drainShare * float64(grace)))
	n.gateway.CloseConnections()
	n.gateway.StopBy(drainEnd)
	n.waitUntil(ctx, startedAt.Add(min(cachedLifetimes*addressLifetime(n.settings), time.Duration(acceptShare*float64(grace)))), nil)
	n.gateway.RefuseRequests()
	if n.isJoined() {
		n.unregister(ctx)
	}
	n.waitUntil(ctx, drainEnd, func() bool { return n.gateway.InFlight()+n.relays.Active() == 0 })
	unfinished := n.gateway.InFlight()
	n.gateway.EndRequests()
	n.waitUntil(ctx, time.Now().Add(answerTimeout), func() bool { return n.gateway.InFlight() == 0 })
	var errs []error
	closeCtx, cancel := context.WithDeadline(ctx, startedAt.Add(time.Duration(closeShare*float64(grace))))
	defer cancel()
	errs = append(errs, n.listeners.Stop(closeCtx), n.gateway.Wait(), n.relays.Wait())
	n.cancel()
	if n.isJoined() {
		errs = append(errs, n.fleet.Stop(ctx), n.coordinator.Stop(ctx), n.transport.Stop(ctx))
	}
	n.log.Info("node stopped", events.NodeStopped.Attr(), "cut", unfinished, "took", time.Since(startedAt))
	return errors.Join(errs...)
}

// unregister removes the node's registration, unless a later process of this VM has replaced it. A
// stopped node that is still registered counts as dead for the other nodes.
func (n *Node) unregister(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, unregisterTimeout)
	defer cancel()
	if err := n.store.Remove(ctx, platform.NodesKind, n.self.Name, n.fleet.Self().RegistrationRevision); err != nil {
		n.log.Warn("registration could not be removed from the store", events.PlatformFailed.Attr(), "error", err)
	}
}

// waitUntil blocks until end, until done returns true (if done is not nil) or until ctx is
// done.
func (n *Node) waitUntil(ctx context.Context, end time.Time, done func() bool) {
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for time.Now().Before(end) && (done == nil || !done()) {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
