// Package fleet lets the nodes of the system find each other and share what
// they know. Each node is registered in the platform's store. The few on the
// strongest VMs that answer are hubs: they watch the store, get the
// heartbeats of all others and pass on what has changed in their answers. The
// first hub is the coordinator. A node that reaches no hub watches the store
// itself.
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
	// hubs is the number of nodes that watch the store.
	hubs = 4
	// beat is the interval of heartbeats to hubs.
	beat = 250 * time.Millisecond
	// beatTimeout bounds a heartbeat.
	beatTimeout = 400 * time.Millisecond
	// silence is the time without a heartbeat after which a node counts as dead.
	silence = 1100 * time.Millisecond
	// firstContact is the time in which all nodes have connected to one that has just
	// started: they pass over it for shun, and a handshake takes milliseconds.
	firstContact = 3 * time.Second
	// maxLostLines bounds the lines of the log about nodes that are gone at once.
	maxLostLines = 5
	// shun is how long a hub that does not answer is passed over.
	shun = 2 * time.Second
	// missedBeats is the number of failed heartbeats after which a hub is
	// passed over.
	missedBeats = 2

	// firstAnswer is the time in which a new node waits for a hub before it
	// watches the store itself.
	firstAnswer = 400 * time.Millisecond
	// ring is the time after which the next ringNodes nodes look whether they reach the
	// store while all hubs are cut off from it, until ringWatchers of them watch it.
	ring         = 400 * time.Millisecond
	ringNodes    = 6
	ringWatchers = 2

	beatKind = "beat"
	newsKind = "news"
)

// Fleet is a node's membership. It implements catkinspindle.Service.
type Fleet struct {
	self  catkinspindle.Node
	peers catkinspindle.Peers
	view  *view.View
	log   *slog.Logger
	// watch follows the store until its context ends.
	watch func(ctx context.Context)

	group  *errgroup.Group
	cancel context.CancelFunc

	// fetchingRouting and fetchingReplicas are held while a hub is asked for its
	// configuration or list.
	fetchingRouting, fetchingReplicas sync.Mutex
	packedRouting, packedReplicas     packer

	mu      sync.Mutex
	known   map[string]*member
	leaving bool
	// live are the live nodes by the coordinator's last word, past what they were
	// before.
	live liveList
	past []liveList
	home catkinspindle.Node
	// answering are the hubs that answer, in their order, this node among them when
	// it is one.
	answering []catkinspindle.Node
	// leads is true when this node is the first hub, and not merely the only
	// one that it reaches.
	leads   bool
	started time.Time
	// hearing is since when this node gets the heartbeats of all others.
	hearing time.Time
	blind   func() bool
	// blindSince is since when all hubs have lost the store.
	blindSince time.Time
	// informedSince is since when this node is told of changes in the store, by its own
	// watch, which has listed the nodes, or by a hub.
	informedSince time.Time
	listed        bool
	// probe reports whether this node reaches the store. probed is the last step of the
	// ring in which it was asked, plus one; inPlace is true while this node watches in
	// place of the hubs.
	probe    func(context.Context) bool
	probed   int
	inPlace  bool
	onHome   func(catkinspindle.Node)
	onHubs   func()
	onDeath  func(catkinspindle.Node)
	watching context.CancelFunc
	// registered are the incarnations that the store lists, by node; nil until this
	// node has listed them. onUnregistered is called when this node is not among them,
	// registeredAgain is when it last was.
	registered      map[string]int64
	onUnregistered  func()
	registeredAgain time.Time
	// replaced are incarnations that newer ones have replaced since the last turn.
	replaced []catkinspindle.Node
}

type member struct {
	catkinspindle.Node
	// lastBeat is when it last sent a heartbeat to this node.
	lastBeat time.Time
	// missed counts heartbeats to it that failed in a row.
	missed int
	// shunned is until when it is no hub for this node.
	shunned time.Time
	// answered is when it last answered a heartbeat.
	answered time.Time
	// presumed is until when it counts as alive without a heartbeat.
	presumed time.Time
	dead     bool
	// place is the node's among the VMs of its strength and data centre.
	place int
	// blind is true when the hub has lost the store; watchers is how many other nodes
	// watch it in place of the hubs, as far as the hub knows.
	blind    bool
	watchers int
	// watched is when the node has last said that it watches the store.
	watched time.Time
	// told and seen are how far this node's log of departures has been told to the
	// incarnation exchanged of the hub, and the hub's to this node.
	told, seen uint64
	exchanged  int64
	// unregistered is since when the store does not list the node.
	unregistered time.Time
}

// Option changes a fleet.
type Option func(*Fleet)

// WithCoordinatorChange calls f when another node becomes the coordinator.
func WithCoordinatorChange(f func(catkinspindle.Node)) Option {
	return func(l *Fleet) { l.onHome = f }
}

// WithHubsChange calls f when other nodes answer as hubs than before.
func WithHubsChange(f func()) Option {
	return func(l *Fleet) { l.onHubs = f }
}

// WithBlindness tells whether this node has lost the store while it watches.
func WithBlindness(f func() bool) Option {
	return func(l *Fleet) { l.blind = f }
}

// WithProbe replaces the question whether this node reaches the store. It must be
// answered within a step of the ring.
func WithProbe(f func(context.Context) bool) Option {
	return func(l *Fleet) { l.probe = f }
}

// WithDeath calls f when a node counts as dead.
func WithDeath(f func(catkinspindle.Node)) Option {
	return func(l *Fleet) { l.onDeath = f }
}

// WithUnregistered calls f when the store has lost this node's registration.
func WithUnregistered(f func()) Option {
	return func(l *Fleet) { l.onUnregistered = f }
}

// New returns a fleet that shares v. watch follows the store into v and Learn.
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

// Leave tells the others that this node takes no new callers.
func (f *Fleet) Leave() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leaving = true
	f.self.Leaving = true
	f.known[f.self.Name].Leaving = true
}

// Learn replaces the registered nodes by what the store says.
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

// LearnOne enters a node that the store reports.
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

// run sends heartbeats and takes up or gives up the watch.
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

// Live returns the nodes that take callers.
func (f *Fleet) Live() []catkinspindle.Node {
	f.mu.Lock()
	defer f.mu.Unlock()
	live := f.live.nodes
	if len(live) == 0 {
		// No coordinator has answered yet: whoever is registered counts.
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

// Coordinator returns the node that places the jobs of a pool: the first hub that
// answers, or for one of several pools the hub with the highest score for it, so
// that few pools move when a hub goes. ok is false when none is known to answer.
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
