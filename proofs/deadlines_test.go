package proofs_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/standin/engine"
)

// unservableFaults last longer than the timeout of the requests, so that requests
// sent during them cannot succeed.
var unservableFaults = map[string]func(f *fleet){
	"all engines freeze": func(f *fleet) { f.setEngineFaults(engine.Faults{Frozen: true}) },
	"all engines die":    func(f *fleet) { f.setEngineFaults(engine.Faults{Dead: true}) },
	"all streams are cut": func(f *fleet) {
		f.setEngineFaults(engine.Faults{BreakOffset: 3})
	},
	"homes freeze": func(f *fleet) {
		f.net.site("vm-01").setFrozen(true)
		f.net.site("vm-02").setFrozen(true)
	},
	"VMs are cut off from each other": func(f *fleet) {
		for _, a := range []string{"vm-00", "vm-01", "vm-02"} {
			for _, b := range []string{"vm-00", "vm-01", "vm-02"} {
				f.net.setBlocked(a, b, true)
			}
		}
	},
	"store is down and all engines freeze": func(f *fleet) {
		f.setPlatformDown(true)
		f.setEngineFaults(engine.Faults{Frozen: true})
	},
}

func (f *fleet) setEngineFaults(faults engine.Faults) {
	for _, e := range f.engines {
		e.SetFaults(faults)
	}
}

func TestEveryRequestEndsByItsDeadline(t *testing.T) {
	t.Parallel()
	for name, fault := range unservableFaults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, smallFleet())
				f.sendPrompts(newRand(8), 100, 6*time.Second, 3*time.Second)
				time.Sleep(2 * time.Second)
				fault(f)
				time.Sleep(15 * time.Second)
				f.net.heal()
				f.setEngineFaults(engine.Faults{})
				f.setPlatformDown(false)
				_ = f.group.Wait()
				time.Sleep(memoryReleaseLimit)
				f.reportViolations(append(f.violations(), f.leaks()...))
			})
		})
	}
}

// TestOverloadIsRefusedAtOnce offers five times the load that the engines can prefill.
func TestOverloadIsRefusedAtOnce(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, smallFleet())
		const seconds, perSecond = 8, 60
		for i := range seconds * perSecond {
			f.spawn(func() {
				time.Sleep(time.Duration(i) * time.Second / perSecond)
				f.sendPrompt(fmt.Sprintf("r%d", i), f.nodeName(i%3), 60_000, 6*time.Second)
			})
		}
		_ = f.group.Wait()
		time.Sleep(memoryReleaseLimit)
		list := append(f.violations(), f.leaks()...)
		refused, immediately := 0, 0
		for _, r := range f.results {
			if r.verdict() != catkinspindle.NotRun {
				continue
			}
			refused++
			if r.ended.Sub(r.sent) < 100*time.Millisecond {
				immediately++
			}
			if catkinspindle.AsFailure(r.err).RetryAfter == 0 {
				list = append(list, fmt.Sprintf("%s was refused without a retry-after: %v", r.name, r.err))
			}
		}
		f.reportViolations(list)
		t.Logf("history: %d refused, %d of them within 100 ms", refused, immediately)
		if refused == 0 || f.successes() == 0 {
			t.Error("an overloaded fleet must serve some requests and refuse others")
		}
	})
}
