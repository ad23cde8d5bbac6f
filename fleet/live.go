package fleet

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/catkinspindle/catkinspindle"
)

// maxPast is the number of earlier lists of live nodes that are kept. There is at most one
// new list per heartbeat interval, so that a node whose list is older than maxPast intervals
// (4 s) may be sent the whole list.
const maxPast = 16

// liveList is a list of live nodes, ordered by name, and its hash.
type liveList struct {
	nodes []catkinspindle.Node
	hash  uint64
}

// liveChange is the difference between the list with the hash From and the current one: the
// nodes that are new or differ (Now) and the names of those removed (Gone). If From is zero,
// Now is the whole list.
type liveChange struct {
	From uint64               `cbor:"1,keyasint,omitempty"`
	Now  []catkinspindle.Node `cbor:"3,keyasint,omitempty"`
	Gone []string             `cbor:"4,keyasint,omitempty"`
}

func newLiveList(nodes []catkinspindle.Node) liveList {
	slices.SortFunc(nodes, func(a, b catkinspindle.Node) int { return cmp.Compare(a.Name, b.Name) })
	h := xxhash.New()
	for _, n := range nodes {
		_, _ = fmt.Fprintln(h, n.Name, n.Incarnation, n.Rank, n.Leaving) // A hash takes every write.
	}
	return liveList{nodes, h.Sum64()}
}

// change returns the difference between l and next.
func (l liveList) change(next liveList) *liveChange {
	c := &liveChange{From: l.hash}
	before := make(map[string]catkinspindle.Node, len(l.nodes))
	for _, n := range l.nodes {
		before[n.Name] = n
	}
	for _, n := range next.nodes {
		if b, ok := before[n.Name]; !ok || b != n {
			c.Now = append(c.Now, n)
		}
		delete(before, n.Name)
	}
	for name := range before {
		c.Gone = append(c.Gone, name)
	}
	slices.Sort(c.Gone)
	return c
}

// with returns l with a change applied.
func (l liveList) with(c liveChange) liveList {
	replaced := make(map[string]bool, len(c.Now)+len(c.Gone))
	for _, n := range c.Now {
		replaced[n.Name] = true
	}
	for _, name := range c.Gone {
		replaced[name] = true
	}
	next := slices.Clone(c.Now)
	for _, n := range l.nodes {
		if !replaced[n.Name] {
			next = append(next, n)
		}
	}
	return newLiveList(next)
}

// setLive replaces the list of live nodes and keeps the previous one.
func (f *Fleet) setLive(l liveList) {
	if l.hash != f.live.hash {
		f.past = append(f.past, f.live)
		f.past = f.past[max(0, len(f.past)-maxPast):]
	}
	f.live = l
}

// liveSince returns the difference between the list with the given hash and the current one,
// or the whole list if that one is no longer kept.
func (f *Fleet) liveSince(hash uint64) *liveChange {
	for _, l := range f.past {
		if hash != 0 && l.hash == hash {
			return l.change(f.live)
		}
	}
	return &liveChange{Now: f.live.nodes}
}

// adoptLive applies a change from the coordinator. If the result differs from the
// coordinator's list, the next heartbeat carries a hash that the coordinator does not know,
// and the response contains the whole list.
func (f *Fleet) adoptLive(c liveChange) {
	base := f.live
	switch {
	case c.From == 0:
		base = liveList{}
	case c.From != base.hash:
		return // Another response has already changed the list.
	}
	for _, n := range c.Now {
		f.learn(n)
	}
	f.setLive(base.with(c))
}
