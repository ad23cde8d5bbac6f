// Package fleet implements membership of the nodes and distributes configuration and the
// list of replicas among them. Each node is registered in the platform's store. A few
// responding nodes on the VMs of the highest capacity are hubs: they watch the store, receive
// the heartbeats of all other nodes and return changes in the responses. The first hub is
// the coordinator. A node that reaches no hub watches the store itself.
package fleet

import (
	"cmp"
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/quarantine"
	"github.com/catkinspindle/catkinspindle/ratelimits"
	"github.com/catkinspindle/catkinspindle/view"
)

const (
	// hubCount is the number of hubs, which watch the store.
	hubCount = 4
	// heartbeatInterval is the interval of heartbeats to hubs.
	heartbeatInterval = 250 * time.Millisecond
	// wakeDelay is how long a heartbeat that Wake requests is delayed.
	wakeDelay = 20 * time.Millisecond
	// heartbeatTimeout bounds a heartbeat.
	heartbeatTimeout = 400 * time.Millisecond
	// livenessTimeout is the time without a heartbeat after which a node is considered dead.
	livenessTimeout = 1100 * time.Millisecond
	// firstHeartbeatTimeout is the time within which all nodes connect to a node that has just
	// started: they do not use it as a hub for hubCooldown, and a handshake takes milliseconds.
	firstHeartbeatTimeout = 3 * time.Second
	// unconfirmedTimeout is how long after the start of a node a registration alone counts as a
	// sign of life.
	unconfirmedTimeout = 2 * time.Second
	// maxTickDelay is the time between two heartbeats from which this node may have been frozen.
	maxTickDelay = 2 * heartbeatInterval
	// maxLostNodeLogs limits the log lines about nodes that are lost at the same time.
	maxLostNodeLogs = 5
	// hubCooldown is the time during which a hub that does not respond is not used.
	hubCooldown = 2 * time.Second
	// maxMissedHeartbeats is the number of failed heartbeats in a row that start the cooldown.
	maxMissedHeartbeats = 2
	// maxCooldownDoublings limits the doubling of hubCooldown for a dead node.
	maxCooldownDoublings = 4

	// firstResponseTimeout is how long a new node waits for a hub before it watches the store.
	firstResponseTimeout = 400 * time.Millisecond
	// While all hubs have lost the store, the other nodes probe it in rotation: every
	// probeInterval the next probeGroupSize of them, until maxSubstituteWatchers watch it.
	probeInterval         = 400 * time.Millisecond
	probeGroupSize        = 6
	maxSubstituteWatchers = 2

	heartbeatKind   = "beat"
	stateUpdateKind = "news"
)

// Fleet is a node's view of the membership. It implements catkinspindle.Service.
type Fleet struct {
	self  catkinspindle.Node
	peers catkinspindle.Peers
	view  *view.View
	log   *slog.Logger
	// watch watches the store until its context ends.
	watch func(ctx context.Context)

	group  *errgroup.Group
	cancel context.CancelFunc

	// fetchingRouting and fetchingReplicas are held during a fetch of the configuration or
	// list, so that only one runs at a time.
	fetchingRouting, fetchingReplicas sync.Mutex
	routingCache, replicasCache       snapshotCache
	replicasHash                      hashCache
	behind                            behind

	mu      sync.Mutex
	members map[string]*member
	leaving bool
	// live is the coordinator's latest list of live nodes; previousLive has the lists that
	// preceded it, oldest first.
	live         liveList
	previousLive []liveList
	// lacksListSince is the time since which this node needs the list of another hub, because it
	// has just started, was frozen or was cut off. It is zero while it needs none.
	lacksListSince time.Time
	// isolated is true while this node hears from no other.
	isolated bool
	// minoritySince is the time since which this node considers less than half of the members
	// alive, so that the others may be the larger part of the fleet.
	minoritySince time.Time
	coordinator   catkinspindle.Node
	// respondingHubs are the responding hubs in order, including this node if it is a hub.
	respondingHubs []catkinspindle.Node
	// isFirstHub is true when this node is first in the order of the hubs, from which silent
	// nodes are left out, and not only the first one that responds.
	isFirstHub bool
	started    time.Time
	// receivingSince is the time since which this node receives the heartbeats of all others.
	receivingSince time.Time
	// storeLost reports whether this node has lost the store while it watches it.
	storeLost func() bool
	// storeLostSince is the time since which all hubs have lost the store.
	storeLostSince time.Time
	// informedSince is the time since which this node learns of changes in the store, from
	// a hub or from its own watch. nodesListed is true once that watch has listed the nodes.
	informedSince time.Time
	nodesListed   bool
	// probe reports whether this node reaches the store. nextProbeStep is one more than the
	// last step of the rotation in which it ran; substituteWatcher is true while this node
	// watches the store in place of the hubs.
	probe               func(context.Context) bool
	nextProbeStep       int
	substituteWatcher   bool
	onCoordinatorChange func(catkinspindle.Node)
	onHubsChange        func()
	onNodeLost          func(catkinspindle.Node)
	// stopWatch stops the watch; it is nil while this node does not watch the store.
	stopWatch context.CancelFunc
	// registered holds the registrations in the store by node name; it is nil until this node
	// has listed them. onRegistrationLost is called when this node's is missing;
	// lastReregistration is the time of the last such call.
	registered         map[string]registration
	onRegistrationLost func()
	lastReregistration time.Time
	onMembershipEnded  func(catkinspindle.Node)
	// reportedMembers is the number of members that the coordinator has last reported.
	reportedMembers int
	// onRoutingUnclear is called when a node has sent a configuration that does not state whether a key
	// is required; lastRoutingRead is the time of the last such call.
	onRoutingUnclear func()
	lastRoutingRead  time.Time
	// replaced are the incarnations superseded by newer ones since the last tick.
	replaced   []catkinspindle.Node
	rateLimits *ratelimits.Table
	quarantine *quarantine.Table
	// wake requests a heartbeat before the next interval, lastTick is when the last one began.
	wake     chan struct{}
	lastTick time.Time
	// coordinatorSince is the time since which this node is the coordinator, zero if it is
	// not. hubsSince is when the responding hubs last changed.
	coordinatorSince time.Time
	hubsSince        time.Time
}

// member is this node's record of one node. The fields about heartbeats hold what this node
// has observed itself.
type member struct {
	catkinspindle.Node
	// lastHeartbeat is when it last sent a heartbeat to this node.
	lastHeartbeat time.Time
	// missedHeartbeats counts consecutive failed heartbeats to it.
	missedHeartbeats int
	// cooldownUntil is the time until which this node does not use it as a hub.
	cooldownUntil time.Time
	// silent is true since a cooldown began until its next sign of life. A silent node is sent
	// heartbeats after the cooldown but does not count as a hub. cooldowns is their number.
	silent    bool
	cooldowns int
	// lastResponse is when it last responded to a heartbeat.
	lastResponse time.Time
	// presumedAliveUntil is the time until which it is considered alive without a heartbeat.
	presumedAliveUntil time.Time
	dead               bool
	// groupIndex is the node's index among the nodes of its capacity and data centre.
	groupIndex int
	// storeLost is true when the hub has lost the store; substituteWatchers is the number of
	// nodes that watch the store in place of the hubs, as reported by this hub.
	storeLost          bool
	substituteWatchers int
	// lastWatchReport is when the node last reported that it watches the store.
	lastWatchReport time.Time
	// sent are the positions in this node's records up to which the hub has them, received the
	// positions in the hub's records up to which this node has them. Both hold for the hub's
	// incarnation statesIncarnation.
	sent, received    positions
	statesIncarnation int64
	// followedAt is when the node last sent a heartbeat to this node as its coordinator.
	followedAt time.Time
	// unregisteredSince is the time since which the store does not list the node.
	unregisteredSince time.Time
	// learnedAt is when this node first learned of the incarnation, unlistedAt when the
	// coordinator's list last ceased to contain the node.
	learnedAt, unlistedAt time.Time
	// lastRemoval is when this node last attempted to remove its registration, reregistrations
	// counts how often it has registered again afterwards without a heartbeat to this node.
	lastRemoval     time.Time
	reregistrations int
}

// heardSince reports whether the node has sent a heartbeat or responded to one since a time.
func (n *member) heardSince(t time.Time) bool {
	return n.lastHeartbeat.After(t) || n.lastResponse.After(t)
}

// startCooldown stops using the node as a hub for a time.
func (n *member) startCooldown(now time.Time, doublings int) {
	n.cooldownUntil = now.Add(hubCooldown << min(doublings, maxCooldownDoublings))
	n.cooldowns++
	n.missedHeartbeats, n.silent = 0, true
}

// endSilence makes the node a candidate hub again.
func (n *member) endSilence() {
	n.silent, n.cooldowns, n.missedHeartbeats, n.cooldownUntil = false, 0, 0, time.Time{}
}

// positions are positions in the departure log, the table of rate limits and the table of
// requests that crash replicas.
type positions struct {
	departures, rateLimits, quarantine uint64
}

// Option configures a fleet.
type Option func(*Fleet)

// WithCoordinatorChange calls f when another node or incarnation becomes the coordinator.
func WithCoordinatorChange(f func(catkinspindle.Node)) Option {
	return func(l *Fleet) { l.onCoordinatorChange = f }
}

// WithHubsChange calls f when the list of responding hubs changes.
func WithHubsChange(f func()) Option {
	return func(l *Fleet) { l.onHubsChange = f }
}

// WithStoreLost sets the function that reports whether this node has lost the store while it
// watches it. Without it the store counts as reachable.
func WithStoreLost(f func() bool) Option {
	return func(l *Fleet) { l.storeLost = f }
}

// WithProbe sets the function that reports whether this node reaches the store. It must
// return within 400 ms, when its context ends. Without it the store counts as reachable.
func WithProbe(f func(context.Context) bool) Option {
	return func(l *Fleet) { l.probe = f }
}

// WithNodeLost calls f when a node is found dead or its incarnation has been superseded.
func WithNodeLost(f func(catkinspindle.Node)) Option {
	return func(l *Fleet) { l.onNodeLost = f }
}

// WithRegistrationLost calls f when the store no longer lists this node's registration.
func WithRegistrationLost(f func()) Option {
	return func(l *Fleet) { l.onRegistrationLost = f }
}

// WithRoutingUnclear calls f when a node of an earlier build has sent a configuration that does not state
// whether a key is required. It is not adopted: f reads the configuration from the store.
func WithRoutingUnclear(f func()) Option {
	return func(l *Fleet) { l.onRoutingUnclear = f }
}

// New returns a fleet that keeps v up to date and shares it with other nodes. watch watches
// the store until its context ends and passes what it finds to v and SetRegistered.
func New(self catkinspindle.Node, peers catkinspindle.Peers, v *view.View, watch func(context.Context), log *slog.Logger, opts ...Option) *Fleet {
	f := &Fleet{
		self:                self,
		peers:               peers,
		view:                v,
		watch:               watch,
		log:                 log,
		members:             map[string]*member{self.Name: {Node: self}},
		storeLost:           func() bool { return false },
		probe:               func(context.Context) bool { return true },
		onCoordinatorChange: func(catkinspindle.Node) {},
		onHubsChange:        func() {},
		onNodeLost:          func(catkinspindle.Node) {},

		onRegistrationLost: func() {},
		onMembershipEnded:  func(catkinspindle.Node) {},
		onRoutingUnclear:   func() {},
		rateLimits:         ratelimits.New(),
		quarantine:         quarantine.New(),
		wake:               make(chan struct{}, 1),
	}
	for _, opt := range opts {
		opt(f)
	}
	peers.Handle(heartbeatKind, f.handleHeartbeat)
	peers.Handle(stateUpdateKind, f.handleStateUpdate)
	peers.Handle(routingKind, f.handleRouting)
	peers.Handle(replicasKind, f.handleReplicas)
	return f
}

// Start implements catkinspindle.Service.
func (f *Fleet) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	f.started = time.Now()
	f.lacksListSince = f.started
	f.group = &errgroup.Group{}
	f.group.Go(func() error {
		f.run(ctx)
		return nil
	})
	return nil
}

// Stop implements catkinspindle.Service.
func (f *Fleet) Stop(context.Context) error {
	f.cancel()
	return f.group.Wait()
}

// Leave marks this node as leaving: the other nodes send no new callers to it.
func (f *Fleet) Leave() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leaving = true
	f.self.Leaving = true
	f.members[f.self.Name].Leaving = true
}

// SetRegistered replaces the registered nodes with list, which the store has returned.
func (f *Fleet) SetRegistered(list []catkinspindle.Node) {
	f.mu.Lock()
	before := f.registered
	f.registered = make(map[string]registration, len(list))
	f.nodesListed = f.stopWatch != nil
	for _, n := range list {
		if r, ok := before[n.Name]; ok {
			f.registered[n.Name] = r
		}
		f.updateMember(n, f.unconfirmedUntil())
		f.setRegistration(n)
	}
	for name, m := range f.members {
		if _, ok := f.registered[name]; !ok && name != f.self.Name {
			f.endRegistration(m)
		}
	}
	lost := f.lostRegistration()
	f.mu.Unlock()
	if lost {
		f.registerAgain("store", "")
	}
}

// AddRegistered adds or updates a node whose registration the store reports.
func (f *Fleet) AddRegistered(n catkinspindle.Node) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.updateMember(n, time.Now().Add(livenessTimeout))
	if f.registered != nil {
		f.setRegistration(n)
	}
}

// RemoveRegistered records that the registration of a node has been removed. If it is this node's, it
// registers again.
func (f *Fleet) RemoveRegistered(name string) {
	f.mu.Lock()
	delete(f.registered, name)
	if m, ok := f.members[name]; ok && name != f.self.Name {
		f.endRegistration(m)
	}
	lost := name == f.self.Name && f.lostRegistration()
	f.mu.Unlock()
	if lost {
		f.registerAgain("store", "")
	}
}

// updateMember adds n or updates its record. A node that is new counts as alive until presumedUntil.
// An older incarnation is ignored.
func (f *Fleet) updateMember(n catkinspindle.Node, presumedUntil time.Time) {
	if n.Name == f.self.Name {
		if n.Incarnation == f.self.Incarnation {
			f.self.RegistrationRevision = n.RegistrationRevision
			f.members[n.Name].RegistrationRevision = n.RegistrationRevision
		}
		return
	}
	existing, ok := f.members[n.Name]
	if !ok {
		f.members[n.Name] = &member{Node: n, learnedAt: time.Now(), presumedAliveUntil: presumedUntil, dead: !time.Now().Before(presumedUntil)}
		return
	}
	if n.Incarnation < existing.Incarnation {
		return
	}
	if n.Incarnation > existing.Incarnation {
		f.replaced = append(f.replaced, existing.Node)
		*existing = member{Node: n, learnedAt: time.Now(), lastHeartbeat: existing.lastHeartbeat, presumedAliveUntil: time.Now().Add(livenessTimeout)}
		return
	}
	leaving, pathsLost := existing.Leaving || n.Leaving, existing.PathsLost
	revision := max(existing.RegistrationRevision, n.RegistrationRevision)
	existing.Node = n
	existing.Leaving, existing.PathsLost, existing.RegistrationRevision = leaving, pathsLost, revision
}

// run sends heartbeats and starts or stops the watch on the store, until ctx ends.
func (f *Fleet) run(ctx context.Context) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		f.tick(ctx)
		select {
		case <-ctx.Done():
			f.setWatching(ctx, false)
			return
		case <-ticker.C:
		case <-f.wake:
			// What follows shortly is sent with the same heartbeat.
			select {
			case <-ctx.Done():
			case <-time.After(wakeDelay):
			}
		}
	}
}

// LiveNodes returns the nodes that accept callers.
func (f *Fleet) LiveNodes() []catkinspindle.Node {
	f.mu.Lock()
	defer f.mu.Unlock()
	live := f.live.nodes
	if len(live) == 0 {
		// No coordinator has responded yet: all registered nodes count as live at first.
		now := time.Now()
		for _, n := range f.members {
			if f.started.IsZero() || now.Before(f.unconfirmedUntil()) || n.heardSince(now.Add(-livenessTimeout)) {
				live = append(live, n.Node)
			}
		}
		slices.SortFunc(live, func(a, b catkinspindle.Node) int { return cmp.Compare(a.Name, b.Name) })
	}
	list := make([]catkinspindle.Node, 0, len(live)+1)
	selfListed := false
	for _, n := range live {
		if member, ok := f.members[n.Name]; n.Leaving || (ok && member.Leaving) {
			selfListed = selfListed || n.Name == f.self.Name
			continue
		}
		selfListed = selfListed || n.Name == f.self.Name
		list = append(list, n)
	}
	if !selfListed && !f.leaving {
		list = append(list, f.self)
	}
	return list
}

// Coordinator returns the node that places the jobs of a pool: the first responding hub, or
// for one of several pools the hub with the highest rendezvous score, so that few pools move
// when a hub is lost. ok is false when no hub is known to respond.
func (f *Fleet) Coordinator(p catkinspindle.Pool) (coordinator catkinspindle.Node, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !p.Divided() {
		return f.coordinator, f.coordinator.Name != "" && (f.coordinator.Name != f.self.Name || f.isFirstHub)
	}
	key := p.String()
	highest := uint64(0)
	for _, h := range f.respondingHubs {
		if score := catkinspindle.RendezvousScore(key, h.Name); !ok || score > highest {
			coordinator, highest, ok = h, score, true
		}
	}
	return coordinator, ok
}

// Self returns this node.
func (f *Fleet) Self() catkinspindle.Node {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.self
}
