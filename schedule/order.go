// Package schedule orders jobs that wait for the same servers when there is too little room for all
// of them. Higher ranks go first. Within a rank as many jobs as possible begin in time: if they
// cannot all, those that need the most work are delayed, because each of them would delay the most
// others (the algorithm of Moore and Hodgson). The delayed ones follow by what is left of their time.
// Those to keep are delayed for a limited time, so that jobs that need much work are served as well.
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
	// Due is until when the job must begin to be in time, End until when to be of use to its caller. A
	// Due after End counts as End.
	Due, End time.Time
	// Work is how long the job keeps one server busy.
	Work time.Duration
	// Keep is until when others may delay the job because of its work; zero if until End.
	Keep time.Time
	// Begin is when the job is expected to begin. Late is true if that is after Due.
	Begin time.Time
	Late  bool
	// kept is true for a job that may not be delayed any more.
	kept bool
}

// Order returns the jobs in the order in which they should begin, and those that could not begin
// before their End in this order. The servers work on them together, and begin at the given time. It
// sets Begin and Late of all jobs.
func Order(begin time.Time, servers float64, jobs []Job) (order, unserved []Job) {
	ranked := slices.Clone(jobs)
	for i, j := range ranked {
		if j.Due.After(j.End) {
			ranked[i].Due = j.End
		}
	}
	slices.SortStableFunc(ranked, func(a, b Job) int { return cmp.Compare(a.Rank, b.Rank) })
	for len(ranked) > 0 {
		n := 1
		for n < len(ranked) && ranked[n].Rank == ranked[0].Rank {
			n++
		}
		var late, rejected []Job
		inTime, delayed, end := inTimeJobs(begin, servers, ranked[:n])
		if kept, others := split(delayed); len(kept) > 0 {
			var dropped []Job
			inTime, dropped, end = inTimeJobs(begin, servers, append(kept, inTime...))
			delayed = append(others, dropped...)
		}
		late, rejected, begin = lateJobs(end, servers, delayed)
		order = append(append(order, inTime...), late...)
		unserved = append(unserved, rejected...)
		ranked = ranked[n:]
	}
	return order, unserved
}

// share returns for how long the servers together work on j.
func (j Job) share(servers float64) time.Duration {
	return time.Duration(float64(j.Work) / max(1, servers))
}

// split returns the jobs to keep, marked as kept, and the others.
func split(jobs []Job) (kept, others []Job) {
	for _, j := range jobs {
		if j.kept = !j.Keep.IsZero(); j.kept {
			kept = append(kept, j)
			continue
		}
		others = append(others, j)
	}
	return kept, others
}

// latestEnd returns when the servers must have done the work of j so that it begins in time, or is not
// delayed for too long if it is kept.
func (j Job) latestEnd(servers float64) time.Time {
	if j.kept {
		return j.Keep.Add(j.share(servers))
	}
	return j.Due.Add(j.share(servers))
}

// inTimeJobs returns as many jobs as possible that begin in time, ordered by when they must end for
// that, with their Begin, and the rest. end is when the servers have done the work of the former.
func inTimeJobs(begin time.Time, servers float64, jobs []Job) (inTime, rest []Job, end time.Time) {
	sorted := slices.Clone(jobs)
	slices.SortStableFunc(sorted, func(a, b Job) int { return a.latestEnd(servers).Compare(b.latestEnd(servers)) })
	largest := &byWork{jobs: sorted}
	dropped := make([]bool, len(sorted))
	var total, keptTotal time.Duration
	for i, j := range sorted {
		heap.Push(largest, i)
		total += j.share(servers)
		if j.kept {
			keptTotal += j.share(servers)
		}
		hopeless := j.kept && begin.Add(keptTotal).After(j.latestEnd(servers))
		for !dropped[i] && begin.Add(total).After(j.latestEnd(servers)) {
			worst := i
			if !hopeless {
				worst = heap.Pop(largest).(int)
			}
			dropped[worst] = true
			total -= sorted[worst].share(servers)
			if sorted[worst].kept {
				keptTotal -= sorted[worst].share(servers)
			}
		}
	}
	end = begin
	for i, j := range sorted {
		if dropped[i] {
			rest = append(rest, j)
			continue
		}
		j.Begin = end
		j.Late = j.Begin.After(j.Due)
		inTime = append(inTime, j)
		end = end.Add(j.share(servers))
	}
	return inTime, rest, end
}

// lateJobs returns the jobs that begin before their End if they are served in that order, and the rest.
func lateJobs(begin time.Time, servers float64, jobs []Job) (late, rest []Job, end time.Time) {
	sorted := slices.Clone(jobs)
	slices.SortStableFunc(sorted, func(a, b Job) int { return a.End.Compare(b.End) })
	for _, j := range sorted {
		j.Begin = begin
		j.Late = j.Begin.After(j.Due)
		if j.Begin.After(j.End) {
			rest = append(rest, j)
			continue
		}
		late = append(late, j)
		begin = begin.Add(j.share(servers))
	}
	return late, rest, begin
}

// byWork is a heap of indexes of jobs, the one with the most work first and the later one of equals;
// kept ones come last.
type byWork struct {
	jobs    []Job
	indexes []int
}

func (h *byWork) Len() int      { return len(h.indexes) }
func (h *byWork) Swap(i, j int) { h.indexes[i], h.indexes[j] = h.indexes[j], h.indexes[i] }
func (h *byWork) Push(x any)    { h.indexes = append(h.indexes, x.(int)) }

func (h *byWork) Less(i, j int) bool {
	a, b := h.indexes[i], h.indexes[j]
	if h.jobs[a].kept != h.jobs[b].kept {
		return h.jobs[b].kept
	}
	return cmp.Or(cmp.Compare(h.jobs[b].Work, h.jobs[a].Work), cmp.Compare(b, a)) < 0
}

func (h *byWork) Pop() any {
	last := len(h.indexes) - 1
	x := h.indexes[last]
	h.indexes = h.indexes[:last]
	return x
}
