package paths_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/paths"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// plan is the result of Plan.
type plan struct{ Direct, Probe bool }

func planOf(t *paths.Table, ms int, address string) plan {
	direct, probe := t.Plan(at(ms), address)
	return plan{direct, probe}
}

func TestFailedPathIsTriedAgainAfterGrowingDelays(t *testing.T) {
	table := paths.New()
	if diff := cmp.Diff(plan{Direct: true}, planOf(table, 0, "a")); diff != "" {
		t.Errorf("path that has not failed (-want +got):\n%s", diff)
	}
	table.Failed(at(0), "a")
	for ms, want := range map[int]plan{499: {}, 500: {Probe: true}} {
		if diff := cmp.Diff(want, planOf(table, ms, "a")); diff != "" {
			t.Errorf("after %d ms (-want +got):\n%s", ms, diff)
		}
	}
	table.Failed(at(500), "a")
	if diff := cmp.Diff(plan{}, planOf(table, 1499, "a")); diff != "" {
		t.Errorf("after the second failure (-want +got):\n%s", diff)
	}
	table.Worked(at(1500), "a")
	if diff := cmp.Diff(plan{Direct: true}, planOf(table, 1500, "a")); diff != "" {
		t.Errorf("after a success (-want +got):\n%s", diff)
	}
}

func TestPathsAreLostWhenSeveralFailInARow(t *testing.T) {
	var changes []bool
	table := paths.New(paths.WithOnLost(func(lost bool) { changes = append(changes, lost) }))
	table.Failed(at(0), "a")
	table.Failed(at(10), "b")
	table.Worked(at(20), "c")
	table.Failed(at(30), "d")
	table.Failed(at(40), "e")
	if diff := cmp.Diff(plan{Direct: true}, planOf(table, 50, "f")); diff != "" {
		t.Errorf("two failures since a success (-want +got):\n%s", diff)
	}
	table.Failed(at(60), "a")
	if diff := cmp.Diff(plan{}, planOf(table, 70, "f")); diff != "" {
		t.Errorf("three failures since a success (-want +got):\n%s", diff)
	}
	probes := 0
	for ms := 70; ms < 3070; ms++ {
		if planOf(table, ms, fmt.Sprint(ms%7)).Probe {
			probes++
		}
	}
	if diff := cmp.Diff(6, probes); diff != "" {
		t.Errorf("probes in 3 s (-want +got):\n%s", diff)
	}
	table.Worked(at(3100), "f")
	if diff := cmp.Diff([]bool{true, false}, changes); diff != "" {
		t.Errorf("changes (-want +got):\n%s", diff)
	}
}

func TestConnectionsFromBeforeALossAreNotReused(t *testing.T) {
	table := paths.New()
	for i, address := range []string{"a", "b", "c"} {
		table.Failed(at(100+i), address)
	}
	for name, tt := range map[string]struct {
		address    string
		lastReadMS int
		want       bool
	}{
		"idle since before the loss":      {"a", 90, false},
		"works since the loss":            {"a", 200, true},
		"untried path, idle since before": {"d", 90, false},
		"untried path, works since":       {"d", 200, true},
	} {
		if diff := cmp.Diff(tt.want, table.MayReuse(tt.address, at(tt.lastReadMS))); diff != "" {
			t.Errorf("%s (-want +got):\n%s", name, diff)
		}
	}
}

func TestPathsToReplicasThatAreGoneAreForgotten(t *testing.T) {
	table := paths.New()
	table.Failed(at(0), "a")
	table.Failed(at(0), "b")
	table.Retain(map[string]catkinspindle.Replica{"r": {Address: "b"}})
	if diff := cmp.Diff([]bool{false, true}, []bool{table.HasFailed("a"), table.HasFailed("b")}); diff != "" {
		t.Errorf("failed paths (-want +got):\n%s", diff)
	}
}
