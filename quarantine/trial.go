package quarantine

import (
	"time"

	"github.com/catkinspindle/catkinspindle"
)

// trialDelays are the times after the begin of a hold, and after each trial, before the next
// request is sent to see whether replicas still crash under it. There are no further trials.
var trialDelays = []time.Duration{30 * time.Second, 5 * time.Minute}

// TrialDue reports whether a request with a held key may be tried now.
func (t *Table) TrialDue(now time.Time, k catkinspindle.RequestKey) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.trialDue(now, k)
}

func (t *Table) trialDue(now time.Time, k catkinspindle.RequestKey) bool {
	h, ok := t.holds[k]
	if !ok || h.trials >= len(trialDelays) {
		return false
	}
	from := h.since
	if h.trials > 0 {
		from = h.lastTrial
	}
	return now.Sub(from) >= trialDelays[h.trials]
}

// GrantTrial grants the trial that is due for a key, and reports whether there was one.
func (t *Table) GrantTrial(now time.Time, k catkinspindle.RequestKey) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.trialDue(now, k) {
		return false
	}
	h := t.holds[k]
	h.trials++
	h.lastTrial = now
	t.lastSeq++
	h.seq = t.lastSeq
	t.onLocal()
	return true
}
