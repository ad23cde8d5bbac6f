package relays

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"slices"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/http1"
)

const (
	// connectTimeout bounds the time to connect for another node, which tries its own path for
	// 300 ms. controlTimeout bounds the connection that shows whether this node's paths work.
	connectTimeout = 240 * time.Millisecond
	controlTimeout = 100 * time.Millisecond
	// controlCount is the number of replicas that are tried for it.
	controlCount = 3
	// lastWrites is the time in which what a node has sent before it closed reaches the replica.
	lastWrites = time.Second
	// maxActive bounds the connections that are relayed at a time.
	maxActive = 256

	// reasonUnreachable and reasonRefused mean that the replica cannot be reached by a node
	// that reaches others, and that it refuses connections.
	reasonUnreachable catkinspindle.Reason = "replica-unreachable"
	reasonRefused     catkinspindle.Reason = "replica-refuses"
)

// request asks another node to connect to a replica.
type request struct {
	Address string `cbor:"1,keyasint"`
}

// Active returns the number of connections that are relayed for other nodes.
func (c *Connector) Active() int64 { return c.active.Load() }

// accept connects to a replica for another node.
func (c *Connector) accept(ctx context.Context, decode func(any) error) (func(catkinspindle.Tunnel), error) {
	var r request
	if err := decode(&r); err != nil {
		return nil, err
	}
	if c.paths.HasFailed(r.Address) {
		return nil, catkinspindle.Fail(catkinspindle.NotRun, catkinspindle.ReasonNoBackend, "this node's own path to %s has failed", r.Address)
	}
	if c.active.Add(1) > maxActive {
		c.active.Add(-1)
		return nil, catkinspindle.Fail(catkinspindle.NotRun, catkinspindle.ReasonOverload, "%d connections are relayed", maxActive)
	}
	conn, err := c.connectFor(ctx, r.Address)
	if err != nil {
		c.active.Add(-1)
		return nil, err
	}
	return func(t catkinspindle.Tunnel) {
		defer c.active.Add(-1)
		relay(ctx, t, conn)
	}, nil
}

// connectFor connects to a replica for another node. Only if this node reaches another replica at
// that time does a failure say something about the replica.
func (c *Connector) connectFor(ctx context.Context, address string) (net.Conn, error) {
	connectCtx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	conn, err := c.direct.Connect(connectCtx, address)
	if err == nil {
		c.worked(address)
		return conn, nil
	}
	switch {
	case !c.reachesAnother(ctx, address):
		return nil, catkinspindle.Fail(catkinspindle.NotRun, catkinspindle.ReasonNoBackend, "this node reaches no replica")
	case errors.Is(err, syscall.ECONNREFUSED):
		return nil, catkinspindle.Fail(catkinspindle.NotRun, reasonRefused, "%w", err)
	}
	return nil, catkinspindle.Fail(catkinspindle.NotRun, reasonUnreachable, "%w", err)
}

// reachesAnother reports whether this node connects to any of a few replicas other than the one at
// address.
func (c *Connector) reachesAnother(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	list := c.controls(address)
	results := make(chan bool, len(list))
	for _, control := range list {
		c.group.Go(func() error {
			conn, err := c.direct.Connect(ctx, control)
			if err == nil {
				_ = conn.Close() // It has carried no request.
			}
			results <- err == nil
			return nil
		})
	}
	for range list {
		if <-results {
			return true
		}
	}
	return false
}

// controls returns the addresses of the replica that was reached last and of random others, without
// the one at address.
func (c *Connector) controls(address string) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []string
	add := func(a string) {
		if a != "" && a != address && !slices.Contains(list, a) {
			list = append(list, a)
		}
	}
	add(c.reached)
	for _, i := range rand.Perm(len(c.known)) {
		if len(list) == controlCount {
			break
		}
		add(c.known[i])
	}
	return list
}

// relay passes bytes between a node and a replica until one of them closes. A connection that
// broke must not look like one that ended. ctx is done when the node does not read any more: it has
// closed, which is not seen otherwise while the replica neither reads nor writes.
func relay(ctx context.Context, t catkinspindle.Tunnel, replica net.Conn) {
	conn := http1.New(replica)
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Now().Add(lastWrites)) })
	defer stop()
	var group errgroup.Group
	group.Go(func() error {
		_, _ = io.Copy(conn, t) // The other direction reports what matters to the node.
		// A replica may answer without reading the whole request. Its connection stays open until
		// the node closes, because the answer may not have been read yet.
		_, _ = io.Copy(io.Discard, t)
		_ = conn.Close()
		return nil
	})
	if _, err := io.Copy(t, conn); err != nil {
		t.Abort()
	} else {
		_ = t.Close() // The replica has sent everything.
	}
	_ = conn.Close()
	_ = group.Wait() // It returns no error.
}
