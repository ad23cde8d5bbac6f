package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/schedule"
)

const (
	// dispatchLead is how long before its replicas are free a waiting prompt is placed: the reports
	// of ended jobs take that long, and until then it can still be put behind another one.
	dispatchLead = 100 * time.Millisecond
	// maxVainTries bounds the jobs in a row that are tried without success in one pass over a queue.
	maxVainTries = 8
	// lateRoom is the share of its time for which a late job may have to wait for the jobs that are there
	// when it becomes late: others that come later and can be in time go before it.
	lateRoom = 0.5
	// keptShare is of how many long jobs one is kept: it is delayed for half of its time at most, however much
	// work it needs. The choice follows from the ID and does not change. So the largest prompts are
	// served at least half as often as all.
	keptShare = 2
)

// waitingQueue is a queue of waiting jobs, short or long ones.
type waitingQueue struct {
	servicePool
	long bool
}

// waitingJob is a job that has been offered and is neither placed nor refused.
type waitingJob struct {
	job       catkinspindle.Job
	offeredAt time.Time
	queue     waitingQueue
	// mayBeLate is true once the job has been found to be served although it is late.
	mayBeLate bool
}

// at returns the job as it is at a time.
func (w *waitingJob) at(now time.Time) catkinspindle.Job { return w.job.After(now.Sub(w.offeredAt)) }

// MayWait reports whether j may wait at a planner. An attempt that replaces another one, or goes on
// with an answer, was accepted before and goes first; a job without an objective has none to miss.
func MayWait(j catkinspindle.Job) bool {
	return j.PromptTokens > 0 && j.LatencyObjective > 0 && !j.Replacement && !j.MayBePartial
}

// Offer places or refuses j, or lets it wait until Dispatch decides.
func (p *Planner) Offer(now time.Time, j catkinspindle.Job, authority catkinspindle.RateAuthority) catkinspindle.Placement {
	p.mu.Lock()
	defer p.mu.Unlock()
	usable, model, final := p.candidates(now, j, authority)
	if final != nil {
		return *final
	}
	if j.Hold <= 0 || !MayWait(j) {
		return p.placePrompt(now, j, *model, usable)
	}
	queue := waitingQueue{servicePool{j.Service, j.Pool}, p.isLong(*model, j)}
	p.waiting[j.ID] = &waitingJob{job: j, offeredAt: now, queue: queue}
	p.waitingCounts[queue]++
	if p.waitingCounts[queue] == 1 { // Otherwise there was no room for the others.
		if decided := p.dispatchQueue(now, queue, authority); len(decided) > 0 {
			return decided[0]
		}
	}
	return catkinspindle.Placement{JobID: j.ID, Waiting: true}
}

// Dispatch places or refuses the jobs of a pool that need not wait any longer.
func (p *Planner) Dispatch(now time.Time, service string, pool catkinspindle.Pool, authority catkinspindle.RateAuthority) []catkinspindle.Placement {
	p.mu.Lock()
	defer p.mu.Unlock()
	key := servicePool{service, pool}
	return append(p.dispatchQueue(now, waitingQueue{key, false}, authority), p.dispatchQueue(now, waitingQueue{key, true}, authority)...)
}

// WaitingJobs returns the number of jobs that wait.
func (p *Planner) WaitingJobs() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.waiting)
}

func (p *Planner) removeWaiting(id string) {
	w, ok := p.waiting[id]
	if !ok {
		return
	}
	delete(p.waiting, id)
	if p.waitingCounts[w.queue]--; p.waitingCounts[w.queue] == 0 {
		delete(p.waitingCounts, w.queue)
	}
}

// dispatchQueue places the jobs of a queue for which there is room, in the order of package schedule,
// and refuses those that cannot be served in this order.
func (p *Planner) dispatchQueue(now time.Time, queue waitingQueue, authority catkinspindle.RateAuthority) (decided []catkinspindle.Placement) {
	if p.waitingCounts[queue] == 0 {
		return nil
	}
	usable := p.usableReplicas(now, catkinspindle.Job{Service: queue.service, Pool: queue.pool}, authority)
	model := p.services[queue.service]
	if model == nil || len(usable) == 0 {
		return p.refuseAll(now, queue)
	}
	order, unserved := p.order(now, queue, *model, usable)
	order, turnedAway := p.admit(now, order)
	for _, s := range append(unserved, turnedAway...) {
		decided = append(decided, p.refuseWaiting(now, s, *model, usable))
	}
	yieldTo := p.yieldTo(queue)
	if queue.long {
		delete(p.lateRanks, queue.servicePool)
	}
	vain, anyInTime, blocked := 0, false, false
	for _, s := range order {
		w := p.waiting[s.ID]
		switch {
		case s.Rank > yieldTo:
			continue
		case blocked && !p.bypasses(*model, w.job):
			continue
		}
		if vain >= maxVainTries || (s.Late && anyInTime) {
			break
		}
		placed, ok, blocks := p.try(now, w, s, *model, p.withoutAvoided(w.job, usable))
		if !ok {
			vain++
			anyInTime = anyInTime || (!s.Late && !blocks)
			blocked = blocked || blocks
			p.recordLate(queue, s)
			continue
		}
		vain = 0
		p.removeWaiting(s.ID)
		decided = append(decided, placed)
	}
	return decided
}

// yieldTo returns the lowest rank of which jobs of a queue may be placed. Jobs of a lower rank would
// take the replicas of jobs of the other queue: of long ones that are late, or of short ones, whose
// objectives leave no time to wait.
func (p *Planner) yieldTo(queue waitingQueue) int {
	highest := math.MaxInt
	if !queue.long {
		if rank, ok := p.lateRanks[queue.servicePool]; ok {
			highest = rank
		}
		return highest
	}
	short := waitingQueue{queue.servicePool, false}
	if p.waitingCounts[short] == 0 {
		return highest
	}
	for _, w := range p.waiting {
		if w.queue == short {
			highest = min(highest, w.job.Priority)
		}
	}
	return highest
}

// recordLate records the highest rank of the long jobs of a pool that are late and wait.
func (p *Planner) recordLate(queue waitingQueue, s schedule.Job) {
	if !queue.long || !s.Late {
		return
	}
	if rank, ok := p.lateRanks[queue.servicePool]; !ok || s.Rank < rank {
		p.lateRanks[queue.servicePool] = s.Rank
	}
}

// bypasses reports whether the segments of j are so short that they go ahead of the queue.
func (p *Planner) bypasses(m catkinspindle.EngineModel, j catkinspindle.Job) bool {
	return prefillTime(m, j.PromptTokens)/time.Duration(p.policy.MaxHelpers+1) <= p.policy.BypassSegment
}

// admit returns the jobs of an order that may wait, and those that are turned away: once a job is late
// it must have time to wait for others that come later.
func (p *Planner) admit(now time.Time, order []schedule.Job) (admitted, turnedAway []schedule.Job) {
	for _, s := range order {
		w := p.waiting[s.ID]
		if s.Late && s.Keep.IsZero() && !w.mayBeLate && s.Begin.Sub(now) > usableTime(now, s) {
			turnedAway = append(turnedAway, s)
			continue
		}
		w.mayBeLate = w.mayBeLate || s.Late
		admitted = append(admitted, s)
	}
	return admitted, turnedAway
}

// withoutAvoided returns the replicas that j does not avoid; all if it avoids all of them.
func (p *Planner) withoutAvoided(j catkinspindle.Job, usable []*replica) []*replica {
	if len(j.Avoid) == 0 {
		return usable
	}
	avoided := make(map[string]bool, len(j.Avoid))
	for _, id := range j.Avoid {
		avoided[id] = true
	}
	var list []*replica
	for _, r := range usable {
		if !avoided[r.ID] {
			list = append(list, r)
		}
	}
	if len(hosts(list)) == 0 {
		return usable
	}
	return list
}

// refuseAll refuses the jobs of a queue, because the service has no replica.
func (p *Planner) refuseAll(now time.Time, queue waitingQueue) (decided []catkinspindle.Placement) {
	for id, w := range p.waiting {
		if w.queue == queue {
			p.removeWaiting(id)
			decided = append(decided, refusal(w.at(now), catkinspindle.ReasonNoBackend, p.policy.NoReplicaRetry, 0))
		}
	}
	return decided
}

// usableTime returns for how long a late job may wait for the jobs ahead of it.
func usableTime(now time.Time, s schedule.Job) time.Duration {
	return time.Duration(lateRoom * float64(s.End.Sub(now)))
}

// refuseWaiting refuses a job that could only begin after its end.
func (p *Planner) refuseWaiting(now time.Time, s schedule.Job, m catkinspindle.EngineModel, usable []*replica) catkinspindle.Placement {
	j := p.waiting[s.ID].at(now)
	p.removeWaiting(s.ID)
	expected := s.Begin.Sub(now) + leastWork(m, j, p.policy.MaxHelpers+1, emptyIteration(m))
	excess := s.Begin.Sub(now) - usableTime(now, s)
	return refusal(j, catkinspindle.ReasonOverload, p.turn(now, j, m, usable, excess), expected).WithCheck(catkinspindle.CheckQueue, patience(j))
}

// shortOccupancy returns how long a short job keeps a replica busy: its prefill, and its share of the
// iterations that decode its answer.
func shortOccupancy(m catkinspindle.EngineModel, j catkinspindle.Job, iteration time.Duration) time.Duration {
	events := (j.AnswerTokens + m.Stride - 1) / m.Stride
	return prefillTime(m, j.PromptTokens) + time.Duration(events)*iteration/time.Duration(m.Slots)
}

// leastWork returns the shortest time from the begin of the prefill to the first event if it is split
// between a number of replicas.
func leastWork(m catkinspindle.EngineModel, j catkinspindle.Job, replicas int, iteration time.Duration) time.Duration {
	return prefillTime(m, j.PromptTokens)/time.Duration(replicas) + iteration*3/2
}

// order returns the jobs of a queue in the order in which they should begin, and those that cannot be
// served.
func (p *Planner) order(now time.Time, queue waitingQueue, m catkinspindle.EngineModel, usable []*replica) (order, unserved []schedule.Job) {
	jobs := make([]schedule.Job, 0, p.waitingCounts[queue])
	var iterations, backlog time.Duration
	// earliest is the shortest time to the first event of an empty prompt.
	earliest := time.Duration(math.MaxInt64)
	for _, r := range usable {
		iterations += iterationTime(m, r)
		backlog += r.backlog(now)
		if len(r.jobs) < m.Slots {
			first, _ := p.estimateShort(now, m, r, 0)
			earliest = min(earliest, first)
		}
	}
	iteration := iterations / time.Duration(len(usable))
	begin, servers := now, float64(len(usable))
	if queue.long {
		servers = max(1, servers-float64(p.reservedForShort(catkinspindle.Job{Service: queue.service, Pool: queue.pool}, m, usable)))
		begin = now.Add(time.Duration(float64(backlog) / servers))
	} else if earliest == math.MaxInt64 {
		earliest = iteration * 3 / 2
		begin = now.Add(nextEnd(now, m, usable))
	}
	for id, w := range p.waiting {
		if w.queue != queue {
			continue
		}
		j := w.at(now)
		s := schedule.Job{ID: id, Rank: j.Priority}
		var least time.Duration
		if queue.long {
			least = leastWork(m, j, p.policy.MaxHelpers+1, iteration)
			s.Work = prefillTime(m, j.PromptTokens)
		} else {
			segment, _ := p.splitShort(j, m, usable)
			least = segment + earliest
			s.Work = shortOccupancy(m, j, iteration)
		}
		events := (j.AnswerTokens + m.Stride - 1) / m.Stride
		decoding := time.Duration(max(0, events-1)) * iteration
		s.Due = now.Add(objective(j) - least)
		// First events come up to two iterations later than estimated.
		s.End = now.Add(min(patience(j), j.TimeLeft-decoding) - least - 2*iteration)
		if queue.long && xxhash.Sum64String(id)%keptShare == 0 {
			s.Keep = w.offeredAt.Add(s.End.Sub(w.offeredAt) / 2)
		}
		jobs = append(jobs, s)
	}
	slices.SortFunc(jobs, func(a, b schedule.Job) int { return cmp.Compare(a.ID, b.ID) })
	return schedule.Order(begin, servers, jobs)
}

// try places a waiting job if there is room for it now. blocks is true if the jobs behind it must not
// go before it.
func (p *Planner) try(now time.Time, w *waitingJob, s schedule.Job, m catkinspindle.EngineModel, usable []*replica) (placed catkinspindle.Placement, ok, blocks bool) {
	if w.queue.long {
		return p.tryLong(now, w.at(now), m, usable, !s.Keep.IsZero() && now.After(s.Keep))
	}
	placed, ok = p.tryShort(now, w.at(now), s.Late, m, usable)
	return placed, ok, false
}

// tryShort places a short job on a replica that sends its first event within the objective; one that
// is late on the replica that sends it first without delaying the jobs that decode there.
func (p *Planner) tryShort(now time.Time, j catkinspindle.Job, late bool, m catkinspindle.EngineModel, usable []*replica) (catkinspindle.Placement, bool) {
	segment, k := p.splitShort(j, m, usable)
	best, expected := p.choosePacked(now, hosts(usable), p.packedLimit(now, j, m, usable), j, m, segment)
	if best == nil {
		best, expected = p.chooseUndisturbed(now, hosts(usable), j, m, segment)
		if best == nil || (!late && expected > objective(j)) {
			return catkinspindle.Placement{}, false
		}
	}
	a := &activeJob{job: j, replica: best, placedAt: now, firstEvent: expected, segmentTime: segment, helpers: p.leastPrefill(now, usable, best, k-1)}
	return p.accept(now, a, urgency(j, shortLength)), true
}

// chooseUndisturbed returns the replica with a free slot that is expected to send the first event of j
// first and pauses for no longer than GapShare allows.
func (p *Planner) chooseUndisturbed(now time.Time, usable []*replica, j catkinspindle.Job, m catkinspindle.EngineModel, prefill time.Duration) (best *replica, expected time.Duration) {
	for _, r := range usable {
		if len(r.jobs) >= m.Slots || !p.fitsInMemory(m, r, j) {
			continue
		}
		first, pause := p.estimateShort(now, m, r, prefill)
		if float64(pause) <= p.policy.GapShare*float64(j.MaxEventGap) && (best == nil || first < expected) {
			best, expected = r, first
		}
	}
	return best, expected
}

// tryLong places a long job if the replicas that prefill it are free soon.
func (p *Planner) tryLong(now time.Time, j catkinspindle.Job, m catkinspindle.EngineModel, usable []*replica, allowPauses bool) (placed catkinspindle.Placement, ok, blocks bool) {
	best, found := p.bestGroup(now, j, m, usable, allowPauses)
	if !found {
		return placed, false, false
	}
	bypasses := best.segmentTime <= p.policy.BypassSegment
	if !bypasses && best.start.Sub(now) > dispatchLead {
		return placed, false, true
	}
	a := &activeJob{job: j, replica: best.host, helpers: best.helpers, placedAt: now, sendAt: best.start.Add(-p.policy.Lead), firstEvent: best.firstEvent, segmentTime: best.segmentTime}
	if bypasses {
		a.sendAt = now
	}
	if !p.fitsInMemory(m, best.host, j) && !p.reserveOnHelpers(a, m) {
		return placed, false, false
	}
	placed = p.accept(now, a, urgency(j, longLength))
	placed.FirstEventLimit = patience(j)
	return best.describe(placed), true, false
}
