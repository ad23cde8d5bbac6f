// Package relays connects to replicas, directly or through another node when this node's own
// path fails. The other node only passes bytes on: deadlines, retries, reservations and
// everything else stay with the node that the caller has reached.
package relays

import (
	"cmp"
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/events"
	"github.com/catkinspindle/catkinspindle/paths"
)

const (
	// relayDelay is the time without a connection after which another node is asked too. A
	// replica accepts connections within milliseconds.
	relayDelay = 60 * time.Millisecond
	// relayTimeout bounds the time in which another node connects and answers.
	relayTimeout = 500 * time.Millisecond
	// maxRelays is the number of nodes that are asked, one after the other.
	maxRelays = 3
	// relayCooldown is the time in which a node that could not help is not asked again.
	relayCooldown = time.Second

	tunnelKind = "relay"
)

// Connector implements catkinspindle.Connector and serves the connections of other nodes.
type Connector struct {
	direct catkinspindle.Connector
	paths  *paths.Table
	log    *slog.Logger
	group  errgroup.Group
	// active counts the connections that are relayed for other nodes.
	active atomic.Int64

	mu sync.Mutex
	// tunnels and nodes are nil until Join.
	tunnels  catkinspindle.Tunnels
	self     catkinspindle.Node
	nodes    func() []catkinspindle.Node
	cooldown map[string]time.Time
	// reached is the address of the replica to which this node has connected last, known has
	// those of all replicas.
	reached string
	known   []string
}

// New returns a Connector that uses direct for this node's own paths.
func New(direct catkinspindle.Connector, t *paths.Table, log *slog.Logger) *Connector {
	return &Connector{direct: direct, paths: t, log: log, cooldown: map[string]time.Time{}}
}

// Join lets the connector use other nodes, which nodes lists, and serve them. It must be called
// before the transport starts.
func (c *Connector) Join(self catkinspindle.Node, t catkinspindle.Tunnels, nodes func() []catkinspindle.Node) {
	t.HandleTunnel(tunnelKind, c.accept)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.self, c.tunnels, c.nodes = self, t, nodes
}

// SetReplicas replaces the known replicas.
func (c *Connector) SetReplicas(list map[string]catkinspindle.Replica) {
	known := make([]string, 0, len(list))
	for _, r := range list {
		known = append(known, r.Address)
	}
	c.mu.Lock()
	c.known = known
	c.mu.Unlock()
	c.paths.Retain(list)
}

// Wait waits until no connection is being tried.
func (c *Connector) Wait() error { return c.group.Wait() }

// Connect implements catkinspindle.Connector. A connection over another node is a
// catkinspindle.Tunnel.
func (c *Connector) Connect(ctx context.Context, address string) (net.Conn, error) {
	if !c.hasOthers() {
		return c.connectAlone(ctx, address)
	}
	direct, probe := c.paths.Plan(time.Now(), address)
	if direct {
		return c.race(ctx, address)
	}
	if probe {
		c.group.Go(func() error {
			c.probe(address)
			return nil
		})
	}
	conn, err := c.relay(ctx, address)
	if err != nil {
		return nil, failure(err, err)
	}
	return conn, nil
}

// connectAlone connects while there is no other node that could tell a broken path from a
// broken replica.
func (c *Connector) connectAlone(ctx context.Context, address string) (net.Conn, error) {
	conn, err := c.direct.Connect(ctx, address)
	if err != nil {
		return nil, &catkinspindle.ConnectFailure{Confirmed: ctx.Err() == nil, Refused: errors.Is(err, syscall.ECONNREFUSED), Err: err}
	}
	c.worked(address)
	return conn, nil
}

// probe tries the path to a replica that failed earlier.
func (c *Connector) probe(address string) {
	conn, err := c.direct.Connect(context.Background(), address)
	if err != nil {
		c.paths.Failed(time.Now(), address)
		return
	}
	_ = conn.Close() // It has carried no request.
	c.worked(address)
}

func (c *Connector) worked(address string) {
	c.paths.Worked(time.Now(), address)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reached = address
}

// race connects directly, and through another node if that fails or takes too long.
func (c *Connector) race(ctx context.Context, address string) (net.Conn, error) {
	r := &race{connector: c, address: address, won: make(chan net.Conn, 1), lost: make(chan struct{}), ownFailed: make(chan struct{})}
	relayCtx, cancelRelay := context.WithCancel(ctx)
	defer cancelRelay()
	c.group.Go(func() error {
		// It is not cancelled with the request, because its result is evidence.
		conn, err := c.direct.Connect(context.WithoutCancel(ctx), address)
		r.endOwn(conn, err)
		return nil
	})
	timer := time.NewTimer(relayDelay)
	defer timer.Stop()
	select {
	case conn := <-r.won:
		return conn, nil
	case <-ctx.Done():
	case <-timer.C:
	case <-r.ownFailed:
	}
	c.group.Go(func() error {
		conn, err := c.relay(relayCtx, address)
		r.endRelayed(conn, err)
		return nil
	})
	select {
	case conn := <-r.won:
		return conn, nil
	case <-r.lost:
		return nil, failure(r.ownErr, r.relayErr)
	case <-ctx.Done():
		r.abandon()
		return nil, &catkinspindle.ConnectFailure{Err: ctx.Err()}
	}
}

// failure returns the error of an attempt that failed on this node's own path with own, and over
// other nodes with relayed.
func failure(own, relayed error) error {
	reason := catkinspindle.AsFailure(relayed).Reason
	return &catkinspindle.ConnectFailure{
		Confirmed: reason == reasonUnreachable || reason == reasonRefused,
		Refused:   reason == reasonRefused,
		Err:       own,
	}
}

// hasOthers reports whether there are other nodes that might connect to a replica.
func (c *Connector) hasOthers() bool {
	c.mu.Lock()
	nodes := c.nodes
	self := c.self.Name
	c.mu.Unlock()
	return nodes != nil && slices.ContainsFunc(nodes(), func(n catkinspindle.Node) bool { return n.Name != self })
}

// candidates returns the nodes to ask, in a random order, those of the own data centre first.
func (c *Connector) candidates(now time.Time) []catkinspindle.Node {
	list := c.nodes()
	c.mu.Lock()
	defer c.mu.Unlock()
	list = slices.DeleteFunc(slices.Clone(list), func(n catkinspindle.Node) bool {
		return n.Name == c.self.Name || n.PathsLost || now.Before(c.cooldown[n.Name])
	})
	rand.Shuffle(len(list), func(i, k int) { list[i], list[k] = list[k], list[i] })
	other := func(n catkinspindle.Node) int {
		if n.DataCentre == c.self.DataCentre {
			return 0
		}
		return 1
	}
	slices.SortStableFunc(list, func(a, b catkinspindle.Node) int { return cmp.Compare(other(a), other(b)) })
	return list[:min(len(list), maxRelays)]
}

// relay connects through another node.
func (c *Connector) relay(ctx context.Context, address string) (net.Conn, error) {
	var err error = catkinspindle.Fail(catkinspindle.NotRun, catkinspindle.ReasonNoBackend, "no other node can connect to the replica")
	for _, n := range c.candidates(time.Now()) {
		var conn catkinspindle.Tunnel
		conn, err = c.openTunnel(ctx, n, address)
		reason := catkinspindle.Reason("")
		if err != nil {
			reason = catkinspindle.AsFailure(err).Reason
		}
		switch {
		case err == nil:
			return conn, nil
		case reason == reasonUnreachable || reason == reasonRefused || ctx.Err() != nil:
			return nil, err
		}
		c.log.Info("node cannot relay a connection", events.PeerUnreachable.Attr(), "node", n.Name, "address", address, "error", err)
		c.mu.Lock()
		c.cooldown[n.Name] = time.Now().Add(relayCooldown)
		c.mu.Unlock()
	}
	return nil, err
}

func (c *Connector) openTunnel(ctx context.Context, n catkinspindle.Node, address string) (catkinspindle.Tunnel, error) {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	return c.tunnels.OpenTunnel(ctx, n.PeerAddress, tunnelKind, request{Address: address})
}
