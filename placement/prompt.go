package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/catkinspindle/catkinspindle"
)

// prefillTime estimates how long one replica takes to prefill a prompt of the given length.
func prefillTime(m catkinspindle.EngineModel, tokens int) time.Duration {
	n := float64(tokens)
	linear := n / m.PrefillRate * float64(time.Second)
	pairs := n * n / 2 / 1e6 * float64(m.AttentionTime)
	return time.Duration(linear + pairs)
}

// iterationTime estimates the duration of the Stride decoding steps for one event, with one more
// decoding job on r.
func iterationTime(m catkinspindle.EngineModel, r *replica) time.Duration {
	step := m.Step + time.Duration(len(r.jobs)+1)*m.PerSequence + time.Duration(float64(r.tokens)/1000*float64(m.PerContext))
	return time.Duration(float64(m.Stride) * float64(step) * r.slowdown)
}

func (p *Planner) placePrompt(now time.Time, j catkinspindle.Job, m catkinspindle.EngineModel, usable []*replica) catkinspindle.Placement {
	if p.isLong(m, j) {
		return p.placeLong(now, j, m, usable)
	}
	return p.placeShort(now, j, m, usable)
}

// isLong reports whether j is placed as a long job.
func (p *Planner) isLong(m catkinspindle.EngineModel, j catkinspindle.Job) bool {
	return j.MaxEventGap > p.policy.ShortMaxGap || prefillTime(m, j.PromptTokens) > p.policy.LongPrefill
}

func (p *Planner) fitsInMemory(m catkinspindle.EngineModel, r *replica, j catkinspindle.Job) bool {
	return float64(r.tokens+j.PromptTokens+j.AnswerTokens) <= p.policy.MemoryShare*float64(m.KVCacheTokens)
}

// placeShort packs short jobs: it fills the replicas one after the other, so that the
// rest stays free for long prompts.
func (p *Planner) placeShort(now time.Time, j catkinspindle.Job, m catkinspindle.EngineModel, usable []*replica) catkinspindle.Placement {
	prefill, k := p.splitShort(j, m, usable)
	best, expected := p.choosePacked(now, hosts(usable), p.packedLimit(now, j, m, usable), j, m, prefill)
	if best == nil {
		best, expected = p.chooseCheapest(now, hosts(usable), j, m, prefill)
	}
	work := shortWork(m, best, prefill)
	if limit := firstEventLimit(j, work); expected > limit {
		return refusal(j, catkinspindle.ReasonOverload, p.turn(now, j, m, usable, expected-limit), expected).WithCheck(catkinspindle.CheckFirstEvent, limit)
	}
	if !meetsDeadline(m, best, j, expected) {
		return refusal(j, catkinspindle.ReasonOverload, p.turn(now, j, m, usable, expected-work), expected).WithCheck(catkinspindle.CheckDeadline, j.TimeLeft)
	}
	a := &activeJob{job: j, replica: best, placedAt: now, firstEvent: expected, segmentTime: prefill, helpers: p.leastPrefill(now, usable, best, k-1)}
	return p.accept(now, a, urgency(j, shortLength))
}

// splitShort x.
func (p *Planner) splitShort(j catkinspindle.Job, m catkinspindle.EngineModel, usable []*replica) (segment time.Duration, k int) {
	prefill := prefillTime(m, j.PromptTokens)
	if prefill <= p.policy.SplitPrefill {
		return prefill, 1
	}
	k = min(len(usable), p.policy.MaxHelpers+1, int(prefill/p.policy.SplitPrefill)+1)
	return prefill / time.Duration(k), k
}

// packedLimit returns up to how many short jobs a replica gets before the next one.
func (p *Planner) packedLimit(now time.Time, j catkinspindle.Job, m catkinspindle.EngineModel, usable []*replica) int {
	if p.hasLongBacklog(now, j, usable) {
		return slotShare(m, p.policy.PackedShare)
	}
	return slotShare(m, p.policy.SpreadShare)
}

// slotShare returns a fraction of an engine's slots, at least one.
func slotShare(m catkinspindle.EngineModel, share float64) int {
	return max(1, int(math.Round(share*float64(m.Slots))))
}

// leastPrefill returns the n replicas with the least prefill in progress, without host.
func (p *Planner) leastPrefill(now time.Time, usable []*replica, host *replica, n int) []*replica {
	if n == 0 {
		return nil
	}
	list := make([]*replica, 0, n+1)
	for _, r := range usable {
		if r == host || r.health.onProbation {
			continue
		}
		r.estimate, _ = r.sentPrefill(now)
		list = insertSorted(list, r, n, func(a, b *replica) int { return cmp.Compare(a.estimate, b.estimate) })
	}
	return list
}

// insertSorted adds r to a sorted list of at most n replicas, after those that compare equal.
func insertSorted(list []*replica, r *replica, n int, compare func(a, b *replica) int) []*replica {
	i := len(list)
	for i > 0 && compare(r, list[i-1]) < 0 {
		i--
	}
	if i >= n {
		return list
	}
	list = slices.Insert(list, i, r)
	return list[:min(n, len(list))]
}

// estimateShort estimates the time to the first event of a short job on r, which is prefilled
// in the iteration after the current one, and the pause that it causes there.
func (p *Planner) estimateShort(now time.Time, m catkinspindle.EngineModel, r *replica, prefill time.Duration) (first, pause time.Duration) {
	ahead, later := r.sentPrefill(now)
	jobPrefill := time.Duration(float64(prefill) * r.slowdown)
	return ahead + shortWork(m, r, prefill), iterationTime(m, r) + max(later, ahead+jobPrefill)
}

// objective returns the time from now to the first event that j should have; all its time if its
// route has no objective.
func objective(j catkinspindle.Job) time.Duration {
	if j.LatencyObjective <= 0 {
		return j.TimeLeft
	}
	return j.LatencyObjective - j.Waited
}

// shortWork estimates the time from the begin of the prefill of a short job on r to its first event.
func shortWork(m catkinspindle.EngineModel, r *replica, prefill time.Duration) time.Duration {
	return time.Duration(float64(prefill)*r.slowdown) + iterationTime(m, r)*3/2
}

// choosePacked returns the first replica in order that runs fewer than limit short jobs, is
// expected to send the first event within the job's LatencyObjective, and pauses for no longer than
// GapShare allows. It returns nil when there is none.
func (p *Planner) choosePacked(now time.Time, usable []*replica, limit int, j catkinspindle.Job, m catkinspindle.EngineModel, prefill time.Duration) (*replica, time.Duration) {
	for _, r := range usable {
		if r.shortJobs >= limit || len(r.jobs) >= m.Slots || !p.fitsInMemory(m, r, j) {
			continue
		}
		first, pause := p.estimateShort(now, m, r, prefill)
		if first <= objective(j) && float64(pause) <= p.policy.GapShare*float64(j.MaxEventGap) {
			return r, first
		}
	}
	return nil, 0
}

// chooseCheapest returns the replica with the lowest cost, which is the time to the first event
// plus the weighted excess pause, and the time to the first event there.
func (p *Planner) chooseCheapest(now time.Time, usable []*replica, j catkinspindle.Job, m catkinspindle.EngineModel, prefill time.Duration) (*replica, time.Duration) {
	best := p.lowestCost(usable, func(r *replica) float64 {
		first, pause := p.estimateShort(now, m, r, prefill)
		if over := len(r.jobs) - m.Slots + 1; over > 0 {
			// A slot becomes free when an answer ends, which is half
			// decoded on average.
			first += time.Duration(over) * iterationTime(m, r) * 3
		}
		r.estimate = first
		// An iteration that takes too long stalls all jobs that decode on r.
		over := max(0, pause-time.Duration(p.policy.GapShare*float64(j.MaxEventGap)))
		return float64(first) + float64(over)*float64(1+r.shortJobs)/p.policy.PauseWeight
	})
	return best, best.estimate
}

// reservedForShort returns how many replicas are reserved for short jobs: as many as the short
// jobs that wait or are in flight fill, plus half a replica of headroom, bounded by ShortShare.
func (p *Planner) reservedForShort(j catkinspindle.Job, m catkinspindle.EngineModel, usable []*replica) int {
	packed := slotShare(m, p.policy.PackedShare)
	n := packed/2 + p.waitingCounts[waitingQueue{servicePool{j.Service, j.Pool}, false}]
	for _, r := range usable {
		n += r.shortJobs
	}
	return min((n+packed-1)/packed, int(p.policy.ShortShare*float64(len(usable))))
}

// hasLongBacklog reports whether long prompts wait or a replica without short jobs has a prefill
// backlog.
func (p *Planner) hasLongBacklog(now time.Time, j catkinspindle.Job, usable []*replica) bool {
	if p.waitingCounts[waitingQueue{servicePool{j.Service, j.Pool}, true}] > 0 {
		return true
	}
	for _, r := range usable {
		if r.backlog(now) > p.policy.ShortMaxGap/4 && r.shortJobs == 0 {
			return true
		}
	}
	return false
}

// meetsDeadline reports whether an answer whose first event is sent after first can be decoded
// completely before the deadline. A resumed answer passes: its remaining length is unknown.
func meetsDeadline(m catkinspindle.EngineModel, r *replica, j catkinspindle.Job, first time.Duration) bool {
	events := (j.AnswerTokens + m.Stride - 1) / m.Stride
	return j.MayBePartial || first+time.Duration(max(0, events-1))*iterationTime(m, r) <= j.TimeLeft
}

// prefillGroup is a set of replicas that prefill one prompt together.
type prefillGroup struct {
	host        *replica
	helpers     []*replica
	segmentTime time.Duration
	start       time.Time
	// firstEvent is the expected time to the first event: wait, then the prefill, which the
	// slowest replica extends by slowdown.
	firstEvent, wait time.Duration
	slowdown         float64
}

// work returns the time from the begin of the prefill to the first event.
func (g prefillGroup) work() time.Duration { return g.firstEvent - g.wait }

// describe returns placed with the estimates of g.
func (g prefillGroup) describe(placed catkinspindle.Placement) catkinspindle.Placement {
	placed.ExpectedWait, placed.Slowdown = g.wait, g.slowdown
	return placed
}

// placeLong splits the prefill of a prompt between several replicas and schedules one
// prompt after the other: a replica prefills segments for others before its own, so
// prompts that overlap would delay each other. The request is not sent before the
// replicas are free.
func (p *Planner) placeLong(now time.Time, j catkinspindle.Job, m catkinspindle.EngineModel, usable []*replica) catkinspindle.Placement {
	best, ok := p.bestGroup(now, j, m, usable, false)
	if !ok {
		return refusal(j, catkinspindle.ReasonOverload, p.turn(now, j, m, usable, nextEnd(now, m, usable)), 0).WithCheck(catkinspindle.CheckReaders, 0)
	}
	limit := firstEventLimit(j, best.work())
	if best.firstEvent > limit {
		return best.describe(refusal(j, catkinspindle.ReasonOverload, p.turn(now, j, m, usable, best.firstEvent-limit), best.firstEvent).WithCheck(catkinspindle.CheckFirstEvent, limit))
	}
	if !meetsDeadline(m, best.host, j, best.firstEvent) {
		return best.describe(refusal(j, catkinspindle.ReasonOverload, p.turn(now, j, m, usable, best.wait), best.firstEvent).WithCheck(catkinspindle.CheckDeadline, limit))
	}
	a := &activeJob{job: j, replica: best.host, helpers: best.helpers, placedAt: now, sendAt: best.start.Add(-p.policy.Lead), firstEvent: best.firstEvent, segmentTime: best.segmentTime}
	if best.segmentTime <= p.policy.BypassSegment {
		// A short segment is prefilled in the next iteration and hardly delays the
		// requests in the queue.
		a.sendAt = now
	}
	if !p.fitsInMemory(m, best.host, j) && !p.reserveOnHelpers(a, m) {
		return best.describe(refusal(j, catkinspindle.ReasonOverload, p.turn(now, j, m, usable, max(best.wait, nextEnd(now, m, usable))), best.firstEvent).WithCheck(catkinspindle.CheckMemory, limit))
	}
	placed := p.accept(now, a, urgency(j, longLength))
	placed.FirstEventLimit = limit
	return best.describe(placed)
}

// firstEventLimit returns the expected time to the first event up to which j is accepted: its wait
// and its own work, which takes the given time from the begin of the prefill. It is never longer
// than its caller waits for an event, and a job whose placement failed was accepted before, so that
// nothing else limits it.
func firstEventLimit(j catkinspindle.Job, work time.Duration) time.Duration {
	if j.Replacement || j.LatencyObjective <= 0 {
		return patience(j)
	}
	return min(patience(j), waitLimit(j, work)+work)
}

// waitLimit returns how long a job may wait before its prefill begins: half of its objective, which
// leaves the other half for the work, and as long as its own work takes. A large prompt needs more
// replicas at the same time, which are free later than the first of them; it is thus accepted at the
// same load as a small one. A longer queue would answer everybody late, and hardly more callers.
func waitLimit(j catkinspindle.Job, work time.Duration) time.Duration {
	return j.LatencyObjective/2 + work
}

// patience returns the time within which the caller of j must get an event, or it leaves.
func patience(j catkinspindle.Job) time.Duration {
	if j.Patience <= 0 {
		return j.TimeLeft
	}
	return min(j.TimeLeft, j.Patience)
}

// turnQueue is a queue of refused jobs of a pool, short or long ones of one rank.
type turnQueue struct {
	servicePool
	long     bool
	priority int
}

// precedes reports whether the jobs in q have their turns before those in other.
func (q turnQueue) precedes(other turnQueue) bool {
	return q.servicePool == other.servicePool && q.long == other.long && q.priority <= other.priority
}

// turn returns after which time a refused job should be retried: not before excess, by which time the
// work ahead of it has ended as far as the job requires, nor before the turns of the jobs of its rank
// and of higher ones that were refused earlier. Turns are spaced by the time that the usable replicas
// together need for a job. A job whose turn would come after its deadline takes none.
func (p *Planner) turn(now time.Time, j catkinspindle.Job, m catkinspindle.EngineModel, usable []*replica, excess time.Duration) time.Duration {
	queue := turnQueue{servicePool{j.Service, j.Pool}, p.isLong(m, j), j.Priority}
	// Nothing changes at the replicas within an iteration.
	at := now.Add(max(excess, emptyIteration(m)))
	for other, next := range p.turns {
		if other.precedes(queue) && next.After(at) {
			at = next
		}
	}
	if at.Sub(now) < j.TimeLeft {
		p.turns[queue] = at.Add(occupancy(m, j) / time.Duration(len(usable)))
	}
	return at.Sub(now)
}

// nextEnd returns after which time the first answer is expected to end, which frees a slot and
// memory. It returns zero if there is none.
func nextEnd(now time.Time, m catkinspindle.EngineModel, usable []*replica) time.Duration {
	var first time.Time
	for _, r := range usable {
		iteration := iterationTime(m, r)
		for _, a := range r.jobs {
			if end := a.end(m.Stride, iteration); first.IsZero() || end.Before(first) {
				first = end
			}
		}
	}
	return max(0, first.Sub(now))
}

// emptyIteration returns the duration of an iteration of an engine with a single job.
func emptyIteration(m catkinspindle.EngineModel) time.Duration {
	return time.Duration(m.Stride) * (m.Step + m.PerSequence)
}

// occupancy returns how long j keeps a replica busy: its prefill, or its share of the iterations
// that decode the answer if that is longer.
func occupancy(m catkinspindle.EngineModel, j catkinspindle.Job) time.Duration {
	events := (j.AnswerTokens + m.Stride - 1) / m.Stride
	full := time.Duration(m.Stride) * (m.Step + time.Duration(m.Slots)*m.PerSequence)
	return max(prefillTime(m, j.PromptTokens), time.Duration(events)*full/time.Duration(m.Slots))
}

// bestGroup returns the group with the earliest first event. It includes replicas that decode long
// answers, which pause for longer than they should, only if pauses are allowed.
func (p *Planner) bestGroup(now time.Time, j catkinspindle.Job, m catkinspindle.EngineModel, usable []*replica, allowPauses bool) (prefillGroup, bool) {
	prefill := prefillTime(m, j.PromptTokens)
	candidates := make([]*replica, 0, len(usable))
	for _, r := range usable {
		if !r.health.onProbation {
			r.resetScratch(now, m)
			candidates = append(candidates, r)
		}
	}
	reserved := p.reservedForShort(j, m, usable)
	free := make([]*replica, 0, len(candidates))
	var best prefillGroup
	found := false
	maxSize := min(len(usable), p.policy.MaxHelpers+1)
	for k := 1; k <= maxSize; k++ {
		segmentTime := prefill / time.Duration(k)
		if k > 1 && segmentTime < p.policy.MinSegment {
			break
		}
		free = p.segmentCandidates(now, candidates, reserved, segmentTime, allowPauses, free[:0])
		g, ok := p.buildGroup(now, j, m, free, segmentTime, k)
		if ok && (!found || g.firstEvent < best.firstEvent) {
			best, found = g, true
		}
	}
	return best, found
}

// segmentCandidates appends to list the replicas that can prefill a segment, and sets their
// availableAt and helperKey.
func (p *Planner) segmentCandidates(now time.Time, candidates []*replica, reserved int, segmentTime time.Duration, allowPauses bool, list []*replica) []*replica {
	for i, r := range candidates {
		r.availableAt = r.idleAt
		if !p.toleratesSegment(r, segmentTime) {
			switch {
			case i < reserved || (r.shortJobs == 0 && !allowPauses):
				continue
			case r.shortJobs == 0:
				r.helperKey = p.helperAvailableAt(now, r)
				list = append(list, r)
				continue
			}
			// No short jobs are placed on a replica with a long segment ahead.
			if end := p.shortJobsEnd(now, r); end.After(r.availableAt) {
				r.availableAt = end
			}
		}
		r.helperKey = p.helperAvailableAt(now, r)
		list = append(list, r)
	}
	return list
}

// buildGroup returns a host, which keeps the prompt's cache and decodes the answer, and the k-1
// other replicas of free with the lowest helper keys.
func (p *Planner) buildGroup(now time.Time, j catkinspindle.Job, m catkinspindle.EngineModel, free []*replica, segmentTime time.Duration, k int) (prefillGroup, bool) {
	if len(free) < k {
		return prefillGroup{}, false
	}
	host := p.chooseHost(now, j, m, free)
	if host == nil {
		return prefillGroup{}, false
	}
	g := prefillGroup{host: host, segmentTime: segmentTime, start: host.availableAt, helpers: make([]*replica, 0, k)}
	for _, r := range free {
		if r != host {
			g.helpers = insertSorted(g.helpers, r, k-1, compareHelperKey)
		}
	}
	slowdown := host.slowdown
	for _, r := range g.helpers {
		slowdown = max(slowdown, r.slowdown)
		if r.availableAt.After(g.start) {
			g.start = r.availableAt
		}
	}
	wait := g.start.Sub(now)
	if segmentTime <= p.policy.BypassSegment {
		wait = min(wait, p.policy.BypassWait)
	}
	g.wait, g.slowdown = wait, slowdown
	g.firstEvent = wait + time.Duration(float64(segmentTime)*slowdown) + iterationTime(m, host)*3/2
	return g, true
}

func compareHelperKey(a, b *replica) int { return a.helperKey.Compare(b.helperKey) }

// helperAvailableAt returns when r is free to help. Replicas that are decoding count as later,
// because each of their iterations also decodes.
func (p *Planner) helperAvailableAt(now time.Time, r *replica) time.Time {
	if len(r.jobs) > 0 && !r.availableAt.After(now.Add(p.policy.WriterCost)) {
		return r.availableAt.Add(r.iteration + p.policy.WriterCost)
	}
	return r.availableAt
}

// shortJobsEnd estimates when the last of the short jobs on r ends.
func (p *Planner) shortJobsEnd(now time.Time, r *replica) time.Time {
	if !r.shortEnd.IsZero() {
		return r.shortEnd
	}
	r.shortEnd = now
	for _, a := range r.jobs {
		if a.job.MaxEventGap > p.policy.ShortMaxGap {
			continue
		}
		if end := a.end(r.stride, r.iteration); end.After(r.shortEnd) {
			r.shortEnd = end
		}
	}
	return r.shortEnd
}

// toleratesSegment reports whether the jobs that decode on r tolerate the pause of an
// iteration that prefills a segment of this size.
func (p *Planner) toleratesSegment(r *replica, segmentTime time.Duration) bool {
	if r.allowedPause <= 0 {
		return true
	}
	iteration := r.iteration + time.Duration(float64(segmentTime)*r.slowdown)
	if r.allowedPause <= p.policy.ShortMaxGap {
		iteration += r.queueTime
	}
	return float64(iteration) <= p.policy.GapShare*float64(r.allowedPause)
}

// chooseHost chooses the replica that keeps the prompt's cache and decodes the answer. Long
// answers are packed onto few replicas, because a decoding replica prefills more slowly.
// One with too little memory for the prompt costs more than one with enough; helpers then
// reserve the rest.
func (p *Planner) chooseHost(now time.Time, j catkinspindle.Job, m catkinspindle.EngineModel, free []*replica) *replica {
	var best *replica
	var least time.Duration
	for _, r := range free {
		if len(r.jobs) >= m.Slots || !r.mayHost {
			continue
		}
		cost := r.availableAt.Sub(now)
		switch {
		case !p.fitsInMemory(m, r, j):
			cost += p.policy.HoldCost + time.Duration(float64(p.policy.HoldCost)*float64(r.tokens)/float64(m.KVCacheTokens))
		case r.shortJobs > 0 || len(r.jobs) == 0:
			cost += p.policy.OpenCost
		}
		if best == nil || cost < least || (cost == least && compareHelperKey(r, best) < 0) {
			best, least = r, cost
		}
	}
	return best
}

// reserveOnHelpers reserves memory on the helpers for the part of the prompt that does not fit
// on the host, and reports whether they have enough.
func (p *Planner) reserveOnHelpers(a *activeJob, m catkinspindle.EngineModel) bool {
	room := func(r *replica) int { return int(p.policy.MemoryShare*float64(m.KVCacheTokens)) - r.tokens }
	slices.SortStableFunc(a.helpers, func(x, y *replica) int { return cmp.Compare(room(y), room(x)) })
	a.reservations = make([]int, len(a.helpers))
	left := a.job.PromptTokens - max(0, int(p.policy.HostMemoryShare*float64(room(a.replica)))-a.job.AnswerTokens)
	for i, h := range a.helpers {
		if left <= 0 {
			break
		}
		a.reservations[i] = min(left, room(h))
		if a.reservations[i] < p.policy.MinReservation {
			break
		}
		left -= a.reservations[i]
	}
	return left <= 0
}
