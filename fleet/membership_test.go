package fleet_test

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/fleet"
	"github.com/catkinspindle/catkinspindle/view"
)

const (
	// membershipEnd is the time after its last sign of life by which a node is no member any more.
	membershipEnd = 80 * time.Second
	// watchDelay is the time after which the nodes learn of a change in the store.
	watchDelay = 50 * time.Millisecond
)

// registrationStore has the registrations of a fleet's nodes. Nodes that are in cut do not reach it.
type registrationStore struct {
	mu       sync.Mutex
	revision int64
	entries  map[string]catkinspindle.Node
	nodes    []*node
	cut      map[string]bool
	removals int
	// lateRemovals delays the removals.
	lateRemovals time.Duration
}

func (s *registrationStore) list() (list []catkinspindle.Node) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, n := range s.entries {
		list = append(list, n)
	}
	return list
}

func (s *registrationStore) names() (list []string) {
	for _, n := range s.list() {
		list = append(list, n.Name)
	}
	slices.Sort(list)
	return list
}

func (s *registrationStore) isCut(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cut[name]
}

// changed calls f for each node that watches the store.
func (s *registrationStore) changed(f func(*node)) {
	time.AfterFunc(watchDelay, func() {
		for _, n := range s.nodes {
			if n.watches() && !s.isCut(n.self.Name) {
				f(n)
			}
		}
	})
}

func (s *registrationStore) register(n *node) {
	if s.isCut(n.self.Name) {
		return
	}
	s.mu.Lock()
	s.revision++
	self := n.self
	self.RegistrationRevision = s.revision
	s.entries[self.Name] = self
	s.mu.Unlock()
	n.AddRegistered(self)
	s.changed(func(other *node) { other.AddRegistered(self) })
}

// remove removes an entry if it has the revision of n.
func (s *registrationStore) remove(by string, n catkinspindle.Node) {
	if s.isCut(by) {
		return
	}
	time.Sleep(s.lateRemovals)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.entries[n.Name].RegistrationRevision != n.RegistrationRevision {
		return
	}
	delete(s.entries, n.Name)
	s.removals++
	s.changed(func(other *node) { other.RemoveRegistered(n.Name) })
}

// startRegisteredNodes starts nodes that register in a store.
func startRegisteredNodes(t *testing.T, count int) (*network, *registrationStore) {
	t.Helper()
	net := &network{handlers: map[string]catkinspindle.PeerHandler{}, down: map[string]bool{}, linkFreeAt: map[string]time.Time{}}
	s := &registrationStore{entries: map[string]catkinspindle.Node{}, cut: map[string]bool{}}
	for i := range count {
		self := member(i, 1)
		s.entries[self.Name] = self
		s.revision = max(s.revision, self.RegistrationRevision)
	}
	for i := range count {
		n := &node{self: member(i, 1), view: view.New(nil)}
		n.Fleet = fleet.New(n.self, endpoint{net, n.self.PeerAddress}, n.view, func(ctx context.Context) {
			if !s.isCut(n.self.Name) {
				n.SetRegistered(s.list())
			}
			n.watch(ctx)
		}, slog.New(slog.DiscardHandler),
			fleet.WithStoreLost(func() bool { return s.isCut(n.self.Name) }),
			fleet.WithRegistrationLost(func() { s.register(n) }),
			fleet.WithMembershipEnded(func(other catkinspindle.Node) { s.remove(n.self.Name, other) }))
		n.SetRegistered(s.list())
		s.nodes = append(s.nodes, n)
	}
	for _, n := range s.nodes {
		if err := n.Start(context.Background()); err != nil {
			t.Fatal(err)
		}
	}
	return net, s
}

// checkMembers checks the registrations and the number of members that the nodes in on count.
func checkMembers(t *testing.T, s *registrationStore, when string, want []string, on []*node) {
	t.Helper()
	if diff := cmp.Diff(want, s.names()); diff != "" {
		t.Errorf("%s: registrations (-want +got):\n%s", when, diff)
	}
	for _, n := range on {
		if diff := cmp.Diff(len(want), n.NodeCount()); diff != "" {
			t.Errorf("%s: members for %s (-want +got):\n%s", when, n.self.Name, diff)
		}
	}
}

// Guards against registrations of VMs that are gone for good staying in the store for ever, and against
// limits being divided by all nodes that ever were.
func TestMembershipOfNodeThatIsGoneEnds(t *testing.T) {
	tests := map[string]struct {
		count int
		gone  []int
	}{
		"one of nine":                 {9, []int{4}},
		"the coordinator":             {9, []int{0}},
		"all hubs":                    {9, []int{0, 1, 2, 3}},
		"the first 20 of 24":          {24, []int{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19}},
		"all but one, which has left": {3, []int{0, 1}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				net, s := startRegisteredNodes(t, test.count)
				time.Sleep(4 * time.Second)
				var left []*node
				var leftNames []string
				for i, n := range s.nodes {
					if slices.Contains(test.gone, i) {
						net.setDown(n.self.PeerAddress, true)
						stopNodes(t, []*node{n})
						continue
					}
					left, leftNames = append(left, n), append(leftNames, n.self.Name)
				}
				defer stopNodes(t, left)
				slices.Sort(leftNames)
				time.Sleep(10 * time.Second)
				for end := time.Now().Add(40 * time.Second); time.Now().Before(end); time.Sleep(250 * time.Millisecond) {
					for _, n := range left {
						if c, ok := n.Coordinator(catkinspindle.Pool{}); !ok || c.Name != left[0].self.Name {
							t.Fatalf("coordinator of %s is %q, known: %t, want %s", n.self.Name, c.Name, ok, left[0].self.Name)
						}
					}
				}
				for _, n := range left {
					if diff := cmp.Diff(test.count, n.NodeCount()); diff != "" {
						t.Errorf("members for %s before the timeout (-want +got):\n%s", n.self.Name, diff)
					}
				}
				time.Sleep(membershipEnd - 50*time.Second + 20*time.Second)
				checkMembers(t, s, "after the timeout", leftNames, left)
				authorities := 0
				for _, n := range left {
					if a := n.RateAuthority(catkinspindle.Pool{}); a.Share > 0 {
						authorities++
						if diff := cmp.Diff(1.0, a.Share); diff != "" {
							t.Errorf("share of the rate limits at %s (-want +got):\n%s", n.self.Name, diff)
						}
					}
				}
				if diff := cmp.Diff(1, authorities); diff != "" {
					t.Errorf("nodes with a share of the rate limits (-want +got):\n%s", diff)
				}
			})
		})
	}
}

// A node that is only cut off from the others is a member again by itself, at the latest when the cut ends, and
// its registration is not removed again and again meanwhile.
func TestNodeThatIsCutOffIsMemberAgain(t *testing.T) {
	tests := map[string]struct {
		storeCut     bool
		lateRemovals time.Duration
	}{
		"reaches the store":                       {},
		"reaches the store, which is slow":        {lateRemovals: 5 * time.Second},
		"does not reach the store":                {storeCut: true},
		"does not reach the store, which is slow": {storeCut: true, lateRemovals: 5 * time.Second},
	}
	for name, test := range tests {
		for _, cut := range []string{"n0", "n2", "n6"} {
			t.Run(name+", "+cut, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					net, s := startRegisteredNodes(t, 7)
					defer stopNodes(t, s.nodes)
					s.lateRemovals = test.lateRemovals
					time.Sleep(4 * time.Second)
					s.mu.Lock()
					s.cut[cut] = test.storeCut
					s.mu.Unlock()
					net.setDown("peer-"+cut, true)
					time.Sleep(4 * time.Minute)
					// Both sides may each remove a registration once in the first and once in the
					// following two minutes.
					if most := 4 * 6; s.removals > most {
						t.Errorf("%d removals in 4 min, want %d at most", s.removals, most)
					}
					s.mu.Lock()
					s.cut[cut] = false
					s.mu.Unlock()
					net.setDown("peer-"+cut, false)
					time.Sleep(30 * time.Second)
					checkMembers(t, s, "after the cut", []string{"n0", "n1", "n2", "n3", "n4", "n5", "n6"}, s.nodes)
					for _, n := range s.nodes {
						if diff := cmp.Diff(7, len(n.LiveNodes())); diff != "" {
							t.Errorf("nodes that %s names (-want +got):\n%s", n.self.Name, diff)
						}
					}
				})
			})
		}
	}
}

// Guards against a node that is cut off keeping its share of the replicas' rate limits after the others have
// taken it over.
func TestSharesOfDividedFleetAddUpToTheWhole(t *testing.T) {
	tests := map[string]struct {
		cut      []int
		storeCut bool
	}{
		"the coordinator":                        {cut: []int{0}},
		"the coordinator, also from the store":   {cut: []int{0}, storeCut: true},
		"another node":                           {cut: []int{4}},
		"another node, also from the store":      {cut: []int{4}, storeCut: true},
		"two nodes, each from all":               {cut: []int{1, 3}},
		"two nodes, each from all and the store": {cut: []int{1, 3}, storeCut: true},
		"all nodes":                              {cut: []int{0, 1, 2, 3, 4}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				net, s := startRegisteredNodes(t, 5)
				defer stopNodes(t, s.nodes)
				const settled = 3 * time.Second
				observe := func(duration time.Duration) {
					t.Helper()
					time.Sleep(settled)
					for end := time.Now().Add(duration - settled); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
						sum := 0.0
						for _, n := range s.nodes {
							sum += n.RateAuthority(catkinspindle.Pool{}).Share
						}
						if sum > 1.001 {
							t.Fatalf("shares add up to %.2f of the limit", sum)
						}
					}
				}
				setCut := func(cut bool) {
					for _, i := range test.cut {
						s.mu.Lock()
						s.cut[s.nodes[i].self.Name] = cut && test.storeCut
						s.mu.Unlock()
						net.setDown(s.nodes[i].self.PeerAddress, cut)
					}
				}
				observe(5 * time.Second)
				setCut(true)
				observe(2 * time.Minute)
				setCut(false)
				observe(30 * time.Second)
				whole := 0
				for _, n := range s.nodes {
					if n.RateAuthority(catkinspindle.Pool{}).Share == 1 {
						whole++
					}
				}
				if diff := cmp.Diff(1, whole); diff != "" {
					t.Errorf("coordinators with the whole limit after the cut (-want +got):\n%s", diff)
				}
			})
		})
	}
}

// Neither half of a fleet takes over the share of the other, so both keep theirs.
func TestHalvesOfFleetKeepTheirShares(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net, s := startRegisteredNodes(t, 2)
		defer stopNodes(t, s.nodes)
		time.Sleep(5 * time.Second)
		net.setDown("peer-n1", true)
		for range 3 {
			time.Sleep(50 * time.Second)
			for _, n := range s.nodes {
				if diff := cmp.Diff(0.5, n.RateAuthority(catkinspindle.Pool{}).Share); diff != "" {
					t.Errorf("share of %s (-want +got):\n%s", n.self.Name, diff)
				}
			}
		}
	})
}

// VMs that are replaced over time leave nothing behind, neither in the store nor in the nodes.
func TestReplacedNodesLeaveNothingBehind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const fixed, replaced = 5, 12
		net, s := startRegisteredNodes(t, fixed)
		time.Sleep(4 * time.Second)
		var want []string
		for _, n := range s.nodes {
			want = append(want, n.self.Name)
		}
		for i := range replaced {
			guest := &node{self: member(100+i, 1), view: view.New(nil)}
			guest.Fleet = fleet.New(guest.self, endpoint{net, guest.self.PeerAddress}, guest.view, guest.watch, slog.New(slog.DiscardHandler))
			guest.SetRegistered(s.list())
			s.register(guest)
			if err := guest.Start(context.Background()); err != nil {
				t.Fatal(err)
			}
			time.Sleep(5 * time.Second)
			net.setDown(guest.self.PeerAddress, true)
			stopNodes(t, []*node{guest})
		}
		time.Sleep(membershipEnd + 10*time.Second)
		checkMembers(t, s, "after the last replacement", want, s.nodes)
		stopNodes(t, s.nodes)
	})
}
