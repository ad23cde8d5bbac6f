package coordinator

import (
	"context"
	"time"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/events"
	"github.com/catkinspindle/catkinspindle/quarantine"
)

const trialKind = "trial"

// WithQuarantine sets the table of the requests that crash replicas.
func WithQuarantine(t *quarantine.Table) Option {
	return func(c *Coordinator) { c.quarantine = t }
}

// AllowTrial asks the coordinator of the fleet whether a request with a held key may be sent to
// a replica now. Only one node grants trials, so that there is one at a time.
func (c *Coordinator) AllowTrial(ctx context.Context, key catkinspindle.RequestKey) bool {
	coord, ok := c.coordinatorOf(catkinspindle.Pool{})
	switch {
	case !ok:
		return false
	case coord.Name == c.nodeName:
		return c.grantTrial(key)
	}
	ctx, cancel := context.WithTimeout(ctx, placeTimeout)
	defer cancel()
	granted := false
	if err := c.peers.Call(ctx, coord.PeerAddress, trialKind, key, &granted); err != nil {
		c.log.Warn("request for a trial failed", events.PeerUnreachable.Attr(), "node", coord.Name, "error", err)
		return false
	}
	return granted
}

// grantTrial grants a trial if this node coordinates more than half of the fleet: two parts of a
// divided fleet must not both grant one.
func (c *Coordinator) grantTrial(key catkinspindle.RequestKey) bool {
	return 2*c.authority(catkinspindle.Pool{}).Share > 1 && c.quarantine.GrantTrial(time.Now(), key)
}

func (c *Coordinator) handleTrial(_ context.Context, decode func(any) error) (any, error) {
	var key catkinspindle.RequestKey
	if err := decode(&key); err != nil {
		return nil, err
	}
	return c.grantTrial(key), nil
}
