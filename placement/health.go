package placement

import "time"

const (
	// failureWeight is the weight of one attempt in the moving average of failures.
	failureWeight = 0.3
	// suspectThreshold is the failure rate above which a replica is suspected.
	suspectThreshold = 0.5
	// refusalCooldown is the cooldown of a replica that has refused a job.
	refusalCooldown = 150 * time.Millisecond
	// minCooldown and maxCooldown bound the cooldown of a suspected replica; it doubles with
	// each consecutive failure.
	minCooldown = time.Second
	maxCooldown = 4 * time.Second
)

// health tracks a replica's health from the outcomes of attempts. After its cooldown a
// suspected replica is on probation: it takes one job at a time until one succeeds.
type health struct {
	cooldownEnd time.Time
	cooldown    time.Duration
	failureRate float64
	onProbation bool
}

func (h *health) usable(now time.Time, jobs int) bool {
	if now.Before(h.cooldownEnd) {
		return false
	}
	return !h.onProbation || jobs == 0
}

func (h *health) recordSuccess() {
	h.failureRate -= failureWeight * h.failureRate
	h.onProbation = false
	h.cooldown = 0
}

func (h *health) recordFailure(now time.Time) {
	h.failureRate += failureWeight * (1 - h.failureRate)
	if h.failureRate > suspectThreshold || h.onProbation {
		h.suspect(now)
	}
}

func (h *health) recordUnreachable(now time.Time) { h.suspect(now) }

func (h *health) recordRefusal(now time.Time) {
	if until := now.Add(refusalCooldown); until.After(h.cooldownEnd) {
		h.cooldownEnd = until
	}
}

func (h *health) suspect(now time.Time) {
	if now.Before(h.cooldownEnd) && h.onProbation {
		return
	}
	h.cooldown = min(maxCooldown, max(minCooldown, 2*h.cooldown))
	h.cooldownEnd = now.Add(h.cooldown)
	h.onProbation = true
}
