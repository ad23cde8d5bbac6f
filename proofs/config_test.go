package proofs_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/standin/platform"
)

// versionSample is a sample of the configuration version in force on a node.
type versionSample struct {
	node    string
	at      time.Time
	version int64
}

// acceptedEdit is an edit of the configuration that was accepted.
type acceptedEdit struct {
	edit    string
	version int64
	at      time.Time
}

const (
	// propagationLimit is the time within which an accepted configuration must be in
	// force on every node that can reach the store or a peer.
	propagationLimit = 3 * time.Second
	sampleInterval   = 20 * time.Millisecond
)

// recordVersions samples the configuration version of each node until ctx ends.
func (f *fleet) recordVersions(ctx context.Context) {
	f.spawn(func() {
		for ctx.Err() == nil {
			f.sampleVersions()
			time.Sleep(sampleInterval)
		}
	})
}

func (f *fleet) sampleVersions() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for name, n := range f.nodes {
		if f.net.site(name).failedSince(time.Now()) {
			continue
		}
		s := n.Snapshot()
		id := fmt.Sprint(name, s.Self.Origin.Incarnation)
		f.versions = append(f.versions, versionSample{node: id, at: time.Now(), version: s.Config.Version})
	}
}

// apply edits the newest configuration that a node has, as an operator would.
func (f *fleet) apply(via, edit string) error {
	_, base := f.node(via).Config().Current()
	return f.applyAt(via, edit, base)
}

func (f *fleet) applyAt(via, edit string, base int64) error {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	text := baseConfig(f.spec.engines, f.spec.plains) + "# " + edit + "\n"
	version, err := f.node(via).Config().Apply(ctx, base, edit, []byte(text))
	if err == nil {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.accepted = append(f.accepted, acceptedEdit{edit: edit, version: version, at: time.Now()})
	}
	return err
}

// configViolations reports nodes that reverted to a lower version and accepted
// edits that were not in force on every node in time. from is when the store
// and all peers were reachable again.
func (f *fleet) configViolations(from time.Time) (list []string) {
	last := map[string]int64{}
	for _, v := range f.versions {
		if v.version < last[v.node] {
			list = append(list, fmt.Sprintf("reverted: %s from %d to %d", v.node, last[v.node], v.version))
		}
		last[v.node] = v.version
		for _, a := range f.accepted {
			due := a.at
			if due.Before(from) {
				due = from
			}
			if late := v.at.Sub(due); late > propagationLimit && v.version < a.version && v.version > 0 {
				list = append(list, fmt.Sprintf("not in force: edit %s (version %d) on %s after %v", a.edit, a.version, v.node, late))
			}
		}
	}
	return list
}

// editViolations reports edits that were refused but are in force.
func (f *fleet) editViolations(refused map[string]bool) (list []string) {
	raw, _ := f.node("vm-00").Config().Current()
	for edit, wasRefused := range refused {
		if wasRefused && strings.Contains(string(raw), "# "+edit+"\n") {
			list = append(list, "refused edit is in force: "+edit)
		}
	}
	return list
}

func TestConfigurationIsInForceAndNeverReverts(t *testing.T) {
	t.Parallel()
	faults := map[string]func(f *fleet) (healed time.Time){
		"none": func(*fleet) time.Time { return time.Time{} },
		"store is down in between": func(f *fleet) time.Time {
			time.Sleep(1200 * time.Millisecond)
			f.platform.SetFaults(platform.Faults{Down: true})
			time.Sleep(4 * time.Second)
			f.platform.SetFaults(platform.Faults{})
			return time.Now()
		},
		"store loses replies": func(f *fleet) time.Time {
			for range 20 {
				f.platform.SetFaults(platform.Faults{LoseReplies: 1})
				time.Sleep(300 * time.Millisecond)
			}
			f.platform.SetFaults(platform.Faults{})
			return time.Now()
		},
		"messages overtake each other": func(f *fleet) time.Time {
			f.net.setJitter(1500 * time.Millisecond)
			time.Sleep(10 * time.Second)
			f.net.setJitter(0)
			return time.Now()
		},
		"store is slow": func(f *fleet) time.Time {
			f.platform.SetFaults(platform.Faults{Delay: 700 * time.Millisecond})
			time.Sleep(6 * time.Second)
			f.platform.SetFaults(platform.Faults{})
			return time.Now()
		},
		"most VMs are cut off from the store": func(f *fleet) time.Time {
			for i := range f.spec.nodes - 1 {
				f.net.setBlocked(f.nodeName(i+1), platformName, true)
				f.net.setBlocked(platformName, f.nodeName(i+1), true)
			}
			return time.Time{}
		},
		"a VM is cut off from its peers": func(f *fleet) time.Time {
			for i := range f.spec.nodes - 1 {
				f.net.setBlocked(f.nodeName(i), "vm-05", true)
				f.net.setBlocked("vm-05", f.nodeName(i), true)
			}
			time.Sleep(6 * time.Second)
			return time.Now()
		},
		"a VM freezes and thaws": func(f *fleet) time.Time {
			f.net.site("vm-03").setFrozen(true)
			time.Sleep(5 * time.Second)
			f.net.site("vm-03").setFrozen(false)
			return time.Now()
		},
		"VMs start while the store is down": func(f *fleet) time.Time {
			time.Sleep(3 * time.Second)
			f.platform.SetFaults(platform.Faults{Down: true})
			f.kill("vm-04")
			f.kill("vm-05")
			time.Sleep(time.Second)
			f.startNode("vm-04", f.dataCentre(4))
			f.startNode("vm-05", f.dataCentre(5))
			time.Sleep(3 * time.Second)
			for _, name := range []string{"vm-04", "vm-05"} {
				if !f.node(name).Snapshot().Ready() {
					f.t.Errorf("%s did not get the configuration from its peers", name)
				}
			}
			f.platform.SetFaults(platform.Faults{})
			return time.Now()
		},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				s := smallFleet()
				s.dataCentres, s.nodes = 3, 6
				f := newFleet(t, s)
				ctx, cancel := context.WithCancel(context.Background())
				f.recordVersions(ctx)
				for op := range 2 {
					f.spawn(func() {
						for i := range 24 {
							_ = f.apply(f.nodeName(op), fmt.Sprintf("edit-%d-%d", op, i))
							time.Sleep(500 * time.Millisecond)
						}
					})
				}
				healed := fault(f)
				time.Sleep(15 * time.Second)
				cancel()
				_ = f.group.Wait()
				f.reportViolations(f.configViolations(healed))
				t.Logf("history: %d edits accepted, %d samples", len(f.accepted), len(f.versions))
				if len(f.accepted) < 5 {
					t.Errorf("only %d of 48 edits were accepted", len(f.accepted))
				}
			})
		})
	}
}

// editOp is one edit against a base version, for the linearizability checker.
type editOp struct{ base int64 }

// editModel models the version as a compare-and-set register. An edit with an
// unknown outcome may or may not have taken effect.
var editModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{int64(0)} },
	Step: func(state, input, output any) []any {
		now, in, got := state.(int64), input.(editOp), output.(editResult)
		switch {
		case got.unknown && now == in.base:
			return []any{now, got.version}
		case got.unknown:
			return []any{now}
		case got.refused && now != in.base:
			return []any{now}
		case !got.refused && now == in.base:
			return []any{got.version}
		}
		return nil
	},
	Equal: func(a, b any) bool { return a == b },
}

type editResult struct {
	refused, unknown bool
	version          int64
}

func TestRacingEditsAreLinearizable(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, smallFleet())
		_, initial := f.node("vm-00").Config().Current()
		// The register starts at the first version.
		history := []porcupine.Operation{{Input: editOp{}, Output: editResult{version: initial}, Call: 0, Return: 1}}
		refused := map[string]bool{}
		for op := range 3 {
			f.spawn(func() {
				for i := range 12 {
					via := f.nodeName(op)
					_, base := f.node(via).Config().Current()
					edit := fmt.Sprintf("edit-%d-%d", op, i)
					call := time.Now().UnixNano()
					ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
					version, err := f.node(via).Config().Apply(ctx, base, edit, []byte(baseConfig(3, 2)+"# "+edit+"\n"))
					cancel()
					out := editResult{version: version}
					end := time.Now().UnixNano()
					if err != nil {
						failure := catkinspindle.AsFailure(err)
						out.refused = failure.Verdict == catkinspindle.NotRun
						out.unknown = !out.refused
						if failure.Reason == catkinspindle.ReasonStoreUnavailable && out.refused {
							continue // The store was not written.
						}
					}
					if out.unknown {
						end += int64(time.Hour)
					}
					f.mu.Lock()
					refused[edit] = refused[edit] || out.refused
					history = append(history, porcupine.Operation{ClientId: op + 1, Input: editOp{base: base}, Output: out, Call: call, Return: end})
					f.mu.Unlock()
					time.Sleep(300 * time.Millisecond)
				}
			})
		}
		for i := range 10 {
			f.platform.SetFaults(platform.Faults{LoseReplies: 1, Down: i%5 == 4})
			time.Sleep(400 * time.Millisecond)
		}
		f.platform.SetFaults(platform.Faults{})
		_ = f.group.Wait()
		time.Sleep(5 * time.Second)
		if !porcupine.CheckOperations(editModel.ToModel(), history) {
			t.Errorf("edits are not linearizable: %+v", history)
		}
		f.reportViolations(f.editViolations(refused))
		t.Logf("history: %d edits", len(history))
	})
}
