// Package reconcile makes the engines of a data centre load the models that the
// operators' configuration assigns to them. One VM of each data centre is the leader.
// It holds a lease in the platform's store whose version is the fencing token of its
// orders.
package reconcile

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/control"
	"github.com/catkinspindle/catkinspindle/events"
)

const kindDrain = "drain"

const (
	// passInterval is the time between reconciliation passes.
	passInterval = time.Second
	// drainDuration is how long an engine refuses work after a drain request, unless the
	// request is repeated.
	drainDuration = 5 * time.Second
)

// Reconciler is the service that elects the leader of a data centre and, on the leader,
// sends orders to the engines.
type Reconciler struct {
	control      *control.Control
	dialer       catkinspindle.Dialer
	peers        catkinspindle.Peers
	timing       catkinspindle.Timing
	log          *slog.Logger
	lease        *lease
	loadLimiter  *rate.Limiter
	isLeader     atomic.Bool
	fencingToken atomic.Int64
	// inProgress holds the names of the engines with an order in progress, and finished
	// receives the name of an engine when its order ends.
	inProgress map[string]bool
	finished   chan string
	group      *errgroup.Group
	ctx        context.Context
	cancel     context.CancelFunc
}

type drainRequest struct {
	Engine string    `cbor:"1,keyasint"`
	Until  time.Time `cbor:"2,keyasint"`
}

type drainAnswer struct {
	Held int `cbor:"1,keyasint"`
}

// New returns a reconciler for the data centre of this VM and registers its peer
// handler.
func New(c *control.Control, platform catkinspindle.Platform, dialer catkinspindle.Dialer, peers catkinspindle.Peers, timing catkinspindle.Timing, log *slog.Logger) *Reconciler {
	self := c.Snapshot().Self
	r := &Reconciler{
		control:     c,
		dialer:      dialer,
		peers:       peers,
		timing:      timing,
		log:         log,
		lease:       newLease(platform, "reconcile-"+self.DataCentre, self.Origin, timing),
		loadLimiter: rate.NewLimiter(catkinspindle.DefaultLoadsPerSecond, 1),
		inProgress:  map[string]bool{},
		finished:    make(chan string),
		group:       &errgroup.Group{},
	}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	peers.Handle(kindDrain, r.handleDrain)
	return r
}

// Start implements catkinspindle.Service.
func (r *Reconciler) Start(context.Context) error {
	r.group.Go(func() error {
		r.run()
		return nil
	})
	return nil
}

// Stop implements catkinspindle.Service.
func (r *Reconciler) Stop(context.Context) error {
	r.cancel()
	return r.group.Wait()
}

func (r *Reconciler) run() {
	ticker := time.NewTicker(passInterval)
	defer ticker.Stop()
	for {
		leader := r.shouldLead() && r.lease.acquireOrRenew(r.ctx)
		r.fencingToken.Store(r.lease.fencingToken())
		if r.isLeader.Swap(leader) != leader {
			r.log.Info("data centre leadership changed", events.LeaderChanged.Attr(), "leads", leader, "fencing", r.lease.fencingToken())
		}
		if leader {
			r.reconcileOnce()
		}
		r.awaitTick(ticker)
		if r.ctx.Err() != nil {
			return
		}
	}
}

// awaitTick processes finished orders until the next tick or the end of the service.
func (r *Reconciler) awaitTick(ticker *time.Ticker) {
	for {
		select {
		case <-r.ctx.Done():
			return
		case engine := <-r.finished:
			delete(r.inProgress, engine)
		case <-ticker.C:
			return
		}
	}
}

// IsLeader reports whether this VM is the leader of its data centre.
func (r *Reconciler) IsLeader() bool { return r.isLeader.Load() }

// FencingToken returns the fencing token that the orders of this VM carry: the version of its
// last lease. It is zero before the first lease and once the lease is known to be lost.
func (r *Reconciler) FencingToken() int64 { return r.fencingToken.Load() }

// shouldLead reports whether this VM has the highest rendezvous score of the members of
// its data centre that are not leaving.
func (r *Reconciler) shouldLead() bool {
	snap := r.control.Snapshot()
	if !snap.Ready() || snap.Self.Leaving {
		return false
	}
	score := func(m catkinspindle.Member) uint64 {
		return catkinspindle.RendezvousScore("reconcile/"+m.DataCentre, m.Origin.VM)
	}
	for _, m := range snap.Members {
		if m.DataCentre == snap.Self.DataCentre && !m.Leaving && score(m) > score(snap.Self) {
			return false
		}
	}
	return true
}

// reconcileOnce sends the next orders. A service is skipped until its dependencies are in
// the wanted state.
func (r *Reconciler) reconcileOnce() {
	snap := r.control.Snapshot()
	r.updateLoadLimit(snap)
	for _, s := range snap.Config.Services {
		if s.Kind == catkinspindle.ServiceModel && dependenciesReady(snap, s) {
			r.reconcileService(snap, s)
		}
	}
}

// updateLoadLimit limits weight loads to this data centre's equal share of the capacity
// of the weight store, which all data centres use.
func (r *Reconciler) updateLoadLimit(snap *catkinspindle.Snapshot) {
	perSecond := snap.Config.LoadsPerSecond
	if perSecond == 0 {
		perSecond = catkinspindle.DefaultLoadsPerSecond
	}
	centres := map[string]bool{}
	for _, a := range snap.Serving {
		if a.Want.Model != "" {
			centres[a.VM.DataCentre] = true
		}
	}
	share := perSecond / float64(max(1, len(centres)))
	r.loadLimiter.SetLimit(rate.Limit(share))
	r.loadLimiter.SetBurst(max(1, int(share)))
}

// dependenciesReady reports whether all replicas of the services that s depends on are
// in the wanted state.
func dependenciesReady(snap *catkinspindle.Snapshot, s catkinspindle.ServiceSpec) bool {
	for _, name := range s.DependsOn {
		replicas := snap.Replicas(name)
		if len(replicas) == 0 {
			return false
		}
		for _, a := range replicas {
			load, _ := snap.Load(a.VM.Name)
			if a.Want.Model != "" && load.StateHash != a.Want.Hash() {
				return false
			}
		}
	}
	return true
}

// reconcileService sends orders to the replicas of s in this data centre that are not in
// the wanted state. In one pass at most one replica with a model is drained, and a ready
// one only while at least one other replica of the service is ready.
func (r *Reconciler) reconcileService(snap *catkinspindle.Snapshot, s catkinspindle.ServiceSpec) {
	serving, draining := 0, false
	for _, a := range snap.Replicas(s.Name) {
		if load, _ := snap.Load(a.VM.Name); load.Ready {
			serving++
		}
	}
	for _, a := range snap.Replicas(s.Name) {
		load, known := snap.Load(a.VM.Name)
		if a.VM.DataCentre != snap.Self.DataCentre || !known || load.StateHash == 0 || load.StateHash == a.Want.Hash() || r.inProgress[a.VM.Name] {
			continue
		}
		unloaded := load.Version == ""
		if !unloaded && (draining || load.Ready && serving < 2) {
			continue
		}
		draining = draining || !unloaded
		r.drainAndOrder(snap, a, unloaded)
	}
}

// drainAndOrder drains the engine, unless it is unloaded, and then orders the wanted state
// in the background. It does nothing if the drain is not complete, if the lease could
// expire during the order, or if the rate limit for weight loads is reached.
func (r *Reconciler) drainAndOrder(snap *catkinspindle.Snapshot, a catkinspindle.Assignment, unloaded bool) {
	if !unloaded && !r.drainEngine(snap, a.VM) {
		return
	}
	if !r.lease.mayOrder() || !r.loadLimiter.Allow() {
		return
	}
	r.inProgress[a.VM.Name] = true
	o := catkinspindle.Order{Fencing: r.lease.fencingToken(), Want: a.Want}
	r.group.Go(func() error {
		r.send(a.VM, o)
		return nil
	})
}

func (r *Reconciler) send(vm catkinspindle.VM, o catkinspindle.Order) {
	ctx, cancel := context.WithTimeout(r.ctx, r.timing.LongestOrder)
	defer cancel()
	if err := r.dialer.Engine(vm).Order(ctx, o); err != nil {
		r.log.Warn("engine order failed", events.OrderFailed.Attr(), "engine", vm.Name, "model", o.Want.Model, "version", o.Want.Version, "error", err)
	} else {
		r.log.Info("engine order completed", events.OrderSent.Attr(), "engine", vm.Name, "model", o.Want.Model, "version", o.Want.Version, "fencing", o.Fencing)
	}
	select {
	case r.finished <- vm.Name:
	case <-r.ctx.Done():
	}
}

// drainEngine requests a drain from the engine's home and reports whether all reservations
// and streams of the engine have ended.
func (r *Reconciler) drainEngine(snap *catkinspindle.Snapshot, vm catkinspindle.VM) bool {
	ctx, cancel := context.WithTimeout(r.ctx, r.timing.CallTimeout)
	defer cancel()
	home, ok := snap.Homes[vm.Name]
	if !ok {
		return false
	}
	req := drainRequest{Engine: vm.Name, Until: time.Now().Add(drainDuration)}
	var held int
	var err error
	if home.Origin == snap.Self.Origin {
		held, err = r.control.Drain(req.Engine, req.Until)
	} else {
		var answer drainAnswer
		err = r.peers.Call(ctx, home.PeerAddress, kindDrain, req, &answer)
		held = answer.Held
	}
	if err != nil || held > 0 {
		return false
	}
	st, err := r.dialer.Engine(vm).Status(ctx)
	return err == nil && len(st.Streams) == 0
}

func (r *Reconciler) handleDrain(_ context.Context, decode func(any) error) (any, error) {
	var req drainRequest
	if err := decode(&req); err != nil {
		return nil, err
	}
	held, err := r.control.Drain(req.Engine, req.Until)
	return drainAnswer{Held: held}, err
}
