package retries_test

import (
	"testing"
	"time"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/retries"
)

var allowance = catkinspindle.RetryBudget{Ratio: 0.2, Window: 10 * time.Second, Min: 100}

// Nodes that do not communicate stay within the fleet-wide budget in every window, even if
// one node gets half of the requests and all nodes retry as often as they may.
func TestSumOverNodesStaysWithinTheAllowance(t *testing.T) {
	const nodes = 6
	var all [nodes]*retries.Budget
	for i := range all {
		all[i] = retries.New(allowance, nodes)
	}
	start := time.Unix(1000, 0)
	type point struct{ requests, retries int }
	var points []point
	for ms := 0; ms < 40_000; ms += 10 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		var p point
		for i, b := range all {
			// Bursts of 2 s; the first node gets a request in every step.
			if ms/2000%2 == 0 && (i == 0 || ms/10%len(all) == i) {
				b.CountRequest(now, "s")
				p.requests++
			}
			for range 3 {
				if b.AllowRetry(now, "s") {
					p.retries++
				}
			}
		}
		points = append(points, p)
	}
	window := int(allowance.Window / (10 * time.Millisecond))
	sum := func(from, to int) (s point) {
		for _, p := range points[max(0, from):min(to, len(points))] {
			s.requests += p.requests
			s.retries += p.retries
		}
		return s
	}
	for at := range points {
		in := sum(at, at+window)
		// The budget may come from the requests of this window or of an earlier one.
		requests := max(in.requests, sum(at-window/2, at+window/2).requests, sum(at-window, at).requests)
		if limit := allowance.Min + allowance.Ratio*float64(requests); float64(in.retries) > limit {
			t.Fatalf("%d retries in the window from %d ms, %.0f allowed", in.retries, at*10, limit)
		}
	}
}

func TestRetriesAreAllowedAfterTheWindow(t *testing.T) {
	b := retries.New(allowance, 1)
	now := time.Unix(1000, 0)
	used := 0
	for b.AllowRetry(now, "s") {
		used++
	}
	if used < 50 || used > 100 {
		t.Errorf("%d retries without a request, want 50 to 100", used)
	}
	if !b.AllowRetry(now, "other") {
		t.Error("retries of one service use up the budget of another")
	}
	if !b.AllowRetry(now.Add(2*allowance.Window), "s") {
		t.Error("no retry allowed after two windows")
	}
}
