package schedule_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/catkinspindle/catkinspindle/schedule"
)

var start = time.Unix(1000, 0)

// job returns a job that is due and ends so many milliseconds after start.
func job(id string, rank, due, end, work int) schedule.Job {
	return schedule.Job{ID: id, Rank: rank, Due: start.Add(time.Duration(due) * time.Millisecond), End: start.Add(time.Duration(end) * time.Millisecond), Work: time.Duration(work) * time.Millisecond}
}

// kept returns j as a job to keep.
func kept(j schedule.Job) schedule.Job {
	j.Keep = j.End
	return j
}

// describe returns the IDs of jobs, late ones in brackets.
func describe(jobs []schedule.Job) (ids []string) {
	for _, j := range jobs {
		if j.Late {
			ids = append(ids, "("+j.ID+")")
			continue
		}
		ids = append(ids, j.ID)
	}
	return ids
}

func TestOrder(t *testing.T) {
	tests := map[string]struct {
		servers         float64
		jobs            []schedule.Job
		order, unserved []string
	}{
		"none": {1, nil, nil, nil},
		"enough room: by the time left": {
			2,
			[]schedule.Job{job("a", 1, 300, 900, 100), job("b", 1, 100, 900, 100)},
			[]string{"b", "a"},
			nil,
		},
		"the job with the most work is delayed": {
			1,
			[]schedule.Job{job("large", 1, 50, 9000, 1000), job("b", 1, 100, 9000, 100), job("c", 1, 200, 9000, 100)},
			[]string{"b", "c", "(large)"},
			nil,
		},
		"late jobs by their deadline": {
			1,
			[]schedule.Job{job("a", 1, -10, 900, 100), job("b", 1, -20, 500, 100), job("c", 1, 100, 900, 100)},
			[]string{"c", "(b)", "(a)"},
			nil,
		},
		"a higher rank goes first, also when it is late": {
			1,
			[]schedule.Job{job("low", 2, 100, 900, 50), job("high", 0, -10, 900, 80)},
			[]string{"(high)", "low"},
			nil,
		},
		"a lower rank delays nobody": {
			1,
			[]schedule.Job{job("small", 2, 0, 900, 1), job("large", 1, 0, 900, 500)},
			[]string{"large", "(small)"},
			nil,
		},
		"what no order can serve": {
			1,
			[]schedule.Job{job("a", 1, 0, 100, 500), job("b", 1, 0, 100, 400), job("c", 1, 0, 100, 300)},
			[]string{"c"},
			[]string{"(b)", "(a)"},
		},
		"a job to keep goes first when its time ends": {
			1,
			[]schedule.Job{kept(job("large", 1, -100, 250, 900)), job("a", 1, 100, 9000, 100), job("b", 1, 150, 9000, 100), job("c", 1, 300, 9000, 100)},
			[]string{"a", "b", "(large)", "(c)"},
			nil,
		},
		"a job to keep that has time is delayed": {
			1,
			[]schedule.Job{kept(job("large", 1, -100, 5000, 900)), job("a", 1, 100, 9000, 100), job("c", 1, 300, 9000, 100)},
			[]string{"a", "c", "(large)"},
			nil,
		},
		"less time than until it is due": {
			1,
			[]schedule.Job{job("a", 1, 0, 900, 300), job("repeat", 1, 5000, 200, 400)},
			[]string{"a"},
			[]string{"(repeat)"},
		},
		"too late already": {
			4,
			[]schedule.Job{job("a", 1, -500, -100, 10)},
			nil,
			[]string{"(a)"},
		},
		"more servers": {
			4,
			[]schedule.Job{job("a", 1, 0, 100, 400), job("b", 1, 100, 300, 400), job("c", 1, 200, 300, 400)},
			[]string{"a", "b", "c"},
			nil,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			order, unserved := schedule.Order(start, tt.servers, tt.jobs)
			if diff := cmp.Diff(tt.order, describe(order)); diff != "" {
				t.Errorf("order (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(tt.unserved, describe(unserved)); diff != "" {
				t.Errorf("unserved (-want +got):\n%s", diff)
			}
		})
	}
}

// No job is lost, ranks are in order, and what is said to be in time is.
func TestOrderOfAnyJobs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var jobs []schedule.Job
		for i := range rapid.IntRange(0, 40).Draw(t, "jobs") {
			due := rapid.IntRange(-500, 4000).Draw(t, "due")
			j := job(fmt.Sprint(i), rapid.IntRange(0, 2).Draw(t, "rank"), due, due+rapid.IntRange(0, 4000).Draw(t, "slack"), rapid.IntRange(0, 3000).Draw(t, "work"))
			if rapid.Bool().Draw(t, "keep") {
				j = kept(j)
			}
			jobs = append(jobs, j)
		}
		servers := rapid.Float64Range(0, 20).Draw(t, "servers")
		order, unserved := schedule.Order(start, servers, jobs)
		seen := map[string]bool{}
		for _, j := range append(order, unserved...) {
			seen[j.ID] = true
		}
		if len(seen) != len(jobs) || len(order)+len(unserved) != len(jobs) {
			t.Fatalf("%d jobs in, %d ordered and %d unserved", len(jobs), len(order), len(unserved))
		}
		at := start
		for i, j := range order {
			if i > 0 && j.Rank < order[i-1].Rank {
				t.Fatalf("rank %d after rank %d", j.Rank, order[i-1].Rank)
			}
			if j.Late != j.Begin.After(j.Due) || j.Begin.After(j.End) {
				t.Fatalf("job %+v is ordered", j)
			}
			if j.Begin.Before(at) {
				t.Fatalf("job %s begins before the work ahead of it has ended", j.ID)
			}
			at = j.Begin.Add(time.Duration(float64(j.Work) / max(1, servers)))
		}
	})
}

// At equal ranks no order lets more jobs begin in time.
func TestOrderDelaysAsFewAsPossible(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var jobs []schedule.Job
		for i := range rapid.IntRange(1, 6).Draw(t, "jobs") {
			jobs = append(jobs, job(fmt.Sprint(i), 1, rapid.IntRange(0, 1000).Draw(t, "due"), 100_000, rapid.IntRange(1, 600).Draw(t, "work")))
		}
		order, _ := schedule.Order(start, 1, jobs)
		got := 0
		for _, j := range order {
			if !j.Late {
				got++
			}
		}
		if want := mostInTime(start, jobs); got < want {
			t.Fatalf("%d of %d jobs begin in time, %d could", got, len(jobs), want)
		}
	})
}

// mostInTime tries all orders.
func mostInTime(at time.Time, jobs []schedule.Job) int {
	most := 0
	for i, j := range jobs {
		if at.After(j.Due) {
			continue
		}
		rest := append(append([]schedule.Job{}, jobs[:i]...), jobs[i+1:]...)
		most = max(most, 1+mostInTime(at.Add(j.Work), rest))
	}
	return most
}
