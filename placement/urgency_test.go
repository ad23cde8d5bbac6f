package placement_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/catkinspindle/catkinspindle"
)

// Replicas admit requests by rank first, 0 being the highest, and short ones first within a rank.
func TestUrgencyFollowsRank(t *testing.T) {
	of := func(j catkinspindle.Job, rank int) int {
		j.Priority = rank
		return planner(21).Place(start, j).Urgency
	}
	var got []int
	for _, rank := range []int{-1, 0, 1, 2, 3, 4, 5, 1000} {
		got = append(got, of(short(1), rank), of(long(1, 100_000), rank))
	}
	if diff := cmp.Diff([]int{0, 1, 0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 8, 9, 8, 9}, got); diff != "" {
		t.Errorf("urgencies of short and long jobs by rank (-want +got):\n%s", diff)
	}
}
