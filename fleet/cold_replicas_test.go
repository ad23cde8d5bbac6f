package fleet_test

import (
	"errors"
	"fmt"
	"maps"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/view"
)

// A cold replica tolerates coldPerSecond requests a second from all nodes together, with the
// tolerance below in any second.
const (
	coldPerSecond = 4
	coldTime      = 2 * time.Second
	coldTolerance = 1.5
	coldSlack     = 5
	maxInASecond  = coldTolerance*coldPerSecond + coldSlack
)

// cool makes replicas cold for a time, which all nodes learn from their entries.
func (f *servingFleet) cool(left time.Duration, ids ...string) {
	f.revision++
	var changes []view.Change
	for _, id := range ids {
		f.coldUntil[id] = time.Now().Add(left)
		r := f.listed[id]
		r.ColdLeft = left
		changes = append(changes, view.Change{Replica: r})
	}
	for _, n := range f.nodes {
		n.view.ChangeReplicas(changes, position(f.revision), time.Time{})
	}
}

// currentList returns the replicas as their entries are now.
func (f *servingFleet) currentList() map[string]catkinspindle.Replica {
	list := maps.Clone(f.listed)
	for id, until := range f.coldUntil {
		r := list[id]
		r.ColdLeft = max(0, time.Until(until))
		list[id] = r
	}
	return list
}

// evacuate makes all nodes learn of the evacuated data centres.
func (f *servingFleet) evacuate(dataCentres ...string) {
	f.revision++
	for _, n := range f.nodes {
		n.view.SetEvacuations(catkinspindle.NewEvacuations(position(f.revision), dataCentres...))
	}
}

// freezeIfDue stands still, cut off from the other nodes, if node i is to be frozen.
func (f *servingFleet) freezeIfDue(i int) {
	f.freezing.Lock()
	due := i == f.frozen && f.freezeFor > 0
	pause := f.freezeFor
	if due {
		f.freezeFor, f.thawed = 0, time.Now().Add(pause)
	}
	f.freezing.Unlock()
	if !due {
		return
	}
	f.network.setDown(f.members[i].PeerAddress, true)
	time.Sleep(pause)
	f.network.setDown(f.members[i].PeerAddress, false)
}

// awaitThaw waits until a frozen node goes on: it then reads all the requests of that time at once.
func (f *servingFleet) awaitThaw(i int) {
	f.freezing.Lock()
	until := f.thawed
	frozen := i == f.frozen
	f.freezing.Unlock()
	if frozen {
		time.Sleep(time.Until(until))
	}
}

// coordinatorIndex returns the index of the node that coordinates undivided pools.
func (f *servingFleet) coordinatorIndex() int {
	coordinator, _ := f.nodes[len(f.nodes)-1].Coordinator(catkinspindle.Pool{})
	for i, m := range f.members {
		if m.Name == coordinator.Name {
			return i
		}
	}
	f.t.Fatalf("unknown coordinator %q", coordinator.Name)
	return 0
}

// checkCold checks that replicas got no more requests in any second of a period than they tolerate
// while they are cold, and returns the number of their requests.
func (f *servingFleet) checkCold(from, until time.Time, ids ...string) (arrived int, err error) {
	var errs []error
	for _, id := range ids {
		most, total := f.replicas[id].Arrived(from, until)
		arrived += total
		if float64(most) > maxInASecond {
			errs = append(errs, fmt.Errorf("%s is cold and got %d requests in a second, at most %g are allowed", id, most, maxInASecond))
		}
	}
	return arrived, errors.Join(errs...)
}

// Replicas that become cold under load get the rate that they tolerate, however many nodes there are,
// and more when they are warm.
func TestColdReplicasAreSparedOnFleetsOfAnySize(t *testing.T) {
	cold := []string{"pool-0", "pool-1", "app-0"}
	for _, count := range []int{1, 6, 300} {
		t.Run(fmt.Sprintf("%d nodes", count), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newServingFleet(t, count)
				defer f.close()
				time.Sleep(2 * time.Second)
				from, began := time.Now().Add(time.Second), false
				until := from.Add(4 * time.Second)
				answered, refused := f.load(160, 8*time.Second, func() {
					if !began && !time.Now().Before(from) {
						began = true
						f.cool(until.Sub(from), cold...)
					}
				})
				arrived, err := f.checkCold(from, until, cold...)
				if err != nil {
					t.Error(err)
				}
				// Each takes its rate, as the load exceeds it.
				if least := len(cold) * coldPerSecond * 4 / 2; arrived < least {
					t.Errorf("%d requests at cold replicas, want at least %d", arrived, least)
				}
				if refused > 0 {
					t.Errorf("%d of %d requests were not served by the warm replicas", refused, answered+refused)
				}
				for _, id := range cold {
					if _, after := f.replicas[id].Arrived(until.Add(time.Second), time.Now()); after < 10 {
						t.Errorf("%s got %d requests after it was cold", id, after)
					}
				}
			})
		})
	}
}

// The rate holds while the node that shares it out is lost, stands still or starts anew.
func TestColdReplicasAreSparedWithoutCoordinator(t *testing.T) {
	const count = 8
	tests := map[string]func(f *servingFleet, coordinator int, after time.Duration){
		"cut off": func(f *servingFleet, coordinator int, after time.Duration) {
			f.network.setDown(f.members[coordinator].PeerAddress, after < 3*time.Second)
		},
		"cut off for good": func(f *servingFleet, coordinator int, _ time.Duration) {
			f.network.setDown(f.members[coordinator].PeerAddress, true)
		},
		"frozen": func(f *servingFleet, coordinator int, after time.Duration) {
			// The coordinator freezes when it notices the loss of the last node.
			f.network.setDown(f.members[count-1].PeerAddress, after < 4*time.Second)
			f.freezing.Lock()
			defer f.freezing.Unlock()
			if f.frozen < 0 {
				f.frozen, f.freezeFor = coordinator, 2*time.Second
			}
		},
		"restarted": func(f *servingFleet, coordinator int, _ time.Duration) {
			if f.members[coordinator].Incarnation == 1 {
				f.restart(coordinator)
			}
		},
		"half of the nodes cut off": func(f *servingFleet, coordinator int, after time.Duration) {
			for i := range count / 2 {
				f.network.setDown(f.members[(coordinator+i)%count].PeerAddress, after < 3*time.Second)
			}
		},
	}
	all := []string{"pool-0", "pool-1", "pool-2", "pool-3", "pool-4", "pool-5", "app-0", "app-1", "app-2"}
	for name, cold := range map[string][]string{"some": {"pool-0", "pool-1", "app-0"}, "all": all} {
		for failure, disturb := range tests {
			t.Run(failure+", "+name+" replicas cold", func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newServingFleet(t, count)
					defer f.close()
					time.Sleep(2 * time.Second)
					coordinator := f.coordinatorIndex()
					from := time.Now()
					f.cool(8*time.Second, cold...)
					f.load(160, 7*time.Second, func() {
						if after := time.Since(from) - time.Second; after >= 0 {
							disturb(f, coordinator, after)
						}
					})
					arrived, err := f.checkCold(from, time.Now(), cold...)
					if err != nil {
						t.Error(err)
					}
					if arrived < len(cold) {
						t.Errorf("%d requests at %d cold replicas", arrived, len(cold))
					}
					if f.frozen >= 0 && f.thawed.IsZero() {
						t.Error("the coordinator was never frozen")
					}
				})
			})
		}
	}
}

// A data centre that is taken back under load is filled no faster than its replicas tolerate, also
// by a coordinator that was cut off meanwhile.
func TestReturnedDataCentreIsFilledAtTheStatedRate(t *testing.T) {
	for _, cutOff := range []bool{false, true} {
		t.Run(fmt.Sprintf("coordinator cut off: %t", cutOff), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newServingFleet(t, 8)
				defer f.close()
				time.Sleep(2 * time.Second)
				evacuated := []string{"pool-0", "pool-1", "pool-2", "app-0"}
				for _, id := range evacuated {
					r := f.listed[id]
					r.DataCentre = "x"
					f.listed[id] = r
				}
				f.cool(0, evacuated...)
				f.evacuate("x")
				from := time.Now()
				back := from.Add(2 * time.Second)
				returned := false
				coordinator := f.members[f.coordinatorIndex()].PeerAddress
				f.load(160, 6*time.Second, func() {
					f.network.setDown(coordinator, cutOff && time.Now().After(back) && time.Since(back) < 500*time.Millisecond)
					if !returned && time.Now().After(back) {
						returned = true
						back = time.Now()
						f.evacuate()
					}
				})
				if arrived, _ := f.checkCold(from, back, evacuated...); arrived > 0 {
					t.Errorf("%d requests at evacuated replicas", arrived)
				}
				arrived, err := f.checkCold(back, back.Add(coldTime), evacuated...)
				if err != nil {
					t.Error(err)
				}
				if arrived < len(evacuated) {
					t.Errorf("%d requests in %s after the return", arrived, coldTime)
				}
			})
		})
	}
}

// Requests of a service whose only replicas are evacuated are refused at once; those of the other
// service are served.
func TestServiceWithoutDataCentreIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newServingFleet(t, 4)
		defer f.close()
		time.Sleep(2 * time.Second)
		var evacuated []string
		for id, r := range f.listed {
			if r.Service == "pool" {
				r.DataCentre = "x"
				f.listed[id] = r
				evacuated = append(evacuated, id)
			}
		}
		f.cool(0, evacuated...)
		f.evacuate("x")
		from := time.Now()
		for n := range 12 {
			began := time.Now()
			resp := f.send(n%4, n, "/chat/x", 900)
			if took := time.Since(began); resp.StatusCode != 503 || took > 50*time.Millisecond || resp.Header.Get("Retry-After") == "" {
				t.Errorf("status %d after %s, Retry-After %q; want 503 at once", resp.StatusCode, took, resp.Header.Get("Retry-After"))
			}
			if diff := cmp.Diff(200, f.send(n%4, n, "/read/x", 0).StatusCode); diff != "" {
				t.Errorf("status of the other service (-want +got):\n%s", diff)
			}
		}
		if arrived, _ := f.checkCold(from, time.Now(), evacuated...); arrived > 0 {
			t.Errorf("%d requests at evacuated replicas", arrived)
		}
	})
}
