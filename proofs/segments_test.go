package proofs_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/standin/engine"
)

// hugeTokens is the length of a prompt that needs three engines of 450,000 tokens.
const hugeTokens = 1_000_000

func TestPromptsLargerThanAnEngine(t *testing.T) {
	t.Parallel()
	faults := map[string]func(f *fleet){
		"none":                       func(*fleet) {},
		"entry dies during segments": func(f *fleet) { time.Sleep(3 * time.Second); f.kill("vm-00") },
		"home dies during segments":  func(f *fleet) { time.Sleep(3 * time.Second); f.kill("vm-03") },
		"engine dies during segments": func(f *fleet) {
			time.Sleep(3 * time.Second)
			f.engines["engine-01"].SetFaults(engine.Faults{Dead: true})
			time.Sleep(2 * time.Second)
			f.engines["engine-01"].SetFaults(engine.Faults{})
		},
		"engine freezes during segments": func(f *fleet) {
			time.Sleep(3 * time.Second)
			f.engines["engine-02"].SetFaults(engine.Faults{Frozen: true})
			time.Sleep(5 * time.Second)
			f.engines["engine-02"].SetFaults(engine.Faults{})
		},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				s := smallFleet()
				s.nodes, s.engines = 4, 4
				f := newFleet(t, s)
				for i := range 4 {
					f.spawn(func() {
						time.Sleep(time.Duration(i) * 500 * time.Millisecond)
						f.sendPrompt(fmt.Sprintf("huge%d", i), f.nodeName(i%3), hugeTokens, 90*time.Second)
					})
				}
				f.sendPrompts(newRand(5), 60, 20*time.Second, 30*time.Second)
				fault(f)
				_ = f.group.Wait()
				time.Sleep(memoryReleaseLimit)
				f.reportViolations(append(f.violations(), f.leaks()...))
				for _, r := range f.results {
					if r.err != nil && !r.entryFailed {
						t.Errorf("%s of %d tokens failed before its deadline: %v", r.name, r.tokens, r.err)
					}
				}
			})
		})
	}
}

func TestPromptThatNeverFitsIsRefusedAtOnce(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s := smallFleet()
		s.engines = 2
		f := newFleet(t, s)
		r := f.sendPrompt("huge", "vm-00", hugeTokens, 30*time.Second)
		failure := catkinspindle.AsFailure(r.err)
		if r.err == nil || failure.Reason != catkinspindle.ReasonNeverFits || failure.Verdict != catkinspindle.NotRun {
			t.Errorf("got %v; want not-run with reason never-fits", r.err)
		}
		if took := r.ended.Sub(r.sent); took > time.Second {
			t.Errorf("refusal took %v", took)
		}
		f.reportViolations(append(f.violations(), f.leaks()...))
	})
}
