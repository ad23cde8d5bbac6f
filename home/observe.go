package home

import (
	"time"

	"github.com/catkinspindle/catkinspindle"
)

// Observe applies a status report of the engine and returns the streams to cancel:
// orphans, and streams that were released but are still listed.
func (h *Ledger) Observe(st catkinspindle.EngineStatus) []catkinspindle.StreamID {
	h.decay()
	if h.rate == 0 {
		h.rate = float64(st.PrefillRate) * initialPrefillShare
	}
	if st.RateLimit.Malformed != "" {
		st.RateLimit = h.status.RateLimit // A malformed limit changes nothing.
	}
	if st.RateLimit.Stated && !h.status.RateLimit.Stated {
		// What was started before, also by a previous home, is unknown.
		h.pacer.StartAt(time.Now(), st.RateLimit.WithMinimum().PerSecond*h.rateShare)
	}
	h.statusKnown = true
	h.status = st
	h.markListed(st.Streams)
	cancel := h.releasedToCancel()
	for id, r := range h.held {
		switch {
		case r.orphaned && r.listed:
			cancel = append(cancel, id)
		case r.orphaned:
			h.removeReservation(id)
		}
	}
	h.status.Streams = nil
	h.grantWaiting()
	return cancel
}

// markListed updates which streams the engine lists, and adopts listed streams that
// are not in the ledger.
func (h *Ledger) markListed(list []catkinspindle.StreamStatus) {
	for _, r := range h.held {
		r.listed = false
	}
	for id, r := range h.released {
		r.listed = false
		h.released[id] = r
	}
	for _, s := range list {
		if r, ok := h.released[s.ID]; ok {
			r.listed = true
			h.released[s.ID] = r
			continue
		}
		r, ok := h.held[s.ID]
		if !ok {
			t := catkinspindle.Ticket{ID: s.ID, Engine: h.engine, MemoryTokens: s.Tokens, Arrived: time.Now(), Started: true, Prefilled: true}
			r = h.addReservation(t, time.Now())
			r.adopted = true
		}
		r.listed = true
	}
}

// releasedToCancel returns the streams that the engine still lists 1 s after their
// release, and removes the releases that are no longer listed and older than the
// lease.
func (h *Ledger) releasedToCancel() []catkinspindle.StreamID {
	var cancel []catkinspindle.StreamID
	for id, r := range h.released {
		switch {
		case r.listed && time.Since(r.releasedAt) > time.Second:
			cancel = append(cancel, id)
		case !r.listed && time.Since(r.releasedAt) > h.lease:
			delete(h.released, id)
		}
	}
	return cancel
}

// ConfirmStreamEnd records that the engine has confirmed the end of a cancelled stream, and
// frees its memory.
func (h *Ledger) ConfirmStreamEnd(id catkinspindle.StreamID) {
	if r, ok := h.released[id]; ok {
		r.listed = false
		h.released[id] = r
	}
	h.removeReservation(id)
	h.grantWaiting()
}
