package placement_test

import (
	"testing"
	"time"
)

// Under a load of callers with hardly more time than their answers take, those whose
// answer could not be written to its end are told so at once: next to nobody is cut at
// the deadline, and most are answered.
func TestCallersWithLittleTimeAreNotCut(t *testing.T) {
	usual := kinds
	t.Cleanup(func() { kinds = usual })
	kinds = append([]kind{}, usual...)
	kinds[0].left = 3 * time.Second
	var got []*caller
	for seed := range uint64(3) {
		got = append(got, run(planner(loadReplicas), seed, 1.5)...)
	}
	o := sum(ofKind(got, "short"))
	t.Logf("short prompts: %+v", o)
	if o.deadline > o.callers/100 {
		t.Errorf("%d of %d callers were cut at their deadline", o.deadline, o.callers)
	}
	if answered(o) < 0.5 {
		t.Errorf("%.2f of the callers were answered", answered(o))
	}
}
