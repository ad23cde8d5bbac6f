// Package schedule orders jobs that wait for the same servers when there is too little room for all
// of them. Higher ranks go first. Within a rank as many jobs as possible begin in time: if they
// cannot all, those that need the most work are delayed, because each of them would delay the most
// others (the algorithm of Moore and Hodgson). By the same rule it is decided which jobs cannot be
// served at all.
package schedule

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

// Job is a job that waits.
type Job struct {
	ID string
	// Rank is the rank of the job; 0 is the highest.
	Rank int
	// Due is until when the job must begin to be in time, End until when to be of use to its caller.
	Due, End time.Time
	// Work is how long the job keeps one server busy.
	Work time.Duration
	// Begin is when the job is expected to begin. Late is true if that is after Due.
	Begin time.Time
	Late  bool
}

// Order returns the jobs in the order in which they should begin, and those that could not begin
// before their End in this order. The servers work on them together, and begin at the given time. It
// sets Begin and Late of all jobs.
func Order(begin time.Time, servers float64, jobs []Job) (order, unserved []Job) {
	ranked := slices.Clone(jobs)
	slices.SortStableFunc(ranked, func(a, b Job) int { return cmp.Compare(a.Rank, b.Rank) })
	for len(ranked) > 0 {
		n := 1
		for n < len(ranked) && ranked[n].Rank == ranked[0].Rank {
			n++
		}
		var inTime, late, delayed, rejected []Job
		inTime, delayed, begin = fit(begin, servers, ranked[:n], func(j Job) time.Time { return j.Due })
		late, rejected, begin = fit(begin, servers, delayed, func(j Job) time.Time { return j.End })
		for i := range late {
			late[i].Late = late[i].Begin.After(late[i].Due)
		}
		order = append(append(order, inTime...), late...)
		unserved = append(unserved, rejected...)
		ranked = ranked[n:]
	}
	return order, unserved
}

// fit returns as many jobs as possible that begin before their limits, ordered by when they must end
// then, with their Begin, and the rest. end is when the servers have done the work of the jobs that fit.
func fit(begin time.Time, servers float64, jobs []Job, limit func(Job) time.Time) (fitting, rest []Job, end time.Time) {
	share := func(j Job) time.Duration { return time.Duration(float64(j.Work) / max(1, servers)) }
	endLimit := func(j Job) time.Time { return limit(j).Add(share(j)) }
	sorted := slices.Clone(jobs)
	slices.SortStableFunc(sorted, func(a, b Job) int { return endLimit(a).Compare(endLimit(b)) })
	largest := &byWork{jobs: sorted}
	dropped := make([]bool, len(sorted))
	total := time.Duration(0)
	for i, j := range sorted {
		heap.Push(largest, i)
		if total += share(j); begin.Add(total).After(endLimit(j)) {
			worst := heap.Pop(largest).(int)
			dropped[worst] = true
			total -= share(sorted[worst])
		}
	}
	end = begin
	for i, j := range sorted {
		j.Begin = end
		if dropped[i] {
			j.Begin = begin.Add(total)
			j.Late = true
			rest = append(rest, j)
			continue
		}
		fitting = append(fitting, j)
		end = end.Add(share(j))
	}
	return fitting, rest, end
}

// byWork is a heap of indexes of jobs, the one with the most work first and the later one of equals.
type byWork struct {
	jobs    []Job
	indexes []int
}

func (h *byWork) Len() int      { return len(h.indexes) }
func (h *byWork) Swap(i, j int) { h.indexes[i], h.indexes[j] = h.indexes[j], h.indexes[i] }
func (h *byWork) Push(x any)    { h.indexes = append(h.indexes, x.(int)) }

func (h *byWork) Less(i, j int) bool {
	a, b := h.indexes[i], h.indexes[j]
	return cmp.Or(cmp.Compare(h.jobs[b].Work, h.jobs[a].Work), cmp.Compare(b, a)) < 0
}

func (h *byWork) Pop() any {
	last := len(h.indexes) - 1
	x := h.indexes[last]
	h.indexes = h.indexes[:last]
	return x
}
