package placement

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/catkinspindle/catkinspindle"
)

const (
	// paceWeight is the weight of a new measurement in the moving average of pace.
	paceWeight = 0.2
	// maxPace bounds the measured pace, so that a replica that was slow is
	// tried again.
	maxPace = 8
	// usualWeight is the weight of a new measurement in the moving average of usual.
	usualWeight = 0.1
)

// replica tracks the load that has been placed on one incarnation of a replica.
type replica struct {
	catkinspindle.Replica
	// hash of the replica's ID, which assigns it to a pool.
	hash uint64
	jobs map[string]*open
	// busy is when all prefill that has been placed is expected to end; parts are the
	// segments that make it up.
	busy  time.Time
	parts []part
	// tokens is the memory in tokens that the jobs in flight need.
	tokens int
	// shorts counts the short jobs, which a long prefill must not disturb.
	shorts int
	// The fields down to key are scratch space of the current placement. ahead is the
	// remaining prefill in leastAhead and the time to the first event in chooseLeast. look
	// sets idleAt (when all placed prefill ends), waits (the time until then), allowed (the
	// longest pause that the decoding jobs tolerate), pass (the duration of an engine
	// iteration) and stride. drains is when the short jobs are expected to end, zero until
	// it is computed. begins is when r could start a segment; key sorts the candidates.
	ahead          time.Duration
	idleAt         time.Time
	waits, allowed time.Duration
	pass           time.Duration
	stride         int
	drains         time.Time
	begins, key    time.Time
	// pace is the moving average of the measured time to the first event divided by the
	// estimate.
	pace float64
	// usual is the moving average of the time that a request without a prompt takes.
	usual  time.Duration
	health health
}

// part is a segment of a job's prefill that is placed on one replica.
type part struct {
	job   *open
	start time.Time
	cost  time.Duration
}

func newReplica(r catkinspindle.Replica) *replica {
	return &replica{Replica: r, hash: xxhash.Sum64String(r.ID), jobs: map[string]*open{}, pace: 1}
}

func (r *replica) add(o *open) {
	r.jobs[o.job.ID] = o
	if o.short {
		r.shorts++
	}
	r.tokens += o.own()
	for i, h := range o.holds {
		o.helpers[i].tokens += h
	}
}

func (r *replica) remove(o *open) {
	if _, ok := r.jobs[o.job.ID]; !ok {
		return
	}
	delete(r.jobs, o.job.ID)
	if o.short {
		r.shorts--
	}
	r.tokens -= o.own()
	for i, h := range o.holds {
		o.helpers[i].tokens -= h
	}
}

func (r *replica) backlog(now time.Time) time.Duration { return max(0, r.busy.Sub(now)) }

// begin returns when r could start another segment: after all prefill placed on it.
func (r *replica) begin(now time.Time) time.Time {
	if r.busy.After(now) {
		return r.busy
	}
	return now
}

// in reports whether r belongs to a pool.
func (r *replica) in(p catkinspindle.Pool) bool {
	return !p.Divided() || int(r.hash%uint64(p.Parts)) == p.Part
}

// look computes the scratch fields that choosing the prefilling replicas needs for segments
// of any size.
func (r *replica) look(now time.Time, m catkinspindle.EngineModel) {
	r.idleAt, r.waits, r.allowed = r.begin(now), r.backlog(now), r.pause()
	r.pass, r.stride, r.drains = passTime(m, r), m.Stride, time.Time{}
}

func (r *replica) read(p part) {
	r.parts = append(r.parts, p)
	r.extend(p)
}

func (r *replica) extend(p part) {
	if r.busy.Before(p.start) {
		r.busy = p.start
	}
	r.busy = r.busy.Add(p.cost)
}

// unread removes the segments of a job that has ended.
func (r *replica) unread(o *open) {
	kept := r.parts[:0]
	r.busy = time.Time{}
	for _, p := range r.parts {
		if p.job != o {
			kept = append(kept, p)
			r.extend(p)
		}
	}
	clear(r.parts[len(kept):])
	r.parts = kept
}

// sent returns the remaining prefill that has been sent to the replica already, and the
// longest segment that will be sent later. It drops segments that have ended.
func (r *replica) sent(now time.Time) (ahead, later time.Duration) {
	var end time.Time
	kept := r.parts[:0]
	for _, p := range r.parts {
		if p.start.After(now) {
			later = max(later, p.cost)
			kept = append(kept, p)
			continue
		}
		if p.start.After(end) {
			end = p.start
		}
		end = end.Add(p.cost)
		if end.After(now) {
			kept = append(kept, p)
		}
	}
	r.parts = kept
	return max(0, end.Sub(now)), later
}

// pause returns the smallest MaxPause of the jobs in flight, or zero when there are none.
func (r *replica) pause() time.Duration {
	least := time.Duration(0)
	for _, o := range r.jobs {
		if least == 0 || o.job.MaxPause < least {
			least = o.job.MaxPause
		}
	}
	return least
}

// observe updates health and measurements from the result of an attempt; o is nil when
// this planner did not place the job.
func (r *replica) observe(now time.Time, e catkinspindle.Ending, o *open) {
	switch e.Outcome {
	case catkinspindle.OutcomeDone:
		r.health.succeed()
		r.measure(e, o)
	case catkinspindle.OutcomeGivenUp:
	case catkinspindle.OutcomeRefused:
		r.health.refuse(now)
	case catkinspindle.OutcomeUnreachable:
		r.health.unreachable(now)
	case catkinspindle.OutcomeFailed:
		r.health.fail(now)
	}
}

func (r *replica) measure(e catkinspindle.Ending, o *open) {
	if o == nil || e.Total <= 0 {
		return
	}
	if o.job.Prompt == 0 {
		if r.usual == 0 {
			r.usual = e.Total
		}
		r.usual += time.Duration(usualWeight * float64(e.Total-r.usual))
		return
	}
	if o.first <= 0 || e.First <= 0 {
		return
	}
	seen := min(maxPace, max(1, float64(e.First)/float64(o.first)))
	r.pace += paceWeight * (seen - r.pace)
}
