package placement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/placement"
	"github.com/catkinspindle/catkinspindle/ratelimits"
)

// limitedPlanner returns a planner whose replicas with the given IDs state a limit.
func limitedPlanner(replicas int, perSecond float64, ids ...string) *placement.Planner {
	limits := ratelimits.New()
	for _, id := range ids {
		limits.Apply(start, []catkinspindle.RateLimitReport{{ID: id, Incarnation: 1, Limited: true, PerSecond: perSecond}})
	}
	return planner(replicas, placement.WithRateLimits(limits))
}

func replicaIDs(count int) (ids []string) {
	for i := range count {
		ids = append(ids, fmt.Sprintf("r%02d", i))
	}
	return ids
}

func plain(id int) catkinspindle.Job {
	return catkinspindle.Job{ID: fmt.Sprintf("n/1/%d", id), Service: "app", TimeLeft: 3 * time.Second, LatencyObjective: 300 * time.Millisecond}
}

func TestRateLimitBoundsPlacementsInAnyWindow(t *testing.T) {
	const window = 4 * time.Second
	jobs := map[string]func(int) catkinspindle.Job{
		"short": short,
		"plain": plain,
		"long":  func(id int) catkinspindle.Job { return long(id, 154_000) },
	}
	for name, job := range jobs {
		for _, perSecond := range []float64{0, 0.05, 1.6, 7, 40, 1e9} {
			t.Run(fmt.Sprintf("%s, %g per second", name, perSecond), func(t *testing.T) {
				p := limitedPlanner(3, perSecond, "r00", "r01", "a0")
				sent := map[string][]time.Time{}
				for i := range 2000 {
					now := start.Add(time.Duration(i) * 10 * time.Millisecond)
					got := p.Place(now, job(i))
					if got.Refused() {
						continue
					}
					sent[got.Replica] = append(sent[got.Replica], now.Add(got.Delay))
					p.ReportResult(now, catkinspindle.AttemptResult{JobID: got.JobID, Replica: got.Replica, Outcome: catkinspindle.OutcomeDone})
					limited := got.Replica == "r00" || got.Replica == "r01" || got.Replica == "a0"
					if got.RatePermit != limited {
						t.Fatalf("placement on %s has permit: %t", got.Replica, got.RatePermit)
					}
				}
				burst := max(1, perSecond/10)
				allowed := max(1.0/30, perSecond)*window.Seconds() + burst
				for _, id := range []string{"r00", "r01", "a0"} {
					for i, from := range sent[id] {
						n := 0
						for _, at := range sent[id][i:] {
							if at.Sub(from) < window {
								n++
							}
						}
						if float64(n) > allowed {
							t.Fatalf("%s: %d requests in %s, want at most %g", id, n, window, allowed)
						}
					}
				}
			})
		}
	}
}

// Replicas whose limit is used up still help to prefill, so that prompts which need several
// replicas are served.
func TestLimitedReplicasHelpWithLongPrompts(t *testing.T) {
	p := limitedPlanner(4, 1, replicaIDs(3)...)
	got := p.PlaceWith(start.Add(2*time.Second), long(10, 600_000), catkinspindle.RateAuthority{})
	if got.Replica != "r03" || len(got.Helpers) == 0 {
		t.Errorf("placement %+v, want one on r03 with helpers", got)
	}
}

func TestNoPlacementOnLimitedReplicaWithoutAuthority(t *testing.T) {
	p := limitedPlanner(3, 1000, "r00", "r01", "a0", "a1")
	for i := range 60 {
		later := start.Add(time.Duration(i) * 100 * time.Millisecond)
		for _, j := range []catkinspindle.Job{short(3 * i), long(3*i+1, 30_000), plain(3*i + 2)} {
			for _, got := range []catkinspindle.Placement{p.PlaceUncoordinated(later, j), p.PlaceWith(later, j, catkinspindle.RateAuthority{})} {
				if got.Replica != "" && got.Replica != "r02" && got.Replica != "a2" {
					t.Fatalf("job placed on limited replica %s", got.Replica)
				}
			}
		}
	}
}

// The previous coordinator may have used the whole limit up to the change.
func TestNewCoordinatorStartsWithUsedUpRateLimits(t *testing.T) {
	p := limitedPlanner(1, 2, "r00")
	since := start.Add(10 * time.Second)
	authority := catkinspindle.RateAuthority{Share: 0.5, Since: since}
	got := p.PlaceWith(since, short(1), authority)
	if !got.Refused() || got.Check != catkinspindle.CheckRateLimit {
		t.Fatalf("placement %+v, want a refusal for the rate limit", got)
	}
	// Half of 2 requests/s is one request per second.
	if diff := cmp.Diff(time.Second, got.RetryAfter); diff != "" {
		t.Errorf("RetryAfter (-want +got):\n%s", diff)
	}
	if got := p.PlaceWith(since.Add(time.Second), short(2), authority); got.Refused() {
		t.Errorf("refused after RetryAfter: %+v", got)
	}
}

func TestSuspectedReplicaIsUsedWhenOthersAreLimited(t *testing.T) {
	p := limitedPlanner(2, 0.1, "r00")
	for i := range 5 {
		p.ReportResult(start, catkinspindle.AttemptResult{JobID: fmt.Sprint("x", i), Replica: "r01", Outcome: catkinspindle.OutcomeFailed})
	}
	got := p.Place(start.Add(time.Millisecond), short(1))
	if diff := cmp.Diff("r01", got.Replica); diff != "" {
		t.Errorf("replica (-want +got):\n%s", diff)
	}
}
