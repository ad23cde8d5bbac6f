package gateway

import (
	"sync"
	"time"
)

// freshShare is the part of the longest time that callers of a route wait from
// which a request counts as a first one: callers differ in patience.
const freshShare = 0.8

// patience learns how long the callers of a route wait at first. A request
// names only the time that is left; one with less has been tried before.
type patience struct {
	mu    sync.Mutex
	whole map[string]time.Duration
}

func newPatience() *patience { return &patience{whole: map[string]time.Duration{}} }

// spent returns the time that a caller with so much time left has used up.
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
