package view

import (
	"maps"
	"time"

	"github.com/catkinspindle/catkinspindle"
)

const (
	// defaultProbation exceeds the three heartbeats after which the store removes the
	// entry of a silent replica.
	defaultProbation = 5 * time.Second
	// removalRetention is how long a removal is kept. It exceeds the age of the backup
	// from which a store is restored, which is some seconds.
	removalRetention = time.Minute
	// maxRemovals bounds the number of removals that are kept.
	maxRemovals = 2048
)

// removal is an incarnation of a replica whose entry was removed from the store.
type removal struct {
	incarnation int64
	at          time.Time
}

// probationEntry is a listed replica that is not used until its probation ends.
type probationEntry struct {
	replica catkinspindle.Replica
	until   time.Time
}

// applyRestore applies to the list of a restored store the changes that the restore has
// undone. A replica that was leaving is still leaving. A replica whose entry had been
// removed is put on probation: it may be gone, and if it stays silent its entry is removed
// again. From a list of the same era it only withholds the replicas that are already on
// probation.
func (v *View) applyRestore(now time.Time, next map[string]catkinspindle.Replica, s *State, at catkinspindle.Position) {
	restored := at.Era > s.ReplicasAt.Era
	if restored {
		clear(v.onProbation)
		v.keepCold(now, next)
		for _, r := range s.Replicas {
			if r.Leaving {
				v.departures.Add(now, r.Departure(), true)
			}
		}
	}
	maps.DeleteFunc(v.onProbation, func(id string, e probationEntry) bool { return !e.replica.SameIncarnation(next[id]) })
	for id, r := range next {
		if removed, ok := v.removed[id]; ok && restored && removed.incarnation >= r.Incarnation {
			v.onProbation[id] = probationEntry{r, now.Add(v.probation)}
		}
		_, isOnProbation := v.onProbation[id]
		// The replica has restarted since the backup was taken, so the listed
		// incarnation has ended and the current one is missing from the list.
		if outdated := restored && s.Replicas[id].Incarnation > r.Incarnation; isOnProbation || outdated {
			delete(next, id)
		}
	}
}

// EndProbation puts replicas whose probation has ended into use. It must be called only while
// the list is up to date: a partitioned node does not see that an entry was removed again.
func (v *View) EndProbation(now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	s := *v.state.Load()
	var next map[string]catkinspindle.Replica
	for id, e := range v.onProbation {
		if now.Before(e.until) {
			continue
		}
		if next == nil {
			next = maps.Clone(s.Replicas)
		}
		next[id] = e.replica
		delete(v.onProbation, id)
	}
	if next != nil {
		v.updateRemoved(now, s.Replicas, next)
		v.markLeaving(next)
		s.Replicas = next
		v.publish(&s)
	}
}

// updateRemoved records the replicas that are in before but not in next as removed, and
// drops the records of replicas in next and of removals older than removalRetention.
func (v *View) updateRemoved(now time.Time, before, next map[string]catkinspindle.Replica) {
	for id := range next {
		delete(v.removed, id)
	}
	maps.DeleteFunc(v.removed, func(_ string, r removal) bool { return now.Sub(r.at) > removalRetention })
	for id, r := range before {
		if _, ok := next[id]; !ok && len(v.removed) < maxRemovals {
			if _, isOnProbation := v.onProbation[id]; !isOnProbation {
				v.removed[id] = removal{r.Incarnation, now}
			}
		}
	}
}

// Removed returns the incarnations whose entries were removed recently.
func (v *View) Removed() []catkinspindle.Departure {
	v.mu.Lock()
	defer v.mu.Unlock()
	list := make([]catkinspindle.Departure, 0, len(v.removed))
	for id, r := range v.removed {
		list = append(list, catkinspindle.Departure{ID: id, Incarnation: r.incarnation})
	}
	return list
}

// AddRemoved records removals that another node has recorded. It must be called before
// SetReplicas is called with that node's list.
func (v *View) AddRemoved(list []catkinspindle.Departure) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, d := range list {
		if len(v.removed) < maxRemovals {
			v.removed[d.ID] = removal{d.Incarnation, time.Now()}
		}
	}
}
