// Package gatewaynode assembles and runs a gateway node, which serves the platform's
// callers. Its VM has no disk: all durable state is in the store and in the other nodes.
package gatewaynode

import (
	"cmp"
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/addresses"
	"github.com/catkinspindle/catkinspindle/buffers"
	"github.com/catkinspindle/catkinspindle/coordinator"
	"github.com/catkinspindle/catkinspindle/events"
	"github.com/catkinspindle/catkinspindle/fleet"
	"github.com/catkinspindle/catkinspindle/gateway"
	"github.com/catkinspindle/catkinspindle/inbound"
	"github.com/catkinspindle/catkinspindle/keys"
	"github.com/catkinspindle/catkinspindle/machine"
	"github.com/catkinspindle/catkinspindle/paths"
	"github.com/catkinspindle/catkinspindle/peers"
	"github.com/catkinspindle/catkinspindle/placement"
	"github.com/catkinspindle/catkinspindle/platform"
	"github.com/catkinspindle/catkinspindle/quarantine"
	"github.com/catkinspindle/catkinspindle/ratelimits"
	"github.com/catkinspindle/catkinspindle/relays"
	"github.com/catkinspindle/catkinspindle/replicas"
	"github.com/catkinspindle/catkinspindle/reservations"
	"github.com/catkinspindle/catkinspindle/retries"
	"github.com/catkinspindle/catkinspindle/view"
)

const (
	// maxAddressLifetime is how long callers may cache an address response. Some cache it three
	// times as long, which must fit into the grace period of a planned stop.
	maxAddressLifetime = time.Second
	// joinBackoff is the mean backoff after a failed call while joining the fleet. Each
	// backoff is jittered, so that nodes that start together do not retry together.
	joinBackoff = 250 * time.Millisecond
	// answerMemoryShare is the share of the VM's memory that the answers of replicas may take.
	answerMemoryShare = 0.15
	// waitingMetric is the number of jobs that wait at this node.
	waitingMetric = "jobs-waiting"
	// answersHeldGauge is the name of the gauge of the bytes that answers hold.
	answersHeldGauge = "answer-bytes-held"

	secretKind = "catkinspindle-keys"
	secretName = "fleet"
	// probationHeartbeats is the probation, in replica heartbeats, of a replica that
	// reappears in a restored store. The store removes an entry after three missed
	// heartbeats.
	probationHeartbeats = 4
)

// Node is a running node. It implements catkinspindle.Service.
type Node struct {
	settings catkinspindle.GatewaySettings
	log      *slog.Logger
	metrics  metrics.Registry
	store    catkinspindle.ObjectStore
	// direct connects to replicas over this node's own paths, relays over other nodes as well.
	direct catkinspindle.Connector
	relays *relays.Connector
	paths  *paths.Table

	self        catkinspindle.Node
	view        *view.View
	planner     *placement.Planner
	replicas    *replicas.Client
	reserver    *reservations.Manager
	retryBudget *retries.Budget
	rateLimits  *ratelimits.Table
	quarantine  *quarantine.Table
	gateway     *gateway.Gateway
	listeners   *listeners
	transport   *peers.Transport
	fleet       *fleet.Fleet
	coordinator *coordinator.Coordinator
	outages     watchOutages
	// grace is the time.Duration that a planned stop may take.
	grace atomic.Int64
	// storeFailing is true if the initial read of the store or the last attempt of retry
	// failed.
	storeFailing atomic.Bool

	group errgroup.Group
	// runCtx is canceled when the node stops.
	runCtx context.Context
	cancel context.CancelFunc
	// secret is the fleet secret. It is set before joined is closed.
	secret []byte
	// storeAnswered is closed once the store has returned the fleet secret.
	storeAnswered, joined chan struct{}
}

// Option configures a node.
type Option func(*Node)

// WithStore replaces the default client of the platform's store.
func WithStore(s catkinspindle.ObjectStore) Option { return func(n *Node) { n.store = s } }

// WithConnector replaces the default dialer of replicas.
func WithConnector(c catkinspindle.Connector) Option { return func(n *Node) { n.direct = c } }

// New returns a node that is not started.
func New(s catkinspindle.GatewaySettings, log *slog.Logger, opts ...Option) *Node {
	n := &Node{
		settings: s,
		log:      log.With("vm", s.Name),
		metrics:  metrics.NewRegistry(),
		self: catkinspindle.Node{
			Name:           s.Name,
			Incarnation:    time.Now().UnixNano(),
			PeerAddress:    s.Peers,
			CallersAddress: s.Callers,
			DataCentre:     s.DataCentre,
			Capacity:       s.CPUShare,
		},
		storeAnswered: make(chan struct{}),
		joined:        make(chan struct{}),
		direct:        replicas.NewDialer(0),
	}
	n.grace.Store(int64(s.Grace))
	for _, opt := range opts {
		opt(n)
	}
	if n.store == nil {
		n.store = platform.NewStore(s.Store, platform.WithStoreRestored(n.storeRestored))
	}
	n.rateLimits = ratelimits.New()
	n.quarantine = quarantine.New(quarantine.WithOnHold(n.holdChanged), quarantine.WithOnLocal(n.wakeFleet))
	n.planner = placement.New(placement.WithRateLimits(n.rateLimits))
	metrics.NewRegisteredFunctionalGauge(waitingMetric, n.metrics, func() int64 { return int64(n.planner.WaitingJobs()) })
	n.paths = paths.New(paths.WithOnLost(n.pathsChanged))
	n.relays = relays.New(n.direct, n.paths, n.log)
	answers := buffers.New(int64(answerMemoryShare * float64(s.MemoryMB) * (1 << 20)))
	_ = metrics.NewRegisteredFunctionalGauge(answersHeldGauge, n.metrics, answers.Held)
	n.replicas = replicas.New(platform.EncodeAttempt, platform.DecodeAnswer, replicas.WithBuffers(answers), replicas.WithMetrics(n.metrics), replicas.WithConnector(n.relays), replicas.WithIdleCheck(n.paths.MayReuse))
	n.reserver = reservations.New(platform.NewOrders(platform.WithReplicaLeaving(n.replicaLeaving), platform.WithConnector(n.relays)), n.log,
		reservations.WithSilence(func(r catkinspindle.Replica) bool { return n.gateway.MostSilent(r) }))
	n.retryBudget = retries.New(s.Retry, 1)
	n.view = view.New(n.viewChanged, view.WithProbation(probationHeartbeats*s.ReplicaHeartbeat))
	n.registerAvailabilityMetrics()
	requests := inbound.New(inbound.WithMemory(int64(s.MemoryMB)<<20), inbound.WithDescriptors(cmp.Or(s.MaxDescriptors, machine.Descriptors())),
		inbound.WithMetrics(n.metrics), inbound.WithLog(n.log))
	n.gateway = gateway.New(n.view, n, n.replicas, n.reserver, n.retryBudget,
		gateway.Codec{Key: platform.APIKey, Timeout: platform.RequestTimeout, Request: platform.DecodeRequest}, n.log,
		gateway.WithDataCentre(s.DataCentre), gateway.WithConfigExpected(func() bool { return !n.storeFailing.Load() }),
		gateway.WithMetrics(n.metrics), gateway.WithRateLimits(n.rateLimits, n.reportRateLimit),
		gateway.WithQuarantine(n.quarantine, n.allowTrial), gateway.WithProber(n.replicas), gateway.WithBuffers(answers),
		gateway.WithInbound(requests))
	addressHandler := addresses.New(n.liveNodes, n.isReady, addressLifetime(s), platform.EncodeAddresses)
	n.listeners = newListeners(s, n.gateway, addressHandler, requests, n.metrics, n.log)
	return n
}

// addressLifetime returns how long callers may cache an address response of a node.
func addressLifetime(s catkinspindle.GatewaySettings) time.Duration {
	if s.MaxLifetime > 0 {
		return min(maxAddressLifetime, s.MaxLifetime)
	}
	return maxAddressLifetime
}

// Start implements catkinspindle.Service. It returns once the listeners are open; the
// node reports that it is not ready until it has joined the fleet and has a configuration.
func (n *Node) Start(ctx context.Context) error {
	if err := n.listeners.Start(ctx); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	n.runCtx, n.cancel = ctx, cancel
	n.group.Go(func() error {
		n.obtainInitialView(ctx)
		return nil
	})
	n.group.Go(func() error {
		err := n.join(ctx)
		if err != nil && ctx.Err() == nil {
			n.log.Error("node cannot join the fleet", events.PlatformFailed.Attr(), "error", err)
		}
		return err
	})
	n.log.Info("node started", events.NodeStarted.Attr(), "incarnation", n.self.Incarnation, "store", n.settings.Store)
	return nil
}

// join joins the fleet. It retries for as long as the store is unreachable.
func (n *Node) join(ctx context.Context) error {
	secret, err := n.obtainSecret(ctx)
	if err != nil {
		return err
	}
	n.secret = secret
	close(n.storeAnswered)
	config, err := keys.NewFleetTLSConfig(secret, peers.Protocol)
	if err != nil {
		return err
	}
	n.transport = peers.NewWithTLS(n.settings.Peers, config, n.log, peers.WithMetrics(n.metrics))
	n.fleet = fleet.New(n.self, n.transport, n.view, n.watchStore, n.log,
		fleet.WithStoreLost(n.outages.anyLost),
		fleet.WithProbe(n.storeReachable),
		fleet.WithCoordinatorChange(n.coordinatorChanged),
		fleet.WithHubsChange(func() { n.coordinator.ReportDividedJobs() }),
		fleet.WithRegistrationLost(n.registrationLost),
		fleet.WithMembershipEnded(n.removeRegistration),
		fleet.WithRoutingUnclear(n.readConfig),
		fleet.WithRateLimits(n.rateLimits),
		fleet.WithQuarantine(n.quarantine),
		fleet.WithNodeLost(func(f catkinspindle.Node) { n.coordinator.RemoveNode(f) }))
	n.coordinator = coordinator.New(n.self, n.planner, n.transport, n.fleet.Coordinator, n.fleet.MarkUnresponsive, n.log,
		coordinator.WithRateLimits(n.rateLimits, n.fleet.RateAuthority),
		coordinator.WithQuarantine(n.quarantine),
		coordinator.WithDepartures(func(d catkinspindle.Departure) { n.view.AddDeparture(d, false) }))
	n.relays.Join(n.self, n.transport, n.liveNodes)
	// A previous process that is still shutting down may hold the address.
	err = n.retry(ctx, "peer listener", func() error { return n.transport.Start(ctx) })
	if err != nil {
		return err
	}
	if err := n.coordinator.Start(ctx); err != nil {
		return err
	}
	if err := n.discoverAndRegister(ctx); err != nil {
		return err
	}
	if err := n.fleet.Start(ctx); err != nil {
		return err
	}
	close(n.joined)
	return nil
}

// discoverAndRegister lists the other nodes and registers this one with a single write:
// when all nodes restart at once, the store's write rate decides how soon they serve. One
// list is enough because hubs report all later changes, and it may be some seconds old
// because it only has to name hubs.
func (n *Node) discoverAndRegister(ctx context.Context) error {
	known, others, err := n.discoverNodes(ctx, n.store.ListStale)
	if err != nil {
		return err
	}
	if err := n.register(ctx, known); err != nil || others {
		return err
	}
	// Nodes that first start at the same time are missing from each other's first list.
	_, _, err = n.discoverNodes(ctx, func(ctx context.Context, kind string) ([]catkinspindle.StoredObject, error) {
		list, _, err := n.store.List(ctx, kind)
		return list, err
	})
	return err
}

// discoverNodes adds the registered nodes to the fleet. It reports whether this node (known)
// and whether other nodes (others) are registered.
func (n *Node) discoverNodes(ctx context.Context, list func(context.Context, string) ([]catkinspindle.StoredObject, error)) (known, others bool, err error) {
	err = n.retry(ctx, "list of registered nodes", func() error {
		objects, err := list(ctx, platform.NodesKind)
		if err != nil {
			return err
		}
		for _, o := range objects {
			known = known || o.Name == n.self.Name
			others = others || o.Name != n.self.Name
		}
		nodesSink{n}.Reset(objects, catkinspindle.Position{}, time.Time{})
		return nil
	})
	return known, others, err
}

// obtainSecret returns the fleet secret. The first node of a fleet creates it.
func (n *Node) obtainSecret(ctx context.Context) ([]byte, error) {
	secret, err := keys.NewFleetSecret()
	if err != nil {
		return nil, err
	}
	var stored fleetSecret
	startedAt := time.Now()
	err = n.retry(ctx, "fleet secret", func() error {
		// The secret never changes, so a stale read is enough.
		objects, err := n.store.ListStale(ctx, secretKind)
		if err == nil && len(objects) == 0 {
			objects, _, err = n.store.List(ctx, secretKind)
		}
		if err != nil {
			return err
		}
		for _, o := range objects {
			if o.Name == secretName {
				return json.Unmarshal(o.Spec, &stored)
			}
		}
		// If other nodes are registered, a secret exists and the store has lost it.
		if time.Since(startedAt) < secretRewriteTimeout && n.otherNodesRegistered(ctx) {
			return errSecretMissing
		}
		o, err := n.store.Create(ctx, secretKind, secretName, newFleetSecret(secret))
		if err != nil {
			return err
		}
		return json.Unmarshal(o.Spec, &stored)
	})
	if err != nil {
		return nil, err
	}
	return base64.StdEncoding.DecodeString(stored.Seed)
}

// register writes this node's registration to the store and keeps the revision that the
// store returns. known is true if the store already has an entry for this node.
func (n *Node) register(ctx context.Context, known bool) error {
	err := n.retry(ctx, "registration", func() error {
		revision, err := n.store.Write(ctx, platform.NodesKind, n.self.Name, n.self, known)
		n.self.RegistrationRevision = revision
		return err
	})
	if err == nil {
		n.fleet.AddRegistered(n.self)
	}
	return err
}

// retry calls f until it succeeds or ctx is done. operation names f in logs and errors.
func (n *Node) retry(ctx context.Context, operation string, f func() error) error {
	for {
		err := f()
		n.storeFailing.Store(err != nil)
		if err == nil {
			return nil
		}
		n.log.Warn("node operation failed, will retry", events.PlatformFailed.Attr(), "what", operation, "error", err)
		if backOff(ctx) != nil {
			return fmt.Errorf("%s: %w", operation, ctx.Err())
		}
	}
}

// backOff waits for joinBackoff, jittered, or until ctx is done. It returns the error of ctx.
func backOff(ctx context.Context) error {
	select {
	case <-ctx.Done():
	case <-time.After(joinBackoff/2 + rand.N(joinBackoff)):
	}
	return ctx.Err()
}

// viewChanged passes a new view to the planner, the listeners and the replica client.
func (n *Node) viewChanged(s *view.State) {
	if s.Table != nil {
		n.planner.SetServices(s.Table.Routing().Services)
		n.listeners.SetLimits(s.Table.Routing().Limits)
	}
	n.planner.SetReplicas(s.Replicas)
	n.rateLimits.Prune(time.Now(), s.Replicas)
	n.replicas.Retain(s.Replicas)
	n.relays.SetReplicas(s.Replicas)
}

// replicaLeaving records that a replica's response to a reservation order said that the
// replica is leaving.
func (n *Node) replicaLeaving(r catkinspindle.Replica) {
	if n.view.AddDeparture(r.Departure(), true) {
		n.log.Info("replica leaves", events.ReplicaChanged.Attr(), "replica", r.ID, "born", r.Incarnation, "source", "order")
	}
}

// reportRateLimit reports to the coordinator the rate limit that this node knows of a replica.
func (n *Node) reportRateLimit(r catkinspindle.Replica) {
	if n.isJoined() {
		n.coordinator.ReportRateLimit(r)
	}
}

func (n *Node) coordinatorChanged(catkinspindle.Node) { n.coordinator.ReportOpenJobs() }

// Place implements gateway.Placer.
func (n *Node) Place(ctx context.Context, j catkinspindle.Job) catkinspindle.Placement {
	select {
	case <-n.joined:
		n.retryBudget.SetNodes(n.fleet.NodeCount())
		return n.coordinator.Place(ctx, j)
	default:
		return n.planner.PlaceUncoordinated(time.Now(), j)
	}
}

// ReportResult implements gateway.Placer.
func (n *Node) ReportResult(e catkinspindle.AttemptResult) {
	select {
	case <-n.joined:
		n.coordinator.ReportResult(e)
	default:
		n.planner.ReportResult(time.Now(), e)
	}
}

func (n *Node) isJoined() bool {
	select {
	case <-n.joined:
		return true
	default:
		return false
	}
}

func (n *Node) liveNodes() []catkinspindle.Node {
	if !n.isJoined() {
		return nil
	}
	return n.fleet.LiveNodes()
}

func (n *Node) isReady() bool {
	return n.isJoined() && n.view.State().Table != nil && !n.fleet.Self().Leaving
}

// Reload takes over the settings that may change while the node runs: the retry budget and the grace period
// of a planned stop.
func (n *Node) Reload(s catkinspindle.GatewaySettings) {
	n.retryBudget.SetAllowance(s.Retry)
	n.grace.Store(int64(s.Grace))
}
