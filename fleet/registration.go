package fleet

import (
	"time"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/events"
)

const (
	// registrationLag is how long a hub may take to see the registration of a node from
	// which it already receives heartbeats.
	registrationLag = 2 * time.Second
	// registrationPause is the shortest interval between two registrations of a node.
	registrationPause = 2 * time.Second
)

// lacksRegistration reports whether the store has not listed a registered node for longer
// than registrationLag. It is always false on a node that does not watch the store.
func (f *Fleet) lacksRegistration(n catkinspindle.Node) bool {
	known, ok := f.known[n.Name]
	if !ok || n.Rank == 0 || f.watching == nil || f.blind() || f.registered == nil {
		return false
	}
	if f.registered[n.Name] >= n.Incarnation {
		known.unregistered = time.Time{}
		return false
	}
	if known.unregistered.IsZero() {
		known.unregistered = time.Now()
	}
	return time.Since(known.unregistered) > registrationLag
}

// lostRegistration reports whether the store does not list this node although it has
// registered.
func (f *Fleet) lostRegistration() bool {
	return f.self.Rank > 0 && f.watching != nil && f.registered[f.self.Name] < f.self.Incarnation
}

// registrationLost makes this node register again, unless it is leaving or has done so
// within registrationPause.
func (f *Fleet) registrationLost(source, node string) {
	f.mu.Lock()
	now := time.Now()
	due := !f.leaving && now.Sub(f.registeredAgain) > registrationPause
	if due {
		f.registeredAgain = now
	}
	f.mu.Unlock()
	if due {
		f.log.Warn("store no longer lists the registration", events.StoreRestored.Attr(), "source", source, "node", node)
		f.onUnregistered()
	}
}
