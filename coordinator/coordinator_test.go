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
	errSilent = errors.New("no response")
	self      = catkinspindle.Node{Name: "n1", Incarnation: 1, PeerAddress: "p1"}
	home      = catkinspindle.Node{Name: "n0", Incarnation: 1, PeerAddress: "p0"}
)

// link is the connection between a node and the coordinator.
type link struct {
	mu       sync.Mutex
	handlers map[string]catkinspindle.PeerHandler
	other    *link
	silent   bool
}

func (l *link) Handle(kind string, h catkinspindle.PeerHandler) { l.handlers[kind] = h }

func (l *link) Call(ctx context.Context, _, kind string, req, resp any) error {
	l.mu.Lock()
	silent := l.silent
	l.mu.Unlock()
	if silent {
		<-ctx.Done()
		return errSilent
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

func (l *link) setSilent(on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.silent = on
}

func newPlanner() *placement.Planner {
	p := placement.New(placement.WithSeed(1))
	p.SetServices([]catkinspindle.ReplicaService{{Name: "s", Engine: &catkinspindle.EngineModel{Slots: 8, Memory: 100_000, Stride: 51, Step: time.Millisecond, ReadRate: 177_000}}})
	p.SetReplicas(map[string]catkinspindle.Replica{"r1": {ID: "r1", Service: "s"}, "r2": {ID: "r2", Service: "s"}})
	return p
}

func jobs(p *placement.Planner) int {
	n := 0
	for _, l := range p.Loads(time.Now()) {
		n += l.Jobs
	}
	return n
}

type pair struct {
	node      *coordinator.Coordinator
	link      *link
	ledger    *placement.Planner
	suspected int
	departed  []catkinspindle.Departure
	stop      func()
}

func start(t *testing.T) *pair {
	t.Helper()
	a, b := &link{handlers: map[string]catkinspindle.PeerHandler{}}, &link{handlers: map[string]catkinspindle.PeerHandler{}}
	a.other, b.other = b, a
	p := &pair{link: b, ledger: newPlanner()}
	at := func(catkinspindle.Pool) (catkinspindle.Node, bool) { return home, true }
	log := slog.New(slog.DiscardHandler)
	first := coordinator.New(home, p.ledger, a, at, func(catkinspindle.Node) {}, log,
		coordinator.WithDepartures(func(d catkinspindle.Departure) { p.departed = append(p.departed, d) }))
	p.node = coordinator.New(self, newPlanner(), b, at, func(catkinspindle.Node) { p.suspected++ }, log)
	for _, c := range []*coordinator.Coordinator{first, p.node} {
		if err := c.Start(context.Background()); err != nil {
			t.Fatal(err)
		}
	}
	p.stop = func() {
		if err := errors.Join(first.Stop(context.Background()), p.node.Stop(context.Background())); err != nil {
			t.Error(err)
		}
	}
	return p
}

func job() catkinspindle.Job {
	return catkinspindle.Job{Service: "s", Prompt: 5000, Answer: 100, Left: 10 * time.Second, Aim: time.Second, MaxPause: 250 * time.Millisecond}
}

// A job that the coordinator places is counted in its load until the end of the
// attempt is reported.
func TestPlacingThroughTheCoordinator(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := start(t)
		defer p.stop()
		got := p.node.Place(context.Background(), job())
		if got.Refused() || got.By != "n0" {
			t.Fatalf("placement %+v", got)
		}
		if diff := cmp.Diff(1, jobs(p.ledger)); diff != "" {
			t.Errorf("jobs on the coordinator (-want +got):\n%s", diff)
		}
		p.node.End(catkinspindle.Ending{Job: got.Job, Replica: got.Replica})
		time.Sleep(time.Second)
		if diff := cmp.Diff(0, jobs(p.ledger)); diff != "" {
			t.Errorf("jobs on the coordinator after the attempt has ended (-want +got):\n%s", diff)
		}
	})
}

// A coordinator that does not answer delays a request by no more than the call's
// timeout. When it answers again, it receives the jobs that were placed without it
// and the outcomes of attempts.
func TestSilentCoordinator(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := start(t)
		defer p.stop()
		before := p.node.Place(context.Background(), job())
		p.link.setSilent(true)
		began := time.Now()
		alone := p.node.Place(context.Background(), job())
		if took := time.Since(began); alone.Refused() || alone.By != "" || took > 150*time.Millisecond {
			t.Errorf("placement %+v after %v", alone, took)
		}
		if p.suspected != 1 {
			t.Errorf("coordinator suspected %d times, want once", p.suspected)
		}
		p.node.End(catkinspindle.Ending{Job: before.Job, Replica: before.Replica})
		time.Sleep(2 * time.Second)
		p.link.setSilent(false)
		time.Sleep(time.Second)
		if diff := cmp.Diff(1, jobs(p.ledger)); diff != "" {
			t.Errorf("jobs on the coordinator, want only the one placed without it (-want +got):\n%s", diff)
		}
		p.node.End(catkinspindle.Ending{Job: alone.Job, Replica: alone.Replica})
		time.Sleep(time.Second)
		if diff := cmp.Diff(0, jobs(p.ledger)); diff != "" {
			t.Errorf("jobs on the coordinator after all attempts have ended (-want +got):\n%s", diff)
		}
	})
}

// After a change of coordinator all open jobs are reported to the new one.
func TestAnnounce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := start(t)
		defer p.stop()
		got := p.node.Place(context.Background(), job())
		p.ledger.Forget("")
		p.node.Announce()
		time.Sleep(time.Second)
		if diff := cmp.Diff(1, jobs(p.ledger)); diff != "" {
			t.Errorf("jobs on the new coordinator (-want +got):\n%s", diff)
		}
		p.node.End(catkinspindle.Ending{Job: got.Job, Replica: got.Replica})
	})
}

// The coordinator of each pool places the pool's jobs and receives the outcomes of
// their attempts. When a pool's coordinator changes, the new one receives the pool's
// open jobs, and later outcomes go only to it.
func TestPoolsArePlacedByTheirCoordinators(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const parts, each = 2, 5
		homes := []catkinspindle.Node{{Name: "h0", PeerAddress: "p0"}, {Name: "h1", PeerAddress: "p1"}, {Name: "h2", PeerAddress: "p2"}}
		links, ledgers := map[string]*link{}, map[string]*placement.Planner{}
		log := slog.New(slog.DiscardHandler)
		second := 1
		at := func(p catkinspindle.Pool) (catkinspindle.Node, bool) {
			if p.Part == 0 {
				return homes[0], true
			}
			return homes[second], true
		}
		large := func() *placement.Planner {
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
		for _, h := range homes {
			links[h.PeerAddress], ledgers[h.Name] = &link{handlers: map[string]catkinspindle.PeerHandler{}}, large()
			all = append(all, coordinator.New(h, ledgers[h.Name], links[h.PeerAddress], at, func(catkinspindle.Node) {}, log))
		}
		node := coordinator.New(self, large(), &hub{links: links}, at, func(catkinspindle.Node) {}, log)
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
		for range parts * each {
			got := node.Place(context.Background(), job())
			if got.Refused() {
				t.Fatalf("job refused: %+v", got)
			}
			open = append(open, got)
		}
		count := func() [3]int { return [3]int{jobs(ledgers["h0"]), jobs(ledgers["h1"]), jobs(ledgers["h2"])} }
		if diff := cmp.Diff([3]int{each, each, 0}, count()); diff != "" {
			t.Errorf("jobs of each coordinator (-want +got):\n%s", diff)
		}
		second = 2
		node.AnnounceDivided()
		time.Sleep(time.Second)
		if diff := cmp.Diff([3]int{each, each, each}, count()); diff != "" {
			t.Errorf("jobs after a change of coordinator (-want +got):\n%s", diff)
		}
		for _, p := range open {
			node.End(catkinspindle.Ending{Job: p.Job, Replica: p.Replica})
		}
		time.Sleep(time.Second)
		if diff := cmp.Diff([3]int{0, each, 0}, count()); diff != "" {
			t.Errorf("jobs of each coordinator after all attempts have ended; the former one gets no outcomes (-want +got):\n%s", diff)
		}
	})
}

// hub connects a node to several coordinators.
type hub struct{ links map[string]*link }

func (*hub) Handle(string, catkinspindle.PeerHandler) {}

func (h *hub) Call(ctx context.Context, address, kind string, req, resp any) error {
	l := &link{other: h.links[address]}
	return l.Call(ctx, address, kind, req, resp)
}

// A replica's notice that it is leaving reaches the coordinator with the outcome of
// the attempt that carried the notice.
func TestDepartureIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := start(t)
		defer p.stop()
		got := p.node.Place(context.Background(), job())
		d := catkinspindle.Departure{ID: got.Replica, Born: 3}
		p.node.End(catkinspindle.Ending{Job: got.Job, Replica: got.Replica, Departed: &d})
		time.Sleep(50 * time.Millisecond)
		synctest.Wait()
		if diff := cmp.Diff([]catkinspindle.Departure{d}, p.departed); diff != "" {
			t.Errorf("departures received by the coordinator (-want +got):\n%s", diff)
		}
	})
}

// A coordinator that has just started and does not know the service yet places no
// jobs. The node then places without it, but does not suspect it of having failed.
func TestCoordinatorWithoutConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := start(t)
		defer p.stop()
		p.ledger.SetServices(nil)
		got := p.node.Place(context.Background(), job())
		if got.Refused() || got.By != "" || got.First == 0 {
			t.Errorf("placement %+v, want one made by the node itself", got)
		}
		if diff := cmp.Diff(0, p.suspected); diff != "" {
			t.Errorf("number of times the coordinator was suspected (-want +got):\n%s", diff)
		}
		p.node.End(catkinspindle.Ending{Job: got.Job, Replica: got.Replica})
	})
}
