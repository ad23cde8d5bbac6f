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
	"github.com/catkinspindle/catkinspindle/view"
)

const (
	// hubs is the number of hubs, which watch the store.
	hubs = 4
	// beat is the interval of heartbeats to hubs.
	beat = 250 * time.Millisecond
	// beatTimeout bounds a heartbeat.
	beatTimeout = 400 * time.Millisecond
	// silence is the time without a heartbeat after which a node is considered dead.
	silence = 1100 * time.Millisecond
	// firstContact is the time within which all nodes connect to a node that has just
	// started: they do not use it as a hub for shun, and a handshake takes milliseconds.
	firstContact = 3 * time.Second
	// maxLostLines limits the log lines about nodes that are lost at the same time.
	maxLostLines = 5
	// shun is the cooldown during which a hub that does not respond is not used.
	shun = 2 * time.Second
	// missedBeats is the number of failed heartbeats in a row that start the cooldown.
	missedBeats = 2

	// firstAnswer is how long a new node waits for a hub before it watches the store itself.
	firstAnswer = 400 * time.Millisecond
	// While all hubs have lost the store, the other nodes probe it in rotation: every ring
	// the next ringNodes of them, until ringWatchers of them watch it.
	ring         = 400 * time.Millisecond
	ringNodes    = 6
	ringWatchers = 2

	beatKind = "beat"
	newsKind = "news"
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
	packedRouting, packedReplicas     packer

	mu      sync.Mutex
	known   map[string]*member
	leaving bool
	// live is the coordinator's latest list of live nodes; past holds earlier lists, oldest
	// first.
	live liveList
	past []liveList
	home catkinspindle.Node
	// answering are the responding hubs in order, including this node if it is a hub.
	answering []catkinspindle.Node
	// leads is true when this node is the first hub, as opposed to the only hub that it
	// reaches.
	leads   bool
	started time.Time
	// hearing is the time since which this node receives the heartbeats of all others.
	hearing time.Time
	// blind reports whether this node has lost the store while it watches it.
	blind func() bool
	// blindSince is the time since which all hubs have lost the store.
	blindSince time.Time
	// informedSince is the time since which this node learns of changes in the store, from
	// a hub or from its own watch. listed is true once that watch has listed the nodes.
	informedSince time.Time
	listed        bool
	// probe reports whether this node reaches the store. probed is one more than the last
	// step of the rotation in which it ran; inPlace is true while this node watches the
	// store in place of the hubs.
	probe   func(context.Context) bool
	probed  int
	inPlace bool
	onHome  func(catkinspindle.Node)
	onHubs  func()
	onDeath func(catkinspindle.Node)
	// watching stops the watch; it is nil while this node does not watch the store.
	watching context.CancelFunc
	// registered holds the incarnations in the store by node name; it is nil until this node
	// has listed them. onUnregistered is called when this node's is missing, at
	// registeredAgain for the last time.
	registered      map[string]int64
	onUnregistered  func()
	registeredAgain time.Time
	// replaced are the incarnations superseded by newer ones since the last tick.
	replaced []catkinspindle.Node
}

// member is what this node knows of one node. The fields about heartbeats are this node's
// own observations.
type member struct {
	catkinspindle.Node
	// lastBeat is when it last sent a heartbeat to this node.
	lastBeat time.Time
	// missed counts consecutive failed heartbeats to it.
	missed int
	// shunned is the end of the cooldown during which this node does not use it as a hub.
	shunned time.Time
	// answered is when it last responded to a heartbeat.
	answered time.Time
	// presumed is the time until which it is considered alive without a heartbeat.
	presumed time.Time
	dead     bool
	// place is the node's index among the VMs of its capacity and data centre.
	place int
	// blind is true when the hub has lost the store; watchers is the number of nodes that
	// watch the store in place of the hubs, as reported by this hub.
	blind    bool
	watchers int
	// watched is when the node last reported that it watches the store.
	watched time.Time
	// told is the position in this node's departure log up to which the hub has it, seen
	// the position in the hub's log up to which this node has it. Both hold for the hub's
	// incarnation exchanged.
	told, seen uint64
	exchanged  int64
	// unregistered is the time since which the store does not list the node.
	unregistered time.Time
}

// Option configures a fleet.
type Option func(*Fleet)

// WithCoordinatorChange calls f when another node or incarnation becomes the coordinator.
func WithCoordinatorChange(f func(catkinspindle.Node)) Option {
	return func(l *Fleet) { l.onHome = f }
}

// WithHubsChange calls f when the list of responding hubs changes.
func WithHubsChange(f func()) Option {
	return func(l *Fleet) { l.onHubs = f }
}

// WithBlindness sets the function that reports whether this node has lost the store while it
// watches it. Without it the store counts as reachable.
func WithBlindness(f func() bool) Option {
	return func(l *Fleet) { l.blind = f }
}

// WithProbe sets the function that reports whether this node reaches the store. It must
// return within 400 ms, when its context ends. Without it the store counts as reachable.
func WithProbe(f func(context.Context) bool) Option {
	return func(l *Fleet) { l.probe = f }
}

// WithDeath calls f when a node is found dead or its incarnation has been superseded.
func WithDeath(f func(catkinspindle.Node)) Option {
	return func(l *Fleet) { l.onDeath = f }
}

// WithUnregistered calls f when the store no longer lists this node's registration.
func WithUnregistered(f func()) Option {
	return func(l *Fleet) { l.onUnregistered = f }
}

// New returns a fleet that keeps v up to date and shares it with other nodes. watch watches
// the store until its context ends and passes what it finds to v and Learn.
func New(self catkinspindle.Node, peers catkinspindle.Peers, v *view.View, watch func(context.Context), log *slog.Logger, opts ...Option) *Fleet {
	f := &Fleet{
		self:    self,
		peers:   peers,
		view:    v,
		watch:   watch,
		log:     log,
		known:   map[string]*member{self.Name: {Node: self}},
		blind:   func() bool { return false },
		probe:   func(context.Context) bool { return true },
		onHome:  func(catkinspindle.Node) {},
		onHubs:  func() {},
		onDeath: func(catkinspindle.Node) {},

		onUnregistered: func() {},
	}
	for _, opt := range opts {
		opt(f)
	}
	peers.Handle(beatKind, f.answer)
	peers.Handle(newsKind, f.handleNews)
	peers.Handle(routingKind, f.handleRouting)
	peers.Handle(replicasKind, f.handleReplicas)
	return f
}

// Start implements catkinspindle.Service.
func (f *Fleet) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	f.started = time.Now()
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
	f.known[f.self.Name].Leaving = true
}

// Learn replaces the registered nodes with list, which the store has returned.
func (f *Fleet) Learn(list []catkinspindle.Node) {
	f.mu.Lock()
	f.registered = make(map[string]int64, len(list))
	f.listed = f.watching != nil
	for _, n := range list {
		f.registered[n.Name] = n.Incarnation
		f.learn(n)
	}
	for name, n := range f.known {
		if _, ok := f.registered[name]; !ok && name != f.self.Name && time.Since(n.lastBeat) > silence {
			delete(f.known, name)
		}
	}
	lost := f.lostRegistration()
	f.mu.Unlock()
	if lost {
		f.registrationLost("store", "")
	}
}

// LearnOne adds or updates a node whose registration the store reports.
func (f *Fleet) LearnOne(n catkinspindle.Node) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.registered != nil {
		f.registered[n.Name] = n.Incarnation
	}
	f.learn(n)
}

// Remove drops a node whose registration has been removed.
func (f *Fleet) Remove(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.registered, name)
	if name != f.self.Name {
		delete(f.known, name)
	}
}

// learn adds n or updates what is known of it. An older incarnation is ignored.
func (f *Fleet) learn(n catkinspindle.Node) {
	if n.Name == f.self.Name {
		if n.Incarnation == f.self.Incarnation {
			f.self.Rank = n.Rank
			f.known[n.Name].Rank = n.Rank
		}
		return
	}
	known, ok := f.known[n.Name]
	if !ok {
		f.known[n.Name] = &member{Node: n, presumed: time.Now().Add(silence)}
		return
	}
	if n.Incarnation < known.Incarnation {
		return
	}
	if n.Incarnation > known.Incarnation {
		f.replaced = append(f.replaced, known.Node)
		*known = member{Node: n, lastBeat: known.lastBeat, presumed: time.Now().Add(silence)}
		return
	}
	leaving := known.Leaving || n.Leaving
	rank := max(known.Rank, n.Rank)
	known.Node = n
	known.Leaving, known.Rank = leaving, rank
}

// run sends heartbeats and starts or stops the watch on the store, until ctx ends.
func (f *Fleet) run(ctx context.Context) {
	ticker := time.NewTicker(beat)
	defer ticker.Stop()
	for {
		f.turn(ctx)
		select {
		case <-ctx.Done():
			f.setWatching(ctx, false)
			return
		case <-ticker.C:
		}
	}
}

// Live returns the nodes that accept callers.
func (f *Fleet) Live() []catkinspindle.Node {
	f.mu.Lock()
	defer f.mu.Unlock()
	live := f.live.nodes
	if len(live) == 0 {
		// No coordinator has responded yet: all registered nodes count as live.
		for _, n := range f.known {
			live = append(live, n.Node)
		}
		slices.SortFunc(live, func(a, b catkinspindle.Node) int { return cmp.Compare(a.Name, b.Name) })
	}
	list := make([]catkinspindle.Node, 0, len(live)+1)
	self := false
	for _, n := range live {
		if known, ok := f.known[n.Name]; n.Leaving || (ok && known.Leaving) {
			self = self || n.Name == f.self.Name
			continue
		}
		self = self || n.Name == f.self.Name
		list = append(list, n)
	}
	if !self && !f.leaving {
		list = append(list, f.self)
	}
	return list
}

// Size returns the number of known nodes, dead ones included.
func (f *Fleet) Size() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return max(1, len(f.known))
}

// Coordinator returns the node that places the jobs of a pool: the first responding hub, or
// for one of several pools the hub with the highest rendezvous score, so that few pools move
// when a hub is lost. ok is false when no hub is known to respond.
func (f *Fleet) Coordinator(p catkinspindle.Pool) (home catkinspindle.Node, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !p.Divided() {
		return f.home, f.home.Name != "" && (f.home.Name != f.self.Name || f.leads)
	}
	key := p.String()
	highest := uint64(0)
	for _, h := range f.answering {
		if score := catkinspindle.RendezvousScore(key, h.Name); !ok || score > highest {
			home, highest, ok = h, score, true
		}
	}
	return home, ok
}

// Self returns this node.
func (f *Fleet) Self() catkinspindle.Node {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.self
}
