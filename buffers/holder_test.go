package buffers_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/catkinspindle/catkinspindle/buffers"
)

// 25 holders use up the budget. Guards against memory that callers who have stopped reading keep from the
// others, and against callers who are cut off although they read, or in vain.
func TestSlowestIsCutOffFirst(t *testing.T) {
	const limit, size = 160 << 10, 4 << 10
	tests := map[string]struct {
		// progress has the time since the last progress of each holder; asked is what another answer needs.
		progress []time.Duration
		asked    int64
		isCut    []bool
		granted  bool
	}{
		"room is left":             {[]time.Duration{9 * time.Second, 0}, size, []bool{false, false}, true},
		"longest without progress": {stalls(25, 0, 3*time.Second, 9*time.Second, 5*time.Second), size, cuts(25, 2), true},
		"as many as are needed":    {stalls(25, 0, 3*time.Second, 9*time.Second, 5*time.Second), size + 256, cuts(25, 2, 3), true},
		"all progress":             {stalls(25), size, cuts(25), false},
		"too few have stalled":     {stalls(25, 9*time.Second), 2 * size, cuts(25), false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := buffers.New(limit)
				isCut := make([]bool, len(tt.progress))
				holders := make([]*buffers.Holder, len(tt.progress))
				for i := range holders {
					holders[i] = b.NewHolder(func() {
						isCut[i] = true
						time.AfterFunc(time.Millisecond, holders[i].Release)
					})
					if !holders[i].TryReserve(size) {
						t.Fatalf("holder %d has no room", i)
					}
				}
				for left := 10 * time.Second; left >= 0; left -= time.Second {
					for i, since := range tt.progress {
						if since <= left {
							holders[i].Progress()
						}
					}
					if left > 0 {
						time.Sleep(time.Second)
					}
				}
				if granted := b.NewHolder(nil).Reserve(tt.asked); granted != tt.granted {
					t.Errorf("granted: %t", granted)
				}
				if diff := cmp.Diff(tt.isCut, isCut); diff != "" {
					t.Errorf("cut off (-want +got):\n%s", diff)
				}
				if b.Held() > limit {
					t.Errorf("%d bytes held", b.Held())
				}
			})
		})
	}
}

// stalls returns n times since the last progress, which begin with the given ones.
func stalls(n int, first ...time.Duration) []time.Duration {
	return append(first, make([]time.Duration, n-len(first))...)
}

// cuts returns n values that are true at the given indexes.
func cuts(n int, at ...int) []bool {
	list := make([]bool, n)
	for _, i := range at {
		list[i] = true
	}
	return list
}

// A holder that does not end when it is cut off delays others for a limited time, and is not counted as free.
func TestHolderThatDoesNotReleaseIsNotAwaitedForLong(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := buffers.New(64 << 10)
		if !b.NewHolder(func() {}).Reserve(4 << 10) {
			t.Fatal("no room")
		}
		time.Sleep(2 * time.Second)
		start := time.Now()
		if b.NewHolder(nil).Reserve(4 << 10) {
			t.Error("bytes that are still held were granted")
		}
		if waited := time.Since(start); waited > time.Second {
			t.Errorf("waited for %v", waited)
		}
	})
}
