package fleet

import (
	"time"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/events"
)

const (
	// maxRegistrationLag is how long a hub may take to see the registration of a node from
	// which it already receives heartbeats.
	maxRegistrationLag = 2 * time.Second
	// minRegistrationInterval is the shortest interval between two registrations of a node.
	minRegistrationInterval = 2 * time.Second
)

// lacksRegistration reports whether the store has not listed a registered node for longer
// than maxRegistrationLag. It is always false on a node that does not watch the store.
func (f *Fleet) lacksRegistration(n catkinspindle.Node) bool {
	member, ok := f.members[n.Name]
	if !ok || n.RegistrationRevision == 0 || f.stopWatch == nil || f.storeLost() || f.registered == nil {
		return false
	}
	if f.registered[n.Name].incarnation >= n.Incarnation {
		member.unregisteredSince = time.Time{}
		return false
	}
	if member.unregisteredSince.IsZero() {
		member.unregisteredSince = time.Now()
	}
	return time.Since(member.unregisteredSince) > maxRegistrationLag
}

// lostRegistration reports whether the store does not list this node although it has
// registered.
func (f *Fleet) lostRegistration() bool {
	return f.self.RegistrationRevision > 0 && f.stopWatch != nil && f.registered[f.self.Name].incarnation < f.self.Incarnation
}

// registerAgain makes this node register again, unless it is leaving or has done so
// within minRegistrationInterval.
func (f *Fleet) registerAgain(source, node string) {
	f.mu.Lock()
	now := time.Now()
	due := !f.leaving && now.Sub(f.lastReregistration) > minRegistrationInterval
	if due {
		f.lastReregistration = now
	}
	f.mu.Unlock()
	if due {
		f.log.Warn("store no longer lists this node, registering it again", events.StoreRestored.Attr(), "source", source, "node", node)
		f.onRegistrationLost()
	}
}
