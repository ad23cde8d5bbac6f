package proofs_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/catkinspindle/catkinspindle"
)

var rateLimitSeeds = flag.Uint64("rate-limit.seeds", 2, "number of seeds of the tests of rate limits")

// rateLimitExcess returns an error if a backend server with a limit got more than 1.5 times the
// limit and 5 requests in any 4 s after the first 3 s of its limit.
func rateLimitExcess(name string, perSecond float64, since time.Time, requests []time.Time) error {
	const (
		window   = 4 * time.Second
		settling = 3 * time.Second
	)
	allowed := int(math.Ceil(1.5*window.Seconds()*perSecond)) + 5
	for i, from := range requests {
		if from.Before(since.Add(settling)) {
			continue
		}
		n := 0
		for _, at := range requests[i:] {
			if at.Sub(from) < window {
				n++
			}
		}
		if n > allowed {
			return fmt.Errorf("%s with a limit of %g requests/s got %d in %s, %s after it stated the limit; allowed %d", name, perSecond, n, window, from.Sub(since).Round(time.Millisecond), allowed)
		}
	}
	return nil
}

// partition cuts the VMs off from each other; they still reach the backend servers. VMs of the
// same part still reach each other.
func (f *fleet) partition(parts int) {
	for a := range f.spec.nodes {
		for b := range f.spec.nodes {
			if a%parts != b%parts {
				f.net.setBlocked(f.nodeName(a), f.nodeName(b), true)
			}
		}
	}
}

func TestBackendRateLimitIsNotExceededByTheSumOfAllVMs(t *testing.T) {
	t.Parallel()
	faults := map[string]func(*fleet){
		"none": func(*fleet) {},
		"a VM dies and is replaced": func(f *fleet) {
			f.kill("vm-01")
			time.Sleep(time.Second)
			f.startNode("vm-01", f.dataCentre(1))
		},
		"the VMs split in halves": func(f *fleet) {
			f.partition(2)
			time.Sleep(6 * time.Second)
			f.net.heal()
		},
		"all VMs are cut off from each other": func(f *fleet) {
			f.partition(4)
			time.Sleep(10 * time.Second)
			f.net.heal()
		},
		"a VM freezes": func(f *fleet) {
			f.net.site("vm-00").setFrozen(true)
			time.Sleep(5 * time.Second)
			f.net.site("vm-00").setFrozen(false)
		},
	}
	for name, fault := range faults {
		for seed := range *rateLimitSeeds {
			t.Run(fmt.Sprintf("%s, seed %d", name, seed), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					f := newFleet(t, fleetSpec{dataCentres: 2, nodes: 4, engines: 4, plains: 3, policy: catkinspindle.DefaultPolicy()})
					limit := catkinspindle.RateLimit{Stated: true, PerSecond: 1.6}
					since := time.Now()
					f.engines["engine-00"].SetRateLimit(limit)
					f.engines["engine-01"].SetRateLimit(limit)
					f.plains["plain-00"].SetRateLimit(limit)
					rnd := newRand(seed)
					for range 1200 {
						wait := time.Duration(rnd.Int64N(int64(20 * time.Second)))
						f.spawnRequests(rnd, wait)
					}
					time.Sleep(6 * time.Second)
					fault(f)
					_ = f.group.Wait()
					var errs []error
					for _, name := range []string{"engine-00", "engine-01"} {
						errs = append(errs, rateLimitExcess(name, limit.PerSecond, since, f.engines[name].Starts()))
					}
					errs = append(errs, rateLimitExcess("plain-00", limit.PerSecond, since, f.plains["plain-00"].Calls()))
					if err := errors.Join(errs...); err != nil {
						t.Error(err)
					}
					f.reportViolations(f.violations())
					failed := 0
					for _, r := range f.results {
						if r.err != nil && !r.entryFailed {
							failed++
						}
					}
					if failed > len(f.results)/100 {
						t.Errorf("%d of %d prompts failed although other engines had free memory", failed, len(f.results))
					}
				})
			})
		}
	}
}

// spawnRequests sends a prompt and a call of a plain service to random VMs after a wait.
func (f *fleet) spawnRequests(rnd *rand.Rand, wait time.Duration) {
	via, other, n := f.nodeName(rnd.IntN(f.spec.nodes)), f.nodeName(rnd.IntN(f.spec.nodes)), rnd.Uint64()
	f.spawn(func() {
		time.Sleep(wait)
		f.sendPrompt(fmt.Sprintf("r%d", n), via, 500, 15*time.Second)
	})
	f.spawn(func() {
		time.Sleep(wait)
		call := catkinspindle.PlainCall{Service: "archive", Method: "read", Deadline: time.Now().Add(5 * time.Second)}
		_, _ = f.node(other).Actions().Call(context.Background(), catkinspindle.Action{Workspace: "w", Call: call}) // The test checks only what the replicas get.
	})
}

// What limited backend servers cannot take is refused at once, and a prompt that needs several
// limited engines is still served.
func TestRequestsOverTheRateLimitsAreRefusedAtOnce(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, smallFleet())
		limit := catkinspindle.RateLimit{Stated: true, PerSecond: 1}
		for _, e := range f.engines {
			e.SetRateLimit(limit)
		}
		for _, p := range f.plains {
			p.SetRateLimit(limit)
		}
		time.Sleep(2 * time.Second)
		rnd := newRand(5)
		for range 400 {
			f.spawnRequests(rnd, time.Duration(rnd.Int64N(int64(20*time.Second))))
		}
		f.spawn(func() {
			time.Sleep(5 * time.Second)
			if r := f.sendPrompt("several-engines", "vm-00", 600_000, 30*time.Second); r.err != nil {
				t.Errorf("prompt for several engines: %v", r.err)
			}
		})
		_ = f.group.Wait()
		served := 0
		for _, r := range f.results {
			if r.err == nil {
				served++
				continue
			}
			failure := catkinspindle.AsFailure(r.err)
			if failure.Verdict != catkinspindle.NotRun || failure.Reason != catkinspindle.ReasonRateLimit || failure.RetryAfter <= 0 || r.ended.Sub(r.sent) > 100*time.Millisecond {
				t.Errorf("%s failed after %s with Retry-After %s: %v", r.name, r.ended.Sub(r.sent), failure.RetryAfter, r.err)
			}
		}
		// Three engines that accept one request per second each, for 20 s.
		if served < 40 || served > 66 {
			t.Errorf("%d prompts served, want 40 to 66", served)
		}
	})
}
