package fleet

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/catkinspindle/catkinspindle"
)

// maxPast is the number of earlier lists of live nodes that are kept: a new one
// comes with a turn at most, and a node that has been told nothing for longer than
// maxPast turns (4 s) is sent the whole list.
const maxPast = 16

// liveList is a list of live nodes, ordered by name, and its hash.
type liveList struct {
	nodes []catkinspindle.Node
	hash  uint64
}

// liveChange leads from the list with the hash From to the next one; From is zero
// when Now is the whole list.
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

// change returns what leads from l to next.
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

// with returns l after a change.
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

// setLive replaces the list of live nodes and remembers the one before.
func (f *Fleet) setLive(l liveList) {
	if l.hash != f.live.hash {
		f.past = append(f.past, f.live)
		f.past = f.past[max(0, len(f.past)-maxPast):]
	}
	f.live = l
}

// liveSince returns what leads from the list with a hash to the present one, or
// the whole list when that one is not known any more.
func (f *Fleet) liveSince(hash uint64) *liveChange {
	for _, l := range f.past {
		if hash != 0 && l.hash == hash {
			return l.change(f.live)
		}
	}
	return &liveChange{Now: f.live.nodes}
}

// adoptLive takes a change from the coordinator. Should it lead to another list
// than the coordinator's, the next heartbeat names one that the coordinator never
// had, and the whole one is sent.
func (f *Fleet) adoptLive(c liveChange) {
	base := f.live
	switch {
	case c.From == 0:
		base = liveList{}
	case c.From != base.hash:
		return // Another answer has been faster.
	}
	for _, n := range c.Now {
		f.learn(n)
	}
	f.setLive(base.with(c))
}
