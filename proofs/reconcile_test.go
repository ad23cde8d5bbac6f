package proofs_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/standin/engine"
	"github.com/catkinspindle/catkinspindle/standin/platform"
)

// convergenceLimit is the time within which the fleet must match the configuration
// after the last fault. It covers an expired lease, the longest order and a
// rolling change of the engines of each data centre.
const convergenceLimit = 90 * time.Second

// applyModelVersion applies the configuration with the given version of the model.
func (f *fleet) applyModelVersion(via, version string) error {
	_, base := f.node(via).Config().Current()
	text := strings.Replace(baseConfig(f.spec.engines, f.spec.plains), `version: "1"`, fmt.Sprintf("version: %q", version), 1)
	edit := fmt.Sprintf("version-%s-on-%d", version, base)
	_, err := f.node(via).Config().Apply(context.Background(), base, edit, []byte(text))
	return err
}

// unreconciledEngines reports engines that do not serve the given version of the model.
func (f *fleet) unreconciledEngines(version string) (list []string) {
	for name, e := range f.engines {
		st, err := e.Status(f.t.Context())
		if err != nil || st.State.Model != "m" || st.State.Version != version {
			list = append(list, fmt.Sprintf("not reconciled: %s has %+v (%v)", name, st.State, err))
		}
	}
	return list
}

// streamsCutByOrders reports streams that an order interrupted.
func (f *fleet) streamsCutByOrders() (list []string) {
	for name, e := range f.engines {
		for _, ev := range e.History() {
			if ev.Kind == "cut" {
				list = append(list, fmt.Sprintf("order interrupted stream %s on %s", ev.Stream, name))
			}
		}
	}
	return list
}

var reconcileFaults = map[string]func(f *fleet){
	"none": func(*fleet) {},
	"leader freezes past its lease and thaws": func(f *fleet) {
		leader := f.leader("dc-0")
		f.net.site(leader).setFrozen(true)
		time.Sleep(40 * time.Second)
		f.net.site(leader).setFrozen(false)
	},
	"leader dies": func(f *fleet) { f.kill(f.leader("dc-0")) },
	"operators change their minds": func(f *fleet) {
		for i := range 6 {
			time.Sleep(700 * time.Millisecond)
			_ = f.applyModelVersion("vm-00", []string{"1", "3", "2"}[i%3])
		}
	},
	"store is down in between": func(f *fleet) {
		f.platform.SetFaults(platform.Faults{Down: true})
		time.Sleep(20 * time.Second)
		f.platform.SetFaults(platform.Faults{})
	},
	"store loses replies": func(f *fleet) {
		for range 30 {
			f.platform.SetFaults(platform.Faults{LoseReplies: 1})
			time.Sleep(time.Second)
		}
		f.platform.SetFaults(platform.Faults{})
	},
	"engine restarts empty": func(f *fleet) {
		time.Sleep(2 * time.Second)
		f.engines["engine-01"].SetFaults(engine.Faults{Dead: true})
		time.Sleep(3 * time.Second)
		f.engines["engine-01"].SetFaults(engine.Faults{})
	},
}

func (f *fleet) leader(dataCentre string) string {
	for name, n := range f.nodes {
		if s := n.State(); s.LeadsDataCentre && s.Self.DataCentre == dataCentre {
			return name
		}
	}
	f.t.Fatal("no leader in data centre " + dataCentre)
	return ""
}

func TestEnginesConvergeOnConfiguration(t *testing.T) {
	t.Parallel()
	for name, fault := range reconcileFaults {
		for _, fencing := range []catkinspindle.FencingBehavior{catkinspindle.FencingChecked, catkinspindle.FencingIgnored} {
			t.Run(fmt.Sprintf("%s/fencing %s", name, fencing), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					s := twoCentreFleet()
					s.configureEngine = func(c *engine.Config) {
						c.Fencing = fencing
						c.LoadTime = 2 * time.Second
					}
					f := newFleet(t, s)
					time.Sleep(20 * time.Second)
					f.sendPrompts(newRand(6), 200, 30*time.Second, 20*time.Second)
					time.Sleep(time.Second)
					if err := f.applyModelVersion("vm-00", "2"); err != nil {
						t.Fatal(err)
					}
					fault(f)
					_ = f.group.Wait()
					time.Sleep(convergenceLimit)
					list := append(f.violations(), f.leaks()...)
					list = append(list, f.unreconciledEngines("2")...)
					f.reportViolations(append(list, f.streamsCutByOrders()...))
					for _, r := range f.results {
						if r.err != nil && !r.entryFailed {
							t.Errorf("%s via %s failed during the rolling change: %v", r.name, r.via, r.err)
						}
					}
				})
			})
		}
	}
}
