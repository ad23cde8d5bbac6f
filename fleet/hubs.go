package fleet

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/events"
)

// ranked returns the known nodes in the order in which they become hubs: by descending
// capacity, and among equals the first node of each data centre, then the second of each,
// so that the loss of a data centre leaves hubs. The order depends only on properties that
// survive a restart, so that all nodes agree on it at once after a restart of all.
func (f *Fleet) ranked() []*member {
	list := make([]*member, 0, len(f.known))
	for _, n := range f.known {
		list = append(list, n)
	}
	slices.SortFunc(list, func(a, b *member) int {
		return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(len(a.Name), len(b.Name)), cmp.Compare(a.Name, b.Name))
	})
	type group struct {
		capacity   float64
		dataCentre string
	}
	members := map[group]int{}
	for _, n := range list {
		g := group{n.Capacity, n.DataCentre}
		n.place = members[g]
		members[g]++
	}
	slices.SortStableFunc(list, func(a, b *member) int {
		return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(a.place, b.place), cmp.Compare(a.DataCentre, b.DataCentre))
	})
	return list
}

// turn runs at each heartbeat interval: it updates coordinator and liveness, starts or stops
// the watch on the store, and sends heartbeats to the other hubs.
func (f *Fleet) turn(ctx context.Context) {
	now := time.Now()
	f.view.Expire(now)
	f.mu.Lock()
	ranked := f.hubs(now)
	isHub := false
	hubAnswers, storeSeen := false, false
	informed := f.watching != nil && f.listed && !f.blind()
	var others []member
	for _, h := range ranked {
		if h.Name == f.self.Name {
			isHub = true
			continue
		}
		others = append(others, *h)
		if now.Sub(h.answered) < silence {
			hubAnswers = true
			storeSeen = storeSeen || !h.blind
			informed = informed || !h.blind
		}
	}
	storeSeen = storeSeen || (isHub && !f.blind())
	f.setBlindSince(now, !storeSeen && (hubAnswers || isHub))
	upToDate := f.setInformedSince(now, informed)
	f.probeStore(ctx, now, isHub)
	needed := isHub || f.inPlace || (!hubAnswers && now.Sub(f.started) > firstAnswer)
	message := beatMessage{From: f.self, Watches: f.inPlace && f.watching != nil && !f.blind(), ConfigVersion: f.view.State().Version(), ReplicasAt: f.view.State().ReplicasAt}
	lost := append(f.judge(now, ranked, isHub), f.replaced...)
	f.replaced = nil
	home := f.home.Name
	message.LiveHash = f.live.hash
	f.mu.Unlock()
	f.drop(lost)
	if upToDate {
		f.view.Release(now)
	}
	f.setWatching(ctx, needed)
	for _, h := range others {
		f.group.Go(func() error {
			f.beat(ctx, h.Node, message.toHub(h.Name == home))
			return nil
		})
	}
}

// drop logs lost nodes and calls onDeath for each. A restart of all nodes replaces every
// incarnation at once; beyond maxLostLines only the number is logged, not hundreds of lines.
func (f *Fleet) drop(lost []catkinspindle.Node) {
	for i, n := range lost {
		if i < maxLostLines {
			f.log.Warn("node lost", events.NodeLost.Attr(), "node", n.Name, "incarnation", n.Incarnation)
		}
		f.onDeath(n)
	}
	if more := len(lost) - maxLostLines; more > 0 {
		f.log.Warn("more nodes lost", events.NodeLost.Attr(), "count", more)
	}
}

// setInformedSince records whether this node learns of changes in the store, and reports
// whether it has done so for longer than silence, by when it has caught up.
func (f *Fleet) setInformedSince(now time.Time, informed bool) (upToDate bool) {
	switch {
	case !informed:
		f.informedSince = time.Time{}
	case f.informedSince.IsZero():
		f.informedSince = now
	}
	return informed && now.Sub(f.informedSince) > silence
}

// setBlindSince records whether all hubs have lost the store.
func (f *Fleet) setBlindSince(now time.Time, blind bool) {
	switch {
	case !blind:
		f.blindSince = time.Time{}
	case f.blindSince.IsZero():
		f.blindSince = now
	}
}

// probeStore probes the store when it is this node's turn, while all hubs have lost it, and
// starts the watch if the probe succeeds. Only ringNodes nodes probe at a time, so that the
// number of calls during an outage does not grow with the number of nodes.
func (f *Fleet) probeStore(ctx context.Context, now time.Time, isHub bool) {
	if f.blindSince.IsZero() || isHub || (f.inPlace && f.watching != nil && f.blind()) {
		f.inPlace = false
	}
	if f.blindSince.IsZero() {
		f.probed = 0
		return
	}
	if isHub || f.inPlace || f.watchers() >= ringWatchers {
		return
	}
	step := int(now.Sub(f.blindSince) / ring)
	if f.probed > step || !f.hasTurn(step) {
		return
	}
	f.probed = step + 1
	f.group.Go(func() error {
		probeCtx, cancel := context.WithTimeout(ctx, ring)
		defer cancel()
		if f.probe(probeCtx) {
			f.mu.Lock()
			f.inPlace = true
			f.mu.Unlock()
			f.setWatching(ctx, true)
		}
		return nil
	})
}

// watchers returns the highest number of nodes that a hub has reported to watch the store in
// place of the hubs.
func (f *Fleet) watchers() (n int) {
	for _, k := range f.known {
		n = max(n, k.watchers)
	}
	return n
}

// hasTurn reports whether this node probes the store in a step of the rotation.
func (f *Fleet) hasTurn(step int) bool {
	place, others := 0, -hubs
	for _, n := range f.ranked() {
		if n.dead {
			continue
		}
		if n.Name == f.self.Name {
			place = others
		}
		others++
	}
	groups := max(1, (others+ringNodes-1)/ringNodes)
	return max(0, place)/ringNodes == step%groups
}

// hubs returns the hubs in the order of ranked. Nodes that are leaving, not registered or in
// cooldown are left out.
func (f *Fleet) hubs(now time.Time) []*member {
	list := make([]*member, 0, hubs)
	for _, n := range f.ranked() {
		if n.Rank > 0 && now.After(n.shunned) && !n.Leaving && len(list) < hubs {
			list = append(list, n)
		}
	}
	return list
}

// judge updates the responding hubs and the coordinator and, on a hub or coordinator, which
// nodes are alive. It returns the nodes newly found dead.
func (f *Fleet) judge(now time.Time, ranked []*member, isHub bool) []catkinspindle.Node {
	home := f.self
	f.leads = len(ranked) > 0 && ranked[0].Name == f.self.Name
	var answering []catkinspindle.Node
	for _, h := range ranked {
		if h.Name == f.self.Name || now.Sub(h.answered) < silence {
			answering = append(answering, h.Node)
		}
	}
	if len(answering) > 0 {
		home = answering[0]
	}
	if !slices.EqualFunc(answering, f.answering, func(a, b catkinspindle.Node) bool {
		return a.Name == b.Name && a.Incarnation == b.Incarnation
	}) {
		f.group.Go(func() error {
			f.onHubs()
			return nil
		})
	}
	f.answering = answering
	if home.Name != f.home.Name || home.Incarnation != f.home.Incarnation {
		f.log.Info("coordinator changed", events.HubChanged.Attr(), "node", home.Name, "incarnation", home.Incarnation, "rank", home.Rank)
		f.home = home
		f.group.Go(func() error {
			f.onHome(home)
			return nil
		})
	}
	if !isHub && home.Name != f.self.Name {
		f.hearing = time.Time{}
		return nil
	}
	if f.hearing.IsZero() {
		f.presume(now)
	}
	var lost []catkinspindle.Node
	live := make([]catkinspindle.Node, 0, len(f.known))
	for _, n := range f.known {
		alive := n.Name == f.self.Name || now.Sub(n.lastBeat) < silence || now.Sub(n.answered) < silence || now.Before(n.presumed)
		if alive {
			live = append(live, n.Node)
		}
		if !alive && !n.dead {
			lost = append(lost, n.Node)
		}
		n.dead = !alive
	}
	if home.Name == f.self.Name {
		f.setLive(newLiveList(live))
	}
	return lost
}

// presume treats the nodes in the previous coordinator's list, or all known nodes if there
// is none, as alive until they have had time to send a heartbeat to this node: firstContact
// for those that never did, since hundreds connect to a node that has just started.
func (f *Fleet) presume(now time.Time) {
	f.hearing = now
	for _, n := range f.known {
		limit := silence
		if n.lastBeat.IsZero() {
			limit = firstContact
		}
		counted := len(f.live.nodes) == 0 || slices.ContainsFunc(f.live.nodes, func(l catkinspindle.Node) bool { return l.Name == n.Name })
		if counted {
			n.presumed = now.Add(limit)
		}
	}
}

// setWatching starts or stops the watch on the store.
func (f *Fleet) setWatching(ctx context.Context, on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case on && f.watching == nil:
		watchCtx, cancel := context.WithCancel(ctx)
		f.watching, f.listed = cancel, false
		f.group.Go(func() error {
			f.watch(watchCtx)
			return nil
		})
	case !on && f.watching != nil:
		f.watching()
		f.watching = nil
	}
}

// Suspect reports that a hub has not responded. It is not used as a hub until its next
// heartbeat arrives or the cooldown of 2 s ends.
func (f *Fleet) Suspect(n catkinspindle.Node) {
	f.mu.Lock()
	defer f.mu.Unlock()
	known, ok := f.known[n.Name]
	if !ok || known.Incarnation != n.Incarnation || n.Name == f.self.Name {
		return
	}
	now := time.Now()
	known.shunned = now.Add(shun)
	known.answered = time.Time{}
	f.judge(now, f.hubs(now), false)
}
