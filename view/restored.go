package view

import (
	"maps"
	"time"

	"github.com/catkinspindle/catkinspindle"
)

const (
	// defaultProbation is more than the three heartbeats after which the store removes
	// the entry of a silent replica.
	defaultProbation = 5 * time.Second
	// removedRetention is how long a removal is remembered. A store is restored from a
	// copy that is some seconds old.
	removedRetention = time.Minute
	// maxRemoved bounds the removals that are remembered.
	maxRemoved = 2048
)

// removal is an incarnation whose entry was removed from the store.
type removal struct {
	born int64
	at   time.Time
}

// held is a replica that is listed and not used until its probation ends.
type held struct {
	replica catkinspindle.Replica
	until   time.Time
}

// hold carries over to the list of a restored store what it has forgotten: a replica
// that was leaving still leaves, and one whose entry had been removed is held back,
// since it may have left and its entry is removed again when it stays silent.
func (v *View) hold(now time.Time, next map[string]catkinspindle.Replica, s *State, at catkinspindle.Position) {
	restored := at.Era > s.ReplicasAt.Era
	if restored {
		clear(v.held)
		for _, r := range s.Replicas {
			if r.Leaving {
				v.departures.Add(now, r.Departure(), true)
			}
		}
	}
	maps.DeleteFunc(v.held, func(id string, h held) bool { return !h.replica.Same(next[id]) })
	for id, r := range next {
		if removed, ok := v.removed[id]; ok && restored && removed.born >= r.Born {
			v.held[id] = held{r, now.Add(v.probation)}
		}
		_, isHeld := v.held[id]
		// A replica that has started again since the copy was made is missing.
		if outdated := restored && s.Replicas[id].Born > r.Born; isHeld || outdated {
			delete(next, id)
		}
	}
}

// Release uses the replicas whose probation has ended. The list must be up to date: a
// node that was cut off does not know that their entries were removed again.
func (v *View) Release(now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	s := *v.state.Load()
	var next map[string]catkinspindle.Replica
	for id, h := range v.held {
		if now.Before(h.until) {
			continue
		}
		if next == nil {
			next = maps.Clone(s.Replicas)
		}
		next[id] = h.replica
		delete(v.held, id)
	}
	if next != nil {
		v.noteMissing(now, s.Replicas, next)
		v.markLeaving(next)
		s.Replicas = next
		v.publish(&s)
	}
}

// noteMissing remembers which replicas are not on the next list any more.
func (v *View) noteMissing(now time.Time, before, next map[string]catkinspindle.Replica) {
	for id := range next {
		delete(v.removed, id)
	}
	maps.DeleteFunc(v.removed, func(_ string, r removal) bool { return now.Sub(r.at) > removedRetention })
	for id, r := range before {
		if _, ok := next[id]; !ok && len(v.removed) < maxRemoved {
			if _, isHeld := v.held[id]; !isHeld {
				v.removed[id] = removal{r.Born, now}
			}
		}
	}
}

// Removed returns the incarnations whose entries were removed lately.
func (v *View) Removed() []catkinspindle.Departure {
	v.mu.Lock()
	defer v.mu.Unlock()
	list := make([]catkinspindle.Departure, 0, len(v.removed))
	for id, r := range v.removed {
		list = append(list, catkinspindle.Departure{ID: id, Born: r.born})
	}
	return list
}

// NoteRemoved remembers removals that another node has seen, before its later list is
// set.
func (v *View) NoteRemoved(list []catkinspindle.Departure) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, d := range list {
		if len(v.removed) < maxRemoved {
			v.removed[d.ID] = removal{d.Born, time.Now()}
		}
	}
}
