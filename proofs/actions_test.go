package proofs_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/standin/plain"
	"github.com/catkinspindle/catkinspindle/standin/platform"
)

// runAction runs one action as a caller: it retries through random VMs until the
// outcome is known, with an idempotency key and, unless withoutOrigin, an origin.
func (f *fleet) runAction(rnd *rand.Rand, name string, withoutOrigin bool) {
	const tries = 5
	var origin *catkinspindle.ActionOrigin
	for range tries {
		via := f.nodeName(rnd.IntN(f.spec.nodes))
		if origin == nil && !withoutOrigin {
			if f.net.site(via).failedSince(time.Now()) {
				continue
			}
			o := f.node(via).Actions().Origin()
			origin = &o
		}
		r := f.attemptAction(name, via, origin)
		if r.verdict() == catkinspindle.Ran {
			return
		}
		time.Sleep(time.Duration(rnd.Int64N(int64(time.Second))))
	}
}

const actionTimeout = 4 * time.Second

func (f *fleet) attemptAction(name, via string, origin *catkinspindle.ActionOrigin) result {
	site, n := f.net.site(via), f.node(via)
	deadline := time.Now().Add(actionTimeout)
	ctx, cancel := context.WithDeadline(context.Background(), deadline.Add(deadlineGrace))
	defer cancel()
	defer context.AfterFunc(site.dead, cancel)()
	r := result{name: name, via: via, sent: time.Now(), deadline: deadline, withoutOrigin: origin == nil}
	r.err = site.awaitThawed(ctx)
	if r.err == nil {
		_, r.err = n.Actions().Call(ctx, catkinspindle.Action{
			Workspace: "w",
			Call:      catkinspindle.PlainCall{Service: "archive", Method: "buy", Key: name, Body: []byte(name), Deadline: deadline},
			Origin:    origin,
		})
	}
	if thawErr := site.awaitThawed(ctx); thawErr != nil {
		r.err = lostReply(thawErr)
	}
	r.ended = time.Now()
	r.entryFailed = site.failedSince(r.sent)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.results = append(f.results, r)
	return r
}

// actionFaults are injected while callers run actions.
var actionFaults = map[string]func(f *fleet){
	"none": func(*fleet) {},
	"replies are lost": func(f *fleet) {
		for range 8 {
			for _, p := range f.plains {
				p.SetFaults(plain.Faults{LoseReplies: 3})
			}
			time.Sleep(500 * time.Millisecond)
		}
	},
	"replicas are slow": func(f *fleet) {
		for _, p := range f.plains {
			p.SetFaults(plain.Faults{Delay: 1500 * time.Millisecond})
		}
	},
	"VM dies": func(f *fleet) {
		time.Sleep(time.Second)
		f.kill("vm-01")
	},
	"VM dies and is replaced under its name": func(f *fleet) {
		f.setPlainDelay(700 * time.Millisecond)
		time.Sleep(time.Second)
		f.kill("vm-01")
		time.Sleep(200 * time.Millisecond)
		f.startNode("vm-01", f.dataCentre(1))
	},
	"VM freezes past every lease and thaws": func(f *fleet) {
		time.Sleep(time.Second)
		f.net.site("vm-01").setFrozen(true)
		time.Sleep(40 * time.Second)
		f.net.site("vm-01").setFrozen(false)
	},
	"VM freezes, is replaced and thaws": func(f *fleet) {
		f.setPlainDelay(700 * time.Millisecond)
		time.Sleep(time.Second)
		old := f.net.site("vm-01")
		old.setFrozen(true)
		f.startNode("vm-01", f.dataCentre(1))
		time.Sleep(20 * time.Second)
		old.setFrozen(false)
	},
	"store is down": func(f *fleet) {
		f.platform.SetFaults(platform.Faults{Down: true})
		time.Sleep(5 * time.Second)
		f.platform.SetFaults(platform.Faults{})
	},
	"store loses replies": func(f *fleet) {
		for range 20 {
			f.platform.SetFaults(platform.Faults{LoseReplies: 2})
			time.Sleep(200 * time.Millisecond)
		}
		f.platform.SetFaults(platform.Faults{})
	},
	"store is slow and a VM dies": func(f *fleet) {
		f.platform.SetFaults(platform.Faults{Delay: 800 * time.Millisecond})
		time.Sleep(time.Second)
		f.kill("vm-02")
		time.Sleep(5 * time.Second)
		f.platform.SetFaults(platform.Faults{})
	},
	"VMs are cut off from each other": func(f *fleet) {
		for _, pair := range [][2]string{{"vm-00", "vm-01"}, {"vm-01", "vm-02"}, {"vm-02", "vm-00"}} {
			f.net.setBlocked(pair[0], pair[1], true)
			time.Sleep(2 * time.Second)
			f.net.setBlocked(pair[0], pair[1], false)
		}
	},
	"replicas freeze and a VM is replaced": func(f *fleet) {
		for _, p := range f.plains {
			p.SetFaults(plain.Faults{Frozen: true})
		}
		time.Sleep(time.Second)
		f.kill("vm-00")
		time.Sleep(500 * time.Millisecond)
		f.startNode("vm-00", f.dataCentre(0))
		time.Sleep(time.Second)
		for _, p := range f.plains {
			p.SetFaults(plain.Faults{})
		}
	},
}

func (f *fleet) setPlainDelay(d time.Duration) {
	for _, p := range f.plains {
		p.SetFaults(plain.Faults{Delay: d})
	}
}

func TestActionsRunAtMostOnce(t *testing.T) {
	t.Parallel()
	for name, fault := range actionFaults {
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("%s/seed %d", name, seed), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					f := newFleet(t, smallFleet())
					for i := range 60 {
						rnd := newRand(seed<<32 | uint64(i))
						f.spawn(func() {
							time.Sleep(time.Duration(rnd.Int64N(int64(4 * time.Second))))
							f.runAction(rnd, fmt.Sprintf("a%d", i), i%3 == 0)
						})
					}
					fault(f)
					_ = f.group.Wait()
					time.Sleep(10 * time.Second)
					f.reportViolations(f.violations())
					if f.successes() == 0 {
						t.Error("no action succeeded")
					}
				})
			})
		}
	}
}

// claimOp is one claim of a key, for the linearizability checker.
type claimOp struct {
	key    string
	origin catkinspindle.ActionOrigin
}

// claimModel models each key as a write-once register. A failed claim may or may
// not have taken effect.
var claimModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{""} },
	Step: func(state, input, output any) []any {
		owner, claimed := state.(string), input.(claimOp).origin.String()
		got := output.(string)
		if owner != "" {
			if got == owner || got == "" {
				return []any{owner}
			}
			return nil
		}
		switch got {
		case "":
			return []any{"", claimed}
		case claimed:
			return []any{claimed}
		}
		return nil
	},
	Equal: func(a, b any) bool { return a == b },
}

func TestClaimsAreLinearizable(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, smallFleet())
		histories := map[string][]porcupine.Operation{}
		for i := range 240 {
			rnd := newRand(uint64(i))
			key := fmt.Sprintf("key-%d", i%40)
			via := f.nodeName(i % f.spec.nodes)
			f.spawn(func() {
				time.Sleep(time.Duration(rnd.Int64N(int64(6 * time.Second))))
				in := claimOp{key: key, origin: catkinspindle.ActionOrigin{Origin: catkinspindle.Origin{VM: via, Incarnation: int64(i)}}}
				call := time.Now().UnixNano()
				ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
				defer cancel()
				owner, err := f.node(via).Claimer().Claim(ctx, key, in.origin)
				out, end := owner.String(), time.Now().UnixNano()
				if err != nil {
					// A claim with an unknown outcome may take effect at any later time.
					out, end = "", call+int64(time.Hour)
				}
				f.mu.Lock()
				defer f.mu.Unlock()
				histories[key] = append(histories[key], porcupine.Operation{ClientId: i, Input: in, Call: call, Output: out, Return: end})
			})
		}
		// VMs that cannot reach each other claim keys of the same partitions.
		for i := range 3 {
			a, b := f.nodeName(i), f.nodeName((i+1)%3)
			f.net.setBlocked(a, b, true)
			f.net.setBlocked(b, a, true)
		}
		for i := range 12 {
			f.platform.SetFaults(platform.Faults{LoseReplies: 2, Down: i%4 == 3})
			time.Sleep(500 * time.Millisecond)
		}
		f.platform.SetFaults(platform.Faults{})
		f.net.heal()
		_ = f.group.Wait()
		known := 0
		for key, ops := range histories {
			if !porcupine.CheckOperations(claimModel.ToModel(), ops) {
				t.Errorf("claims of %s are not linearizable: %v", key, ops)
			}
			for _, op := range ops {
				if op.Output != "" {
					known++
				}
			}
		}
		t.Logf("history: %d claims of %d keys, %d with a known owner", 240, len(histories), known)
	})
}
