package placement_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/placement"
)

// changedPlanner returns a planner of replicas that change has changed.
func changedPlanner(replicas int, change func(i int, r *catkinspindle.Replica)) *placement.Planner {
	p := planner(0)
	list := map[string]catkinspindle.Replica{}
	for id, r := range replicaList(replicas) {
		var i int
		if _, err := fmt.Sscanf(id, "r%d", &i); err == nil {
			change(i, &r)
		}
		list[id] = r
	}
	p.SetReplicas(list)
	return p
}

// Evacuated replicas get neither requests nor segments nor reservations, and their work goes to the
// others. If all are evacuated, a job is refused at once.
func TestEvacuatedReplicasGetNoWork(t *testing.T) {
	jobs := map[string]func(int) catkinspindle.Job{
		"short":  short,
		"long":   func(id int) catkinspindle.Job { return long(id, 154_000) },
		"larger": func(id int) catkinspindle.Job { return long(id, 400_000) },
	}
	for name, job := range jobs {
		for evacuated := 0; evacuated <= 9; evacuated += 3 {
			t.Run(fmt.Sprintf("%s, %d of 9 evacuated", name, evacuated), func(t *testing.T) {
				place := map[string]func(*placement.Planner, int) catkinspindle.Placement{
					"coordinated": func(p *placement.Planner, i int) catkinspindle.Placement { return p.Place(start, job(i)) },
					"alone":       func(p *placement.Planner, i int) catkinspindle.Placement { return p.PlaceUncoordinated(start, job(i)) },
				}
				for way, place := range place {
					p := changedPlanner(9, func(i int, r *catkinspindle.Replica) { r.Evacuated = i < evacuated })
					for i := range 20 {
						got := place(p, i)
						for _, id := range append(slices.Clone(got.Helpers), got.Replica) {
							if id != "" && id < fmt.Sprintf("r%02d", evacuated) {
								t.Fatalf("%s: %s is evacuated and gets work", way, id)
							}
						}
						if i == 0 && got.Refused() != (evacuated == 9) {
							t.Fatalf("%s: refused: %t (%s)", way, got.Refused(), got.Check)
						}
						if diff := cmp.Diff(catkinspindle.ReasonNoBackend, got.Reason); evacuated == 9 && diff != "" {
							t.Errorf("%s: reason (-want +got):\n%s", way, diff)
						}
					}
				}
			})
		}
	}
}

// A whole data centre that comes back cold into a burst gets the stated rate, and no more in any
// second, also at the change to another planner. A planner without authority sends it nothing.
func TestColdReplicasGetTheStatedRate(t *testing.T) {
	const (
		perSecond = 14
		replicas  = 9
		coldFor   = 3 * time.Second
	)
	cold := func(i int, r *catkinspindle.Replica) {
		if i < 3 {
			r.ColdUntil, r.ColdPerSecond = start.Add(coldFor), perSecond
		}
	}
	sent := map[string][]time.Time{}
	first, second := changedPlanner(replicas, cold), changedPlanner(replicas, cold)
	alone := changedPlanner(replicas, cold)
	for i := range 800 {
		now := start.Add(time.Duration(i) * 5 * time.Millisecond)
		p, authority := first, catkinspindle.FullRateAuthority()
		if now.Sub(start) > coldFor/2 {
			p, authority.Since = second, start.Add(coldFor/2)
		}
		got := p.PlaceWith(now, short(i), authority)
		if got.Refused() {
			continue
		}
		p.ReportResult(now, catkinspindle.AttemptResult{JobID: got.JobID, Replica: got.Replica, Outcome: catkinspindle.OutcomeDone})
		isCold := got.Replica < "r03" && now.Sub(start) < coldFor
		if got.RatePermit != isCold {
			t.Fatalf("placement on %s at %s has a permit: %t", got.Replica, now.Sub(start), got.RatePermit)
		}
		if isCold {
			sent[got.Replica] = append(sent[got.Replica], now)
		}
		got = alone.PlaceUncoordinated(now, short(i))
		if !got.Refused() && now.Sub(start) < coldFor && got.Replica < "r03" {
			t.Fatalf("a planner without authority sends a request to %s, which is cold", got.Replica)
		}
	}
	if len(sent) == 0 {
		t.Error("cold replicas get no requests at all")
	}
	for id, times := range sent {
		for i, from := range times {
			n := 0
			for _, at := range times[i:] {
				if at.Sub(from) < time.Second {
					n++
				}
			}
			if n > perSecond+2 {
				t.Fatalf("%s: %d requests in a second", id, n)
			}
		}
	}
}

func TestColdServiceIsCoordinated(t *testing.T) {
	p := changedPlanner(3, func(_ int, r *catkinspindle.Replica) {
		r.ColdUntil, r.ColdPerSecond = start.Add(time.Second), 14
	})
	for _, tt := range []struct {
		service string
		at      time.Duration
		want    bool
	}{{service, 0, true}, {service, time.Second, false}, {"app", 0, false}} {
		if diff := cmp.Diff(tt.want, p.HasRateLimits(start.Add(tt.at), tt.service)); diff != "" {
			t.Errorf("%s after %s has rate limits (-want +got):\n%s", tt.service, tt.at, diff)
		}
	}
}
