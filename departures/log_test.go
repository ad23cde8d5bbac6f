package departures_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/departures"
)

var (
	now = time.Unix(1000, 0)
	a1  = catkinspindle.Departure{ID: "a", Incarnation: 1}
	b1  = catkinspindle.Departure{ID: "b", Incarnation: 1}
	c1  = catkinspindle.Departure{ID: "c", Incarnation: 1}
)

// Since returns only entries after the given position, and on request only those that
// the replicas themselves announced to this node.
func TestSince(t *testing.T) {
	l := departures.New()
	l.Add(now, a1, true)
	l.Add(now, b1, false)
	if l.Add(now, a1, true) {
		t.Error("a departure that was added before is reported as new")
	}
	list, position := l.Since(0, false)
	if diff := cmp.Diff([]catkinspindle.Departure{a1, b1}, list); diff != "" {
		t.Errorf("all departures (-want +got):\n%s", diff)
	}
	direct, _ := l.Since(0, true)
	if diff := cmp.Diff([]catkinspindle.Departure{a1}, direct); diff != "" {
		t.Errorf("departures announced by the replicas (-want +got):\n%s", diff)
	}
	l.Add(now, c1, true)
	list, _ = l.Since(position, false)
	if diff := cmp.Diff([]catkinspindle.Departure{c1}, list); diff != "" {
		t.Errorf("departures after the position (-want +got):\n%s", diff)
	}
}

func TestPrune(t *testing.T) {
	tests := map[string]struct {
		listed map[string]catkinspindle.Replica
		after  time.Duration
		kept   bool
	}{
		"listed as ready":         {map[string]catkinspindle.Replica{"a": {ID: "a", Incarnation: 1}}, time.Hour, true},
		"listed as leaving":       {map[string]catkinspindle.Replica{"a": {ID: "a", Incarnation: 1, Leaving: true}}, time.Hour, true},
		"a newer incarnation":     {map[string]catkinspindle.Replica{"a": {ID: "a", Incarnation: 2}}, 0, false},
		"an older incarnation":    {map[string]catkinspindle.Replica{"a": {ID: "a", Incarnation: 0}}, time.Hour, true},
		"not listed":              {nil, 0, true},
		"not listed for a minute": {nil, 61 * time.Second, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			l := departures.New()
			l.Add(now, a1, true)
			l.Prune(now.Add(tt.after), tt.listed)
			if got := l.Contains(catkinspindle.Replica{ID: "a", Incarnation: 1}); got != tt.kept {
				t.Errorf("kept: %t, want %t", got, tt.kept)
			}
		})
	}
}

func TestLogIsBounded(t *testing.T) {
	l := departures.New()
	for i := range 10_000 {
		l.Add(now, catkinspindle.Departure{ID: fmt.Sprint(i)}, true)
	}
	if list, _ := l.Since(0, false); len(list) > 4096 {
		t.Errorf("%d entries, want at most 4096", len(list))
	}
	if l.Contains(catkinspindle.Replica{ID: "0"}) || !l.Contains(catkinspindle.Replica{ID: "9999"}) {
		t.Error("the log did not drop its oldest entries first")
	}
}
