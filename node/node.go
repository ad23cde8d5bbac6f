// Package node assembles the services of a serving node and manages their lifecycle.
package node

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/actions"
	"github.com/catkinspindle/catkinspindle/backends"
	"github.com/catkinspindle/catkinspindle/callers"
	"github.com/catkinspindle/catkinspindle/claims"
	"github.com/catkinspindle/catkinspindle/config"
	"github.com/catkinspindle/catkinspindle/control"
	"github.com/catkinspindle/catkinspindle/events"
	"github.com/catkinspindle/catkinspindle/gossip"
	"github.com/catkinspindle/catkinspindle/homes"
	"github.com/catkinspindle/catkinspindle/kernel"
	"github.com/catkinspindle/catkinspindle/limits"
	"github.com/catkinspindle/catkinspindle/operators"
	"github.com/catkinspindle/catkinspindle/peers"
	"github.com/catkinspindle/catkinspindle/platform"
	"github.com/catkinspindle/catkinspindle/poll"
	"github.com/catkinspindle/catkinspindle/reconcile"
	"github.com/catkinspindle/catkinspindle/router"
	"github.com/catkinspindle/catkinspindle/settings"
	"github.com/catkinspindle/catkinspindle/wire"
)

// Service names in the kernel.
const (
	servicePeers     = "peers"
	serviceControl   = "control"
	serviceHomes     = "homes"
	servicePoll      = "poll"
	serviceConfig    = "config"
	serviceGossip    = "gossip"
	serviceClaims    = "claims"
	serviceActions   = "actions"
	serviceRouter    = "router"
	serviceReconcile = "reconcile"
	serviceOperators = "operators"
	serviceCallers   = "callers"
)

// Node is one serving node. It starts and stops its services in dependency order.
type Node struct {
	cfg     settings.Settings
	log     *slog.Logger
	kernel  *kernel.Kernel
	usage   *limits.Limits
	metrics metrics.Registry
	seed    uint64
	listen  bool

	platform catkinspindle.Platform
	peers    catkinspindle.Peers
	dialer   catkinspindle.Dialer
}

// Option configures a Node.
type Option func(*Node)

// WithPlatform replaces the platform client.
func WithPlatform(p catkinspindle.Platform) Option { return func(n *Node) { n.platform = p } }

// WithPeers replaces the transport between nodes.
func WithPeers(p catkinspindle.Peers) Option { return func(n *Node) { n.peers = p } }

// WithDialer replaces the dialer of backend servers.
func WithDialer(d catkinspindle.Dialer) Option { return func(n *Node) { n.dialer = d } }

// WithSeed seeds the random choice among equally good backend servers, which makes it
// reproducible.
func WithSeed(seed uint64) Option { return func(n *Node) { n.seed = seed } }

// WithoutListeners disables the HTTP listeners for callers and operators.
func WithoutListeners() Option { return func(n *Node) { n.listen = false } }

// New returns a node with its services registered but not started.
func New(cfg settings.Settings, log *slog.Logger, opts ...Option) (*Node, error) {
	n := &Node{
		cfg:     cfg,
		log:     log.With("vm", cfg.Name),
		kernel:  kernel.New(),
		metrics: metrics.NewRegistry(),
		seed:    uint64(time.Now().UnixNano()),
		listen:  true,
	}
	for _, opt := range opts {
		opt(n)
	}
	if err := n.connect(); err != nil {
		return nil, err
	}
	return n, n.register()
}

// connect creates the clients that were not supplied as options.
func (n *Node) connect() error {
	if n.platform == nil {
		n.platform = platform.New(n.cfg.Platform, wire.New(n.cfg.Timing.Call))
	}
	if n.dialer == nil {
		n.dialer = backends.New(n.cfg.Timing.Call)
	}
	if n.peers != nil {
		return nil
	}
	t, err := peers.New(n.cfg.Peers, n.cfg.Keys.Certificate, n.cfg.Keys.Key, n.cfg.Keys.Authority, n.log)
	if err != nil {
		return err
	}
	n.peers = t
	return n.kernel.Register(servicePeers, t)
}

// register builds the services and registers them in the kernel with their dependencies.
func (n *Node) register() error {
	cfg := n.cfg
	ctl := control.New(catkinspindle.Member{
		Origin:      catkinspindle.Origin{VM: cfg.Name, Incarnation: time.Now().UnixNano()},
		PeerAddress: cfg.PeerAddress,
		CallersURL:  cfg.CallersURL,
		DataCentre:  cfg.DataCentre,
	}, cfg.Timing, cfg.Policy)
	n.usage = limits.New(ctl.Snapshot, cfg.Limits.MaxRequests)
	reserver := homes.New(ctl, n.peers, cfg.Timing)
	text := config.New(ctl, n.platform, n.peers, cfg.Seeds, cfg.Timing, n.log)
	claimer := claims.New(ctl.Snapshot, n.platform, n.peers, cfg.Timing.Call)
	leaving := func(backend string) {
		n.log.Info("backend server is leaving", events.BackendLeaving.Attr(), "backend", backend)
		ctl.MarkLeaving(backend)
	}
	acts := actions.New(ctl.Snapshot, n.dialer, n.peers, claimer, cfg.Timing, cfg.Limits,
		actions.WithDead(ctl.Dead), actions.WithLeaving(leaving))
	reads := router.New(ctl.Snapshot, reserver, n.dialer, cfg.Policy, cfg.Timing, cfg.Limits, n.log,
		router.WithLeaving(leaving), router.WithSeed(n.seed))

	var needs []string
	if _, ok := n.peers.(catkinspindle.Service); ok {
		needs = append(needs, servicePeers)
	}
	err := errors.Join(
		n.kernel.Register(serviceControl, ctl, needs...),
		n.kernel.Register(serviceHomes, reserver, serviceControl),
		n.kernel.Register(servicePoll, poll.New(ctl, n.dialer, cfg.Timing, n.log), serviceControl),
		n.kernel.Register(serviceConfig, text, serviceControl),
		n.kernel.Register(serviceGossip, gossip.New(ctl, n.peers, cfg.Seeds, text.Pull, cfg.Timing, n.log), serviceConfig),
		n.kernel.Register(serviceClaims, claimer, serviceControl),
		n.kernel.Register(serviceActions, acts, serviceClaims, serviceControl),
		n.kernel.Register(serviceRouter, reads, serviceHomes, servicePoll),
		n.kernel.Register(serviceReconcile, reconcile.New(ctl, n.platform, n.dialer, n.peers, cfg.Timing, n.log), serviceControl, serviceConfig),
	)
	if err != nil || !n.listen {
		return err
	}
	return errors.Join(
		n.kernel.Register(serviceOperators, operators.New(cfg.Operators, ctl.Snapshot, text, n.State, n.metrics), serviceControl, serviceConfig),
		n.kernel.Register(serviceCallers, callers.New(cfg.Callers, ctl.Snapshot, reads, acts, n.usage, cfg.Timing, cfg.Limits, n.metrics, n.log), serviceRouter, serviceActions, serviceGossip),
	)
}

// Start starts the services in dependency order.
func (n *Node) Start(ctx context.Context) error {
	if err := n.kernel.Start(ctx); err != nil {
		return err
	}
	n.log.Info("node started", events.NodeStarted.Attr(), "origin", n.Snapshot().Self.Origin.String())
	return nil
}

// Stop drains the node: it marks itself as leaving, so that new address answers omit it,
// serves until all earlier answers that list it have expired, waits for requests in flight
// and then stops the services. When ctx ends, the remaining requests are aborted.
func (n *Node) Stop(ctx context.Context) error {
	n.log.Info("node is leaving", events.NodeLeaving.Attr(), "in-flight", n.usage.InFlight())
	n.leave(ctx)
	err := n.kernel.Stop(ctx)
	n.log.Info("node stopped", events.NodeStopped.Attr())
	return err
}

// leave marks this node as leaving, gossips that and waits until no unexpired address
// answer lists it.
func (n *Node) leave(ctx context.Context) {
	ctl := n.control()
	ctl.Leave()
	if g, err := kernel.Lookup[*gossip.Gossip](n.kernel, serviceGossip); err == nil {
		g.Spread()
	}
	// A member that misses the first exchange learns of the departure within a few
	// heartbeats, and until then may still list this node.
	const spreadBeats = 4
	select {
	case <-ctx.Done():
	case <-time.After(n.cfg.Timing.AddressLifetime + spreadBeats*n.cfg.Timing.Heartbeat):
	}
}

func (n *Node) control() *control.Control {
	c, err := kernel.Lookup[*control.Control](n.kernel, serviceControl)
	if err != nil {
		panic(err) // register has put it there.
	}
	return c
}

// Snapshot returns the node's current view of the fleet.
func (n *Node) Snapshot() *catkinspindle.Snapshot { return n.control().Snapshot() }

// Reads returns the service that answers prompts.
func (n *Node) Reads() catkinspindle.Reads { return mustLookup[catkinspindle.Reads](n, serviceRouter) }

// Actions returns the service that calls plain services.
func (n *Node) Actions() catkinspindle.Actions {
	return mustLookup[catkinspindle.Actions](n, serviceActions)
}

// Claimer returns the service that records which origin owns an idempotency key.
func (n *Node) Claimer() catkinspindle.Claimer {
	return mustLookup[catkinspindle.Claimer](n, serviceClaims)
}

// Config returns the service that stores and distributes the fleet configuration.
func (n *Node) Config() *config.Config { return mustLookup[*config.Config](n, serviceConfig) }

func mustLookup[T any](n *Node, name string) T {
	s, err := kernel.Lookup[T](n.kernel, name)
	if err != nil {
		panic(err) // register has put it there.
	}
	return s
}

// State returns a dump of the node's state for operators.
func (n *Node) State() operators.State {
	snap := n.Snapshot()
	s := operators.State{
		Self:          snap.Self,
		Ready:         snap.Ready(),
		Superseded:    snap.Superseded,
		ConfigVersion: snap.Text.Version,
		Members:       snap.Members,
		Homes:         map[string]string{},
		Loads:         snap.Loads(),
		Ledgers:       map[string][]string{},
		Serving:       snap.Serving,
		InFlight:      n.usage.InFlight(),
		Streams:       mustLookup[*homes.Homes](n, serviceHomes).Streams(),
	}
	leader := mustLookup[*reconcile.Reconciler](n, serviceReconcile)
	s.Leads, s.Fencing = leader.Leads(), leader.Fencing()
	raw, _ := n.Config().Current()
	s.Text = string(raw)
	for engine, m := range snap.Homes {
		s.Homes[engine] = m.Origin.String()
	}
	for engine, tickets := range n.control().Ledgers() {
		for _, t := range tickets {
			s.Ledgers[engine] = append(s.Ledgers[engine], t.ID.String())
		}
	}
	return s
}
