package home

import "time"

// SetRateShare sets the part of the engine's rate limit that this home may grant, a fraction
// above 0.
func (h *Ledger) SetRateShare(share float64) { h.rateShare = share }

// rateWait returns how long after now the engine's rate limit permits another start.
func (h *Ledger) rateWait(now time.Time) time.Duration {
	if !h.status.RateLimit.Stated {
		return 0
	}
	return h.pacer.Wait(now, h.perSecond())
}

// perSecond returns the rate of grants under the engine's rate limit.
func (h *Ledger) perSecond() float64 {
	return h.status.RateLimit.WithMinimum().PerSecond * h.rateShare
}
