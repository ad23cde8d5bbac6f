package placement

import "github.com/catkinspindle/catkinspindle"

const (
	// lowestRank is the lowest rank that replicas tell apart: they know ten urgencies, two for each
	// rank. All lower ranks count as this one.
	lowestRank = 4
	// shortLength and longLength order prompts of the same rank by how long their prefill delays
	// others.
	shortLength = 0
	longLength  = 1
)

// urgency returns the order in which replicas admit j, 0 first: by the rank of its route or
// workspace, and then by its length.
func urgency(j catkinspindle.Job, length int) int {
	return 2*min(max(j.Priority, 0), lowestRank) + length
}
