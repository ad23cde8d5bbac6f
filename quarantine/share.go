package quarantine

import (
	"time"

	"github.com/catkinspindle/catkinspindle"
)

// minSharedCrashes is the number of crashes from which a suspect is passed on to all nodes, so
// that most bystanders of a crash are not.
const minSharedCrashes = 2

// Since returns what has changed after a position and the position to continue from. With
// directOnly it returns only what this node has observed itself, and all holds.
func (t *Table) Since(now time.Time, position uint64, directOnly bool) (catkinspindle.QuarantineReport, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var r catkinspindle.QuarantineReport
	if position >= t.lastSeq {
		return r, t.lastSeq
	}
	for id, c := range t.crashes {
		if c.seq <= position {
			continue
		}
		report := catkinspindle.CrashReport{Replica: id.replica, Incarnation: id.number, Age: now.Sub(c.at)}
		for k, s := range c.suspects {
			if (directOnly && s.direct) || (!directOnly && t.counts[k] >= minSharedCrashes) {
				report.Suspects = append(report.Suspects, catkinspindle.Suspect{Key: k, Depth: s.depth})
			}
		}
		if len(report.Suspects) > 0 {
			r.Crashes = append(r.Crashes, report)
		}
	}
	for k, b := range t.begun {
		if b.seq > position && (b.direct || !directOnly) {
			r.Begun = append(r.Begun, catkinspindle.BegunReport{Key: k, Age: now.Sub(b.at)})
		}
	}
	for k, h := range t.holds {
		if h.seq > position {
			r.Holds = append(r.Holds, h.report(now, k))
		}
	}
	return r, t.lastSeq
}

func (h *hold) report(now time.Time, k catkinspindle.RequestKey) catkinspindle.HoldReport {
	r := catkinspindle.HoldReport{Key: k, FirstCrash: now.Sub(h.firstCrash), Age: now.Sub(h.since), LastSeen: now.Sub(h.lastSeen), Trials: h.trials}
	if h.trials > 0 {
		r.LastTrial = now.Sub(h.lastTrial)
	}
	return r
}

// Apply records what another node reports.
func (t *Table) Apply(now time.Time, r catkinspindle.QuarantineReport) {
	if r.Empty() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, b := range r.Begun {
		at := now.Add(-b.Age)
		if known, ok := t.begun[b.Key]; !ok || at.After(known.at) {
			t.clear(now, b.Key, at, false)
		}
	}
	for _, h := range r.Holds {
		t.applyHold(now, h)
	}
	t.updateHoldsIfDue(now)
	news := false
	for _, c := range r.Crashes {
		news = t.addCrash(now.Add(-c.Age), incarnation{c.Replica, c.Incarnation}, c.Suspects, false) || news
	}
	if news {
		t.updateHolds(now)
	}
}

// applyHold adopts a hold of another node, unless an answer has begun since.
func (t *Table) applyHold(now time.Time, r catkinspindle.HoldReport) {
	next := &hold{firstCrash: now.Add(-r.FirstCrash), since: now.Add(-r.Age), lastSeen: now.Add(-r.LastSeen), trials: r.Trials}
	if r.Trials > 0 {
		next.lastTrial = now.Add(-r.LastTrial)
	}
	if last, ok := t.lastBegun(r.Key); ok && last.After(next.firstCrash) {
		t.shareBegun(r.Key, last)
		return
	}
	if now.Sub(next.lastSeen) > retention {
		return
	}
	known, ok := t.holds[r.Key]
	if !ok {
		t.hold(r.Key, next)
		return
	}
	if next.lastSeen.After(known.lastSeen) {
		known.lastSeen = next.lastSeen
	}
	if next.trials > known.trials {
		known.trials, known.lastTrial = next.trials, next.lastTrial
		t.lastSeq++
		known.seq = t.lastSeq
	}
}
