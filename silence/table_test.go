package silence_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/silence"
)

var begin = time.Unix(1000, 0)

func replica(id string) catkinspindle.Replica {
	return catkinspindle.Replica{ID: id, Service: "s", Address: "at-" + id}
}

func TestOthers(t *testing.T) {
	const second = time.Second
	type counts struct{ Silent, Awaited int }
	tests := map[string]struct {
		events func(*silence.Table)
		want   counts
	}{
		"nothing is awaited":  {func(*silence.Table) {}, counts{}},
		"data is overdue":     {func(t *silence.Table) { t.Expect(begin, replica("b"), "1", 0) }, counts{1, 1}},
		"data is not yet due": {func(t *silence.Table) { t.Expect(begin, replica("b"), "1", 3*second) }, counts{0, 1}},
		"data came for another attempt": {func(t *silence.Table) {
			t.Expect(begin, replica("b"), "1", 0)
			t.Expect(begin, replica("b"), "2", 0)
			t.Receive(begin.Add(1900*time.Millisecond), replica("b"), "2", 0)
		}, counts{0, 1}},
		"silent after data": {func(t *silence.Table) {
			t.Expect(begin, replica("b"), "1", 0)
			t.Receive(begin.Add(second), replica("b"), "1", 0)
		}, counts{1, 1}},
		"ended": {func(t *silence.Table) {
			t.Expect(begin, replica("b"), "1", 0)
			t.End(replica("b"), "1")
		}, counts{}},
		"the replica itself": {func(t *silence.Table) { t.Expect(begin, replica("a"), "1", 0) }, counts{}},
		"restarted": {func(t *silence.Table) {
			t.Expect(begin, replica("b"), "1", 0)
			restarted := replica("b")
			restarted.Incarnation = 2
			t.Expect(begin.Add(1900*time.Millisecond), restarted, "2", 0)
			t.End(replica("b"), "1")
		}, counts{0, 1}},
		"another service": {func(t *silence.Table) {
			t.Expect(begin, catkinspindle.Replica{ID: "b", Service: "other"}, "1", 0)
		}, counts{}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			table := silence.New()
			tt.events(table)
			silent, awaited := table.Others(begin.Add(2*second), replica("a"))
			if diff := cmp.Diff(tt.want, counts{silent, awaited}); diff != "" {
				t.Errorf("other replicas (-want +got):\n%s", diff)
			}
		})
	}
}
