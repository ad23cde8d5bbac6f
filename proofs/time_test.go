package proofs_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/standin/engine"
)

// stuckFaults last longer than the timeout of the requests, which therefore cannot succeed.
var stuckFaults = map[string]func(f *fleet){
	"all engines freeze": func(f *fleet) { f.eachEngine(engine.Faults{Frozen: true}) },
	"all engines die":    func(f *fleet) { f.eachEngine(engine.Faults{Dead: true}) },
	"all streams are cut": func(f *fleet) {
		f.eachEngine(engine.Faults{CutAt: 3})
	},
	"homes freeze": func(f *fleet) {
		f.net.site("vm-01").freeze(true)
		f.net.site("vm-02").freeze(true)
	},
	"VMs are cut off from each other": func(f *fleet) {
		for _, a := range []string{"vm-00", "vm-01", "vm-02"} {
			for _, b := range []string{"vm-00", "vm-01", "vm-02"} {
				f.net.cut(a, b, true)
			}
		}
	},
	"store is down and all engines freeze": func(f *fleet) {
		f.platformDown(true)
		f.eachEngine(engine.Faults{Frozen: true})
	},
}

func (f *fleet) eachEngine(faults engine.Faults) {
	for _, e := range f.engines {
		e.SetFaults(faults)
	}
}

func TestEveryRequestEndsInItsTime(t *testing.T) {
	t.Parallel()
	for name, fault := range stuckFaults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, smallShape())
				f.drive(seeded(8), 100, 6*time.Second, 3*time.Second)
				time.Sleep(2 * time.Second)
				fault(f)
				time.Sleep(15 * time.Second)
				f.net.openAll()
				f.eachEngine(engine.Faults{})
				f.platformDown(false)
				_ = f.group.Wait()
				time.Sleep(memoryBound)
				f.report(append(f.violations(), f.leaks()...))
			})
		})
	}
}

// TestOverloadIsRefusedAtOnce offers five times the load that the engines can prefill.
func TestOverloadIsRefusedAtOnce(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, smallShape())
		const seconds, perSecond = 8, 60
		for i := range seconds * perSecond {
			f.spawn(func() {
				time.Sleep(time.Duration(i) * time.Second / perSecond)
				f.ask(fmt.Sprintf("r%d", i), f.nodeName(i%3), 60_000, 6*time.Second)
			})
		}
		_ = f.group.Wait()
		time.Sleep(memoryBound)
		list := append(f.violations(), f.leaks()...)
		refused, atOnce := 0, 0
		for _, r := range f.results {
			if r.verdict() != catkinspindle.NotRun {
				continue
			}
			refused++
			if r.ended.Sub(r.sent) < 100*time.Millisecond {
				atOnce++
			}
			if catkinspindle.AsFailure(r.err).RetryAfter == 0 {
				list = append(list, fmt.Sprintf("%s was refused without a retry-after: %v", r.name, r.err))
			}
		}
		f.report(list)
		t.Logf("history: %d refused, %d of them within 100 ms", refused, atOnce)
		if refused == 0 || f.successes() == 0 {
			t.Error("an overloaded fleet must serve some requests and refuse others")
		}
	})
}
