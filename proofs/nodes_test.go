package proofs_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/standin/engine"
)

// nodeFaults are injected while prompts are being answered.
var nodeFaults = map[string]func(f *fleet){
	"a VM dies": func(f *fleet) { f.kill("vm-01") },
	"two VMs die": func(f *fleet) {
		f.kill("vm-01")
		time.Sleep(2 * time.Second)
		f.kill("vm-02")
	},
	"a VM dies and is replaced under its name": func(f *fleet) {
		f.kill("vm-01")
		time.Sleep(500 * time.Millisecond)
		f.startNode("vm-01", f.dataCentre(1))
	},
	"a VM freezes past every lease and thaws": func(f *fleet) {
		f.net.site("vm-01").setFrozen(true)
		time.Sleep(30 * time.Second)
		f.net.site("vm-01").setFrozen(false)
	},
	"a VM is cut off from its peers": func(f *fleet) {
		for _, other := range []string{"vm-00", "vm-02", "vm-03"} {
			f.net.setBlocked("vm-01", other, true)
			f.net.setBlocked(other, "vm-01", true)
		}
		time.Sleep(10 * time.Second)
		f.net.heal()
	},
	"VMs hear each other in one direction only": func(f *fleet) {
		f.net.setBlocked("vm-00", "vm-01", true)
		f.net.setBlocked("vm-02", "vm-03", true)
		time.Sleep(10 * time.Second)
		f.net.heal()
	},
	"the VMs split in halves": func(f *fleet) {
		for _, a := range []string{"vm-00", "vm-02"} {
			for _, b := range []string{"vm-01", "vm-03"} {
				f.net.setBlocked(a, b, true)
				f.net.setBlocked(b, a, true)
			}
		}
		time.Sleep(10 * time.Second)
		f.net.heal()
	},
	"a VM and an engine die": func(f *fleet) {
		f.kill("vm-01")
		f.engines["engine-01"].SetFaults(engine.Faults{Dead: true})
		time.Sleep(3 * time.Second)
		f.engines["engine-01"].SetFaults(engine.Faults{})
	},
	"a VM dies while an engine is frozen": func(f *fleet) {
		f.engines["engine-02"].SetFaults(engine.Faults{Frozen: true})
		time.Sleep(500 * time.Millisecond)
		f.kill("vm-02")
		time.Sleep(5 * time.Second)
		f.engines["engine-02"].SetFaults(engine.Faults{})
	},
	"the store is down and a VM dies": func(f *fleet) {
		f.setPlatformDown(true)
		f.kill("vm-01")
		time.Sleep(8 * time.Second)
		f.setPlatformDown(false)
	},
}

func twoCentreFleet() fleetSpec {
	s := smallFleet()
	s.dataCentres, s.nodes, s.engines = 2, 4, 5
	return s
}

func TestReadsSurviveNodeFailures(t *testing.T) {
	t.Parallel()
	for name, fault := range nodeFaults {
		for seed := range uint64(2) {
			t.Run(fmt.Sprintf("%s/seed %d", name, seed), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					f := newFleet(t, twoCentreFleet())
					f.sendPrompts(newRand(seed+7), 200, 8*time.Second, 20*time.Second)
					time.Sleep(2 * time.Second)
					fault(f)
					_ = f.group.Wait()
					time.Sleep(memoryReleaseLimit)
					f.reportViolations(append(f.violations(), f.leaks()...))
					for _, r := range f.results {
						if r.err != nil && !r.entryFailed {
							t.Errorf("%s via %s failed although engines had free memory: %v", r.name, r.via, r.err)
						}
					}
				})
			})
		}
	}
}

// leavingLimit is how long a backend server may still get new work after it was
// marked as leaving.
const leavingLimit = 5 * time.Second

func TestLeavingBackendGetsNoNewWork(t *testing.T) {
	t.Parallel()
	scenarios := map[string]func(f *fleet){
		"marked in the platform's list": func(f *fleet) {
			f.platform.SetVM(catkinspindle.VM{Name: "engine-00", Kind: catkinspindle.KindEngine, Address: "engine-00", DataCentre: "dc-0", Deployment: "gpu", Leaving: true})
			f.platform.SetVM(catkinspindle.VM{Name: "plain-00", Kind: catkinspindle.KindPlain, Address: "plain-00", DataCentre: "dc-0", Deployment: "app", Leaving: true})
		},
		"marked while VMs are cut off from the platform": func(f *fleet) {
			for _, name := range []string{"vm-01", "vm-02", "vm-03"} {
				f.net.setBlocked(name, platformName, true)
			}
			f.platform.SetVM(catkinspindle.VM{Name: "engine-00", Kind: catkinspindle.KindEngine, Address: "engine-00", DataCentre: "dc-0", Deployment: "gpu", Leaving: true})
			f.platform.SetVM(catkinspindle.VM{Name: "plain-00", Kind: catkinspindle.KindPlain, Address: "plain-00", DataCentre: "dc-0", Deployment: "app", Leaving: true})
		},
	}
	for name, mark := range scenarios {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, twoCentreFleet())
				f.sendPrompts(newRand(3), 300, 15*time.Second, 20*time.Second)
				for i := range 100 {
					rnd := newRand(uint64(i))
					f.spawn(func() {
						time.Sleep(time.Duration(rnd.Int64N(int64(15 * time.Second))))
						f.runAction(rnd, fmt.Sprintf("a%d", i), false)
					})
				}
				time.Sleep(3 * time.Second)
				mark(f)
				limit := time.Now().Add(leavingLimit)
				_ = f.group.Wait()
				var list []string
				for _, ev := range f.engines["engine-00"].History() {
					if ev.Kind == "start" && ev.At.After(limit) {
						list = append(list, fmt.Sprintf("new work on a leaving engine %v after the limit", ev.At.Sub(limit)))
					}
					if ev.Kind == "cut" {
						list = append(list, "stream was interrupted: "+ev.PromptPrefix)
					}
				}
				for _, ev := range f.plains["plain-00"].History() {
					if ev.At.After(limit) {
						list = append(list, fmt.Sprintf("new work on a leaving replica %v after the limit", ev.At.Sub(limit)))
					}
				}
				f.reportViolations(append(list, f.violations()...))
			})
		})
	}
}

// TestEngineThatRefusesAsLeavingIsNotUsed covers an engine that refuses work because it
// is leaving, while the list of VMs is stale and does not mark it as leaving.
func TestEngineThatRefusesAsLeavingIsNotUsed(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, twoCentreFleet())
		f.platform.SetFaults(staleVMList)
		f.engines["engine-00"].SetFaults(engine.Faults{Draining: true})
		f.sendPrompts(newRand(4), 100, 5*time.Second, 20*time.Second)
		_ = f.group.Wait()
		for name, n := range f.nodes {
			for _, a := range n.Snapshot().Serving {
				if a.VM.Name == "engine-00" {
					t.Errorf("%s still serves through an engine that refuses as leaving", name)
				}
			}
		}
		f.reportViolations(f.violations())
	})
}

func TestPlannedStopInterruptsNoRequests(t *testing.T) {
	t.Parallel()
	scenarios := map[string]func(f *fleet, stop func(name string)){
		"one VM":         func(_ *fleet, stop func(string)) { stop("vm-01") },
		"one by one":     func(_ *fleet, stop func(string)) { stop("vm-01"); stop("vm-02"); stop("vm-03") },
		"store is down":  func(f *fleet, stop func(string)) { f.setPlatformDown(true); stop("vm-01") },
		"peers are slow": func(f *fleet, stop func(string)) { f.net.setBlocked("vm-01", "vm-00", true); stop("vm-01") },
	}
	for name, scenario := range scenarios {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, twoCentreFleet())
				ctx, cancel := context.WithCancel(context.Background())
				for i := range 20 {
					f.spawn(func() { f.callWithAddresses(ctx, i) })
				}
				time.Sleep(2 * time.Second)
				scenario(f, func(name string) {
					stopCtx, done := context.WithTimeout(context.Background(), 5*time.Minute)
					defer done()
					if err := f.node(name).Stop(stopCtx); err != nil {
						t.Error(err)
					}
					f.kill(name)
				})
				time.Sleep(5 * time.Second)
				cancel()
				_ = f.group.Wait()
				time.Sleep(memoryReleaseLimit)
				list := append(f.violations(), f.leaks()...)
				for _, r := range f.results {
					if r.err != nil {
						list = append(list, fmt.Sprintf("failed during a planned stop: %s via %s: %v", r.name, r.via, r.err))
					}
				}
				f.reportViolations(list)
			})
		})
	}
}

// callWithAddresses is a caller that caches each list of addresses for its whole
// lifetime and sends its prompts to one random address of the list.
func (f *fleet) callWithAddresses(ctx context.Context, id int) {
	rnd := newRand(uint64(id))
	const lifetime = 10 * time.Second
	for i := 0; ctx.Err() == nil; {
		var addresses []string
		source := f.nodeName(0)
		for _, m := range f.node(source).Snapshot().Members {
			if !m.Leaving {
				addresses = append(addresses, m.Origin.VM)
			}
		}
		until := time.Now().Add(lifetime)
		via := addresses[rnd.IntN(len(addresses))]
		for ; time.Now().Before(until) && ctx.Err() == nil; i++ {
			f.sendPrompt(fmt.Sprintf("c%d-%d", id, i), via, promptLengths[rnd.IntN(len(promptLengths))], 20*time.Second)
			time.Sleep(time.Duration(rnd.Int64N(int64(500 * time.Millisecond))))
		}
	}
}
