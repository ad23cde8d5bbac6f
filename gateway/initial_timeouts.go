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

// alreadyWaited returns the time that a caller whose remaining time is left has already waited.
func (p *initialTimeouts) alreadyWaited(route string, left time.Duration) time.Duration {
	if left <= 0 {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.longest[route] = max(p.longest[route], left)
	if float64(left) >= initialShare*float64(p.longest[route]) {
		return 0
	}
	return p.longest[route] - left
}
