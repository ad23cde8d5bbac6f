package quarantine

import (
	"bytes"
	"cmp"
	"slices"
	"time"

	"github.com/catkinspindle/catkinspindle"
)

// candidate is a suspect with the times of its crashes that are not attributed to a held key.
type candidate struct {
	key   catkinspindle.RequestKey
	depth int
	times []time.Time
}

// updateHolds holds the suspects with enough crashes, the one with most of them first, because its
// crashes are attributed to it and do not count against the others. While several have the same
// number, further crashes decide between them, and from decisiveCrashes on the most specific one is
// held.
func (t *Table) updateHolds(now time.Time) {
	t.prune(now)
	for {
		var due []candidate
		t.nextUpdate = time.Time{}
		for _, c := range t.candidates() {
			at, ok := t.holdTime(c)
			switch {
			case !ok:
			case !now.Before(at):
				due = append(due, c)
			case t.nextUpdate.IsZero() || at.Before(t.nextUpdate):
				t.nextUpdate = at
			}
		}
		if len(due) == 0 {
			return
		}
		worst := slices.MaxFunc(due, func(a, b candidate) int {
			return cmp.Or(cmp.Compare(len(a.times), len(b.times)), cmp.Compare(a.depth, b.depth), bytes.Compare(a.key[:], b.key[:]))
		})
		if len(worst.times) < decisiveCrashes && slices.ContainsFunc(due, func(c candidate) bool {
			return c.key != worst.key && len(c.times) == len(worst.times)
		}) {
			return
		}
		t.hold(worst.key, &hold{firstCrash: worst.times[0], since: now, lastSeen: now})
		t.onLocal()
	}
}

// updateHoldsIfDue calls updateHolds if a suspect may be held by now. It must be called before
// further crashes are added, so that only the earlier ones decide.
func (t *Table) updateHoldsIfDue(now time.Time) {
	if !t.nextUpdate.IsZero() && !now.Before(t.nextUpdate) {
		t.updateHolds(now)
	}
}

// hold adds a hold.
func (t *Table) hold(k catkinspindle.RequestKey, h *hold) {
	t.lastSeq++
	h.seq, h.sharedAt = t.lastSeq, h.lastSeen
	t.holds[k] = h
	t.dropOldestHold()
	t.updateActive()
	t.onHold(k, true)
	close(t.changed)
	t.changed = make(chan struct{})
}

// candidates returns the suspects of the crashes that are not attributed to a held key.
func (t *Table) candidates() []candidate {
	found := map[catkinspindle.RequestKey]candidate{}
	for _, c := range t.crashes {
		if t.attributed(c) {
			continue
		}
		for k, s := range c.suspects {
			if t.counts[k] < minCrashes {
				continue
			}
			f := found[k]
			f.key, f.depth, f.times = k, max(f.depth, s.depth), append(f.times, c.at)
			found[k] = f
		}
	}
	list := make([]candidate, 0, len(found))
	for _, f := range found {
		list = append(list, f)
	}
	return list
}

func (t *Table) attributed(c *crash) bool {
	for k := range c.suspects {
		if _, held := t.holds[k]; held {
			return true
		}
	}
	return false
}

// holdTime returns the time from which a candidate is held. ok is false if there are too few
// crashes.
func (t *Table) holdTime(c candidate) (at time.Time, ok bool) {
	slices.SortFunc(c.times, time.Time.Compare)
	needed, earliest := minCrashes, time.Time{}
	if last, begun := t.lastBegun(c.key); begun && last.After(c.times[0].Add(-recentWindow)) {
		needed, earliest = minCrashesOfRecent, c.times[0].Add(minSpanOfRecent)
	}
	if len(c.times) < needed {
		return time.Time{}, false
	}
	at = c.times[needed-1].Add(settleTime)
	if earliest.After(at) {
		at = earliest
	}
	return at, true
}

// prune drops what is older than retention.
func (t *Table) prune(now time.Time) {
	for id, c := range t.crashes {
		if now.Sub(c.at) > retention {
			t.dropCrash(id)
		}
	}
	for k, h := range t.holds {
		if now.Sub(h.lastSeen) > retention {
			delete(t.holds, k)
			t.onHold(k, false)
		}
	}
	for k, b := range t.begun {
		if now.Sub(b.at) > retention {
			delete(t.begun, k)
		}
	}
	t.updateActive()
}

func (t *Table) dropCrash(id incarnation) {
	for k := range t.crashes[id].suspects {
		t.count(k, -1)
	}
	delete(t.crashes, id)
}

func (t *Table) dropOldestCrash() {
	if len(t.crashes) > maxCrashes {
		t.dropCrash(oldest(t.crashes, func(c *crash) time.Time { return c.at }))
	}
}

func (t *Table) dropOldestHold() {
	if len(t.holds) > maxHolds {
		k := oldest(t.holds, func(h *hold) time.Time { return h.lastSeen })
		delete(t.holds, k)
		t.onHold(k, false)
	}
}

func (t *Table) dropOldestBegun() {
	if len(t.begun) > maxBegun {
		delete(t.begun, oldest(t.begun, func(b begun) time.Time { return b.at }))
	}
}

// oldest returns the key of the entry with the earliest time.
func oldest[K comparable, V any](entries map[K]V, at func(V) time.Time) (key K) {
	first := true
	var earliest time.Time
	for k, v := range entries {
		if first || at(v).Before(earliest) {
			key, earliest, first = k, at(v), false
		}
	}
	return key
}
