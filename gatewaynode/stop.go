package gatewaynode

import (
	"context"
	"errors"
	"time"

	"github.com/catkinspindle/catkinspindle/events"
	"github.com/catkinspindle/catkinspindle/platform"
)

// Parts of the grace after which a stop goes on, so that the last request has
// ended before the kill.
const (
	// acceptShare: until then new requests are served, because callers keep an
	// address answer for up to three lifetimes. What comes later could not be
	// sure to end in time and is refused as not run.
	acceptShare = 0.375
	// drainShare: until then requests in flight may end.
	drainShare = 0.92
	// unregisterTimeout bounds the removal of the registration.
	unregisterTimeout = 300 * time.Millisecond
	// drainPoll is the interval at which requests in flight are counted.
	drainPoll = 50 * time.Millisecond
)

// Stop leaves the fleet without cutting a request: the node takes itself out
// of address answers, serves those who hold an older answer, refuses what
// comes later, lets the rest finish and ends within the grace.
func (n *Node) Stop(ctx context.Context) error {
	began := time.Now()
	grace := n.settings.Grace
	n.log.Info("node is leaving", events.NodeLeaving.Attr(), "in-flight", n.gateway.InFlight(), "grace", grace)
	if n.isJoined() {
		n.fleet.Leave()
	}
	n.gateway.CloseConnections()
	n.until(ctx, began.Add(time.Duration(acceptShare*float64(grace))), nil)
	n.gateway.Refuse()
	if n.isJoined() {
		n.unregister(ctx)
	}
	n.until(ctx, began.Add(time.Duration(drainShare*float64(grace))), func() bool { return n.gateway.InFlight() == 0 })
	left := n.gateway.InFlight()
	var errs []error
	errs = append(errs, n.listeners.Stop(ctx))
	n.cancel()
	if n.isJoined() {
		errs = append(errs, n.fleet.Stop(ctx), n.coordinator.Stop(ctx), n.transport.Stop(ctx))
	}
	n.log.Info("node stopped", events.NodeStopped.Attr(), "cut", left, "took", time.Since(began))
	return errors.Join(errs...)
}

// unregister removes the node's registration. While it stays, the others count the node
// as a dead one.
func (n *Node) unregister(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, unregisterTimeout)
	defer cancel()
	if err := n.store.Remove(ctx, platform.NodesKind, n.self.Name); err != nil {
		n.log.Warn("registration not removed", events.PlatformFailed.Attr(), "error", err)
	}
}

// until waits for a time or, when it is given, a condition.
func (n *Node) until(ctx context.Context, end time.Time, done func() bool) {
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	for time.Now().Before(end) && (done == nil || !done()) {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
