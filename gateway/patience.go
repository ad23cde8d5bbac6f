package gateway

import (
	"sync"
	"time"
)

// freshShare is the fraction of a route's longest observed timeout from which a request
// counts as a caller's first: initial timeouts differ between callers.
const freshShare = 0.8

// patience tracks the longest timeout that callers of each route have sent. A request
// states only its remaining time, so a much shorter one is taken for a retry by the caller.
type patience struct {
	mu    sync.Mutex
	whole map[string]time.Duration
}

func newPatience() *patience { return &patience{whole: map[string]time.Duration{}} }

// spent returns the time that a caller whose remaining time is left has already waited.
func (p *patience) spent(route string, left time.Duration) time.Duration {
	if left <= 0 {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.whole[route] = max(p.whole[route], left)
	if float64(left) >= freshShare*float64(p.whole[route]) {
		return 0
	}
	return p.whole[route] - left
}
