// Package retries limits the rate of retries with a budget per service.
package retries

import (
	"sync"
	"time"

	"github.com/catkinspindle/catkinspindle"
)

const (
	// slices is the number of buckets of the sliding window.
	slices = 20
	// margin is the fraction of the allowance that is used: nodes and an observer count
	// the same request at slightly different times.
	margin = 0.85
)

// Budget is a node's share of the fleet-wide retry allowance. It needs no communication:
// each node applies the ratio to its own requests and gets an equal part of the floor, so
// the sum over all nodes stays within the allowance even during a network partition.
type Budget struct {
	mu       sync.Mutex
	allowed  catkinspindle.RetryAllowance
	nodes    int
	services map[string]*window
}

// window is a ring of counters for the sliding window of one service.
type window struct {
	start    time.Time
	at       int
	requests [slices]int
	repeats  [slices]int
}

// New returns the budget of one of the given number of nodes that share the allowance a.
func New(a catkinspindle.RetryAllowance, nodes int) *Budget {
	return &Budget{allowed: a, nodes: max(1, nodes), services: map[string]*window{}}
}

// SetNodes changes the number of nodes that share the floor.
func (b *Budget) SetNodes(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.nodes = max(1, n)
}

// Request counts a request for a service.
func (b *Budget) Request(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(now, service)
	w.requests[w.at]++
}

// Repeat counts a retry for a service and returns true if the budget allows it; otherwise it
// counts nothing.
func (b *Budget) Repeat(now time.Time, service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(now, service)
	requests, repeats := 0, 0
	for i := range slices {
		requests += w.requests[i]
		repeats += w.repeats[i]
	}
	limit := margin * (b.allowed.Floor/float64(b.nodes) + b.allowed.Ratio*float64(requests))
	if float64(repeats+1) > limit {
		return false
	}
	w.repeats[w.at]++
	return true
}

// window returns the window of a service, advanced to now.
func (b *Budget) window(now time.Time, service string) *window {
	w, ok := b.services[service]
	if !ok {
		w = &window{start: now}
		b.services[service] = w
	}
	step := b.allowed.Window / slices
	if step <= 0 {
		step = time.Second
	}
	for n := 0; now.Sub(w.start) >= step; n++ {
		if n > slices {
			w.start = now
			break
		}
		w.at = (w.at + 1) % slices
		w.requests[w.at], w.repeats[w.at] = 0, 0
		w.start = w.start.Add(step)
	}
	return w
}

// SetAllowance replaces the fleet-wide allowance.
func (b *Budget) SetAllowance(a catkinspindle.RetryAllowance) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.allowed = a
}
