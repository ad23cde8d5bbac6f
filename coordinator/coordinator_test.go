package coordinator_test

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/coordinator"
	"github.com/catkinspindle/catkinspindle/placement"
)

var (
	errNoResponse   = errors.New("no response")
	self            = catkinspindle.Node{Name: "n1", Incarnation: 1, PeerAddress: "p1"}
	coordinatorNode = catkinspindle.Node{Name: "n0", Incarnation: 1, PeerAddress: "p0"}
)

// link is the connection between a node and the coordinator.
type link struct {
	mu           sync.Mutex
	handlers     map[string]catkinspindle.PeerHandler
	other        *link
	unresponsive bool
}

func (l *link) Handle(kind string, h catkinspindle.PeerHandler) { l.handlers[kind] = h }

func (l *link) Call(ctx context.Context, _, kind string, req, resp any) error {
	l.mu.Lock()
	unresponsive := l.unresponsive
	l.mu.Unlock()
	if unresponsive {
		<-ctx.Done()
		return errNoResponse
	}
	data, err := cbor.Marshal(req)
	if err != nil {
		return err
	}
	v, err := l.other.handlers[kind](ctx, func(v any) error { return cbor.Unmarshal(data, v) })
	if err != nil || resp == nil {
		return err
	}
	if data, err = cbor.Marshal(v); err != nil {
		return err
	}
	return cbor.Unmarshal(data, resp)
}

func (l *link) setUnresponsive(on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unresponsive = on
}

func newPlanner() *placement.Planner {
	p := placement.New(placement.WithSeed(1))
	p.SetServices([]catkinspindle.ReplicaService{{Name: "s", Engine: &catkinspindle.EngineModel{Slots: 8, KVCacheTokens: 100_000, Stride: 51, Step: time.Millisecond, PrefillRate: 177_000}}})
	p.SetReplicas(map[string]catkinspindle.Replica{"r1": {ID: "r1", Service: "s"}, "r2": {ID: "r2", Service: "s"}})
	return p
}

// jobs returns the number of jobs in the load of all replicas.
func jobs(p *placement.Planner) int {
	n := 0
	for _, l := range p.Loads(time.Now()) {
		n += l.Jobs
	}
	return n
}

type testNodes struct {
	node               *coordinator.Coordinator
	link               *link
	coordinatorPlanner *placement.Planner
	suspicions         int
	departures         []catkinspindle.Departure
	stop               func()
}

func start(t *testing.T) *testNodes {
	t.Helper()
	a, b := &link{handlers: map[string]catkinspindle.PeerHandler{}}, &link{handlers: map[string]catkinspindle.PeerHandler{}}
	a.other, b.other = b, a
	p := &testNodes{link: b, coordinatorPlanner: newPlanner()}
	coordinatorOf := func(catkinspindle.Pool) (catkinspindle.Node, bool) { return coordinatorNode, true }
	log := slog.New(slog.DiscardHandler)
	coord := coordinator.New(coordinatorNode, p.coordinatorPlanner, a, coordinatorOf, func(catkinspindle.Node) {}, log,
		coordinator.WithDepartures(func(d catkinspindle.Departure) { p.departures = append(p.departures, d) }))
	p.node = coordinator.New(self, newPlanner(), b, coordinatorOf, func(catkinspindle.Node) { p.suspicions++ }, log)
	for _, c := range []*coordinator.Coordinator{coord, p.node} {
		if err := c.Start(context.Background()); err != nil {
			t.Fatal(err)
		}
	}
	p.stop = func() {
		if err := errors.Join(coord.Stop(context.Background()), p.node.Stop(context.Background())); err != nil {
			t.Error(err)
		}
	}
	return p
}

func newJob() catkinspindle.Job {
	return catkinspindle.Job{Service: "s", PromptTokens: 5000, AnswerTokens: 100, TimeLeft: 10 * time.Second, LatencyObjective: time.Second, MaxEventGap: 250 * time.Millisecond}
}

// A job that the coordinator places is counted in its load until the end of the
// attempt is reported.
func TestPlacingThroughTheCoordinator(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := start(t)
		defer p.stop()
		got := p.node.Place(context.Background(), newJob())
		if got.Refused() || got.PlacedBy != "n0" {
			t.Fatalf("placement %+v", got)
		}
		if diff := cmp.Diff(1, jobs(p.coordinatorPlanner)); diff != "" {
			t.Errorf("jobs on the coordinator (-want +got):\n%s", diff)
		}
		p.node.ReportResult(catkinspindle.AttemptResult{JobID: got.JobID, Replica: got.Replica})
		time.Sleep(time.Second)
		if diff := cmp.Diff(0, jobs(p.coordinatorPlanner)); diff != "" {
			t.Errorf("jobs on the coordinator after the attempt has ended (-want +got):\n%s", diff)
		}
	})
}

// A coordinator that does not answer delays a request by no more than the call's
// timeout. When it answers again, it receives the jobs that were placed without it
// and the outcomes of attempts.
func TestUnresponsiveCoordinator(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := start(t)
		defer p.stop()
		before := p.node.Place(context.Background(), newJob())
		p.link.setUnresponsive(true)
		began := time.Now()
		uncoordinated := p.node.Place(context.Background(), newJob())
		if took := time.Since(began); uncoordinated.Refused() || uncoordinated.PlacedBy != "" || took > 150*time.Millisecond {
			t.Errorf("placement %+v after %v", uncoordinated, took)
		}
		if p.suspicions != 1 {
			t.Errorf("coordinator suspected %d times, want once", p.suspicions)
		}
		p.node.ReportResult(catkinspindle.AttemptResult{JobID: before.JobID, Replica: before.Replica})
		time.Sleep(2 * time.Second)
		p.link.setUnresponsive(false)
		time.Sleep(time.Second)
		if diff := cmp.Diff(1, jobs(p.coordinatorPlanner)); diff != "" {
			t.Errorf("jobs on the coordinator, want only the one placed without it (-want +got):\n%s", diff)
		}
		p.node.ReportResult(catkinspindle.AttemptResult{JobID: uncoordinated.JobID, Replica: uncoordinated.Replica})
		time.Sleep(time.Second)
		if diff := cmp.Diff(0, jobs(p.coordinatorPlanner)); diff != "" {
			t.Errorf("jobs on the coordinator after all attempts have ended (-want +got):\n%s", diff)
		}
	})
}

// After a change of coordinator all open jobs are reported to the new one.
func TestOpenJobsAreReportedToNewCoordinator(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := start(t)
		defer p.stop()
		got := p.node.Place(context.Background(), newJob())
		p.coordinatorPlanner.DropJobs("")
		p.node.ReportOpenJobs()
		time.Sleep(time.Second)
		if diff := cmp.Diff(1, jobs(p.coordinatorPlanner)); diff != "" {
			t.Errorf("jobs on the new coordinator (-want +got):\n%s", diff)
		}
		p.node.ReportResult(catkinspindle.AttemptResult{JobID: got.JobID, Replica: got.Replica})
	})
}

// The coordinator of each pool places the pool's jobs and receives the outcomes of
// their attempts. When a pool's coordinator changes, the new one receives the pool's
// open jobs, and later outcomes go only to it.
func TestPoolsArePlacedByTheirCoordinators(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const parts, jobsPerPart = 2, 5
		coordinators := []catkinspindle.Node{{Name: "h0", PeerAddress: "p0"}, {Name: "h1", PeerAddress: "p1"}, {Name: "h2", PeerAddress: "p2"}}
		links, planners := map[string]*link{}, map[string]*placement.Planner{}
		log := slog.New(slog.DiscardHandler)
		coordinatorOfPart1 := 1
		coordinatorOf := func(p catkinspindle.Pool) (catkinspindle.Node, bool) {
			if p.Part == 0 {
				return coordinators[0], true
			}
			return coordinators[coordinatorOfPart1], true
		}
		newLargePlanner := func() *placement.Planner {
			p := newPlanner()
			list := map[string]catkinspindle.Replica{}
			for i := range 400 {
				id := fmt.Sprintf("r%d", i)
				list[id] = catkinspindle.Replica{ID: id, Service: "s"}
			}
			p.SetReplicas(list)
			return p
		}
		var all []*coordinator.Coordinator
		for _, h := range coordinators {
			links[h.PeerAddress], planners[h.Name] = &link{handlers: map[string]catkinspindle.PeerHandler{}}, newLargePlanner()
			all = append(all, coordinator.New(h, planners[h.Name], links[h.PeerAddress], coordinatorOf, func(catkinspindle.Node) {}, log))
		}
		node := coordinator.New(self, newLargePlanner(), &multiLink{links: links}, coordinatorOf, func(catkinspindle.Node) {}, log)
		all = append(all, node)
		for _, c := range all {
			if err := c.Start(context.Background()); err != nil {
				t.Fatal(err)
			}
			defer func() {
				if err := c.Stop(context.Background()); err != nil {
					t.Error(err)
				}
			}()
		}
		var open []catkinspindle.Placement
		for range parts * jobsPerPart {
			got := node.Place(context.Background(), newJob())
			if got.Refused() {
				t.Fatalf("job refused: %+v", got)
			}
			open = append(open, got)
		}
		count := func() [3]int { return [3]int{jobs(planners["h0"]), jobs(planners["h1"]), jobs(planners["h2"])} }
		if diff := cmp.Diff([3]int{jobsPerPart, jobsPerPart, 0}, count()); diff != "" {
			t.Errorf("jobs of each coordinator (-want +got):\n%s", diff)
		}
		coordinatorOfPart1 = 2
		node.ReportDividedJobs()
		time.Sleep(time.Second)
		if diff := cmp.Diff([3]int{jobsPerPart, jobsPerPart, jobsPerPart}, count()); diff != "" {
			t.Errorf("jobs after a change of coordinator (-want +got):\n%s", diff)
		}
		for _, p := range open {
			node.ReportResult(catkinspindle.AttemptResult{JobID: p.JobID, Replica: p.Replica})
		}
		time.Sleep(time.Second)
		if diff := cmp.Diff([3]int{0, jobsPerPart, 0}, count()); diff != "" {
			t.Errorf("jobs of each coordinator after all attempts have ended; the former one gets no outcomes (-want +got):\n%s", diff)
		}
	})
}

// multiLink connects a node to several coordinators.
type multiLink struct{ links map[string]*link }

func (*multiLink) Handle(string, catkinspindle.PeerHandler) {}

func (m *multiLink) Call(ctx context.Context, address, kind string, req, resp any) error {
	l := &link{other: m.links[address]}
	return l.Call(ctx, address, kind, req, resp)
}

// A replica's notice that it is leaving reaches the coordinator with the outcome of
// the attempt that carried the notice.
func TestDepartureIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := start(t)
		defer p.stop()
		got := p.node.Place(context.Background(), newJob())
		d := catkinspindle.Departure{ID: got.Replica, Incarnation: 3}
		p.node.ReportResult(catkinspindle.AttemptResult{JobID: got.JobID, Replica: got.Replica, Departure: &d})
		time.Sleep(50 * time.Millisecond)
		synctest.Wait()
		if diff := cmp.Diff([]catkinspindle.Departure{d}, p.departures); diff != "" {
			t.Errorf("departures received by the coordinator (-want +got):\n%s", diff)
		}
	})
}

func TestCoordinatorIsNotSuspectedWhenTheCallerLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := start(t)
		defer p.stop()
		p.link.setUnresponsive(true)
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Millisecond)
		defer cancel()
		if got := p.node.Place(ctx, newJob()); !got.Refused() {
			t.Errorf("placement %+v for a caller that has left", got)
		}
		if diff := cmp.Diff(0, p.suspicions); diff != "" {
			t.Errorf("number of times the coordinator was suspected (-want +got):\n%s", diff)
		}
		p.link.setUnresponsive(false)
	})
}

// A coordinator that has just started and does not know the service yet places no
// jobs. The node then places without it, but does not suspect it of having failed.
func TestCoordinatorWithoutConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := start(t)
		defer p.stop()
		p.coordinatorPlanner.SetServices(nil)
		got := p.node.Place(context.Background(), newJob())
		if got.Refused() || got.PlacedBy != "" || got.ExpectedFirstEvent == 0 {
			t.Errorf("placement %+v, want one made by the node itself", got)
		}
		if diff := cmp.Diff(0, p.suspicions); diff != "" {
			t.Errorf("number of times the coordinator was suspected (-want +got):\n%s", diff)
		}
		p.node.ReportResult(catkinspindle.AttemptResult{JobID: got.JobID, Replica: got.Replica})
	})
}
