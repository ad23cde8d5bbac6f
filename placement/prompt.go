package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/catkinspindle/catkinspindle"
)

// readTime estimates how long one replica takes to prefill a prompt of so many tokens.
func readTime(m catkinspindle.EngineModel, tokens int) time.Duration {
	n := float64(tokens)
	linear := n / m.ReadRate * float64(time.Second)
	pairs := n * n / 2 / 1e6 * float64(m.PairTime)
	return time.Duration(linear + pairs)
}

// passTime estimates the duration of the Stride decoding steps for one event, with one more
// decoding job on r.
func passTime(m catkinspindle.EngineModel, r *replica) time.Duration {
	step := m.Step + time.Duration(len(r.jobs)+1)*m.PerSequence + time.Duration(float64(r.tokens)/1000*float64(m.PerContext))
	return time.Duration(float64(m.Stride) * float64(step) * r.pace)
}

// Urgencies of jobs that are queued at a replica, by how long their prefill delays others.
const (
	urgencyShort = 3
	urgencyLong  = 5
)

func (p *Planner) placePrompt(now time.Time, j catkinspindle.Job, m catkinspindle.EngineModel, usable []*replica) catkinspindle.Placement {
	if j.MaxPause <= p.policy.ShortPause && readTime(m, j.Prompt) <= p.policy.LongRead {
		return p.placeShort(now, j, m, usable)
	}
	return p.placeLong(now, j, m, usable)
}

func (p *Planner) fits(m catkinspindle.EngineModel, r *replica, j catkinspindle.Job) bool {
	return float64(r.tokens+j.Prompt+j.Answer) <= p.policy.MemoryShare*float64(m.Memory)
}

// placeShort packs short jobs: it fills the replicas one after the other, so that the
// rest stays free for long prompts.
func (p *Planner) placeShort(now time.Time, j catkinspindle.Job, m catkinspindle.EngineModel, usable []*replica) catkinspindle.Placement {
	read := readTime(m, j.Prompt)
	limit := places(m, p.policy.Spread)
	if p.longWaits(now, usable) {
		limit = places(m, p.policy.Packed)
	}
	k := 1
	if read > p.policy.SplitRead {
		k = min(len(usable), p.policy.MaxHelpers+1, int(read/p.policy.SplitRead)+1)
		read /= time.Duration(k)
	}
	best, expected := p.choosePacked(now, usable, limit, j, m, read)
	if best == nil {
		best, expected = p.chooseLeast(now, usable, j, m, read)
	}
	if limit := p.shortLimit(j); expected > limit {
		return refuse(j, catkinspindle.ReasonOverload, p.retryAfter(j, expected), expected).WithCheck(catkinspindle.CheckFirst, limit)
	}
	if !endsInTime(m, best, j, expected) {
		return refuse(j, catkinspindle.ReasonOverload, p.retryAfter(j, expected), expected).WithCheck(catkinspindle.CheckEnd, j.Left)
	}
	o := &open{job: j, replica: best, placed: now, first: expected, part: read, helpers: p.leastAhead(now, usable, best, k-1)}
	return p.commit(now, o, urgencyShort)
}

// places returns a fraction of an engine's slots, at least one.
func places(m catkinspindle.EngineModel, part float64) int {
	return max(1, int(math.Round(part*float64(m.Slots))))
}

// leastAhead returns the n replicas with the least prefill in progress, without host.
func (p *Planner) leastAhead(now time.Time, usable []*replica, host *replica, n int) []*replica {
	if n == 0 {
		return nil
	}
	list := make([]*replica, 0, n+1)
	for _, r := range usable {
		if r == host || r.health.probation {
			continue
		}
		r.ahead, _ = r.sent(now)
		list = insert(list, r, n, func(a, b *replica) int { return cmp.Compare(a.ahead, b.ahead) })
	}
	return list
}

// insert adds r to a sorted list of at most n replicas, after those that compare equal.
func insert(list []*replica, r *replica, n int, compare func(a, b *replica) int) []*replica {
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

// shortFirst estimates the time to the first event of a short job on r, which is prefilled
// in the iteration after the current one, and the pause that it causes there.
func (p *Planner) shortFirst(now time.Time, m catkinspindle.EngineModel, r *replica, read time.Duration) (first, pause time.Duration) {
	ahead, later := r.sent(now)
	pass := passTime(m, r)
	own := time.Duration(float64(read) * r.pace)
	return ahead + own + pass*3/2, pass + max(later, ahead+own)
}

// choosePacked returns the first replica in order that runs fewer than limit short jobs, is
// expected to send the first event within 80 % of the job's Aim, and pauses for short enough.
func (p *Planner) choosePacked(now time.Time, usable []*replica, limit int, j catkinspindle.Job, m catkinspindle.EngineModel, read time.Duration) (*replica, time.Duration) {
	for _, r := range usable {
		if r.shorts >= limit || len(r.jobs) >= m.Slots || !p.fits(m, r, j) {
			continue
		}
		first, pause := p.shortFirst(now, m, r, read)
		if first <= j.Aim*8/10 && float64(pause) <= p.policy.PauseShare*float64(j.MaxPause) {
			return r, first
		}
	}
	return nil, 0
}

// chooseLeast returns the replica with the lowest cost by time to the first event and pauses.
func (p *Planner) chooseLeast(now time.Time, usable []*replica, j catkinspindle.Job, m catkinspindle.EngineModel, read time.Duration) (*replica, time.Duration) {
	best := p.least(usable, func(r *replica) float64 {
		first, pause := p.shortFirst(now, m, r, read)
		if over := len(r.jobs) - m.Slots + 1; over > 0 {
			// A slot becomes free when an answer ends, which is half
			// decoded on average.
			first += time.Duration(over) * passTime(m, r) * 3
		}
		r.ahead = first
		// An iteration that takes too long stalls all jobs that decode on r.
		over := max(0, pause-time.Duration(p.policy.PauseShare*float64(j.MaxPause)))
		return float64(first) + float64(over)*float64(1+r.shorts)/p.policy.PauseWeight
	})
	return best, best.ahead
}

// reserved returns how many replicas are reserved for short jobs: as many as those in
// flight fill, plus half a replica of headroom.
func (p *Planner) reserved(m catkinspindle.EngineModel, usable []*replica) int {
	packed := places(m, p.policy.Packed)
	n := packed / 2
	for _, r := range usable {
		n += r.shorts
	}
	return min((n+packed-1)/packed, int(p.policy.ShortShare*float64(len(usable))))
}

// longWaits reports whether a replica without short jobs has a prefill backlog.
func (p *Planner) longWaits(now time.Time, usable []*replica) bool {
	for _, r := range usable {
		if r.backlog(now) > p.policy.ShortPause/4 && r.shorts == 0 {
			return true
		}
	}
	return false
}

// endsInTime reports whether an answer whose first event is sent after first can be decoded
// completely before the deadline. A resumed one passes: its remaining length is unknown.
func endsInTime(m catkinspindle.EngineModel, r *replica, j catkinspindle.Job, first time.Duration) bool {
	events := (j.Answer + m.Stride - 1) / m.Stride
	return j.Again || first+time.Duration(max(0, events-1))*passTime(m, r) <= j.Left
}

// shortLimit returns the longest time to the first event with which a short job is admitted.
func (p *Planner) shortLimit(j catkinspindle.Job) time.Duration {
	if j.Returned {
		return min(j.Left, p.policy.ReturnShort)
	}
	return min(j.Left, time.Duration(p.policy.LateFactor*float64(max(j.Aim, 0)))+p.policy.MinRetry)
}

// gang is a set of replicas that prefill one prompt together.
type gang struct {
	host    *replica
	helpers []*replica
	part    time.Duration
	start   time.Time
	first   time.Duration
}

// placeLong splits the prefill of a prompt between several replicas and schedules one
// prompt after the other: a replica prefills segments for others before its own, so
// prompts that overlap would delay each other. The request is not sent before the
// replicas are free.
func (p *Planner) placeLong(now time.Time, j catkinspindle.Job, m catkinspindle.EngineModel, usable []*replica) catkinspindle.Placement {
	demand := p.demandOf(j)
	accepted := p.longLimit(m, j, demand.behind(j.Prompt, p.policy.BehindShare))
	caller := demand.ask(now, j)
	best, ok := p.bestGang(now, j, m, usable, accepted)
	if !ok {
		return refuse(j, catkinspindle.ReasonOverload, p.retryAfter(j, 0), 0).WithCheck(catkinspindle.CheckReaders, 0)
	}
	// A job that would be late even on idle replicas gains nothing from a retry.
	idle := best.part + passTime(m, best.host)*3/2 + p.policy.IdleWait
	limit := min(j.Left, max(accepted, idle))
	if check, ok := p.check(m, best, j, limit); !ok {
		return refuse(j, catkinspindle.ReasonOverload, p.retryAfter(j, best.first), best.first).WithCheck(check, limit)
	}
	o := &open{job: j, replica: best.host, helpers: best.helpers, placed: now, start: best.start.Add(-p.policy.Lead), first: best.first, part: best.part}
	if best.part <= p.policy.JumpPart {
		// A short segment is prefilled in the next iteration and hardly delays the
		// requests in the queue.
		o.start = now
	}
	if !p.fits(m, best.host, j) && !p.spreadMemory(o, m) {
		return refuse(j, catkinspindle.ReasonOverload, p.retryAfter(j, best.first), best.first).WithCheck(catkinspindle.CheckMemory, limit)
	}
	demand.set(caller, true)
	o.caller = caller
	placed := p.commit(now, o, urgencyLong)
	placed.Limit = limit
	return placed
}

// check returns the check that j fails on g, or ok when it passes all.
func (p *Planner) check(m catkinspindle.EngineModel, g gang, j catkinspindle.Job, limit time.Duration) (failed catkinspindle.Check, ok bool) {
	switch {
	case g.first > limit:
		return catkinspindle.CheckFirst, false
	case !endsInTime(m, g.host, j, g.first):
		return catkinspindle.CheckEnd, false
	default:
		return "", true
	}
}

// longLimit returns the longest expected time to the first event with which a long job is
// admitted. An underserved size may miss its Aim: the largest prompts need most of it for
// their prefill, and would be refused whenever smaller ones, which can wait longer, go first.
func (p *Planner) longLimit(m catkinspindle.EngineModel, j catkinspindle.Job, behind bool) time.Duration {
	limit := p.usualLimit(m, j)
	if !behind {
		return limit
	}
	return max(limit, time.Duration(p.policy.BehindLimit*float64(j.Left)))
}

// usualLimit returns the limit of a size that is not underserved. A job that would miss its
// Aim is refused while others can meet theirs; a retried job has waited already and is
// admitted whenever there is time.
func (p *Planner) usualLimit(m catkinspindle.EngineModel, j catkinspindle.Job) time.Duration {
	if j.Returned {
		grown := 2*float64(readTime(m, j.Prompt))/float64(p.policy.BigRead) - 1
		share := p.policy.ReturnShare + (p.policy.BigReturn-p.policy.ReturnShare)*min(1, max(0, grown))
		return time.Duration(share * float64(j.Left))
	}
	return min(time.Duration(p.policy.LateLong*float64(j.Aim)), j.Left)
}

// retryAfter returns when a refused caller should retry: after the prefill that is queued
// now, and late enough for a burst to end and for the retry to be recognized by the time
// that it has left.
func (p *Planner) retryAfter(j catkinspindle.Job, first time.Duration) time.Duration {
	return max(p.policy.MinRetry, first-j.Aim, time.Duration(p.policy.RetryShare*float64(j.Left)))
}

// bestGang returns the gang with the earliest first event. A retried job misses its Aim in
// any case, and gets the smallest gang within its limit.
func (p *Planner) bestGang(now time.Time, j catkinspindle.Job, m catkinspindle.EngineModel, usable []*replica, limit time.Duration) (gang, bool) {
	read := readTime(m, j.Prompt)
	readers := make([]*replica, 0, len(usable))
	for _, r := range usable {
		if !r.health.probation {
			r.look(now, m)
			readers = append(readers, r)
		}
	}
	reserved := p.reserved(m, usable)
	free := make([]*replica, 0, len(readers))
	var best gang
	found := false
	most := min(len(usable), p.policy.MaxHelpers+1)
	for k := 1; k <= most; k++ {
		part := read / time.Duration(k)
		if k > 1 && part < p.policy.MinPart {
			break
		}
		free = p.canRead(now, readers, reserved, part, free[:0])
		g, ok := p.gang(now, j, m, free, part, k)
		if ok && j.Returned && g.first <= limit {
			return g, true
		}
		if ok && (!found || g.first < best.first) {
			best, found = g, true
		}
	}
	return best, found
}

// canRead appends to list the replicas that can prefill a segment, and sets begins and key.
func (p *Planner) canRead(now time.Time, readers []*replica, reserved int, part time.Duration, list []*replica) []*replica {
	for i, r := range readers {
		r.begins = r.idleAt
		if !p.bears(r, part) {
			if i < reserved || r.shorts == 0 {
				continue
			}
			// No short jobs are placed on a replica with a long segment ahead.
			if end := p.drained(now, r); end.After(r.begins) {
				r.begins = end
			}
		}
		r.key = p.cost(now, r)
		list = append(list, r)
	}
	return list
}

// gang returns a host, which keeps the prompt's cache and decodes the answer, and the k-1
// other replicas of free with the lowest keys.
func (p *Planner) gang(now time.Time, j catkinspindle.Job, m catkinspindle.EngineModel, free []*replica, part time.Duration, k int) (gang, bool) {
	if len(free) < k {
		return gang{}, false
	}
	host := p.host(now, j, m, free)
	if host == nil {
		return gang{}, false
	}
	g := gang{host: host, part: part, start: host.begins, helpers: make([]*replica, 0, k)}
	for _, r := range free {
		if r != host {
			g.helpers = insert(g.helpers, r, k-1, byKey)
		}
	}
	pace := host.pace
	for _, r := range g.helpers {
		pace = max(pace, r.pace)
		if r.begins.After(g.start) {
			g.start = r.begins
		}
	}
	wait := g.start.Sub(now)
	if part <= p.policy.JumpPart {
		wait = min(wait, p.policy.JumpWait)
	}
	g.first = wait + time.Duration(float64(part)*pace) + passTime(m, host)*3/2
	return g, true
}

func byKey(a, b *replica) int { return a.key.Compare(b.key) }

// cost returns when r is free to help. Replicas that are decoding count as later, because
// each of their iterations also decodes.
func (p *Planner) cost(now time.Time, r *replica) time.Time {
	if len(r.jobs) > 0 && !r.begins.After(now.Add(p.policy.WriterCost)) {
		return r.begins.Add(r.pass + p.policy.WriterCost)
	}
	return r.begins
}

// drained estimates when the last of the short jobs on r ends.
func (p *Planner) drained(now time.Time, r *replica) time.Time {
	if !r.drains.IsZero() {
		return r.drains
	}
	r.drains = now
	for _, o := range r.jobs {
		if o.job.MaxPause > p.policy.ShortPause {
			continue
		}
		events := o.job.Answer/max(1, r.stride) + 1
		if end := o.placed.Add(o.first + time.Duration(events)*r.pass); end.After(r.drains) {
			r.drains = end
		}
	}
	return r.drains
}

// bears reports whether the jobs that decode on r tolerate the pause of an iteration that
// prefills a segment of this size.
func (p *Planner) bears(r *replica, part time.Duration) bool {
	if r.allowed <= 0 {
		return true
	}
	pass := r.pass + time.Duration(float64(part)*r.pace)
	if r.allowed <= p.policy.ShortPause {
		pass += r.waits
	}
	return float64(pass) <= p.policy.PauseShare*float64(r.allowed)
}

// host chooses the replica that keeps the prompt's cache and decodes the answer. Long
// answers are packed onto few replicas, because a decoding replica prefills more slowly.
// One with too little memory for the prompt costs more than one with enough; helpers then
// reserve the rest.
func (p *Planner) host(now time.Time, j catkinspindle.Job, m catkinspindle.EngineModel, free []*replica) *replica {
	var best *replica
	var least time.Duration
	for _, r := range free {
		if len(r.jobs) >= m.Slots {
			continue
		}
		cost := r.begins.Sub(now)
		switch {
		case !p.fits(m, r, j):
			cost += p.policy.HoldCost + time.Duration(float64(p.policy.HoldCost)*float64(r.tokens)/float64(m.Memory))
		case r.shorts > 0 || len(r.jobs) == 0:
			cost += p.policy.OpenCost
		}
		if best == nil || cost < least || (cost == least && byKey(r, best) < 0) {
			best, least = r, cost
		}
	}
	return best
}

// spreadMemory reserves on the helpers what does not fit on o's replica, and reports success.
func (p *Planner) spreadMemory(o *open, m catkinspindle.EngineModel) bool {
	room := func(r *replica) int { return int(p.policy.MemoryShare*float64(m.Memory)) - r.tokens }
	slices.SortStableFunc(o.helpers, func(a, b *replica) int { return cmp.Compare(room(b), room(a)) })
	o.holds = make([]int, len(o.helpers))
	left := o.job.Prompt - max(0, int(p.policy.OwnShare*float64(room(o.replica)))-o.job.Answer)
	for i, h := range o.helpers {
		if left <= 0 {
			break
		}
		o.holds[i] = min(left, room(h))
		if o.holds[i] < p.policy.MinHold {
			break
		}
		left -= o.holds[i]
	}
	return left <= 0
}
