package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/catkinspindle/catkinspindle"
)

// readTime estimates how long one replica reads a prompt of so many tokens.
func readTime(m catkinspindle.EngineModel, tokens int) time.Duration {
	n := float64(tokens)
	linear := n / m.ReadRate * float64(time.Second)
	pairs := n * n / 2 / 1e6 * float64(m.PairTime)
	return time.Duration(linear + pairs)
}

// passTime estimates a pass of r with one more writer.
func passTime(m catkinspindle.EngineModel, r *replica) time.Duration {
	step := m.Step + time.Duration(len(r.jobs)+1)*m.PerSequence + time.Duration(float64(r.tokens)/1000*float64(m.PerContext))
	return time.Duration(float64(m.Stride) * float64(step) * r.pace)
}

// urgencies of jobs that wait at a replica, by how long they keep others
// waiting.
const (
	urgencyShort = 3
	urgencyLong  = 5
)

func (p *Planner) placePrompt(now time.Time, j catkinspindle.Job, m catkinspindle.EngineModel, usable []*replica) catkinspindle.Placement {
	if j.MaxPause <= p.policy.ShortPause {
		return p.placeShort(now, j, m, usable)
	}
	return p.placeLong(now, j, m, usable)
}

func (p *Planner) fits(m catkinspindle.EngineModel, r *replica, j catkinspindle.Job) bool {
	return float64(r.tokens+j.Prompt+j.Answer) <= p.policy.MemoryShare*float64(m.Memory)
}

// placeShort packs short jobs: the replicas are filled one after the other, so
// that the rest stays free for long prompts.
func (p *Planner) placeShort(now time.Time, j catkinspindle.Job, m catkinspindle.EngineModel, usable []*replica) catkinspindle.Placement {
	read := readTime(m, j.Prompt)
	limit := p.policy.Spread
	if p.longWaits(now, usable) {
		limit = p.policy.Packed
	}
	first := func(r *replica) time.Duration {
		return r.backlog(now) + time.Duration(float64(read)*r.pace) + passTime(m, r)*3/2
	}
	opened, best := p.choosePacked(usable, limit, j, m, first)
	if !opened {
		best = p.least(usable, func(r *replica) float64 {
			c := float64(first(r))
			if len(r.jobs) >= m.Slots {
				c += float64(len(r.jobs)-m.Slots+1) * float64(passTime(m, r)) * 3
			}
			return c
		})
	}
	expected := first(best)
	if len(best.jobs) >= m.Slots {
		// A place becomes free with the end of an answer that is half written
		// on average.
		expected += time.Duration(len(best.jobs)-m.Slots+1) * passTime(m, best)
	}
	if p.tooLate(j, expected) {
		return refuse(j, catkinspindle.ReasonOverload, max(p.policy.MinRetry, expected-j.Aim))
	}
	return p.commit(now, &open{job: j, replica: best, placed: now, first: expected, part: read}, urgencyShort)
}

// choosePacked returns the first replica in order that has room under limit
// and would begin in time.
func (p *Planner) choosePacked(usable []*replica, limit int, j catkinspindle.Job, m catkinspindle.EngineModel, first func(*replica) time.Duration) (bool, *replica) {
	for _, r := range usable {
		if r.short(p.policy.ShortPause) >= limit || len(r.jobs) >= m.Slots || !p.fits(m, r, j) {
			continue
		}
		if first(r) <= j.Aim*8/10 {
			return true, r
		}
	}
	return false, nil
}

// longWaits reports whether replicas without short jobs have reading to do.
func (p *Planner) longWaits(now time.Time, usable []*replica) bool {
	for _, r := range usable {
		if r.backlog(now) > p.policy.ShortPause/4 && r.short(p.policy.ShortPause) == 0 {
			return true
		}
	}
	return false
}

// tooLate reports whether a job that is expected to begin at first is refused.
func (p *Planner) tooLate(j catkinspindle.Job, first time.Duration) bool {
	return first > j.Left || first > time.Duration(p.policy.LateFactor*float64(max(j.Aim, 0)))+p.policy.MinRetry
}

// placeLong splits the reading over the replicas that it disturbs least.
func (p *Planner) placeLong(now time.Time, j catkinspindle.Job, m catkinspindle.EngineModel, usable []*replica) catkinspindle.Placement {
	read := readTime(m, j.Prompt)
	type choice struct {
		first   time.Duration
		readers []*replica
		part    time.Duration
	}
	best := choice{first: math.MaxInt64}
	sorted := slices.Clone(usable)
	slices.SortStableFunc(sorted, func(a, b *replica) int { return cmp.Compare(a.backlog(now), b.backlog(now)) })
	for k := 1; k <= min(len(sorted), p.policy.MaxHelpers+1); k++ {
		part := read / time.Duration(k)
		if k > 1 && part < p.policy.MinPart {
			break
		}
		readers := p.readers(now, sorted, m, part, k)
		if len(readers) < k {
			continue
		}
		slowest := time.Duration(0)
		for _, r := range readers {
			slowest = max(slowest, r.backlog(now)+time.Duration(float64(part)*r.pace))
		}
		if first := slowest + passTime(m, readers[0]); first < best.first {
			best = choice{first: first, readers: readers, part: part}
		}
	}
	if best.readers == nil {
		return refuse(j, catkinspindle.ReasonOverload, p.policy.NoReplicaRetry)
	}
	if p.tooLate(j, best.first) {
		return refuse(j, catkinspindle.ReasonOverload, max(p.policy.MinRetry, best.first-j.Aim))
	}
	o := &open{job: j, placed: now, first: best.first, part: best.part}
	if !p.store(o, best.readers, m) {
		return refuse(j, catkinspindle.ReasonOverload, p.policy.NoReplicaRetry)
	}
	return p.commit(now, o, urgencyLong)
}

// store chooses which of the readers keeps the prompt and writes the answer.
// A prompt that fits into none of them is kept by several: the one with most
// room keeps as much as it can, the next ones set the rest aside.
func (p *Planner) store(o *open, readers []*replica, m catkinspindle.EngineModel) bool {
	home := slices.IndexFunc(readers, func(r *replica) bool { return p.fits(m, r, o.job) && len(r.jobs) < m.Slots })
	if home >= 0 {
		o.replica = readers[home]
		o.helpers = slices.Delete(slices.Clone(readers), home, home+1)
		return true
	}
	room := func(r *replica) int { return int(p.policy.MemoryShare*float64(m.Memory)) - r.tokens }
	sorted := slices.Clone(readers)
	slices.SortStableFunc(sorted, func(a, b *replica) int { return cmp.Compare(room(b), room(a)) })
	home = slices.IndexFunc(sorted, func(r *replica) bool { return len(r.jobs) < m.Slots })
	if home < 0 {
		return false
	}
	o.replica = sorted[home]
	o.helpers = slices.Delete(sorted, home, home+1)
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

// readers returns the k first replicas whose writers allow a pass that reads a
// part of this size.
func (p *Planner) readers(now time.Time, sorted []*replica, m catkinspindle.EngineModel, part time.Duration, k int) []*replica {
	list := make([]*replica, 0, k)
	for _, r := range sorted {
		if allowed := r.pause(); allowed > 0 {
			pass := passTime(m, r) + r.backlog(now) + time.Duration(float64(part)*r.pace)
			if float64(pass) > p.policy.PauseShare*float64(allowed) {
				continue
			}
		}
		if list = append(list, r); len(list) == k {
			break
		}
	}
	return list
}
