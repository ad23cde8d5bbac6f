package placement_test

import (
	"testing"
	"time"
)

// Under a load of callers that have hardly more time than their answers take, those whose
// answer could not be decoded completely are refused at once: at most 1 % are cut off at the
// deadline, and at least half are answered.
func TestCallersWithLittleTimeAreNotCut(t *testing.T) {
	usual := kinds
	t.Cleanup(func() { kinds = usual })
	kinds = append([]kind{}, usual...)
	kinds[0].timeout = 3 * time.Second
	var got []*caller
	for seed := range uint64(3) {
		got = append(got, run(planner(loadReplicas), seed, 1.5)...)
	}
	o := summarize(ofKind(got, "short"))
	t.Logf("short prompts: %+v", o)
	if o.deadline > o.callers/100 {
		t.Errorf("%d of %d callers were cut off at their deadline", o.deadline, o.callers)
	}
	if answered(o) < 0.5 {
		t.Errorf("%.2f of the callers were answered, want 0.50 or more", answered(o))
	}
}
