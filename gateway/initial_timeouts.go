package gateway

import (
	"sync"
	"time"
)

// initialShare is the fraction of a route's longest observed timeout from which a request
// counts as a caller's first: initial timeouts differ between callers.
const initialShare = 0.8

// initialTimeouts tracks the longest timeout that callers of each route have sent. A request
// states only its remaining time, so one with a much shorter time counts as a retry by the
// caller.
type initialTimeouts struct {
	mu      sync.Mutex
	longest map[string]time.Duration
}

func newInitialTimeouts() *initialTimeouts {
	return &initialTimeouts{longest: map[string]time.Duration{}}
}

// alreadyWaited returns how long a caller with the given remaining time has already waited.
func (t *initialTimeouts) alreadyWaited(route string, remaining time.Duration) time.Duration {
	if remaining <= 0 {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.longest[route] = max(t.longest[route], remaining)
	if float64(remaining) >= initialShare*float64(t.longest[route]) {
		return 0
	}
	return t.longest[route] - remaining
}
