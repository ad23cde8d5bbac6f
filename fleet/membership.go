package fleet

import (
	"time"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/events"
)

const (
	// membershipTimeout is the time without a sign of life after which the membership of a node
	// ends. Until then it keeps its share of the retry budget and of the replicas' rate limits,
	// because it may be cut off and still serve callers.
	membershipTimeout = time.Minute
	// maxTimeoutDoublings limits the doubling of membershipTimeout for a node that has registered
	// again after its registration was removed: it is cut off from the coordinator only.
	maxTimeoutDoublings = 6
	// reregistrationTimeout is the time within which a node that is cut off from the others, but
	// not from the store, registers again after its registration was removed.
	reregistrationTimeout = 10 * time.Second
	// minRemovalInterval is the shortest interval between two attempts to remove a registration.
	minRemovalInterval = 2 * time.Second
)

// registration is an entry of a node in the store.
type registration struct {
	incarnation, revision int64
	// since is the time since which this node knows the revision.
	since time.Time
}

// WithMembershipEnded calls f when the registration of a node that has given no sign of life for a
// minute must be removed from the store. f removes it only if it still has the revision
// RegistrationRevision: a node that was only cut off registers again.
func WithMembershipEnded(f func(catkinspindle.Node)) Option {
	return func(l *Fleet) { l.onMembershipEnded = f }
}

// setRegistration records a registration.
func (f *Fleet) setRegistration(n catkinspindle.Node) {
	known, ok := f.registered[n.Name]
	isNew := !ok || known.revision != n.RegistrationRevision
	if isNew {
		f.registered[n.Name] = registration{n.Incarnation, n.RegistrationRevision, time.Now()}
	}
	m, ok := f.members[n.Name]
	if !ok {
		return
	}
	if isNew && !m.lastRemoval.IsZero() {
		m.reregistrations++
		m.lastRemoval = time.Time{}
	}
	m.unregisteredSince = time.Time{}
}

// endRegistration records that the store no longer lists a node. It remains a member while it gives
// signs of life, and for membershipTimeout after the last one.
func (f *Fleet) endRegistration(m *member) {
	now := time.Now()
	if m.unregisteredSince.IsZero() {
		m.unregisteredSince = now
	}
	if now.Sub(m.lastHeartbeat) > livenessTimeout {
		m.RegistrationRevision, m.presumedAliveUntil = 0, time.Time{}
	}
}

// knowsRegistrations reports whether this node knows which nodes the store lists.
func (f *Fleet) knowsRegistrations() bool {
	return f.stopWatch != nil && f.nodesListed && f.registered != nil && !f.storeLost()
}

// overdueRegistration returns the node whose registration this node must remove from the store next.
// Only a coordinator that all other nodes have had membershipTimeout to reach removes registrations.
func (f *Fleet) overdueRegistration(now time.Time) (overdue catkinspindle.Node, ok bool) {
	if !f.isFirstHub || f.coordinator.Name != f.self.Name || !f.knowsRegistrations() || f.receivingSince.IsZero() {
		return overdue, false
	}
	for name, r := range f.registered {
		m, known := f.members[name]
		if !known || name == f.self.Name || !m.dead || now.Sub(m.lastRemoval) < minRemovalInterval {
			continue
		}
		timeout := membershipTimeout << min(m.reregistrations, maxTimeoutDoublings)
		if now.Sub(later(m.lastSeen(), r.since, f.receivingSince)) > timeout && (!ok || name < overdue.Name) {
			overdue, ok = m.Node, true
			overdue.Incarnation, overdue.RegistrationRevision = r.incarnation, r.revision
		}
	}
	if ok {
		f.members[overdue.Name].lastRemoval = now
	}
	return overdue, ok
}

// removeRegistration has the registration of a node removed from the store.
func (f *Fleet) removeRegistration(n catkinspindle.Node) {
	f.log.Warn("membership ended, removing the registration", events.MembershipEnded.Attr(), "node", n.Name, "incarnation", n.Incarnation, "revision", n.RegistrationRevision)
	f.group.Go(func() error {
		f.onMembershipEnded(n)
		return nil
	})
}

// pruneMembers forgets the nodes whose membership has ended: the store no longer lists them, and they
// have given no sign of life for membershipTimeout or have left as planned. A node that does not
// watch the store relies on the number of members that the coordinator reports.
func (f *Fleet) pruneMembers(now time.Time) {
	for name, m := range f.members {
		if name == f.self.Name || f.live.contains(name) {
			continue
		}
		unseen := now.Sub(m.lastSeen())
		if unseen <= livenessTimeout || (unseen <= membershipTimeout && !m.Leaving) {
			continue
		}
		if f.knowsRegistrations() {
			_, registered := f.registered[name]
			if !registered && m.unregisteredSince.IsZero() {
				m.unregisteredSince = now
			}
			if registered || (now.Sub(m.unregisteredSince) <= reregistrationTimeout && !m.Leaving) {
				continue
			}
		} else if f.coordinator.Name == f.self.Name || f.reportedMembers == 0 || len(f.members) <= f.reportedMembers {
			continue
		}
		delete(f.members, name)
	}
}

// lastSeen returns the time of the member's last sign of life known to this node. The time until
// which it was presumed alive counts as one, and so does the time when this node learned of it.
func (m *member) lastSeen() time.Time {
	return later(m.presumedAliveUntil, m.lastHeartbeat, m.lastResponse, m.followedAt, m.learnedAt, m.unlistedAt)
}

// later returns the latest of some times.
func later(times ...time.Time) (latest time.Time) {
	for _, t := range times {
		if t.After(latest) {
			latest = t
		}
	}
	return latest
}

// NodeCount returns the number of members, including those that are dead but whose membership has not
// ended. A node that is no hub returns the number that the coordinator has reported.
func (f *Fleet) NodeCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.receivingSince.IsZero() && f.reportedMembers > 0 {
		return f.reportedMembers
	}
	return max(1, len(f.members))
}
