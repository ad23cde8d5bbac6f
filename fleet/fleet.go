// Package fleet lets the nodes of the system find each other and share what
// they know. Each node is registered in the platform's store. The few on the
// strongest VMs that answer are hubs: they watch the store, hear the
// heartbeats of all others and pass on what has changed in their answers. The
// first hub is the coordinator. A node that hears no hub watches the store
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
	"github.com/catkinspindle/catkinspindle/events"
	"github.com/catkinspindle/catkinspindle/view"
)

const (
	// hubs is the number of nodes that watch the store.
	hubs = 3
	// beat is the interval of heartbeats to hubs.
	beat = 250 * time.Millisecond
	// beatTimeout bounds a heartbeat.
	beatTimeout = 400 * time.Millisecond
	// silence is the time without a heartbeat after which a node counts as dead.
	silence = 1100 * time.Millisecond
	// shun is how long a hub that does not answer is passed over.
	shun = 2 * time.Second
	// missedBeats is the number of failed heartbeats after which a hub is
	// passed over.
	missedBeats = 2

	beatKind = "beat"
)

// Fleet is a node's membership. It implements catkinspindle.Service.
type Fleet struct {
	self  catkinspindle.Fellow
	peers catkinspindle.Peers
	view  *view.View
	log   *slog.Logger
	// watch follows the store until its context ends.
	watch func(ctx context.Context)

	group  *errgroup.Group
	cancel context.CancelFunc

	mu      sync.Mutex
	known   map[string]*fellow
	leaving bool
	live    []catkinspindle.Fellow
	home    catkinspindle.Fellow
	// leads is true when this node is the first hub, and not merely the only
	// one that it hears.
	leads bool
	// hearing is since when this node gets the heartbeats of all others.
	hearing  time.Time
	onHome   func(catkinspindle.Fellow)
	onDeath  func(catkinspindle.Fellow)
	watching context.CancelFunc
	// buried are incarnations that newer ones have replaced since the last turn.
	buried []catkinspindle.Fellow
}

type fellow struct {
	catkinspindle.Fellow
	// heard is when it last sent a heartbeat to this node.
	heard time.Time
	// missed counts heartbeats to it that failed in a row.
	missed int
	// shunned is until when it is no hub for this node.
	shunned time.Time
	// answered is when it last answered a heartbeat.
	answered time.Time
	// presumed is until when it counts as alive without a heartbeat.
	presumed time.Time
	dead     bool
}

type beatMessage struct {
	From             catkinspindle.Fellow `cbor:"1,keyasint"`
	ConfigVersion    int64                `cbor:"2,keyasint"`
	ReplicasRevision int64                `cbor:"3,keyasint"`
}

type beatAnswer struct {
	Routing          *catkinspindle.Routing           `cbor:"1,keyasint,omitempty"`
	Replicas         map[string]catkinspindle.Replica `cbor:"2,keyasint,omitempty"`
	ReplicasRevision int64                            `cbor:"3,keyasint"`
	Live             []catkinspindle.Fellow           `cbor:"4,keyasint"`
	From             catkinspindle.Fellow             `cbor:"5,keyasint"`
}

// Option changes a fleet.
type Option func(*Fleet)

// WithCoordinatorChange calls f when another node becomes the coordinator.
func WithCoordinatorChange(f func(catkinspindle.Fellow)) Option {
	return func(l *Fleet) { l.onHome = f }
}

// WithDeath calls f when a node counts as dead.
func WithDeath(f func(catkinspindle.Fellow)) Option {
	return func(l *Fleet) { l.onDeath = f }
}

// New returns a fleet that shares v. watch follows the store into v and Learn.
func New(self catkinspindle.Fellow, peers catkinspindle.Peers, v *view.View, watch func(context.Context), log *slog.Logger, opts ...Option) *Fleet {
	f := &Fleet{
		self:    self,
		peers:   peers,
		view:    v,
		watch:   watch,
		log:     log,
		known:   map[string]*fellow{self.Name: {Fellow: self}},
		onHome:  func(catkinspindle.Fellow) {},
		onDeath: func(catkinspindle.Fellow) {},
	}
	for _, opt := range opts {
		opt(f)
	}
	peers.Handle(beatKind, f.answer)
	return f
}

// Start implements catkinspindle.Service.
func (f *Fleet) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
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
func (f *Fleet) Learn(list []catkinspindle.Fellow) {
	f.mu.Lock()
	defer f.mu.Unlock()
	registered := map[string]bool{}
	for _, n := range list {
		registered[n.Name] = true
		f.learn(n)
	}
	for name, n := range f.known {
		if !registered[name] && name != f.self.Name && time.Since(n.heard) > silence {
			delete(f.known, name)
		}
	}
}

// LearnOne enters a node that the store reports.
func (f *Fleet) LearnOne(n catkinspindle.Fellow) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.learn(n)
}

// Remove drops a node whose registration has been removed.
func (f *Fleet) Remove(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if name != f.self.Name {
		delete(f.known, name)
	}
}

func (f *Fleet) learn(n catkinspindle.Fellow) {
	if n.Name == f.self.Name {
		if n.Incarnation == f.self.Incarnation {
			f.self.Rank = n.Rank
			f.known[n.Name].Rank = n.Rank
		}
		return
	}
	known, ok := f.known[n.Name]
	if !ok {
		f.known[n.Name] = &fellow{Fellow: n, presumed: time.Now().Add(silence)}
		return
	}
	if n.Incarnation < known.Incarnation {
		return
	}
	if n.Incarnation > known.Incarnation {
		f.buried = append(f.buried, known.Fellow)
		*known = fellow{Fellow: n, heard: known.heard, presumed: time.Now().Add(silence)}
		return
	}
	leaving := known.Leaving || n.Leaving
	rank := max(known.Rank, n.Rank)
	known.Fellow = n
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

func (f *Fleet) turn(ctx context.Context) {
	now := time.Now()
	f.view.Expire(now)
	f.mu.Lock()
	ranked := f.hubs(now)
	isHub := false
	heard := false
	var others []catkinspindle.Fellow
	for _, h := range ranked {
		if h.Name == f.self.Name {
			isHub = true
			continue
		}
		others = append(others, h.Fellow)
		heard = heard || now.Sub(h.answered) < silence
	}
	message := beatMessage{From: f.self, ConfigVersion: f.view.State().Version(), ReplicasRevision: f.view.State().ReplicasRevision}
	lost := append(f.judge(now, ranked, isHub), f.buried...)
	f.buried = nil
	f.mu.Unlock()
	for _, n := range lost {
		f.log.Warn("node is gone", events.FellowLost.Attr(), "node", n.Name, "incarnation", n.Incarnation)
		f.onDeath(n)
	}
	f.setWatching(ctx, isHub || !heard)
	for _, h := range others {
		f.group.Go(func() error {
			f.beat(ctx, h, message)
			return nil
		})
	}
}

// hubs returns the hubs in their order: the strongest VMs, of equal ones those
// registered longest ago, without those that do not answer.
func (f *Fleet) hubs(now time.Time) []*fellow {
	var list []*fellow
	for _, n := range f.known {
		if n.Rank > 0 && now.After(n.shunned) && !n.Leaving {
			list = append(list, n)
		}
	}
	slices.SortFunc(list, func(a, b *fellow) int {
		return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.Name, b.Name))
	})
	return list[:min(hubs, len(list))]
}

// judge chooses the coordinator and, on a hub, who is alive. It returns the
// nodes that have just been found dead.
func (f *Fleet) judge(now time.Time, ranked []*fellow, isHub bool) []catkinspindle.Fellow {
	home := f.self
	f.leads = len(ranked) > 0 && ranked[0].Name == f.self.Name
	for _, h := range ranked {
		if h.Name == f.self.Name || now.Sub(h.answered) < silence {
			home = h.Fellow
			break
		}
	}
	if home.Name != f.home.Name || home.Incarnation != f.home.Incarnation {
		f.log.Info("coordinator changed", events.HubChanged.Attr(), "node", home.Name, "incarnation", home.Incarnation, "rank", home.Rank)
		f.home = home
		f.group.Go(func() error {
			f.onHome(home)
			return nil
		})
	}
	if !isHub && home.Name != f.self.Name {
		f.hearing = time.Time{}
		return nil
	}
	if f.hearing.IsZero() {
		f.presume(now)
	}
	var lost []catkinspindle.Fellow
	live := make([]catkinspindle.Fellow, 0, len(f.known))
	for _, n := range f.known {
		alive := n.Name == f.self.Name || now.Sub(n.heard) < silence || now.Sub(n.answered) < silence || now.Before(n.presumed)
		if alive {
			live = append(live, n.Fellow)
		}
		if !alive && !n.dead {
			lost = append(lost, n.Fellow)
		}
		n.dead = !alive
	}
	if home.Name == f.self.Name {
		f.setLive(live)
	}
	return lost
}

// presume takes those for alive whom the coordinator so far counted, or all that
// are registered, until they have had the time to send a heartbeat here.
func (f *Fleet) presume(now time.Time) {
	f.hearing = now
	for _, n := range f.known {
		counted := len(f.live) == 0 || slices.ContainsFunc(f.live, func(l catkinspindle.Fellow) bool { return l.Name == n.Name })
		if counted {
			n.presumed = now.Add(silence)
		}
	}
}

func (f *Fleet) setLive(live []catkinspindle.Fellow) {
	slices.SortFunc(live, func(a, b catkinspindle.Fellow) int { return cmp.Compare(a.Name, b.Name) })
	f.live = live
}

func (f *Fleet) setWatching(ctx context.Context, on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case on && f.watching == nil:
		watchCtx, cancel := context.WithCancel(ctx)
		f.watching = cancel
		f.group.Go(func() error {
			f.watch(watchCtx)
			return nil
		})
	case !on && f.watching != nil:
		f.watching()
		f.watching = nil
	}
}

func (f *Fleet) beat(ctx context.Context, to catkinspindle.Fellow, m beatMessage) {
	ctx, cancel := context.WithTimeout(ctx, beatTimeout)
	defer cancel()
	var a beatAnswer
	err := f.peers.Call(ctx, to.PeerAddress, beatKind, m, &a)
	f.mu.Lock()
	known, ok := f.known[to.Name]
	if err != nil {
		if ok {
			if known.missed++; known.missed >= missedBeats {
				known.shunned = time.Now().Add(shun)
				known.missed = 0
			}
		}
		f.mu.Unlock()
		f.log.Debug("heartbeat failed", events.PeerUnreachable.Attr(), "node", to.Name, "error", err)
		return
	}
	if ok {
		known.missed = 0
		fresh := known.answered.IsZero()
		known.answered = time.Now()
		if fresh {
			f.judge(known.answered, f.hubs(known.answered), false)
		}
		if a.From.Incarnation > known.Incarnation {
			f.buried = append(f.buried, known.Fellow)
			rank := known.Rank
			known.Fellow = a.From
			known.Rank = max(rank, a.From.Rank)
		}
		known.Leaving = known.Leaving || a.From.Leaving
	}
	for _, n := range a.Live {
		f.learn(n)
	}
	if to.Name == f.home.Name {
		f.setLive(a.Live)
	}
	f.mu.Unlock()
	f.adopt(a)
}

func (f *Fleet) adopt(a beatAnswer) {
	if a.Routing != nil && f.view.SetRouting(*a.Routing) {
		f.log.Info("configuration adopted", events.ConfigAdopted.Attr(), "version", a.Routing.Version, "source", a.From.Name)
	}
	if a.Replicas != nil {
		f.view.SetReplicas(a.Replicas, a.ReplicasRevision, time.Time{})
	}
}

// answer answers a heartbeat.
func (f *Fleet) answer(_ context.Context, decode func(any) error) (any, error) {
	var m beatMessage
	if err := decode(&m); err != nil {
		return nil, err
	}
	state := f.view.State()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.learn(m.From)
	if known, ok := f.known[m.From.Name]; ok && m.From.Name != f.self.Name && m.From.Incarnation == known.Incarnation {
		known.heard = time.Now()
		known.shunned = time.Time{}
	}
	a := beatAnswer{Live: f.live, From: f.self, ReplicasRevision: state.ReplicasRevision}
	if state.Version() > m.ConfigVersion {
		r := state.Table.Routing()
		a.Routing = &r
	}
	if state.ReplicasRevision > m.ReplicasRevision {
		a.Replicas = state.Replicas
	}
	return a, nil
}

// Live returns the nodes that take callers.
func (f *Fleet) Live() []catkinspindle.Fellow {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := make([]catkinspindle.Fellow, 0, len(f.live)+1)
	self := false
	for _, n := range f.live {
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

// Coordinator returns the node that places jobs. ok is false when none is known
// to answer.
func (f *Fleet) Coordinator() (home catkinspindle.Fellow, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.home, f.home.Name != "" && (f.home.Name != f.self.Name || f.leads)
}

// Suspect passes over a hub that does not answer, until it does or some time
// has passed.
func (f *Fleet) Suspect(n catkinspindle.Fellow) {
	f.mu.Lock()
	defer f.mu.Unlock()
	known, ok := f.known[n.Name]
	if !ok || known.Incarnation != n.Incarnation || n.Name == f.self.Name {
		return
	}
	now := time.Now()
	known.shunned = now.Add(shun)
	known.answered = time.Time{}
	f.judge(now, f.hubs(now), false)
}

// Self returns this node.
func (f *Fleet) Self() catkinspindle.Fellow {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.self
}
