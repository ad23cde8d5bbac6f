package fleet

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/catkinspindle/catkinspindle"
)

// maxPreviousLists is the number of previous lists of live nodes that are kept. With one new list
// per heartbeat interval at most, only a node whose list is more than maxPreviousLists intervals
// (4 s) old is sent the whole list instead of the changes.
const maxPreviousLists = 16

// liveList is a list of live nodes, ordered by name, and its hash.
type liveList struct {
	nodes []catkinspindle.Node
	hash  uint64
}

// liveChange is the difference between the list with the hash FromHash and the current one:
// the nodes that are new or differ and the names of those removed. If FromHash is zero,
// Updated is the whole list.
type liveChange struct {
	FromHash uint64               `cbor:"1,keyasint,omitempty"`
	Updated  []catkinspindle.Node `cbor:"3,keyasint,omitempty"`
	Removed  []string             `cbor:"4,keyasint,omitempty"`
}

func newLiveList(nodes []catkinspindle.Node) liveList {
	slices.SortFunc(nodes, func(a, b catkinspindle.Node) int { return cmp.Compare(a.Name, b.Name) })
	h := xxhash.New()
	for _, n := range nodes {
		_, _ = fmt.Fprintln(h, n.Name, n.Incarnation, n.RegistrationRevision, n.Leaving, n.PathsLost) // Writes to a hash do not fail.
	}
	return liveList{nodes, h.Sum64()}
}

// contains reports whether a node is in the list.
func (l liveList) contains(name string) bool {
	_, found := slices.BinarySearchFunc(l.nodes, name, func(n catkinspindle.Node, name string) int { return cmp.Compare(n.Name, name) })
	return found
}

// diff returns the difference between l and next.
func (l liveList) diff(next liveList) *liveChange {
	c := &liveChange{FromHash: l.hash}
	before := make(map[string]catkinspindle.Node, len(l.nodes))
	for _, n := range l.nodes {
		before[n.Name] = n
	}
	for _, n := range next.nodes {
		if b, ok := before[n.Name]; !ok || b != n {
			c.Updated = append(c.Updated, n)
		}
		delete(before, n.Name)
	}
	for name := range before {
		c.Removed = append(c.Removed, name)
	}
	slices.Sort(c.Removed)
	return c
}

// apply returns l with c applied.
func (l liveList) apply(c liveChange) liveList {
	replaced := make(map[string]bool, len(c.Updated)+len(c.Removed))
	for _, n := range c.Updated {
		replaced[n.Name] = true
	}
	for _, name := range c.Removed {
		replaced[name] = true
	}
	next := slices.Clone(c.Updated)
	for _, n := range l.nodes {
		if !replaced[n.Name] {
			next = append(next, n)
		}
	}
	return newLiveList(next)
}

// setLive replaces the list of live nodes and keeps the previous one. Nodes that are in it for the
// first time are candidate hubs again.
func (f *Fleet) setLive(l liveList) {
	if l.hash == f.live.hash {
		return
	}
	for name, m := range f.members {
		switch wasLive, isLive := f.live.contains(name), l.contains(name); {
		case wasLive && !isLive:
			m.unlistedAt = time.Now()
		case !wasLive && isLive && m.silent:
			m.endSilence()
		}
	}
	f.previousLive = append(f.previousLive, f.live)
	f.previousLive = f.previousLive[max(0, len(f.previousLive)-maxPreviousLists):]
	f.live = l
}

// liveSince returns the difference between the list with the given hash and the current one,
// or the whole list if that one is no longer kept.
func (f *Fleet) liveSince(hash uint64) *liveChange {
	for _, l := range f.previousLive {
		if hash != 0 && l.hash == hash {
			return l.diff(f.live)
		}
	}
	return &liveChange{Updated: f.live.nodes}
}

// adoptLive applies a change from the coordinator. If the result differs from the
// coordinator's list, the next heartbeat carries a hash that matches none of the coordinator's
// lists, and the response contains the whole list.
func (f *Fleet) adoptLive(c liveChange) {
	base := f.live
	switch {
	case c.FromHash == 0:
		base = liveList{}
	case c.FromHash != base.hash:
		return // Another response has already changed the list.
	}
	for _, n := range c.Updated {
		f.updateMember(n, time.Now().Add(livenessTimeout))
	}
	f.setLive(base.apply(c))
}
