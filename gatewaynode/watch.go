package gatewaynode

import (
	"context"
	"fmt"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/events"
	"github.com/catkinspindle/catkinspindle/platform"
	"github.com/catkinspindle/catkinspindle/routes"
	"github.com/catkinspindle/catkinspindle/view"
	"github.com/catkinspindle/catkinspindle/watch"
)

const (
	// minWatchInterval is the minimum interval between watch calls for the configuration and
	// the replicas, whose changes must take effect within seconds. minNodesWatchInterval is
	// that for nodes, which also become known through their heartbeats.
	minWatchInterval      = 150 * time.Millisecond
	minNodesWatchInterval = 500 * time.Millisecond
)

// storeReachable reports whether the store responds to this node.
func (n *Node) storeReachable(ctx context.Context) bool {
	_, err := n.store.ListStale(ctx, secretKind)
	return err == nil
}

// obtainInitialView reads the initial view until a read has succeeded or other nodes have sent this
// node a view. A read that fails before the store has answered the read of the secret is repeated
// after that answer, so that in an outage a starting node retries a single read.
func (n *Node) obtainInitialView(ctx context.Context) {
	hasView := func() bool {
		s := n.view.State()
		return s.Table != nil && s.ReplicasAt != (catkinspindle.Position{})
	}
	for {
		err := n.readInitialView(ctx)
		if err == nil || ctx.Err() != nil {
			return
		}
		if n.view.State().Table == nil {
			n.storeFailing.Store(true)
		}
		n.log.Warn("initial read of configuration and replicas from the store failed, will retry", events.PlatformFailed.Attr(), "error", err)
		select {
		case <-n.storeAnswered:
			_ = backOff(ctx) // The next read fails with the context.
		default:
			select {
			case <-n.storeAnswered:
			case <-ctx.Done():
			}
		}
		if hasView() {
			return
		}
	}
}

// readInitialView reads the configuration, the evacuations and the replicas from the store, possibly stale, so
// that the node can serve before it has joined the fleet and gets current state from the
// other nodes.
func (n *Node) readInitialView(ctx context.Context) error {
	var (
		group                         errgroup.Group
		config, replicas, evacuations []catkinspindle.StoredObject
	)
	listStale := func(kind string, target *[]catkinspindle.StoredObject) {
		group.Go(func() (err error) {
			*target, err = n.store.ListStale(ctx, kind)
			return err
		})
	}
	listStale(platform.ConfigKind, &config)
	listStale(platform.ReplicasKind, &replicas)
	if n.settings.EvacuationTime > 0 {
		listStale(platform.EvacuationsKind, &evacuations)
	}
	if err := group.Wait(); err != nil {
		return fmt.Errorf("read configuration and replicas: %w", err)
	}
	replicasSink{n}.Reset(replicas, catkinspindle.StalePosition, time.Time{})
	if n.settings.EvacuationTime > 0 {
		newEvacuationsSink(n).Reset(evacuations, catkinspindle.StalePosition, time.Time{})
	}
	configSink{n}.Reset(config, catkinspindle.StalePosition, time.Time{})
	return nil
}

// readConfig reads the configuration from the store.
func (n *Node) readConfig() {
	n.group.Go(func() error {
		objects, _, err := n.store.List(n.runCtx, platform.ConfigKind)
		if err != nil {
			n.log.Warn("configuration could not be read from the store", events.PlatformFailed.Attr(), "error", err)
			return nil
		}
		configSink{n}.Reset(objects, catkinspindle.StalePosition, time.Time{})
		return nil
	})
}

// watchStore watches the configuration, the replicas, the nodes and the evacuations in the store
// until ctx is done.
func (n *Node) watchStore(ctx context.Context) {
	n.log.Info("watching the store", events.PlatformRegained.Attr())
	followers := []*watch.Follower{
		watch.New(n.store, platform.ConfigKind, platform.WatchWait, n.log, configSink{n}, watch.WithOutageFunc(n.outages.outageFunc(platform.ConfigKind)), watch.WithMinInterval(minWatchInterval)),
		watch.New(n.store, platform.ReplicasKind, platform.WatchWait, n.log, replicasSink{n}, watch.WithOutageFunc(n.outages.outageFunc(platform.ReplicasKind)), watch.WithMinInterval(minWatchInterval)),
		watch.New(n.store, platform.NodesKind, platform.NodesWatchWait, n.log, nodesSink{n}, watch.WithMinInterval(minNodesWatchInterval)),
	}
	if n.settings.EvacuationTime > 0 {
		wait := min(platform.EvacuationsWatchWait, n.settings.EvacuationTime/2)
		followers = append(followers, watch.New(n.store, platform.EvacuationsKind, wait, n.log, newEvacuationsSink(n), watch.WithOutageFunc(n.outages.outageFunc(platform.EvacuationsKind)), watch.WithMinInterval(minWatchInterval)))
	}
	var group errgroup.Group
	for _, follower := range followers {
		group.Go(func() error {
			follower.Run(ctx)
			return nil
		})
	}
	_ = group.Wait() // The functions return no errors.
}

// watchOutages records which kinds of objects cannot be watched at present.
type watchOutages struct {
	mu        sync.Mutex
	lostKinds map[string]bool
}

// outageFunc returns a function that records whether the watch of a kind has lost the store.
func (o *watchOutages) outageFunc(kind string) func(bool) {
	return func(lost bool) {
		o.mu.Lock()
		defer o.mu.Unlock()
		if o.lostKinds == nil {
			o.lostKinds = map[string]bool{}
		}
		o.lostKinds[kind] = lost
	}
}

// anyLost reports whether the watch of at least one kind has lost the store.
func (o *watchOutages) anyLost() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, lost := range o.lostKinds {
		if lost {
			return true
		}
	}
	return false
}

type configSink struct{ n *Node }

// Reset implements watch.Sink.
func (s configSink) Reset(objects []catkinspindle.StoredObject, _ catkinspindle.Position, _ time.Time) {
	for _, o := range objects {
		s.adopt(o)
	}
}

// Apply implements watch.Sink.
func (s configSink) Apply(changes []catkinspindle.ObjectChange, _ catkinspindle.Position, _ time.Time) {
	for _, c := range changes {
		if !c.Deleted {
			s.adopt(c.Object)
		}
	}
}

func (s configSink) adopt(o catkinspindle.StoredObject) {
	if o.Name != platform.ConfigName {
		return
	}
	r, err := platform.DecodeConfig(o.Spec)
	if err != nil {
		s.n.log.Error("configuration in the store cannot be decoded", events.ConfigUnreadable.Attr(), "revision", o.Revision, "error", err)
		return
	}
	if s.n.view.SetRouting(r) {
		for service, problem := range platform.ColdServiceProblems(o.Spec) {
			s.n.log.Warn("odd value about cold replicas in the configuration", events.ConfigAdopted.Attr(), "version", r.Version, "service", service, "problem", problem)
		}
		for _, problem := range routes.KeyProblems(r) {
			s.n.log.Warn("odd API key in the configuration", events.ConfigAdopted.Attr(), "version", r.Version, "problem", problem)
		}
		s.n.log.Info("configuration adopted", events.ConfigAdopted.Attr(), "version", r.Version, "revision", o.Revision, "source", "store")
	}
}

type replicasSink struct{ n *Node }

// Reset implements watch.Sink.
func (s replicasSink) Reset(objects []catkinspindle.StoredObject, position catkinspindle.Position, mayReturnUntil time.Time) {
	list := map[string]catkinspindle.Replica{}
	for _, o := range objects {
		if r, ok := s.decode(o); ok {
			list[r.ID] = r
		}
	}
	if s.n.view.SetReplicas(list, position, mayReturnUntil) {
		s.n.log.Info("replicas listed", events.ReplicaChanged.Attr(), "count", len(list), "position", position, "after-outage", !mayReturnUntil.IsZero())
	}
}

// Apply implements watch.Sink.
func (s replicasSink) Apply(changes []catkinspindle.ObjectChange, position catkinspindle.Position, mayReturnUntil time.Time) {
	list := make([]view.Change, 0, len(changes))
	for _, c := range changes {
		change := view.Change{Replica: catkinspindle.Replica{ID: c.Object.Name}, Removed: c.Deleted}
		if !c.Deleted {
			r, ok := s.decode(c.Object)
			change.Replica, change.Removed = r, !ok
			change.Replica.ID = c.Object.Name
		}
		s.n.log.Info("replica changed", events.ReplicaChanged.Attr(), "replica", change.Replica.ID, "address", change.Replica.Address,
			"leaving", change.Replica.Leaving, "gone", change.Removed, "cold-left", change.Replica.ColdLeft, "position", position, "after-outage", !mayReturnUntil.IsZero())
		list = append(list, change)
	}
	s.n.view.ChangeReplicas(list, position, mayReturnUntil)
}

func (s replicasSink) decode(o catkinspindle.StoredObject) (catkinspindle.Replica, bool) {
	r, err := platform.DecodeReplica(o)
	if err != nil {
		s.n.log.Warn("replica entry in the store cannot be decoded", events.ReplicaChanged.Attr(), "entry", o.Name, "error", err)
		return r, false
	}
	if problem := platform.ColdLeftProblem(o); problem != "" {
		s.n.log.Warn("odd value in a replica entry in the store", events.ReplicaChanged.Attr(), "entry", o.Name, "problem", problem)
	}
	return r, true
}

type nodesSink struct{ n *Node }

// Reset implements watch.Sink.
func (s nodesSink) Reset(objects []catkinspindle.StoredObject, _ catkinspindle.Position, _ time.Time) {
	list := make([]catkinspindle.Node, 0, len(objects))
	for _, o := range objects {
		if node, ok := s.decode(o); ok {
			list = append(list, node)
		}
	}
	s.n.fleet.SetRegistered(list)
}

// Apply implements watch.Sink.
func (s nodesSink) Apply(changes []catkinspindle.ObjectChange, _ catkinspindle.Position, _ time.Time) {
	for _, c := range changes {
		if c.Deleted {
			s.n.fleet.RemoveRegistered(c.Object.Name)
			continue
		}
		if node, ok := s.decode(c.Object); ok {
			s.n.fleet.AddRegistered(node)
		}
	}
}

func (s nodesSink) decode(o catkinspindle.StoredObject) (catkinspindle.Node, bool) {
	node, err := platform.DecodeNode(o)
	if err != nil {
		s.n.log.Warn("node entry in the store cannot be decoded", events.PeerMalformed.Attr(), "entry", o.Name, "error", err)
		return node, false
	}
	return node, true
}
