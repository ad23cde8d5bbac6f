package fleet

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/events"
)

// membersInHubOrder returns the known nodes in the order in which they become hubs: by
// descending capacity, and among equals the first node of each data centre, then the second
// of each, so that the loss of a data centre leaves hubs. The order depends only on
// properties that survive a restart, so that all nodes agree on it at once after a restart
// of all.
func (f *Fleet) membersInHubOrder() []*member {
	list := make([]*member, 0, len(f.members))
	for _, n := range f.members {
		list = append(list, n)
	}
	slices.SortFunc(list, func(a, b *member) int {
		return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(len(a.Name), len(b.Name)), cmp.Compare(a.Name, b.Name))
	})
	type group struct {
		capacity   float64
		dataCentre string
	}
	groupSizes := map[group]int{}
	for _, n := range list {
		g := group{n.Capacity, n.DataCentre}
		n.groupIndex = groupSizes[g]
		groupSizes[g]++
	}
	slices.SortStableFunc(list, func(a, b *member) int {
		return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(a.groupIndex, b.groupIndex), cmp.Compare(a.DataCentre, b.DataCentre))
	})
	return list
}

// tick runs at each heartbeat interval: it updates coordinator and liveness, starts or stops
// the watch on the store, and sends heartbeats to the other hubs.
func (f *Fleet) tick(ctx context.Context) {
	now := time.Now()
	f.view.ExpireMissing(now)
	f.mu.Lock()
	f.excuseSilence(now)
	if now.Sub(f.lacksListSince) > firstHeartbeatTimeout {
		f.lacksListSince = time.Time{} // All nodes have had the time to send a heartbeat.
	}
	currentHubs, silent := f.hubs(now)
	isHub := false
	hubResponds, hubReachesStore := false, false
	informed := f.stopWatch != nil && f.nodesListed && !f.storeLost()
	var others []member
	for _, h := range currentHubs {
		if h.Name == f.self.Name {
			isHub = true
			continue
		}
		others = append(others, *h)
		if now.Sub(h.lastResponse) < livenessTimeout {
			hubResponds = true
			hubReachesStore = hubReachesStore || !h.storeLost
			informed = informed || !h.storeLost
		}
	}
	recipients := others
	for _, n := range silent {
		recipients = append(recipients, *n)
	}
	hubReachesStore = hubReachesStore || (isHub && !f.storeLost())
	f.updateStoreLostSince(now, !hubReachesStore && (hubResponds || isHub))
	replicasHash := f.staleReplicasHash()
	upToDate := f.updateInformedSince(now, informed)
	f.probeStore(ctx, now, isHub)
	needed := isHub || f.substituteWatcher || (!hubResponds && now.Sub(f.started) > firstResponseTimeout)
	message := heartbeatRequest{From: f.self, SubstituteWatcher: f.substituteWatcher && f.stopWatch != nil && !f.storeLost(), ConfigVersion: f.view.State().Version(), ReplicasAt: f.view.State().ReplicasAt, EvacuationsAt: f.view.State().Evacuations.At, ReplicasHash: replicasHash}
	lost := append(f.updateLiveness(now, currentHubs), f.replaced...)
	f.replaced = nil
	coordinator := f.coordinator.Name
	message.LiveHash, message.WantsHandover = f.live.hash, isHub && !f.lacksListSince.IsZero()
	source := ""
	if !isHub {
		source = f.changesSource(now, others, message.ReplicasAt)
	}
	overdue, isOverdue := f.overdueRegistration(now)
	f.pruneMembers(now)
	unregistered := f.knowsRegistrations() && f.lostRegistration()
	f.mu.Unlock()
	f.reportLost(lost)
	if isOverdue {
		f.removeRegistration(overdue)
	}
	if unregistered {
		f.registerAgain("store", "")
	}
	if upToDate {
		f.view.EndProbation(now)
	}
	f.setWatching(ctx, needed)
	for _, h := range recipients {
		f.group.Go(func() error {
			f.exchangeHeartbeat(ctx, h.Node, message.forHub(h.Name == coordinator, source != "" && source != h.Name))
			return nil
		})
	}
}

// reportLost logs lost nodes and calls onNodeLost for each. A restart of all nodes replaces
// every incarnation at once; beyond maxLostNodeLogs only the number is logged, not hundreds
// of lines.
func (f *Fleet) reportLost(lost []catkinspindle.Node) {
	for i, n := range lost {
		if i < maxLostNodeLogs {
			f.log.Warn("node lost", events.NodeLost.Attr(), "node", n.Name, "incarnation", n.Incarnation)
		}
		f.onNodeLost(n)
	}
	if more := len(lost) - maxLostNodeLogs; more > 0 {
		f.log.Warn("further nodes lost, not logged one by one", events.NodeLost.Attr(), "count", more)
	}
}

// updateInformedSince records whether this node learns of changes in the store, and reports
// whether it has done so for longer than livenessTimeout, after which it has caught up.
func (f *Fleet) updateInformedSince(now time.Time, informed bool) (upToDate bool) {
	switch {
	case !informed:
		f.informedSince = time.Time{}
	case f.informedSince.IsZero():
		f.informedSince = now
	}
	return informed && now.Sub(f.informedSince) > livenessTimeout
}

// updateStoreLostSince records whether all hubs have lost the store.
func (f *Fleet) updateStoreLostSince(now time.Time, lost bool) {
	switch {
	case !lost:
		f.storeLostSince = time.Time{}
	case f.storeLostSince.IsZero():
		f.storeLostSince = now
	}
}

// probeStore probes the store if all hubs have lost it and this node is next in the rotation,
// and starts the watch if the probe succeeds. Only probeGroupSize nodes probe at a time, so that
// the number of calls during an outage does not grow with the number of nodes.
func (f *Fleet) probeStore(ctx context.Context, now time.Time, isHub bool) {
	if f.storeLostSince.IsZero() || isHub || (f.substituteWatcher && f.stopWatch != nil && f.storeLost()) {
		f.substituteWatcher = false
	}
	if f.storeLostSince.IsZero() {
		f.nextProbeStep = 0
		return
	}
	if isHub || f.substituteWatcher || f.substituteWatchers() >= maxSubstituteWatchers {
		return
	}
	step := int(now.Sub(f.storeLostSince) / probeInterval)
	if f.nextProbeStep > step || !f.isProbeTurn(step) {
		return
	}
	f.nextProbeStep = step + 1
	f.group.Go(func() error {
		probeCtx, cancel := context.WithTimeout(ctx, probeInterval)
		defer cancel()
		if f.probe(probeCtx) {
			f.mu.Lock()
			f.substituteWatcher = true
			f.mu.Unlock()
			f.setWatching(ctx, true)
		}
		return nil
	})
}

// substituteWatchers returns the highest number of nodes that a hub has reported to watch the
// store in place of the hubs.
func (f *Fleet) substituteWatchers() (n int) {
	for _, k := range f.members {
		n = max(n, k.substituteWatchers)
	}
	return n
}

// isProbeTurn reports whether this node probes the store in a step of the rotation.
func (f *Fleet) isProbeTurn(step int) bool {
	index, count := 0, -hubCount
	for _, n := range f.membersInHubOrder() {
		if !f.live.contains(n.Name) && len(f.live.nodes) > 0 {
			continue
		}
		if n.Name == f.self.Name {
			index = count
		}
		count++
	}
	groups := max(1, (count+probeGroupSize-1)/probeGroupSize)
	return max(0, index)/probeGroupSize == step%groups
}

// hubs returns the hubs in the order of membersInHubOrder, and the silent nodes before or among them
// that are sent heartbeats, so that they become hubs again when they respond. Nodes that are leaving,
// not registered or in cooldown are left out.
func (f *Fleet) hubs(now time.Time) (hubs, silent []*member) {
	hubs = make([]*member, 0, hubCount)
	for _, n := range f.membersInHubOrder() {
		if n.RegistrationRevision == 0 || n.Leaving || !now.After(n.cooldownUntil) || len(hubs) == hubCount {
			continue
		}
		switch {
		case !n.silent:
			hubs = append(hubs, n)
		case len(silent) < hubCount:
			silent = append(silent, n)
		}
	}
	return hubs, silent
}

// updateLiveness updates the responding hubs and the coordinator and, on a hub or
// coordinator, which nodes are alive. It returns the nodes newly found dead.
func (f *Fleet) updateLiveness(now time.Time, currentHubs []*member) []catkinspindle.Node {
	coordinator := f.self
	isHub := slices.ContainsFunc(currentHubs, func(h *member) bool { return h.Name == f.self.Name })
	f.isFirstHub = len(currentHubs) > 0 && currentHubs[0].Name == f.self.Name
	var responding []catkinspindle.Node
	for _, h := range currentHubs {
		if h.Name == f.self.Name || now.Sub(h.lastResponse) < livenessTimeout {
			responding = append(responding, h.Node)
		}
	}
	if len(responding) > 0 {
		coordinator = responding[0]
	}
	if !slices.EqualFunc(responding, f.respondingHubs, func(a, b catkinspindle.Node) bool {
		return a.Name == b.Name && a.Incarnation == b.Incarnation
	}) {
		f.hubsSince = now
		f.group.Go(func() error {
			f.onHubsChange()
			return nil
		})
	}
	f.respondingHubs = responding
	if coordinator.Name != f.coordinator.Name || coordinator.Incarnation != f.coordinator.Incarnation {
		f.log.Info("coordinator changed", events.HubChanged.Attr(), "node", coordinator.Name, "incarnation", coordinator.Incarnation, "rank", coordinator.RegistrationRevision)
		f.coordinator = coordinator
		f.group.Go(func() error {
			f.onCoordinatorChange(coordinator)
			return nil
		})
	}
	switch {
	case !f.isFirstHub || coordinator.Name != f.self.Name:
		f.coordinatorSince = time.Time{}
	case f.coordinatorSince.IsZero():
		f.coordinatorSince = now
	}
	if !isHub && coordinator.Name != f.self.Name {
		f.receivingSince = time.Time{}
		return nil
	}
	if f.awaitsHandover(now) {
		return nil
	}
	if f.receivingSince.IsZero() {
		f.presumeAlive(now)
	}
	var lost []catkinspindle.Node
	live := make([]catkinspindle.Node, 0, len(f.members))
	heardFromOthers := false
	for _, n := range f.members {
		heard := n.heardSince(now.Add(-livenessTimeout))
		heardFromOthers = heardFromOthers || heard
		alive := n.Name == f.self.Name || heard || now.Before(n.presumedAliveUntil)
		if alive {
			live = append(live, n.Node)
		}
		if !alive && !n.dead {
			lost = append(lost, n.Node)
		}
		n.dead = !alive
	}
	f.isolated = f.isolated || (!heardFromOthers && len(f.members) > 1)
	if 2*len(live) >= len(f.members) {
		f.minoritySince = time.Time{}
	} else if f.minoritySince.IsZero() {
		f.minoritySince = now
	}
	if coordinator.Name == f.self.Name {
		f.setLive(newLiveList(live))
	}
	return lost
}

// excuseSilence treats the live nodes as alive for firstHeartbeatTimeout if this node has sent no
// heartbeats for a while. It was probably frozen: the silence was its own, and those that have missed
// it as a hub do not use it for hubCooldown. After a longer freeze it needs the list of another hub.
func (f *Fleet) excuseSilence(now time.Time) {
	// The monotonic clock may stand still during a freeze; the wall clock does not.
	silence := max(now.Sub(f.lastTick), now.Round(0).Sub(f.lastTick.Round(0)))
	if !f.lastTick.IsZero() && silence > maxTickDelay {
		for _, n := range f.members {
			if !n.dead {
				n.presumedAliveUntil = now.Add(firstHeartbeatTimeout)
			}
		}
		if silence > livenessTimeout {
			f.lacksListSince = now
			for _, n := range f.members {
				n.followedAt = time.Time{}
			}
		}
	}
	f.lastTick = now
}

// presumeAlive treats the nodes in the coordinator's list as alive until they have had time to
// send a heartbeat to this node: firstHeartbeatTimeout for those that never did and while this
// node has just started, since hundreds connect to it then. Without a list, all registered nodes
// are treated so until unconfirmedTimeout after the start of this node.
func (f *Fleet) presumeAlive(now time.Time) {
	f.receivingSince = now
	for _, n := range f.members {
		limit := livenessTimeout
		if n.lastHeartbeat.IsZero() || now.Sub(f.started) < firstHeartbeatTimeout {
			limit = firstHeartbeatTimeout
		}
		until := now.Add(limit)
		if len(f.live.nodes) == 0 {
			until = f.unconfirmedUntil()
		} else if !f.live.contains(n.Name) {
			continue
		}
		if until.After(n.presumedAliveUntil) {
			n.presumedAliveUntil = until
		}
	}
}

// setWatching starts or stops the watch on the store.
func (f *Fleet) setWatching(ctx context.Context, enabled bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case enabled && f.stopWatch == nil:
		watchCtx, cancel := context.WithCancel(ctx)
		f.stopWatch, f.nodesListed = cancel, false
		f.group.Go(func() error {
			f.watch(watchCtx)
			return nil
		})
	case !enabled && f.stopWatch != nil:
		f.stopWatch()
		f.stopWatch = nil
	}
}

// MarkUnresponsive reports that a hub has not responded. It is not used as a hub until its next
// heartbeat arrives or the cooldown of 2 s ends.
func (f *Fleet) MarkUnresponsive(n catkinspindle.Node) {
	f.mu.Lock()
	defer f.mu.Unlock()
	hub, ok := f.members[n.Name]
	if !ok || hub.Incarnation != n.Incarnation || n.Name == f.self.Name {
		return
	}
	now := time.Now()
	hub.cooldownUntil = now.Add(hubCooldown)
	hub.lastResponse = time.Time{}
	f.updateHubs(now)
}

// updateHubs updates the hubs and the liveness between two ticks.
func (f *Fleet) updateHubs(now time.Time) {
	hubs, _ := f.hubs(now)
	f.replaced = append(f.replaced, f.updateLiveness(now, hubs)...)
}
