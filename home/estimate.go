package home

import (
	"slices"
	"time"

	"github.com/catkinspindle/catkinspindle"
)

// decodeGap is the time between output tokens that admission assumes.
const decodeGap = 27 * time.Millisecond

// completionTime estimates the time from now until the last token of t.
func (h *Ledger) completionTime(t catkinspindle.Ticket) time.Duration {
	h.decay()
	ahead := h.prefillBacklog(h.queueKey(t)) + float64(t.PrefillTokens)
	return h.prefillTime(ahead) + time.Duration(t.MaxTokens)*decodeGap
}

func (h *Ledger) prefillTime(tokens float64) time.Duration {
	return time.Duration(tokens / max(h.rate, 1) * float64(time.Second))
}

// queueKey returns the time by which tickets are ordered: the arrival (FIFO), or the
// arrival plus a multiple (Policy.Stretch) of the ticket's own prefill time. The
// latter lets a short ticket overtake a long one that arrived a little earlier,
// without starving any ticket.
func (h *Ledger) queueKey(t catkinspindle.Ticket) time.Time {
	if h.policy.Order == catkinspindle.OrderFIFO {
		return t.Arrived
	}
	stretch := time.Duration(h.policy.Stretch * float64(h.prefillTime(float64(t.PrefillTokens))))
	return t.Arrived.Add(stretch)
}

// prefillBacklog returns the remaining prefill work, in tokens, of the reservations and
// waiting tickets whose key is not after key.
func (h *Ledger) prefillBacklog(key time.Time) float64 {
	sum := 0.0
	for _, r := range h.held {
		if !r.key.After(key) {
			sum += r.prefillLeft
		}
	}
	for _, w := range h.queue {
		if !w.key.After(key) {
			sum += float64(w.ticket.PrefillTokens)
		}
	}
	return sum
}

// decay subtracts the prefill work that the engine is estimated to have done since
// the last call, at the estimated rate and in order of the keys, which is the order
// in which the engine is assumed to work.
func (h *Ledger) decay() {
	now := time.Now()
	budget := now.Sub(h.lastDecay).Seconds() * h.rate
	h.lastDecay = now
	if budget <= 0 {
		return
	}
	for _, r := range h.prefilling() {
		done := min(budget, r.prefillLeft)
		r.prefillLeft -= done
		budget -= done
	}
}

// prefilling returns the reservations with prefill work left, sorted by key.
func (h *Ledger) prefilling() []*reservation {
	list := make([]*reservation, 0, len(h.held))
	for _, r := range h.held {
		if r.prefillLeft > 0 {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, func(a, b *reservation) int { return a.key.Compare(b.key) })
	return list
}
