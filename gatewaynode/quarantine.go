package gatewaynode

import (
	"context"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/events"
)

// holdChanged logs that requests with a key are held because they crash replicas, or that they
// no longer are.
func (n *Node) holdChanged(key catkinspindle.RequestKey, held bool) {
	n.log.Info("hold of requests changed", events.Quarantined.Attr(), "key", key.String(), "held", held)
}

// wakeFleet tells the other nodes at once what this node knows of requests that crash replicas.
func (n *Node) wakeFleet() {
	if n.isJoined() {
		n.fleet.Wake()
	}
}

// allowTrial reports whether a request with a held key may be sent to a replica now.
func (n *Node) allowTrial(ctx context.Context, key catkinspindle.RequestKey) bool {
	return n.isJoined() && n.coordinator.AllowTrial(ctx, key)
}
