// Package retries bounds how often requests are sent to a second replica.
package retries

import (
	"sync"
	"time"

	"github.com/catkinspindle/catkinspindle"
)

const (
	// slices is the number of parts of a window that are counted on their own.
	slices = 20
	// margin is the part of the allowance that is used, because nodes and
	// whoever counts see a request at slightly different times.
	margin = 0.85
)

// Budget is a node's share of the allowance of the fleet. It needs no message:
// the node uses the ratio on its own requests and an equal part of the floor,
// so that the sum over all nodes stays within the allowance also when they do
// not hear each other.
type Budget struct {
	mu       sync.Mutex
	allowed  catkinspindle.RetryAllowance
	nodes    int
	services map[string]*window
}

type window struct {
	start    time.Time
	at       int
	requests [slices]int
	repeats  [slices]int
}

// New returns a budget under a, shared by so many nodes.
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

// Repeat counts one more send of a request if the budget allows it.
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

// SetAllowance replaces the allowance of the fleet.
func (b *Budget) SetAllowance(a catkinspindle.RetryAllowance) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.allowed = a
}
