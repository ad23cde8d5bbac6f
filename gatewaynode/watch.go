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
	"github.com/catkinspindle/catkinspindle/view"
	"github.com/catkinspindle/catkinspindle/watch"
)

const (
	// watchPace is the minimum interval between watch calls for the configuration and
	// the replicas, whose changes must take effect within seconds. nodesPace is the one
	// for nodes, which also announce themselves with their heartbeats.
	watchPace = 150 * time.Millisecond
	nodesPace = 500 * time.Millisecond
)

// reaches reports whether the store responds to this node.
func (n *Node) reaches(ctx context.Context) bool {
	_, err := n.store.Peek(ctx, keysKind)
	return err == nil
}

// provisional is the position given to lists that may be stale. It precedes the position
// of every other list, so that any of them replaces a stale one.
var provisional = catkinspindle.Position{Revision: 1}

// firstView reads the configuration and the replicas from the store, possibly stale, so
// that the node can serve before it has joined the fleet and gets current state from the
// other nodes.
func (n *Node) firstView(ctx context.Context) error {
	var (
		group             errgroup.Group
		config, instances []catkinspindle.StoredObject
	)
	peek := func(kind string, into *[]catkinspindle.StoredObject) {
		group.Go(func() (err error) {
			*into, err = n.store.Peek(ctx, kind)
			return err
		})
	}
	peek(platform.ConfigKind, &config)
	peek(platform.ReplicasKind, &instances)
	if err := group.Wait(); err != nil {
		return fmt.Errorf("read configuration and replicas: %w", err)
	}
	replicasSink{n}.Reset(instances, provisional, time.Time{})
	configSink{n}.Reset(config, provisional, time.Time{})
	return nil
}

// watch watches the configuration, the replicas and the nodes in the store until ctx is
// done.
func (n *Node) watch(ctx context.Context) {
	n.log.Info("watching the store", events.PlatformRegained.Attr())
	var group errgroup.Group
	for _, f := range []*watch.Follower{
		watch.New(n.store, platform.ConfigKind, platform.WatchWait, n.log, configSink{n}, watch.WithState(n.blind.set(platform.ConfigKind)), watch.WithPace(watchPace)),
		watch.New(n.store, platform.ReplicasKind, platform.WatchWait, n.log, replicasSink{n}, watch.WithState(n.blind.set(platform.ReplicasKind)), watch.WithPace(watchPace)),
		watch.New(n.store, platform.NodesKind, platform.NodesWatchWait, n.log, nodesSink{n}, watch.WithPace(nodesPace)),
	} {
		group.Go(func() error {
			f.Run(ctx)
			return nil
		})
	}
	_ = group.Wait() // The functions return no errors.
}

// blindness records which kinds of objects cannot be watched at present.
type blindness struct {
	mu   sync.Mutex
	lost map[string]bool
}

// set returns a function that records whether the watch of a kind has lost the store.
func (b *blindness) set(kind string) func(bool) {
	return func(lost bool) {
		b.mu.Lock()
		defer b.mu.Unlock()
		if b.lost == nil {
			b.lost = map[string]bool{}
		}
		b.lost[kind] = lost
	}
}

// any reports whether the watch of at least one kind has lost the store.
func (b *blindness) any() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, lost := range b.lost {
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
		s.n.log.Info("configuration adopted", events.ConfigAdopted.Attr(), "version", r.Version, "revision", o.Revision, "source", "store")
	}
}

type replicasSink struct{ n *Node }

// Reset implements watch.Sink.
func (s replicasSink) Reset(objects []catkinspindle.StoredObject, at catkinspindle.Position, mayReturn time.Time) {
	list := map[string]catkinspindle.Replica{}
	for _, o := range objects {
		if r, ok := s.decode(o); ok {
			list[r.ID] = r
		}
	}
	if s.n.view.SetReplicas(list, at, mayReturn) {
		s.n.log.Info("replicas listed", events.ReplicaChanged.Attr(), "count", len(list), "position", at, "after-outage", !mayReturn.IsZero())
	}
}

// Apply implements watch.Sink.
func (s replicasSink) Apply(changes []catkinspindle.ObjectChange, at catkinspindle.Position, mayReturn time.Time) {
	list := make([]view.Change, 0, len(changes))
	for _, c := range changes {
		change := view.Change{Replica: catkinspindle.Replica{ID: c.Object.Name}, Gone: c.Deleted}
		if !c.Deleted {
			r, ok := s.decode(c.Object)
			change.Replica, change.Gone = r, !ok
			change.Replica.ID = c.Object.Name
		}
		s.n.log.Info("replica changed", events.ReplicaChanged.Attr(), "replica", change.Replica.ID, "address", change.Replica.Address,
			"leaving", change.Replica.Leaving, "gone", change.Gone, "position", at, "after-outage", !mayReturn.IsZero())
		list = append(list, change)
	}
	s.n.view.ChangeReplicas(list, at, mayReturn)
}

func (s replicasSink) decode(o catkinspindle.StoredObject) (catkinspindle.Replica, bool) {
	r, err := platform.DecodeReplica(o)
	if err != nil {
		s.n.log.Warn("replica entry in the store cannot be decoded", events.ReplicaChanged.Attr(), "entry", o.Name, "error", err)
		return r, false
	}
	return r, true
}

type nodesSink struct{ n *Node }

// Reset implements watch.Sink.
func (s nodesSink) Reset(objects []catkinspindle.StoredObject, _ catkinspindle.Position, _ time.Time) {
	list := make([]catkinspindle.Node, 0, len(objects))
	for _, o := range objects {
		if f, ok := s.decode(o); ok {
			list = append(list, f)
		}
	}
	s.n.fleet.Learn(list)
}

// Apply implements watch.Sink.
func (s nodesSink) Apply(changes []catkinspindle.ObjectChange, _ catkinspindle.Position, _ time.Time) {
	for _, c := range changes {
		if c.Deleted {
			s.n.fleet.Remove(c.Object.Name)
			continue
		}
		if f, ok := s.decode(c.Object); ok {
			s.n.fleet.LearnOne(f)
		}
	}
}

func (s nodesSink) decode(o catkinspindle.StoredObject) (catkinspindle.Node, bool) {
	f, err := platform.DecodeNode(o)
	if err != nil {
		s.n.log.Warn("node entry in the store cannot be decoded", events.PeerMalformed.Attr(), "entry", o.Name, "error", err)
		return f, false
	}
	return f, true
}
