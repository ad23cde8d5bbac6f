package fleet_test

import (
	"testing"
	"time"
)

// Guards against replicas that are used for seconds after they have left because a store that was
// restored from an older copy lists them. The outcome depends on the order of events at the same time.
func TestRestoredStoreReturnsNoReplicaThatHasLeft(t *testing.T) {
	schedule := []restoreStep{
		{"down", 1, 0, 12 * time.Millisecond, 12 * time.Millisecond},
		{"rebirth", 0, 1, 0, 2591 * time.Millisecond},
		{"drill", 0, 0, 66 * time.Millisecond, 3000 * time.Millisecond},
		{"drill", 3, 1, 2 * time.Millisecond, 1194 * time.Millisecond},
		{"down", 4, 1, 23 * time.Millisecond, 4 * time.Millisecond},
		{"rebirth", 1, 0, 1 * time.Millisecond, 1098 * time.Millisecond},
		{"drill", 2, 3, 0, 3 * time.Millisecond},
		{"leave", 2, 2, 1 * time.Millisecond, 1 * time.Millisecond},
		{"drain", 5, 1, 894 * time.Millisecond, 441 * time.Millisecond},
		{"publish", 2, 3, 118 * time.Millisecond, 3 * time.Millisecond},
		{"drill", 0, 0, 8000 * time.Millisecond, 732 * time.Millisecond},
		{"wait", 5, 0, 1 * time.Millisecond, 1 * time.Millisecond},
		{"leave", 4, 1, 477 * time.Millisecond, 78 * time.Millisecond},
		{"wait", 0, 1, 8000 * time.Millisecond, 2735 * time.Millisecond},
		{"die", 1, 3, 6 * time.Millisecond, 226 * time.Millisecond},
	}
	for range 40 {
		if err := runRestoreSchedule(t, schedule); err != nil {
			t.Fatal(err)
		}
	}
}
