package placement

import "time"

const (
	// failWeight is the weight of one attempt in the moving average of failures.
	failWeight = 0.3
	// failLimit is the failure rate above which a replica is suspected.
	failLimit = 0.5
	// refusePause is the cooldown of a replica that has refused a job.
	refusePause = 150 * time.Millisecond
	// firstPause and maxPause bound the cooldown of a suspected replica; it doubles with
	// each consecutive failure.
	firstPause = time.Second
	maxPause   = 4 * time.Second
)

// health tracks a replica's health from the outcomes of attempts. After its cooldown a
// suspected replica is on probation: it takes one job at a time until one succeeds.
type health struct {
	until     time.Time
	pause     time.Duration
	failures  float64
	probation bool
}

func (h *health) usable(now time.Time, jobs int) bool {
	if now.Before(h.until) {
		return false
	}
	return !h.probation || jobs == 0
}

func (h *health) succeed() {
	h.failures -= failWeight * h.failures
	h.probation = false
	h.pause = 0
}

func (h *health) fail(now time.Time) {
	h.failures += failWeight * (1 - h.failures)
	if h.failures > failLimit || h.probation {
		h.suspect(now)
	}
}

func (h *health) unreachable(now time.Time) { h.suspect(now) }

func (h *health) refuse(now time.Time) {
	if until := now.Add(refusePause); until.After(h.until) {
		h.until = until
	}
}

func (h *health) suspect(now time.Time) {
	if now.Before(h.until) && h.probation {
		return
	}
	h.pause = min(maxPause, max(firstPause, 2*h.pause))
	h.until = now.Add(h.pause)
	h.probation = true
}
