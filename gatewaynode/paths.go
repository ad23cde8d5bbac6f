package gatewaynode

import "github.com/catkinspindle/catkinspindle/events"

// pathsChanged tells the other nodes that this one has lost all its paths to the replicas, or that
// one works again.
func (n *Node) pathsChanged(lost bool) {
	n.log.Warn("paths to the replicas changed", events.PathsChanged.Attr(), "lost", lost)
	if n.isJoined() {
		n.fleet.SetPathsLost(lost)
	}
}
