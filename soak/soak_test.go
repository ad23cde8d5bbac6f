// Package soak_test runs the real programs as separate processes, injects the faults of a
// data centre from outside and checks the guarantees against what callers and replicas
// observe. docs/SOAK.md describes how to run it.
package soak_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/catkinspindle/catkinspindle/platform/standin/replica"
	"github.com/catkinspindle/catkinspindle/platform/standin/site"
	"github.com/catkinspindle/catkinspindle/platform/standin/store"
)

var (
	firstSeed = flag.Uint64("soak.first", 1, "first seed")
	seedCount = flag.Uint64("soak.seeds", 2, "number of seeds")
	length    = flag.Duration("soak.length", 6*time.Second, "time during which faults are injected")
	detect    = flag.Bool("soak.race", false, "build the nodes with the race detector")
	logs      = flag.String("soak.logs", "", "directory to keep the logs of the nodes in")
)

// regressions are seeds that failed before; docs/SOAK.md describes the causes.
var regressions = []uint64{22}

// drillsFrom is the lowest draw, of 0 to 99, at which the store is restored from a copy;
// below it, the history of the store is compacted.
const drillsFrom = 50

// callerCount is the number of concurrent callers; each has at most one request in flight.
const callerCount = 12

// schedule is a seeded sequence of faults, which may overlap.
type schedule struct {
	*fleet
	callers *callers
	draw    *rand.Rand
	group   errgroup.Group
	routes  []map[string]any
}

func TestSoak(t *testing.T) {
	program := filepath.Join(t.TempDir(), "catkinspindle-node")
	build := []string{"build", "-o", program}
	if *detect {
		build = append(build, "-race")
	}
	if out, err := exec.Command("go", append(build, "../cmd/catkinspindle-node")...).CombinedOutput(); err != nil {
		t.Fatalf("build: %v: %s", err, out)
	}
	seeds := append([]uint64{}, regressions...)
	for n := range *seedCount {
		seeds = append(seeds, *firstSeed+n)
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			dir := t.TempDir()
			if *logs != "" {
				dir = filepath.Join(*logs, fmt.Sprint(seed))
				if err := os.MkdirAll(dir, 0o700); err != nil {
					t.Fatal(err)
				}
			}
			soak(t, program, dir, seed)
		})
	}
}

func soak(t *testing.T, program, dir string, seed uint64) {
	f := newFleet(t, program, dir)
	f.await()
	if t.Failed() {
		return
	}
	s := &schedule{fleet: f, callers: &callers{fleet: f, open: map[string]answer{}}, draw: rand.New(rand.NewPCG(seed, 0))}
	s.configure()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var calling errgroup.Group
	for i := range callerCount {
		calling.Go(func() error {
			s.callers.run(ctx, i, seed)
			return nil
		})
	}
	for end := time.Now().Add(*length); time.Now().Before(end); {
		s.step()
		time.Sleep(time.Duration(50+s.draw.IntN(300)) * time.Millisecond)
	}
	_ = s.group.Wait() // Steps report their errors to the test.
	s.calm()
	s.stopInOrder()
	cancel()
	_ = calling.Wait() // Callers record their errors as answers.
	s.recovers()
	if err := s.callers.violations(); err != nil {
		t.Error(err)
	}
	t.Logf("%d requests, versions up to %d", len(s.callers.seen), len(s.routes))
}

// span draws the duration of a fault: at least 100 ms and less than most.
func (s *schedule) span(most time.Duration) time.Duration {
	return time.Duration(s.draw.Int64N(int64(most-100*time.Millisecond))) + 100*time.Millisecond
}

// step starts one fault. Its draws depend only on the seed.
func (s *schedule) step() {
	node := s.nodes[s.draw.IntN(len(s.nodes))]
	span := s.span(1500 * time.Millisecond)
	kind := fault(1 + s.draw.IntN(int(faults)-1))
	n := s.draw.IntN(100)
	switch s.draw.IntN(11) {
	case 0:
		s.during(node, func() { s.kill(node) }, span, func() { s.restart(node) })
	case 1:
		s.during(node, func() { s.signal(node, syscall.SIGSTOP) }, span, func() { s.signal(node, syscall.SIGCONT) })
	case 2:
		s.during(node, func() { s.stop(node) }, 0, func() { s.restart(node) })
	case 3:
		s.during(node, func() { s.signal(node, syscall.SIGHUP) }, 0, func() {})
	case 4:
		s.cut(node.store, kind, span)
	case 5:
		s.cut(node.front, kind, span)
	case 6:
		s.cut(s.replicas[n%len(s.replicas)], kind, span)
	case 7:
		s.storeTrouble(n, span)
	case 8:
		s.replicaTrouble(n)
	case 9:
		s.configure()
	case 10:
		id := fmt.Sprintf("pool-%d", n%len(s.site.Pool))
		s.site.Drain(id)
		s.group.Go(func() error {
			time.Sleep(span)
			s.site.Return(id)
			return nil
		})
	}
}

// during runs do on a node, and undo after span. It does nothing if the node is already
// subject to another such fault.
func (s *schedule) during(n *process, do func(), span time.Duration, undo func()) {
	if !n.busy.TryLock() {
		return
	}
	s.group.Go(func() error {
		defer n.busy.Unlock()
		do()
		time.Sleep(span)
		undo()
		return nil
	})
}

func (s *schedule) cut(p *proxy, f fault, span time.Duration) {
	s.group.Go(func() error {
		p.set(f)
		time.Sleep(span)
		p.set(passes)
		return nil
	})
}

func (s *schedule) storeTrouble(n int, span time.Duration) {
	troubles := []store.Faults{{Down: true}, {Delay: 400 * time.Millisecond}, {Deaf: true}, {LoseAnswers: 3}}
	switch {
	case n%5 == len(troubles) && n < drillsFrom:
		s.site.Store.Compact()
		return
	case n%5 == len(troubles):
		before := s.site.Store.Copy()
		s.group.Go(func() error {
			time.Sleep(span)
			s.site.Drill(before, span/2)
			time.Sleep(span / 2)
			s.site.WriteAgain()
			return nil
		})
		return
	}
	s.site.Store.SetFaults(troubles[n%5])
	s.group.Go(func() error {
		time.Sleep(span)
		s.site.Store.SetFaults(store.Faults{})
		return nil
	})
}

func (s *schedule) replicaTrouble(n int) {
	troubles := []replica.Faults{{Refuse: 4}, {Fail: 3}, {BreakAfter: 4}, {Lose: 3}}
	trouble := troubles[n%len(troubles)]
	if n%2 == 0 {
		s.site.Pool[n%len(s.site.Pool)].SetFaults(trouble)
		return
	}
	s.site.App[n%len(s.site.App)].SetFaults(trouble)
}

// configure writes the next version of the configuration, which adds a route to those of the
// previous version.
func (s *schedule) configure() {
	n := len(s.routes) + 1
	s.routes = append(s.routes, map[string]any{
		"name": fmt.Sprintf("since-%d", n), "host": site.Host, "path-prefix": fmt.Sprintf("/since-%d/", n), "type": "idempotent",
		"service": "app", "timeout-ms": 5000, "slo-ms": 1000, "max-attempts": 2,
	})
	s.site.Configure(s.routes)
}

// calm clears all faults and waits until every node is ready.
func (s *schedule) calm() {
	s.site.Store.SetFaults(store.Faults{})
	for _, r := range append(s.site.Pool, s.site.App...) {
		r.SetFaults(replica.Faults{})
	}
	s.await()
}

// stopInOrder stops two nodes, one after the other, while no other fault is active. A
// planned stop must not cut any request in flight at the node.
func (s *schedule) stopInOrder() {
	// Requests that a fault affected end before their deadline.
	time.Sleep(deadline / 2)
	for _, n := range s.nodes[:2] {
		waiting := s.callers.openAt(n.name)
		s.stop(n)
		s.until("requests in flight at "+n.name+" have ended", func() error {
			if open := s.callers.openAt(n.name); len(open) > 0 {
				for _, id := range open {
					for _, w := range waiting {
						if id == w {
							return fmt.Errorf("request %s is still in flight", id)
						}
					}
				}
			}
			return nil
		})
		for _, a := range s.callers.cutOf(waiting) {
			s.t.Errorf("request %s %s was cut by the planned stop of %s after %s", a.id, a.path, n.name, a.took)
		}
		s.restart(n)
	}
}

// recovers checks that every node serves all routes again and that no reservation is
// leaked.
func (s *schedule) recovers() {
	s.await()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for _, n := range s.nodes {
		for i, path := range []string{"/chat/x", fmt.Sprintf("/since-%d/", len(s.routes))} {
			tries := 0
			s.until(n.name+" serves "+path, func() error {
				tries++
				method := map[bool]string{true: http.MethodPost, false: http.MethodGet}[i == 0]
				status, _, cut := s.callers.exchange(client, n.front.address(), fmt.Sprintf("end-%s-%d-%d", n.name, i, tries), method, path, 900*(1-i))
				if status != http.StatusOK || cut {
					return fmt.Errorf("status %d, cut: %t", status, cut)
				}
				return nil
			})
		}
	}
	s.until("all reservations are released", func() error {
		var errs []error
		for i, r := range s.site.Pool {
			if n := r.Held(); n > 0 {
				errs = append(errs, fmt.Errorf("replica %d still holds %d reservations", i, n))
			}
		}
		return errors.Join(errs...)
	})
}
