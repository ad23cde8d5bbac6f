package placement

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/pacing"
)

const (
	// slowdownWeight is the weight of a new measurement in the moving average of slowdown.
	slowdownWeight = 0.2
	// maxSlowdown bounds the measured slowdown, so that a replica that was slow is
	// tried again.
	maxSlowdown = 8
	// plainTimeWeight is the weight of a new measurement in the moving average of plainTime.
	plainTimeWeight = 0.1
)

// replica tracks the load that has been placed on one incarnation of a replica.
type replica struct {
	catkinspindle.Replica
	// hash of the replica's ID, which assigns it to a pool.
	hash uint64
	jobs map[string]*activeJob
	// busyUntil is when all prefill that has been placed is expected to end; segments
	// are the parts that make it up.
	busyUntil time.Time
	segments  []segment
	// tokens is the memory in tokens that the jobs in flight need.
	tokens int
	// shortJobs counts the short jobs, which a long prefill must not disturb.
	shortJobs int
	// The fields down to helperKey are scratch space of the current placement. estimate is
	// the remaining prefill in leastPrefill and the time to the first event in
	// chooseCheapest. resetScratch sets idleAt (when all placed prefill ends), queueTime (the
	// time until then), allowedPause (the longest pause that the decoding jobs tolerate),
	// iteration (the duration of an engine iteration) and stride. shortEnd is when the short
	// jobs are expected to end, zero until it is computed. availableAt is when r could start
	// a segment; helperKey sorts the candidates.
	estimate                time.Duration
	idleAt                  time.Time
	queueTime, allowedPause time.Duration
	iteration               time.Duration
	stride                  int
	shortEnd                time.Time
	availableAt, helperKey  time.Time
	// slowdown is the moving average of the measured time to the first event divided by the
	// estimate.
	slowdown float64
	// plainTime is the moving average of the time that a request without a prompt takes.
	plainTime time.Duration
	health    health
	// pacer spaces the requests while limited is true, which means that the replica states a
	// rate limit. ratePerSecond is the part of the limit that this planner may use; mayHost is
	// false when it is used up. updateRate sets them for each placement.
	pacer         pacing.Pacer
	limited       bool
	ratePerSecond float64
	mayHost       bool
}

// segment is the part of a job's prefill that is placed on one replica.
type segment struct {
	job    *activeJob
	sendAt time.Time
	cost   time.Duration
}

func newReplica(r catkinspindle.Replica) *replica {
	return &replica{Replica: r, hash: xxhash.Sum64String(r.ID), jobs: map[string]*activeJob{}, slowdown: 1}
}

func (r *replica) add(a *activeJob) {
	r.jobs[a.job.ID] = a
	if a.short {
		r.shortJobs++
	}
	r.tokens += a.hostTokens()
	for i, h := range a.reservations {
		a.helpers[i].tokens += h
	}
}

func (r *replica) remove(a *activeJob) {
	if _, ok := r.jobs[a.job.ID]; !ok {
		return
	}
	delete(r.jobs, a.job.ID)
	if a.short {
		r.shortJobs--
	}
	r.tokens -= a.hostTokens()
	for i, h := range a.reservations {
		a.helpers[i].tokens -= h
	}
}

func (r *replica) backlog(now time.Time) time.Duration { return max(0, r.busyUntil.Sub(now)) }

// prefillEnd returns when r could start another segment: after all prefill placed on it.
func (r *replica) prefillEnd(now time.Time) time.Time {
	if r.busyUntil.After(now) {
		return r.busyUntil
	}
	return now
}

// inPool reports whether r belongs to a pool.
func (r *replica) inPool(p catkinspindle.Pool) bool {
	return !p.Divided() || int(r.hash%uint64(p.Parts)) == p.Part
}

// resetScratch sets the scratch fields that the choice of the prefilling replicas needs for
// segments of any size.
func (r *replica) resetScratch(now time.Time, m catkinspindle.EngineModel) {
	r.idleAt, r.queueTime, r.allowedPause = r.prefillEnd(now), r.backlog(now), r.strictestPause()
	r.iteration, r.stride, r.shortEnd = iterationTime(m, r), m.Stride, time.Time{}
}

func (r *replica) addSegment(s segment) {
	r.segments = append(r.segments, s)
	r.extend(s)
}

func (r *replica) extend(s segment) {
	if r.busyUntil.Before(s.sendAt) {
		r.busyUntil = s.sendAt
	}
	r.busyUntil = r.busyUntil.Add(s.cost)
}

// removeSegments removes the segments of a job that has ended.
func (r *replica) removeSegments(a *activeJob) {
	kept := r.segments[:0]
	r.busyUntil = time.Time{}
	for _, p := range r.segments {
		if p.job != a {
			kept = append(kept, p)
			r.extend(p)
		}
	}
	clear(r.segments[len(kept):])
	r.segments = kept
}

// sentPrefill returns the remaining prefill time of the segments that have been sent to the
// replica, and the longest segment that is yet to be sent. It drops segments that have ended.
func (r *replica) sentPrefill(now time.Time) (ahead, later time.Duration) {
	var end time.Time
	kept := r.segments[:0]
	for _, p := range r.segments {
		if p.sendAt.After(now) {
			later = max(later, p.cost)
			kept = append(kept, p)
			continue
		}
		if p.sendAt.After(end) {
			end = p.sendAt
		}
		end = end.Add(p.cost)
		if end.After(now) {
			kept = append(kept, p)
		}
	}
	r.segments = kept
	return max(0, end.Sub(now)), later
}

// strictestPause returns the smallest MaxEventGap of the jobs in flight, or zero when there are none.
func (r *replica) strictestPause() time.Duration {
	least := time.Duration(0)
	for _, a := range r.jobs {
		if least == 0 || a.job.MaxEventGap < least {
			least = a.job.MaxEventGap
		}
	}
	return least
}

// recordResult updates health and measurements from the result of an attempt; a is nil when
// this planner did not place the job.
func (r *replica) recordResult(now time.Time, e catkinspindle.AttemptResult, a *activeJob) {
	switch e.Outcome {
	case catkinspindle.OutcomeDone:
		r.health.recordSuccess()
		r.updateAverages(e, a)
	case catkinspindle.OutcomeGivenUp, catkinspindle.OutcomeNoPath:
	case catkinspindle.OutcomeRefused:
		r.health.recordRefusal(now)
	case catkinspindle.OutcomeUnreachable:
		r.health.recordUnreachable(now)
	case catkinspindle.OutcomeFailed:
		r.health.recordFailure(now)
	}
}

func (r *replica) updateAverages(e catkinspindle.AttemptResult, a *activeJob) {
	if a == nil || e.Duration <= 0 {
		return
	}
	if a.job.PromptTokens == 0 {
		if r.plainTime == 0 {
			r.plainTime = e.Duration
		}
		r.plainTime += time.Duration(plainTimeWeight * float64(e.Duration-r.plainTime))
		return
	}
	if a.firstEvent <= 0 || e.TimeToFirstEvent <= 0 {
		return
	}
	seen := min(maxSlowdown, max(1, float64(e.TimeToFirstEvent)/float64(a.firstEvent)))
	r.slowdown += slowdownWeight * (seen - r.slowdown)
}
