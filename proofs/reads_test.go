package proofs_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/catkinspindle/catkinspindle/standin/engine"
)

// promptLengths are in tokens; most prompts are short.
var promptLengths = []int{1_000, 1_500, 2_000, 4_000, 8_000, 30_000, 120_000}

// sendPrompts sends n prompts to random nodes at random times within period.
func (f *fleet) sendPrompts(rnd *rand.Rand, n int, period, timeout time.Duration) {
	for i := range n {
		wait := time.Duration(rnd.Int64N(int64(period)))
		tokens := promptLengths[rnd.IntN(len(promptLengths))]
		via := f.nodeName(rnd.IntN(f.spec.nodes))
		f.spawn(func() {
			time.Sleep(wait)
			f.sendPrompt(fmt.Sprintf("r%d", i), via, tokens, timeout)
		})
	}
}

func newRand(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, seed)) }

// memoryReleaseLimit is the time after the load within which all engine memory must be
// free: the lease, the time to detect a dead node, and two polls.
const memoryReleaseLimit = 15*time.Second + 3*time.Second + 2*time.Second

func TestAnswersAreCompleteWhenEnginesFail(t *testing.T) {
	t.Parallel()
	faults := map[string]func(f *fleet){
		"none": func(*fleet) {},
		"engine dies and comes back empty": func(f *fleet) {
			f.engines["engine-00"].SetFaults(engine.Faults{Dead: true})
			time.Sleep(3 * time.Second)
			f.engines["engine-00"].SetFaults(engine.Faults{})
		},
		"engine freezes and thaws": func(f *fleet) {
			f.engines["engine-01"].SetFaults(engine.Faults{Frozen: true})
			time.Sleep(6 * time.Second)
			f.engines["engine-01"].SetFaults(engine.Faults{})
		},
		"engine freezes for longer than any request waits": func(f *fleet) {
			f.engines["engine-01"].SetFaults(engine.Faults{Frozen: true})
			time.Sleep(30 * time.Second)
			f.engines["engine-01"].SetFaults(engine.Faults{})
		},
		"tokens are lost": func(f *fleet) {
			for range 10 {
				for _, e := range f.engines {
					e.SetFaults(engine.Faults{SkipTokens: 2})
				}
				time.Sleep(300 * time.Millisecond)
			}
		},
		"streams are cut": func(f *fleet) {
			f.engines["engine-00"].SetFaults(engine.Faults{BreakOffset: 5})
			time.Sleep(5 * time.Second)
			f.engines["engine-00"].SetFaults(engine.Faults{})
		},
		"engine is cut off from a node": func(f *fleet) {
			f.net.setBlocked("engine-02", "vm-00", true)
			time.Sleep(5 * time.Second)
			f.net.setBlocked("engine-02", "vm-00", false)
		},
		"two engines die in turn": func(f *fleet) {
			for _, name := range []string{"engine-00", "engine-01"} {
				f.engines[name].SetFaults(engine.Faults{Dead: true})
				time.Sleep(2 * time.Second)
				f.engines[name].SetFaults(engine.Faults{})
				time.Sleep(2 * time.Second)
			}
		},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, smallFleet())
				f.sendPrompts(newRand(1), 120, 6*time.Second, 20*time.Second)
				time.Sleep(time.Second)
				fault(f)
				_ = f.group.Wait()
				time.Sleep(memoryReleaseLimit)
				f.reportViolations(append(f.violations(), f.leaks()...))
				if got := f.successes(); got < 120 {
					t.Errorf("%d of 120 requests succeeded; each could have run on another engine before its deadline", got)
				}
			})
		})
	}
}
