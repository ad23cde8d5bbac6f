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
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/catkinspindle/catkinspindle/platform/standin/replica"
	"github.com/catkinspindle/catkinspindle/platform/standin/site"
	"github.com/catkinspindle/catkinspindle/platform/standin/store"
)

var (
	firstSeed   = flag.Uint64("soak.first", 1, "first seed")
	seedCount   = flag.Uint64("soak.seeds", 2, "number of seeds")
	faultPeriod = flag.Duration("soak.length", 6*time.Second, "time during which faults are injected")
	withRace    = flag.Bool("soak.race", false, "build the nodes with the race detector")
	logDir      = flag.String("soak.logs", "", "directory to keep the logs of the nodes in")
)

// regressions are seeds that failed before; docs/SOAK.md describes the causes.
var regressions = []uint64{22}

// restoreThreshold is the lowest random draw, of 0 to 99, at which the store is restored from
// a backup; below it, the history of the store is compacted.
const restoreThreshold = 50

const (
	// replicaDowntime is how long a crashed replica is down.
	replicaDowntime = 700 * time.Millisecond
	// maxDeadlyArrivals is the number of deadly requests that may reach replicas after all nodes
	// hold them.
	maxDeadlyArrivals = 3
)

// callerCount is the number of concurrent callers; each has at most one request in flight.
const callerCount = 12

// schedule is a seeded sequence of faults, which may overlap.
type schedule struct {
	*fleet
	callers *callers
	rng     *rand.Rand
	// limitRNG draws the rate limits. It has its own sequence, so that the other faults of a
	// seed do not depend on it.
	limitRNG *rand.Rand
	// availabilityRNG is the same for evacuations and cold replicas.
	availabilityRNG *rand.Rand
	group           errgroup.Group
	routes          []map[string]any
}

func TestSoak(t *testing.T) {
	program := filepath.Join(t.TempDir(), "catkinspindle-node")
	build := []string{"build", "-o", program}
	if *withRace {
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
			if *logDir != "" {
				dir = filepath.Join(*logDir, fmt.Sprint(seed))
				if err := os.MkdirAll(dir, 0o700); err != nil {
					t.Fatal(err)
				}
			}
			runSeed(t, program, dir, seed)
		})
	}
}

func runSeed(t *testing.T, program, dir string, seed uint64) {
	f := newFleet(t, program, dir)
	f.awaitReady()
	if t.Failed() {
		return
	}
	s := &schedule{fleet: f, callers: &callers{fleet: f, inFlight: map[string]answer{}, deadly: deadlyKinds[seed%uint64(len(deadlyKinds))]}, rng: rand.New(rand.NewPCG(seed, 0)), limitRNG: rand.New(rand.NewPCG(seed, 1)), availabilityRNG: rand.New(rand.NewPCG(seed, 2))}
	s.addRoute()
	s.moveReplicas()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var callerGroup errgroup.Group
	for i := range callerCount {
		callerGroup.Go(func() error {
			s.callers.run(ctx, i, seed)
			return nil
		})
	}
	s.site.SetDeadly(s.callers.isDeadly, replicaDowntime)
	for _, r := range s.limitedReplicas() {
		r.SetRateLimit(rateLimits[s.limitRNG.IntN(len(rateLimits))])
	}
	for end := time.Now().Add(*faultPeriod); time.Now().Before(end); {
		s.injectFault()
		s.changeRateLimit()
		s.changeAvailability()
		time.Sleep(time.Duration(50+s.rng.IntN(300)) * time.Millisecond)
	}
	_ = s.group.Wait() // The faults report their errors to the test.
	s.clearFaults()
	held := s.awaitHolds()
	s.checkPlannedStops()
	s.checkAvailability()
	cancel()
	_ = callerGroup.Wait() // Callers record their errors as answers.
	s.checkRecovery()
	if err := errors.Join(s.callers.violations(), s.checkDeadly(held)); err != nil {
		t.Error(err)
	}
	t.Logf("%d requests, versions up to %d, %d crashes of replicas", len(s.callers.answers), len(s.routes), s.site.Crashes())
}

// faultDuration draws the duration of a fault: at least 100 ms and less than limit.
func (s *schedule) faultDuration(limit time.Duration) time.Duration {
	return time.Duration(s.rng.Int64N(int64(limit-100*time.Millisecond))) + 100*time.Millisecond
}

// injectFault starts one random fault. The choice depends only on the seed.
func (s *schedule) injectFault() {
	node := s.nodes[s.rng.IntN(len(s.nodes))]
	duration := s.faultDuration(1500 * time.Millisecond)
	kind := fault(1 + s.rng.IntN(int(faultCount)-1))
	n := s.rng.IntN(100)
	switch s.rng.IntN(11) {
	case 0:
		s.injectNodeFault(node, func() { s.kill(node) }, duration, func() { s.restart(node) })
	case 1:
		s.injectNodeFault(node, func() { s.signal(node, syscall.SIGSTOP) }, duration, func() { s.signal(node, syscall.SIGCONT) })
	case 2:
		s.injectNodeFault(node, func() { s.stop(node) }, 0, func() { s.restart(node) })
	case 3:
		s.injectNodeFault(node, func() { s.signal(node, syscall.SIGHUP) }, 0, func() {})
	case 4:
		s.injectNetworkFault(node.storeProxy, kind, duration)
		s.group.Go(func() error {
			node.disturb(func() { time.Sleep(duration) })
			return nil
		})
	case 5:
		s.injectNetworkFault(node.callersProxy, kind, duration)
	case 6:
		s.injectNetworkFault(s.replicaProxies[n%len(s.replicaProxies)], kind, duration)
	case 7:
		s.injectStoreFault(n, duration)
	case 8:
		s.injectReplicaFault(n)
	case 9:
		s.addRoute()
	case 10:
		id := fmt.Sprintf("pool-%d", n%len(s.site.Pool))
		s.site.DrainReplica(id)
		s.group.Go(func() error {
			time.Sleep(duration)
			s.site.RestartDrained(id)
			return nil
		})
	}
}

// injectNodeFault runs do on a node, and undo after duration. It does nothing if the node is
// already subject to another such fault.
func (s *schedule) injectNodeFault(n *process, do func(), duration time.Duration, undo func()) {
	if !n.faultLock.TryLock() {
		return
	}
	s.group.Go(func() error {
		defer n.faultLock.Unlock()
		n.disturb(func() {
			do()
			time.Sleep(duration)
			undo()
		})
		return nil
	})
}

func (s *schedule) injectNetworkFault(p *proxy, f fault, duration time.Duration) {
	s.group.Go(func() error {
		p.setFault(f)
		time.Sleep(duration)
		p.setFault(faultNone)
		return nil
	})
}

func (s *schedule) injectStoreFault(n int, duration time.Duration) {
	candidates := []store.Faults{{Down: true}, {Delay: 400 * time.Millisecond}, {HangWatches: true}, {LoseAnswers: 3}}
	switch {
	case n%5 == len(candidates) && n < restoreThreshold:
		s.site.Store.Compact()
		return
	case n%5 == len(candidates):
		backup := s.site.Store.Backup()
		s.group.Go(func() error {
			time.Sleep(duration)
			s.site.RestoreStore(backup, duration/2)
			time.Sleep(duration / 2)
			s.site.RewriteEntries()
			return nil
		})
		return
	}
	s.site.Store.SetFaults(candidates[n%5])
	s.group.Go(func() error {
		time.Sleep(duration)
		s.site.Store.SetFaults(store.Faults{})
		return nil
	})
}

func (s *schedule) injectReplicaFault(n int) {
	candidates := []replica.Faults{{RefuseRequests: 4}, {FailRequests: 3}, {CutStreams: 4}, {LoseAnswers: 3}}
	injected := candidates[n%len(candidates)]
	if n%2 == 0 {
		s.site.Pool[n%len(s.site.Pool)].SetFaults(injected)
		return
	}
	s.site.App[n%len(s.site.App)].SetFaults(injected)
}

// rateLimits are the limits in requests per second that replicas state.
var rateLimits = []float64{0.5, 1.6, 2, 10}

// limitedReplicas returns the replicas that state rate limits: one of each service.
func (s *schedule) limitedReplicas() []*replica.Replica {
	return []*replica.Replica{s.site.Pool[0], s.site.App[0]}
}

// changeRateLimit changes the limit of a replica, or ends it, in one of eight calls.
func (s *schedule) changeRateLimit() {
	if s.limitRNG.IntN(8) > 0 {
		return
	}
	list := s.limitedReplicas()
	r, n := list[s.limitRNG.IntN(len(list))], s.limitRNG.IntN(2*len(rateLimits))
	if n == 0 {
		r.SetRateLimit(-1)
		return
	}
	r.SetRateLimit(rateLimits[n%len(rateLimits)])
}

// addRoute writes the next version of the configuration, which adds a route to those of the
// previous version.
func (s *schedule) addRoute() {
	n := len(s.routes) + 1
	s.routes = append(s.routes, map[string]any{
		"name": fmt.Sprintf("since-%d", n), "host": site.Host, "path-prefix": fmt.Sprintf("/since-%d/", n), "type": "idempotent",
		"service": "app", "timeout-ms": 5000, "slo-ms": 1000, "max-attempts": 2,
	})
	s.site.Configure(s.routes)
}

// clearFaults clears all faults and waits until every node is ready.
func (s *schedule) clearFaults() {
	s.site.Store.SetFaults(store.Faults{})
	for _, r := range append(s.site.Pool, s.site.App...) {
		r.SetFaults(replica.Faults{})
	}
	for _, r := range s.limitedReplicas() {
		r.SetRateLimit(-1)
	}
	s.site.Evacuate(otherDataCentre, false)
	s.site.CoolReplica(coldReplica, 0)
	s.awaitReady()
}

// checkPlannedStops stops two nodes, one after the other, while no other fault is active. A
// planned stop must not cut any request in flight at the node.
func (s *schedule) checkPlannedStops() {
	// Requests that a fault affected end before their deadline.
	time.Sleep(deadline / 2)
	for _, n := range s.nodes[:2] {
		waiting := s.callers.inFlightAt(n.name)
		n.disturb(func() { s.stop(n) })
		s.eventually("requests in flight at "+n.name+" have ended", func() error {
			if remaining := s.callers.inFlightAt(n.name); len(remaining) > 0 {
				for _, id := range remaining {
					for _, w := range waiting {
						if id == w {
							return fmt.Errorf("request %s is still in flight", id)
						}
					}
				}
			}
			return nil
		})
		for _, a := range s.callers.cutAmong(waiting) {
			s.t.Errorf("request %s %s was cut by the planned stop of %s after %s", a.id, a.path, n.name, a.took)
		}
		s.restart(n)
	}
}

// awaitHolds waits until each node refuses deadly requests, if enough replicas have crashed, and
// returns the time from which such requests must not reach replicas.
func (s *schedule) awaitHolds() time.Time {
	if s.site.Crashes() < s.callers.deadly.crash {
		return time.Now().Add(time.Hour)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for _, n := range s.nodes {
		attempts := 0
		s.eventually(n.name+" holds deadly requests", func() error {
			attempts++
			d := s.callers.deadly
			status, body, _ := s.callers.exchange(client, n.callersProxy.address(), fmt.Sprintf("held-%s-%d", n.name, attempts), d.method, d.path, d.tokens, d.parts)
			if status != http.StatusServiceUnavailable || !strings.Contains(body, "quarantined") {
				return fmt.Errorf("status %d, body %q", status, body)
			}
			return nil
		})
	}
	return time.Now()
}

// checkDeadly checks that few deadly requests reached replicas after the given time, from nodes
// that were not restarted.
func (s *schedule) checkDeadly(from time.Time) error {
	nodes := s.callers.nodes()
	reached := 0
	for _, a := range s.site.DeadlyArrivals() {
		if n := nodes[a.ID]; n != nil && a.At.After(from) && n.undisturbed(from) {
			reached++
		}
	}
	if reached > maxDeadlyArrivals {
		return fmt.Errorf("%d deadly requests reached replicas after all nodes held them, allowed %d", reached, maxDeadlyArrivals)
	}
	return nil
}

// checkRecovery checks that every node serves all routes again and that no reservation is
// leaked.
func (s *schedule) checkRecovery() {
	s.awaitReady()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for _, n := range s.nodes {
		for i, path := range []string{"/chat/x", fmt.Sprintf("/since-%d/", len(s.routes))} {
			attempts := 0
			s.eventually(n.name+" serves "+path, func() error {
				attempts++
				method := map[bool]string{true: http.MethodPost, false: http.MethodGet}[i == 0]
				status, _, cut := s.callers.exchange(client, n.callersProxy.address(), fmt.Sprintf("end-%s-%d-%d", n.name, i, attempts), method, path, 900*(1-i), "")
				if status != http.StatusOK || cut {
					return fmt.Errorf("status %d, cut: %t", status, cut)
				}
				return nil
			})
		}
	}
	s.eventually("all reservations are released", func() error {
		var errs []error
		for i, r := range s.site.Pool {
			if n := r.ActiveReservations(); n > 0 {
				errs = append(errs, fmt.Errorf("replica %d still holds %d reservations", i, n))
			}
		}
		return errors.Join(errs...)
	})
}
