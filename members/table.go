// Package members tracks which VMs of the system are alive. Each VM increments its
// own heartbeat counter, and the VMs exchange their tables of counters
// (gossip-style failure detection, van Renesse et al., 1998).
package members

import (
	"cmp"
	"slices"
	"time"

	"github.com/catkinspindle/catkinspindle"
)

// Table is the membership table of one VM. It is not safe for concurrent use.
type Table struct {
	self       catkinspindle.Member
	timeout    time.Duration
	entries    map[string]*entry
	superseded bool
}

type entry struct {
	member        catkinspindle.Member
	lastHeartbeat time.Time
}

// New returns a table that contains only self. A member counts as dead when no newer
// heartbeat of it has arrived for timeout.
func New(self catkinspindle.Member, timeout time.Duration) *Table {
	return &Table{self: self, timeout: timeout, entries: map[string]*entry{}}
}

// Self returns the entry of this VM.
func (t *Table) Self() catkinspindle.Member { return t.self }

// Heartbeat replaces the entry of this VM by self and increments its heartbeat counter.
func (t *Table) Heartbeat(self catkinspindle.Member) {
	self.HeartbeatCount = t.self.HeartbeatCount
	t.self = self.WithNextHeartbeat()
}

// Superseded reports whether a newer incarnation of this VM has been seen.
func (t *Table) Superseded() bool { return t.superseded }

// Merge adds the entries of another VM's table that are newer than the known ones. Entries
// of this VM are not added; a newer incarnation among them supersedes this one.
func (t *Table) Merge(list []catkinspindle.Member) {
	for _, m := range list {
		if m.Origin.VM == t.self.Origin.VM {
			t.superseded = t.superseded || m.Origin.Incarnation > t.self.Origin.Incarnation
			continue
		}
		t.merge(m)
	}
}

func (t *Table) merge(m catkinspindle.Member) {
	e, ok := t.entries[m.Origin.VM]
	if ok && !isNewer(m, e.member) {
		return
	}
	t.entries[m.Origin.VM] = &entry{member: m, lastHeartbeat: time.Now()}
}

// isNewer reports whether a is newer than b: first by incarnation, then by heartbeat.
func isNewer(a, b catkinspindle.Member) bool {
	if a.Origin.Incarnation != b.Origin.Incarnation {
		return a.Origin.Incarnation > b.Origin.Incarnation
	}
	return a.HeartbeatCount > b.HeartbeatCount
}

// Live returns the live members including this VM, sorted by name.
func (t *Table) Live() []catkinspindle.Member {
	list := []catkinspindle.Member{t.self}
	for _, e := range t.entries {
		if t.alive(e) {
			list = append(list, e.member)
		}
	}
	slices.SortFunc(list, func(a, b catkinspindle.Member) int { return cmp.Compare(a.Origin.VM, b.Origin.VM) })
	return list
}

func (t *Table) alive(e *entry) bool { return time.Since(e.lastHeartbeat) < t.timeout }

// Heartbeats returns the newest heartbeats of the live members.
func (t *Table) Heartbeats() []catkinspindle.MemberHeartbeat {
	var list []catkinspindle.MemberHeartbeat
	for _, m := range t.Live() {
		list = append(list, catkinspindle.MemberHeartbeat{Origin: m.Origin, HeartbeatCount: m.HeartbeatCount})
	}
	return list
}

// NewerThan returns the live members that are missing from heartbeats or have an older
// heartbeat there.
func (t *Table) NewerThan(heartbeats []catkinspindle.MemberHeartbeat) []catkinspindle.Member {
	known := map[string]catkinspindle.Member{}
	for _, b := range heartbeats {
		known[b.Origin.VM] = catkinspindle.Member{Origin: b.Origin, HeartbeatCount: b.HeartbeatCount}
	}
	var list []catkinspindle.Member
	for _, m := range t.Live() {
		if k, ok := known[m.Origin.VM]; !ok || isNewer(m, k) {
			list = append(list, m)
		}
	}
	return list
}

// IsAlive reports whether the incarnation is a live member.
func (t *Table) IsAlive(o catkinspindle.Origin) bool {
	if o.VM == t.self.Origin.VM {
		return o == t.self.Origin
	}
	e, ok := t.entries[o.VM]
	return ok && e.member.Origin == o && t.alive(e)
}

// IsDead reports whether the incarnation is known to have timed out or to have been replaced
// by a newer one. An unknown incarnation is not dead.
func (t *Table) IsDead(o catkinspindle.Origin) bool {
	if o.VM == t.self.Origin.VM {
		return o.Incarnation < t.self.Origin.Incarnation
	}
	e, ok := t.entries[o.VM]
	if !ok {
		return false
	}
	return e.member.Origin.Incarnation > o.Incarnation || e.member.Origin == o && !t.alive(e)
}

// Isolated reports whether fewer than half of the members whose heartbeats arrived within
// horizon are alive, counting this VM but no leaving members. In that case a network
// partition of this VM is more likely than the failure of all the others.
func (t *Table) Isolated(horizon time.Duration) bool { return t.LiveShare(horizon) < 0.5 }

// LiveShare returns the fraction of the members whose heartbeats arrived within horizon that are
// alive, counting this VM but no leaving members.
func (t *Table) LiveShare(horizon time.Duration) float64 {
	known, live := 1, 1
	for _, e := range t.entries {
		if time.Since(e.lastHeartbeat) > horizon || e.member.Leaving {
			continue
		}
		known++
		if t.alive(e) {
			live++
		}
	}
	return float64(live) / float64(known)
}
