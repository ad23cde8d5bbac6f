package view

import (
	"maps"
	"slices"
	"time"

	"github.com/catkinspindle/catkinspindle"
)

// maxColdTime bounds how long a replica counts as cold because of one statement, so that a wrong one
// does not keep work away from it for good.
const maxColdTime = 10 * time.Minute

// coldPeriod is the time until which an incarnation of a replica is cold. stated is the ColdLeft from
// which it follows.
type coldPeriod struct {
	incarnation int64
	stated      time.Duration
	until       time.Time
}

// SetEvacuations adopts e if it is newer than the known evacuations, and reports whether other data
// centres are evacuated now. Replicas of a data centre that is no longer evacuated may have become
// cold shortly before: they count as cold for as long as their service states.
func (v *View) SetEvacuations(e catkinspindle.Evacuations) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	s := *v.state.Load()
	if !e.At.After(s.Evacuations.At) {
		return false
	}
	if slices.Equal(e.DataCentres, s.Evacuations.DataCentres) {
		s.Evacuations = e
		v.state.Store(&s)
		return false
	}
	now := time.Now()
	coldTimes := map[string]time.Duration{}
	for _, service := range s.services() {
		coldTimes[service.Name] = service.ColdTime
	}
	for id, r := range s.Replicas {
		if s.Evacuations.Contains(r.DataCentre) && !e.Contains(r.DataCentre) && coldTimes[r.Service] > 0 {
			v.extendCold(id, coldPeriod{r.Incarnation, r.ColdLeft, now.Add(min(maxColdTime, coldTimes[r.Service]))})
		}
	}
	s.Evacuations = e
	v.publish(&s)
	return true
}

// services returns the services of the configuration.
func (s *State) services() []catkinspindle.ReplicaService {
	if s.Table == nil {
		return nil
	}
	return s.Table.Routing().Services
}

// extendCold records that a replica is cold, unless it is known to be cold for longer.
func (v *View) extendCold(id string, next coldPeriod) {
	if known, ok := v.coldUntil[id]; !ok || known.incarnation != next.incarnation || known.until.Before(next.until) {
		v.coldUntil[id] = next
	}
}

// observeCold records what the entry of a replica states about how long it stays cold. A statement
// that is repeated without a change was made when it was first seen.
func (v *View) observeCold(now time.Time, r catkinspindle.Replica) {
	known, ok := v.coldUntil[r.ID]
	if ok && (known.incarnation > r.Incarnation || (known.incarnation == r.Incarnation && known.stated == r.ColdLeft)) {
		return // Unchanged, or from an old list.
	}
	if r.ColdLeft > 0 {
		v.coldUntil[r.ID] = coldPeriod{r.Incarnation, r.ColdLeft, now.Add(min(maxColdTime, r.ColdLeft))}
	} else {
		delete(v.coldUntil, r.ID)
	}
}

// keepCold keeps replicas cold whose entries a restored store states as they were before. The next
// change of an entry counts again.
func (v *View) keepCold(now time.Time, restored map[string]catkinspindle.Replica) {
	for id, known := range v.coldUntil {
		r, listed := restored[id]
		if !listed || r.Incarnation != known.incarnation {
			continue
		}
		known.stated = r.ColdLeft
		if until := now.Add(min(maxColdTime, r.ColdLeft)); until.After(known.until) {
			known.until = until
		}
		v.coldUntil[id] = known
	}
}

// markReplicas sets the fields of the replicas that only this node knows.
func (v *View) markReplicas(now time.Time, s *State) {
	limits := map[string]float64{}
	for _, service := range s.services() {
		limits[service.Name] = service.ColdPerSecond
	}
	copied := false
	for id, r := range s.Replicas {
		v.observeCold(now, r)
		next := r
		next.Evacuated = s.Evacuations.Contains(r.DataCentre)
		next.ColdUntil, next.ColdPerSecond = v.coldUntil[id].until, limits[r.Service]
		if next == r {
			continue
		}
		if !copied {
			// The map may be that of the previous state.
			s.Replicas, copied = maps.Clone(s.Replicas), true
		}
		s.Replicas[id] = next
	}
	maps.DeleteFunc(v.coldUntil, func(id string, _ coldPeriod) bool {
		_, known := s.Replicas[id]
		return !known
	})
}

// UnknownDataCentres returns the evacuated data centres in which no replica is listed.
func (s *State) UnknownDataCentres() []string {
	unknown := slices.Clone(s.Evacuations.DataCentres)
	for _, r := range s.Replicas {
		unknown = slices.DeleteFunc(unknown, func(name string) bool { return name == r.DataCentre })
	}
	return unknown
}
