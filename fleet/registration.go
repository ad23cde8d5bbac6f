package fleet

import (
	"time"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/events"
)

const (
	// registrationLag is how long a hub may take to see the registration of a node
	// whose heartbeats it already gets.
	registrationLag = 2 * time.Second
	// registrationPause is the shortest time between two registrations of a node.
	registrationPause = 2 * time.Second
)

// lacksRegistration reports whether the store does not list a node that has
// registered itself. Only a node that watches the store can tell.
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

// lostRegistration reports whether the list of the store lacks this node although it
// has registered itself.
func (f *Fleet) lostRegistration() bool {
	return f.self.Rank > 0 && f.watching != nil && f.registered[f.self.Name] < f.self.Incarnation
}

// registrationLost has this node register again, unless it has just done so or is
// about to stop.
func (f *Fleet) registrationLost(source, node string) {
	f.mu.Lock()
	now := time.Now()
	due := !f.leaving && now.Sub(f.registeredAgain) > registrationPause
	if due {
		f.registeredAgain = now
	}
	f.mu.Unlock()
	if due {
		f.log.Warn("registration is gone from the store", events.StoreRestored.Attr(), "source", source, "node", node)
		f.onUnregistered()
	}
}
