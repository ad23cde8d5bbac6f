// Package retries limits the rate of retries with a budget per service.
package retries

import (
	"sync"
	"time"

	"github.com/catkinspindle/catkinspindle"
)

const (
	// buckets is the number of buckets of the sliding window.
	buckets = 20
	// usableShare is the fraction of the budget that is used. The rest covers the
	// difference between the times at which nodes and an observer count the same request.
	usableShare = 0.85
)

// Budget is a node's share of the fleet-wide retry budget. It needs no communication:
// each node applies RetryBudget.Ratio to the requests that it receives and gets an equal
// part of RetryBudget.Min, so the sum over all nodes stays within the fleet-wide budget
// even during a network partition.
type Budget struct {
	mu        sync.Mutex
	allowance catkinspindle.RetryBudget
	nodes     int
	services  map[string]*window
}

// window is a ring of counters for the sliding window of one service.
type window struct {
	bucketStart time.Time
	current     int
	requests    [buckets]int
	retries     [buckets]int
}

// New returns the share of one node in the fleet-wide budget a, which is divided between
// the given number of nodes.
func New(a catkinspindle.RetryBudget, nodes int) *Budget {
	return &Budget{allowance: a, nodes: max(1, nodes), services: map[string]*window{}}
}

// SetNodes changes the number of nodes that share the fleet-wide budget.
func (b *Budget) SetNodes(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.nodes = max(1, n)
}

// CountRequest counts a request for a service.
func (b *Budget) CountRequest(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(now, service)
	w.requests[w.current]++
}

// AllowRetry counts a retry for a service and returns true if the budget allows it; otherwise it
// counts nothing.
func (b *Budget) AllowRetry(now time.Time, service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(now, service)
	requests, retried := 0, 0
	for i := range buckets {
		requests += w.requests[i]
		retried += w.retries[i]
	}
	limit := usableShare * (b.allowance.Min/float64(b.nodes) + b.allowance.Ratio*float64(requests))
	if float64(retried+1) > limit {
		return false
	}
	w.retries[w.current]++
	return true
}

// window returns the window of a service, advanced to now.
func (b *Budget) window(now time.Time, service string) *window {
	w, ok := b.services[service]
	if !ok {
		w = &window{bucketStart: now}
		b.services[service] = w
	}
	bucketLength := b.allowance.Window / buckets
	if bucketLength <= 0 {
		bucketLength = time.Second
	}
	for n := 0; now.Sub(w.bucketStart) >= bucketLength; n++ {
		if n > buckets {
			w.bucketStart = now
			break
		}
		w.current = (w.current + 1) % buckets
		w.requests[w.current], w.retries[w.current] = 0, 0
		w.bucketStart = w.bucketStart.Add(bucketLength)
	}
	return w
}

// SetAllowance replaces the fleet-wide budget.
func (b *Budget) SetAllowance(a catkinspindle.RetryBudget) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.allowance = a
}
