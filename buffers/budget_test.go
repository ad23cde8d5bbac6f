package buffers_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/catkinspindle/catkinspindle/buffers"
)

// Guards against large answers that leave no memory for small ones, and against a sum over the limit.
func TestSmallAnswersMayGrowWhenLargeOnesMayNot(t *testing.T) {
	const limit, large, small = 16 << 20, 256 << 10, 4 << 10
	b := buffers.New(limit)
	held := int64(0)
	for b.Grow(0, large) {
		held += large
	}
	if held == 0 || held > limit {
		t.Fatalf("large answers hold %d of %d bytes", held, limit)
	}
	if !b.Grow(0, small) {
		t.Error("a small answer may not be held")
	}
	for held += small; b.Grow(0, small); {
		held += small
	}
	if held > limit {
		t.Errorf("answers hold %d of %d bytes", held, limit)
	}
	b.Release(held)
	if !b.Grow(0, large) {
		t.Error("released bytes may not be taken")
	}
}

func TestGrowthCountsWhatTheAnswerHolds(t *testing.T) {
	b := buffers.New(1600)
	got := []bool{b.Grow(0, 100), b.Grow(100, 1), b.Grow(0, 94), (*buffers.Budget)(nil).Grow(1<<40, 1)}
	if diff := cmp.Diff([]bool{true, false, false, true}, got); diff != "" {
		t.Errorf("grown (-want +got):\n%s", diff)
	}
}
