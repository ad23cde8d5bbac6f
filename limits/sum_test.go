package limits_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/limits"
)

// newLimits returns the limits of all nodes of a fleet. Each node sees the given number of
// members.
func newLimits(nodes, members int) (list []*limits.Limits) {
	snap := &catkinspindle.Snapshot{Members: make([]catkinspindle.Member, members)}
	for range nodes {
		list = append(list, limits.New(func() *catkinspindle.Snapshot { return snap }, 1000))
	}
	return list
}

func TestWorkspaceRateIsNotExceededByTheSumOfAllNodes(t *testing.T) {
	const (
		perSecond = 10
		duration  = 4 * time.Second
		// allowed is the rate with a tolerance of a half, and five requests.
		allowed = perSecond*4*3/2 + 5
	)
	for _, fleet := range []struct{ nodes, members int }{{1, 1}, {6, 6}, {8, 1}, {300, 300}} {
		t.Run(fmt.Sprintf("%d nodes that see %d members", fleet.nodes, fleet.members), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				all := newLimits(fleet.nodes, fleet.members)
				admitted := 0
				for begin := time.Now(); time.Since(begin) < duration; time.Sleep(5 * time.Millisecond) {
					for _, l := range all {
						if done, err := l.Admit(catkinspindle.WorkspaceSpec{Name: "w", RequestsPerSecond: perSecond}, 1); err == nil {
							admitted++
							done()
						}
					}
				}
				if admitted > allowed {
					t.Errorf("%d requests in %s at %d requests/s, allowed %d", admitted, duration, perSecond, allowed)
				}
			})
		})
	}
}

func TestWorkspaceTokensAreNotExceededByTheSumOfAllNodes(t *testing.T) {
	const maxTokens = 100_000
	for _, nodes := range []int{1, 8, 300} {
		t.Run(fmt.Sprintf("%d nodes", nodes), func(t *testing.T) {
			inFlight := 0
			for _, l := range newLimits(nodes, nodes) {
				if _, err := l.Admit(catkinspindle.WorkspaceSpec{Name: "w", MaxTokens: maxTokens}, 60_000); err == nil {
					inFlight += 60_000
				}
			}
			if inFlight > maxTokens {
				t.Errorf("%d prompt tokens in flight, the limit is %d", inFlight, maxTokens)
			}
		})
	}
}
