package fleet_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/catkinspindle/catkinspindle"
)

// crashingReplicas makes replicas crash under requests that it finds deadly. It implements
// gateway.Sender and gateway.Prober.
type crashingReplicas struct {
	replicaSender
	// deadly reports whether a request crashes the replica that begins to answer it.
	deadly func(catkinspindle.Envelope) bool

	mu sync.Mutex
	// downUntil is when a crashed replica accepts connections again.
	downUntil map[string]time.Time
	// cut is closed when the replica crashes.
	cut      map[string]chan struct{}
	crashes  []time.Time
	arrivals []arrival
}

// arrival is a deadly request that reached a replica.
type arrival struct {
	at   time.Time
	node string
}

const (
	// replicaDowntime is how long a crashed replica is down.
	replicaDowntime = 2 * time.Second
	// boundDelay is the time from the crash that sets the bound of deadly requests to the
	// bound, and maxLateArrivals the number that may arrive later.
	boundDelay      = 3 * time.Second
	maxLateArrivals = 3
	// answerDelay is the time from the arrival of a request to the begin of its answer.
	answerDelay = 60 * time.Millisecond
)

func (c *crashingReplicas) isUp(id string) (cut chan struct{}, up bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().Before(c.downUntil[id]) {
		return nil, false
	}
	if c.cut[id] == nil {
		c.cut[id] = make(chan struct{})
	}
	return c.cut[id], true
}

// crash ends the connections of a replica.
func (c *crashingReplicas) crash(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().Before(c.downUntil[id]) {
		return
	}
	c.downUntil[id] = time.Now().Add(replicaDowntime)
	c.crashes = append(c.crashes, time.Now())
	if c.cut[id] != nil {
		close(c.cut[id])
		delete(c.cut, id)
	}
}

func (c *crashingReplicas) Send(ctx context.Context, e catkinspindle.Envelope, a catkinspindle.Attempt, fresh bool) (*catkinspindle.Answer, error) {
	cut, up := c.isUp(a.Replica.ID)
	if !up {
		return nil, catkinspindle.Fail(catkinspindle.NotRun, catkinspindle.ReasonPeerUnreachable, "connection refused")
	}
	deadly := c.deadly(e)
	if deadly {
		c.mu.Lock()
		c.arrivals = append(c.arrivals, arrival{time.Now(), nodeOf(e.ID, time.Time{})})
		c.mu.Unlock()
	}
	select {
	case <-time.After(answerDelay):
	case <-cut:
	case <-ctx.Done():
	}
	if deadly {
		c.crash(a.Replica.ID)
	}
	select {
	case <-cut:
		return nil, catkinspindle.Fail(catkinspindle.MayHaveRun, catkinspindle.ReasonBackendFailed, "replica %s: %w", a.Replica.ID, io.ErrUnexpectedEOF)
	default:
	}
	return c.replicaSender.Send(ctx, e, a, fresh)
}

func (c *crashingReplicas) Probe(_ context.Context, r catkinspindle.Replica) (relayed bool, err error) {
	if _, up := c.isUp(r.ID); !up {
		return false, &catkinspindle.ConnectFailure{Confirmed: true, Refused: true, Err: syscall.ECONNREFUSED}
	}
	return false, nil
}

// check checks that at most maxLateArrivals deadly requests reached replicas later than
// boundDelay after the crash with the given number, counted from one. counts reports whether
// the node of a request counts at a time.
func (c *crashingReplicas) check(crash int, counts func(node string, at time.Time) bool) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.crashes) < crash {
		return nil
	}
	late := 0
	for _, a := range c.arrivals {
		if a.at.Sub(c.crashes[crash-1]) > boundDelay && counts(a.node, a.at) {
			late++
		}
	}
	if late > maxLateArrivals {
		return fmt.Errorf("%d deadly requests reached replicas later than %s after crash %d, allowed %d; %d crashes in all", late, boundDelay, crash, maxLateArrivals, len(c.crashes))
	}
	return nil
}

// hasPart returns a function that reports whether a request has a part that others may share.
func hasPart(part string) func(catkinspindle.Envelope) bool {
	return func(e catkinspindle.Envelope) bool {
		for _, p := range e.SharedParts {
			if p == part {
				return true
			}
		}
		return false
	}
}

// always counts every node at all times.
func always(string, time.Time) bool { return true }

// crashCase is a way in which requests of a service crash replicas.
type crashCase struct {
	// deadly reports whether a request crashes the replica that begins to answer it.
	deadly func(catkinspindle.Envelope) bool
	// request returns the target, the prompt tokens and the prompt parts of request n.
	request func(n int, deadly bool) (target string, tokens int, parts string)
	// crash is the number of the crash that sets the bound.
	crash int
}

func hasTarget(target string) func(catkinspindle.Envelope) bool {
	return func(e catkinspindle.Envelope) bool { return e.Target == target }
}

var crashCases = map[string]crashCase{
	"prompt part": {hasPart("dead"), func(n int, deadly bool) (string, int, string) {
		if deadly {
			return "/chat/x", 900, fmt.Sprintf("shared%d:40,dead:400,own%d:460", n%5, n)
		}
		return "/chat/x", 900, fmt.Sprintf("shared%d:40,own%d:860", n%5, n)
	}, 5},
	"request of the model service": {hasTarget("/chat/dead"), func(n int, deadly bool) (string, int, string) {
		if deadly {
			return "/chat/dead", 900, "shared1:40,own:860"
		}
		return fmt.Sprintf("/chat/%d", n), 900, fmt.Sprintf("shared%d:40,own%d:860", n%5, n)
	}, 3},
	"request of the plain service": {hasTarget("/read/dead"), func(n int, deadly bool) (string, int, string) {
		if deadly {
			return "/read/dead", 0, ""
		}
		return fmt.Sprintf("/read/%d", n), 0, ""
	}, 3},
}

// crashLoad sends requests at a fixed rate to all nodes in turn, one in ten of them deadly. It
// returns how many sound requests were sent and answered later than soundFrom.
func (f *servingFleet) crashLoad(c crashCase, perSecond int, duration, soundFrom time.Duration, step func()) (sent, answered int) {
	var (
		wg sync.WaitGroup
		mu sync.Mutex
	)
	begin := time.Now()
	for n := 0; time.Since(begin) < duration; n++ {
		time.Sleep(time.Second / time.Duration(perSecond))
		step()
		deadly := n%10 == 7
		counts := time.Since(begin) > soundFrom && !deadly
		if counts {
			sent++
		}
		target, tokens, parts := c.request(n, deadly)
		wg.Go(func() {
			resp := f.sendWith(n%len(f.nodes), n, target, tokens, http.Header{"Prefix-Hash": {parts}})
			if resp.StatusCode == http.StatusOK && counts {
				mu.Lock()
				answered++
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return sent, answered
}

func TestWhatCrashesReplicasIsHeldOnFleetsOfAnySize(t *testing.T) {
	for name, c := range crashCases {
		for _, count := range []int{1, 6, 300} {
			t.Run(fmt.Sprintf("%s, %d nodes", name, count), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newServingFleet(t, count)
					defer f.close()
					time.Sleep(2 * time.Second)
					f.crashing.deadly = c.deadly
					sent, answered := f.crashLoad(c, 60, 14*time.Second, 6*time.Second, func() {})
					if err := f.crashing.check(c.crash, always); err != nil {
						t.Error(err)
					}
					if answered < sent*9/10 {
						t.Errorf("%d of %d sound requests were answered from 6 s on, want nine tenths", answered, sent)
					}
					t.Logf("%d crashes", len(f.crashing.crashes))
				})
			})
		}
	}
}

// A node counts from 3 s after it was restarted or reached again, as machines in touch do.
func TestWhatCrashesReplicasIsHeldWhileNodesAreCutOffAndRestart(t *testing.T) {
	for name, c := range crashCases {
		for seed := range uint64(4) {
			t.Run(fmt.Sprintf("%s, seed %d", name, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { disturbCrashLoad(t, c, seed) })
			})
		}
	}
}

// disturbCrashLoad restarts nodes and cuts them off from the others, in a series that depends
// only on the seed, while some requests crash replicas.
func disturbCrashLoad(t *testing.T, c crashCase, seed uint64) {
	const count = 8
	f := newServingFleet(t, count)
	defer f.close()
	time.Sleep(2 * time.Second)
	f.crashing.deadly = c.deadly
	rng := rand.New(rand.NewPCG(seed, 0))
	next := time.Now().Add(300 * time.Millisecond)
	// disturbed has the intervals in which a node is not in touch.
	type interval struct{ from, to time.Time }
	disturbed := map[string][]interval{}
	down := map[int]time.Time{}
	f.crashLoad(c, 60, 25*time.Second, 0, func() {
		if time.Now().Before(next) {
			return
		}
		next = time.Now().Add(time.Duration(rng.IntN(1500)) * time.Millisecond)
		// The first nodes are hubs; the coordinator is one of them.
		i := rng.IntN(count)
		if rng.IntN(2) == 0 {
			i = rng.IntN(2)
		}
		name := fmt.Sprintf("n%d", i)
		since, isDown := down[i]
		switch k := rng.IntN(3); {
		case k == 0 && !isDown:
			f.restart(i)
			disturbed[name] = append(disturbed[name], interval{time.Now(), time.Now()})
		case k == 1 && !isDown:
			f.network.setDown(f.members[i].PeerAddress, true)
			down[i] = time.Now()
		case isDown:
			f.network.setDown(f.members[i].PeerAddress, false)
			disturbed[name] = append(disturbed[name], interval{since, time.Now()})
			delete(down, i)
		}
	})
	for i, since := range down {
		disturbed[fmt.Sprintf("n%d", i)] = append(disturbed[fmt.Sprintf("n%d", i)], interval{since, time.Now()})
	}
	inTouch := func(node string, at time.Time) bool {
		for _, d := range disturbed[node] {
			if !at.Before(d.from) && at.Sub(d.to) < boundDelay {
				return false
			}
		}
		return true
	}
	if err := f.crashing.check(c.crash, inTouch); err != nil {
		t.Error(err)
	}
}

func TestReplicasThatCrashByThemselvesHoldNothing(t *testing.T) {
	for _, count := range []int{1, 6} {
		t.Run(fmt.Sprintf("%d nodes", count), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newServingFleet(t, count)
				defer f.close()
				time.Sleep(2 * time.Second)
				f.crashing.deadly = func(catkinspindle.Envelope) bool { return false }
				begin, next := time.Now(), 0
				// The part "dead" is harmless here. All but one of the replicas fail together,
				// and later one after the other until 5.5 s.
				sent, answered := f.crashLoad(crashCases["prompt part"], 60, 16*time.Second, 11500*time.Millisecond, func() {
					switch elapsed := time.Since(begin); {
					case next == 0 && elapsed > 500*time.Millisecond:
						next = 1
						for i := range modelReplicas - 1 {
							f.crashing.crash(fmt.Sprintf("pool-%d", i))
						}
					case next > 0 && next < 8 && elapsed > time.Duration(next+4)*500*time.Millisecond:
						f.crashing.crash(fmt.Sprintf("pool-%d", next%modelReplicas))
						next++
					}
				})
				if len(f.crashing.crashes) < 10 {
					t.Fatalf("%d crashes, want at least 10", len(f.crashing.crashes))
				}
				if answered < sent {
					t.Errorf("%d of %d sound requests were answered from 6 s after the last crash on, want all", answered, sent)
				}
				for i, n := range f.nodes {
					report, _ := n.quarantine.Since(time.Now(), 0, false)
					if len(report.Holds) > 0 {
						t.Errorf("node %d holds %d keys, want none", i, len(report.Holds))
					}
				}
			})
		})
	}
}

// A request that is held is refused at once, as not run and without an invitation to return.
func TestHeldRequestIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newServingFleet(t, 6)
		defer f.close()
		time.Sleep(2 * time.Second)
		f.crashing.deadly = hasPart("dead")
		f.crashLoad(crashCases["prompt part"], 60, 4*time.Second, 0, func() {})
		began := time.Now()
		resp := f.sendWith(3, 100_000, "/chat/x", 900, http.Header{"Prefix-Hash": {"shared1:40,dead:400,last:460"}})
		body, err := io.ReadAll(resp.Body)
		if err != nil {
			t.Fatal(err)
		}
		if resp.StatusCode != http.StatusServiceUnavailable || !strings.Contains(string(body), "quarantined (not-run)") {
			t.Errorf("status %d with body %q, want 503, quarantined and not run", resp.StatusCode, body)
		}
		if resp.Header.Get("Retry-After") != "" {
			t.Errorf("Retry-After of %s, want none", resp.Header.Get("Retry-After"))
		}
		if took := time.Since(began); took > 20*time.Millisecond {
			t.Errorf("refused after %s, want at once", took)
		}
	})
}

// slowLoad sends one request with the part "dead" a second for d, and returns the number that
// reached replicas.
func (f *servingFleet) slowLoad(d time.Duration) int {
	before := len(f.crashing.arrivals)
	for n := range int(d.Seconds()) {
		time.Sleep(time.Second)
		f.sendWith(n%len(f.nodes), 1_000_000+n, "/chat/x", 900, http.Header{"Prefix-Hash": {fmt.Sprintf("shared1:40,dead:400,late%d:460", n)}})
	}
	return len(f.crashing.arrivals) - before
}

func TestTrialsOfHeldRequestsAreCountedOverAllNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newServingFleet(t, 6)
		defer f.close()
		time.Sleep(2 * time.Second)
		f.crashing.deadly = hasPart("dead")
		f.crashLoad(crashCases["prompt part"], 60, 4*time.Second, 0, func() {})
		if n := f.slowLoad(20 * time.Second); n != 0 {
			t.Errorf("%d requests reached replicas before the first trial, want none", n)
		}
		f.restart(0) // The coordinator.
		if n := f.slowLoad(8 * time.Minute); n > maxLateArrivals {
			t.Errorf("%d requests reached replicas in 8 minutes, want at most %d", n, maxLateArrivals)
		}
	})
}

func TestHoldEndsWithTrialOnceRequestsAreHarmless(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newServingFleet(t, 6)
		defer f.close()
		time.Sleep(2 * time.Second)
		f.crashing.deadly = hasPart("dead")
		f.crashLoad(crashCases["prompt part"], 60, 4*time.Second, 0, func() {})
		f.crashing.deadly = func(catkinspindle.Envelope) bool { return false }
		f.slowLoad(40 * time.Second)
		for i := range f.nodes {
			resp := f.sendWith(i, 2_000_000+i, "/chat/x", 900, http.Header{"Prefix-Hash": {"shared1:40,dead:400,last:460"}})
			if resp.StatusCode != http.StatusOK {
				t.Errorf("node %d answers with status %d after the trial, want 200", i, resp.StatusCode)
			}
		}
	})
}
