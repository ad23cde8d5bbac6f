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
	"github.com/catkinspindle/catkinspindle/inbound"
	"github.com/catkinspindle/catkinspindle/kernel"
	"github.com/catkinspindle/catkinspindle/limits"
	"github.com/catkinspindle/catkinspindle/machine"
	"github.com/catkinspindle/catkinspindle/operators"
	"github.com/catkinspindle/catkinspindle/paths"
	"github.com/catkinspindle/catkinspindle/peers"
	"github.com/catkinspindle/catkinspindle/permits"
	"github.com/catkinspindle/catkinspindle/platform"
	"github.com/catkinspindle/catkinspindle/poll"
	"github.com/catkinspindle/catkinspindle/ratelimits"
	"github.com/catkinspindle/catkinspindle/reconcile"
	"github.com/catkinspindle/catkinspindle/relays"
	"github.com/catkinspindle/catkinspindle/replicas"
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
	cfg          settings.Settings
	log          *slog.Logger
	kernel       *kernel.Kernel
	admission    *limits.Limits
	metrics      metrics.Registry
	seed         uint64
	hasListeners bool

	platform catkinspindle.Platform
	peers    catkinspindle.Peers
	dialer   catkinspindle.Dialer
	direct   catkinspindle.Connector
}

// Option configures a Node.
type Option func(*Node)

// WithPlatform replaces the platform client.
func WithPlatform(p catkinspindle.Platform) Option { return func(n *Node) { n.platform = p } }

// WithPeers replaces the transport between nodes.
func WithPeers(p catkinspindle.Peers) Option { return func(n *Node) { n.peers = p } }

// WithDialer replaces the dialer of backend servers.
func WithDialer(d catkinspindle.Dialer) Option { return func(n *Node) { n.dialer = d } }

// WithConnector replaces the default connections to backend servers over this VM's own paths.
func WithConnector(c catkinspindle.Connector) Option { return func(n *Node) { n.direct = c } }

// WithSeed seeds the random choice among equally good backend servers, which makes it
// reproducible.
func WithSeed(seed uint64) Option { return func(n *Node) { n.seed = seed } }

// WithoutListeners disables the HTTP listeners for callers and operators.
func WithoutListeners() Option { return func(n *Node) { n.hasListeners = false } }

// New returns a node with its services registered but not started.
func New(cfg settings.Settings, log *slog.Logger, opts ...Option) (*Node, error) {
	n := &Node{
		cfg:          cfg,
		log:          log.With("vm", cfg.Name),
		kernel:       kernel.New(),
		metrics:      metrics.NewRegistry(),
		seed:         uint64(time.Now().UnixNano()),
		hasListeners: true,
		direct:       replicas.NewDialer(0),
	}
	for _, opt := range opts {
		opt(n)
	}
	if err := n.createClients(); err != nil {
		return nil, err
	}
	return n, n.registerServices()
}

// createClients creates the clients that were not supplied as options.
func (n *Node) createClients() error {
	if n.platform == nil {
		n.platform = platform.New(n.cfg.Platform, wire.NewClient(n.cfg.Timing.CallTimeout))
	}
	connections := relays.New(n.direct, paths.New(), n.log)
	if n.dialer == nil {
		n.dialer = backends.New(n.cfg.Timing.CallTimeout, wire.WithConnector(connections))
	}
	if n.peers != nil {
		return nil
	}
	transport, err := peers.NewFromFiles(n.cfg.Peers, n.cfg.Keys.Certificate, n.cfg.Keys.Key, n.cfg.Keys.Authority, n.log)
	if err != nil {
		return err
	}
	n.peers = transport
	connections.Join(catkinspindle.Node{Name: n.cfg.Name, DataCentre: n.cfg.DataCentre}, transport, n.otherNodes)
	return n.kernel.Register(servicePeers, transport)
}

// otherNodes returns the VMs through which this one may connect to backend servers.
func (n *Node) otherNodes() []catkinspindle.Node {
	var list []catkinspindle.Node
	for _, m := range n.Snapshot().Members {
		if !m.Leaving && m.Origin.VM != n.cfg.Name {
			list = append(list, catkinspindle.Node{Name: m.Origin.VM, PeerAddress: m.PeerAddress, DataCentre: m.DataCentre})
		}
	}
	return list
}

// registerServices builds the services and registers them in the kernel with their dependencies.
func (n *Node) registerServices() error {
	cfg := n.cfg
	controlState := control.New(catkinspindle.Member{
		Origin:      catkinspindle.Origin{VM: cfg.Name, Incarnation: time.Now().UnixNano()},
		PeerAddress: cfg.PeerAddress,
		CallersURL:  cfg.CallersURL,
		DataCentre:  cfg.DataCentre,
	}, cfg.Timing, cfg.Policy)
	n.admission = limits.New(controlState.Snapshot, cfg.Limits.MaxRequests, limits.WithPeers(n.peers, controlState.RateShare, cfg.Timing.CallTimeout, n.log))
	reserver := homes.New(controlState, n.peers, cfg.Timing)
	configuration := config.New(controlState, n.platform, n.peers, cfg.Seeds, cfg.Timing, n.log)
	claimer := claims.New(controlState.Snapshot, n.platform, n.peers, cfg.Timing.CallTimeout)
	onLeaving := func(backend string) {
		n.log.Info("backend server is leaving", events.BackendLeaving.Attr(), "backend", backend)
		controlState.MarkLeaving(backend)
	}
	rateLimits := ratelimits.New()
	ratePermits := permits.New(controlState.Snapshot, controlState.RateShare, n.peers, rateLimits, cfg.Timing.CallTimeout, n.log)
	actionService := actions.New(controlState.Snapshot, n.dialer, n.peers, claimer, cfg.Timing, cfg.Limits,
		actions.WithDeadCheck(controlState.IsDead), actions.WithStoppingHandler(onLeaving), actions.WithRatePermits(ratePermits))
	promptRouter := router.New(controlState.Snapshot, reserver, n.dialer, cfg.Policy, cfg.Timing, cfg.Limits, n.log,
		router.WithStoppingHandler(onLeaving), router.WithSeed(n.seed))

	var dependencies []string
	if _, ok := n.peers.(catkinspindle.Service); ok {
		dependencies = append(dependencies, servicePeers)
	}
	err := errors.Join(
		n.kernel.Register(serviceControl, controlState, dependencies...),
		n.kernel.Register(serviceHomes, reserver, serviceControl),
		n.kernel.Register(servicePoll, poll.New(controlState, n.dialer, cfg.Timing, n.log), serviceControl),
		n.kernel.Register(serviceConfig, configuration, serviceControl),
		n.kernel.Register(serviceGossip, gossip.New(controlState, n.peers, cfg.Seeds, configuration.Pull, cfg.Timing, n.log, gossip.WithRateLimits(rateLimits)), serviceConfig),
		n.kernel.Register(serviceClaims, claimer, serviceControl),
		n.kernel.Register(serviceActions, actionService, serviceClaims, serviceControl),
		n.kernel.Register(serviceRouter, promptRouter, serviceHomes, servicePoll),
		n.kernel.Register(serviceReconcile, reconcile.New(controlState, n.platform, n.dialer, n.peers, cfg.Timing, n.log), serviceControl, serviceConfig),
	)
	if err != nil || !n.hasListeners {
		return err
	}
	return errors.Join(
		n.kernel.Register(serviceOperators, operators.New(cfg.Operators, controlState.Snapshot, configuration, n.State, n.metrics), serviceControl, serviceConfig),
		n.kernel.Register(serviceCallers, callers.New(cfg.Callers, controlState.Snapshot, promptRouter, actionService, n.admission, cfg.Timing, cfg.Limits, n.metrics, n.log, callers.WithInbound(n.newInbound())), serviceRouter, serviceActions, serviceGossip),
	)
}

// newInbound returns the budget of what is being read from callers.
func (n *Node) newInbound() *inbound.Budget {
	memory := machine.Memory()
	opts := []inbound.Option{inbound.WithMemory(memory), inbound.WithDescriptors(machine.Descriptors()), inbound.WithMetrics(n.metrics), inbound.WithLog(n.log)}
	switch {
	case n.cfg.Limits.BodyMemory > 0:
		opts = append(opts, inbound.WithMaxBytes(n.cfg.Limits.BodyMemory))
	case memory > 0:
		opts = append(opts, inbound.WithMinBytes(n.cfg.Limits.MinBodyMemory()))
	}
	return inbound.New(opts...)
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
	n.log.Info("node is leaving", events.NodeLeaving.Attr(), "in-flight", n.admission.InFlight())
	n.announceLeaving(ctx)
	err := n.kernel.Stop(ctx)
	n.log.Info("node stopped", events.NodeStopped.Attr())
	return err
}

// announceLeaving marks this node as leaving, gossips that and waits until no unexpired
// address answer lists it.
func (n *Node) announceLeaving(ctx context.Context) {
	ctl := n.control()
	ctl.MarkSelfLeaving()
	if g, err := kernel.Lookup[*gossip.Gossip](n.kernel, serviceGossip); err == nil {
		g.ExchangeAll()
	}
	// A member that misses the first exchange learns of the departure within a few
	// heartbeats, and until then may still list this node.
	const gossipHeartbeats = 4
	select {
	case <-ctx.Done():
	case <-time.After(n.cfg.Timing.AddressLifetime + gossipHeartbeats*n.cfg.Timing.Heartbeat):
	}
}

func (n *Node) control() *control.Control {
	c, err := kernel.Lookup[*control.Control](n.kernel, serviceControl)
	if err != nil {
		panic(err) // Unreachable: registerServices has registered the service.
	}
	return c
}

// Snapshot returns the node's current view of the fleet.
func (n *Node) Snapshot() *catkinspindle.Snapshot { return n.control().Snapshot() }

// PromptService returns the service that answers prompts.
func (n *Node) PromptService() catkinspindle.PromptService {
	return mustLookup[catkinspindle.PromptService](n, serviceRouter)
}

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
		panic(err) // Unreachable: registerServices has registered the service.
	}
	return s
}

// State returns a dump of the node's state for operators.
func (n *Node) State() operators.NodeState {
	snap := n.Snapshot()
	state := operators.NodeState{
		Self:          snap.Self,
		Ready:         snap.Ready(),
		Superseded:    snap.Superseded,
		ConfigVersion: snap.Config.Version,
		Members:       snap.Members,
		Homes:         map[string]string{},
		Loads:         snap.Loads(),
		Ledgers:       map[string][]string{},
		Serving:       snap.Serving,
		InFlight:      n.admission.InFlight(),
		Streams:       mustLookup[*homes.Client](n, serviceHomes).Streams(),
	}
	reconciler := mustLookup[*reconcile.Reconciler](n, serviceReconcile)
	state.LeadsDataCentre, state.FencingToken = reconciler.IsLeader(), reconciler.FencingToken()
	raw, _ := n.Config().Current()
	state.Config = string(raw)
	for engine, m := range snap.Homes {
		state.Homes[engine] = m.Origin.String()
	}
	for engine, tickets := range n.control().Ledgers() {
		for _, t := range tickets {
			state.Ledgers[engine] = append(state.Ledgers[engine], t.ID.String())
		}
	}
	return state
}
