package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/quarantine"
)

var start = time.Unix(1000, 0)

// at returns the time that many milliseconds after start.
func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func keys(parts ...string) []catkinspindle.RequestKey {
	list := make([]catkinspindle.RequestKey, len(parts))
	for i, p := range parts {
		list[i] = catkinspindle.PartKey(p)
	}
	return list
}

func replica(i int) catkinspindle.Replica {
	return catkinspindle.Replica{ID: fmt.Sprintf("r%d", i), Incarnation: 1}
}

// event is a crash of a replica or, if replica is zero, the begin of an answer.
type event struct {
	ms      int
	replica int
	parts   []string
}

// play records events in a table.
func play(t *quarantine.Table, events []event) {
	for _, e := range events {
		if e.replica == 0 {
			t.Begun(at(e.ms), keys(e.parts...))
			continue
		}
		t.Crashed(at(e.ms), at(e.ms), replica(e.replica), keys(e.parts...))
	}
}

// held returns the parts that are held at a time.
func held(t *quarantine.Table, ms int, parts ...string) []string {
	var list []string
	for _, p := range parts {
		if _, ok := t.Held(at(ms), keys(p)); ok {
			list = append(list, p)
		}
	}
	return list
}

func TestWhichPartsAreHeld(t *testing.T) {
	shared, dead, other, third := "shared", "dead", "other", "third"
	all := []string{shared, dead, other, third}
	tests := map[string]struct {
		events []event
		at     int
		want   []string
	}{
		"two crashes are too few": {
			events: []event{{0, 1, []string{dead}}, {100, 2, []string{dead}}}, at: 2000,
		},
		"three crashed replicas": {
			events: []event{{0, 1, []string{dead}}, {100, 2, []string{dead}}, {200, 3, []string{dead}}}, at: 2000, want: []string{dead},
		},
		"not before other nodes have reported": {
			events: []event{{0, 1, []string{dead}}, {100, 2, []string{dead}}, {200, 3, []string{dead}}}, at: 400,
		},
		"one replica counts once": {
			events: []event{{0, 1, []string{dead}}, {10, 1, []string{dead}}, {20, 1, []string{dead}}}, at: 2000,
		},
		"a part that most requests share, beside the part that crashes": {
			events: []event{{-500, 0, []string{shared}}, {0, 1, []string{shared, dead}}, {100, 2, []string{shared, dead}}, {100, 2, []string{shared}}, {200, 3, []string{shared, dead}}}, at: 2000, want: []string{dead},
		},
		"two parts that are always together, too few crashes": {
			events: []event{{0, 1, []string{shared, dead}}, {100, 2, []string{shared, dead}}, {200, 3, []string{shared, dead}}, {300, 4, []string{shared, dead}}}, at: 2000,
		},
		"two parts that are always together": {
			events: []event{{0, 1, []string{shared, dead}}, {100, 2, []string{shared, dead}}, {200, 3, []string{shared, dead}}, {300, 4, []string{shared, dead}}, {400, 5, []string{shared, dead}}}, at: 2000, want: []string{dead},
		},
		"a bystander of the first three crashes": {
			events: []event{{0, 1, []string{dead}}, {0, 1, []string{third}}, {100, 2, []string{dead}}, {100, 2, []string{third}}, {200, 3, []string{dead}}, {200, 3, []string{third}}, {900, 4, []string{dead}}}, at: 2000, want: []string{dead},
		},
		"a shared part is the one that crashes": {
			events: []event{{0, 1, []string{shared, dead}}, {100, 2, []string{shared, other}}, {200, 3, []string{shared, third}}}, at: 2000, want: []string{shared},
		},
		"answers have begun in between": {
			events: []event{{0, 1, []string{dead}}, {100, 2, []string{dead}}, {150, 0, []string{dead}}, {200, 3, []string{dead}}, {300, 4, []string{dead}}}, at: 5000,
		},
		"a rack fails at once under a popular part": {
			events: []event{{-3000, 0, []string{shared}}, {0, 1, []string{shared}}, {0, 2, []string{shared}}, {1, 3, []string{shared}}, {1, 4, []string{shared}}, {1, 5, []string{shared}}, {300, 0, []string{shared}}}, at: 5000,
		},
		"a popular part begins to crash replicas": {
			events: []event{{-100, 0, []string{shared}}, {0, 1, []string{shared}}, {100, 2, []string{shared}}, {200, 3, []string{shared}}, {300, 4, []string{shared}}, {400, 5, []string{shared}}}, at: 1600, want: []string{shared},
		},
		"a popular part gets time to begin elsewhere": {
			events: []event{{-100, 0, []string{shared}}, {0, 1, []string{shared}}, {100, 2, []string{shared}}, {200, 3, []string{shared}}, {300, 4, []string{shared}}, {400, 5, []string{shared}}}, at: 1400,
		},
		"two parts crash replicas by themselves": {
			events: []event{{-500, 0, []string{shared}}, {0, 1, []string{shared, dead}}, {100, 2, []string{shared, dead}}, {200, 3, []string{shared, dead}}, {1000, 4, []string{shared, other}}, {1100, 5, []string{shared, other}}, {1200, 6, []string{shared, other}}}, at: 2000, want: []string{dead, other},
		},
		"crashes hours apart": {
			events: []event{{0, 1, []string{dead}}, {100, 2, []string{dead}}, {2 * 3600_000, 3, []string{dead}}, {2*3600_000 + 1, 4, []string{dead}}}, at: 2*3600_000 + 2000,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			table := quarantine.New()
			play(table, tt.events)
			if diff := cmp.Diff(tt.want, held(table, tt.at, all...)); diff != "" {
				t.Errorf("held parts (-want +got):\n%s", diff)
			}
		})
	}
}

// holdPart makes three replicas crash under a part, the last one at 200 ms.
func holdPart(t *quarantine.Table, part string) {
	play(t, []event{{0, 1, []string{part}}, {100, 2, []string{part}}, {200, 3, []string{part}}})
}

func TestAnswerThatBeginsEndsHold(t *testing.T) {
	table := quarantine.New()
	holdPart(table, "dead")
	if got := held(table, 1000, "dead"); len(got) != 1 {
		t.Fatal("the part is not held")
	}
	// The request was sent before the hold.
	table.Begun(at(1100), keys("dead"))
	if got := held(table, 1200, "dead"); len(got) != 0 {
		t.Error("the part is held although an answer has begun")
	}
}

func TestTrialsOfHeldPartAreFewAndFarBetween(t *testing.T) {
	table := quarantine.New()
	holdPart(table, "dead")
	key := keys("dead")[0]
	var granted []int
	for s := range 2 * 3600 {
		if got := held(table, s*1000, "dead"); s > 0 && len(got) != 1 {
			t.Fatalf("the hold ends after %d s although its requests still come", s)
		}
		if table.TrialDue(at(s*1000), key) && table.GrantTrial(at(s*1000), key) {
			granted = append(granted, s)
		}
	}
	if diff := cmp.Diff([]int{31, 331}, granted); diff != "" {
		t.Errorf("seconds of the trials (-want +got):\n%s", diff)
	}
}

func TestHoldEndsOnceItsRequestsNoLongerCome(t *testing.T) {
	table := quarantine.New()
	holdPart(table, "dead")
	held(table, 1000, "dead")
	later := []event{{3700_000, 8, []string{"other"}}}
	play(table, later)
	if got := held(table, 3700_000, "dead"); len(got) != 0 {
		t.Error("the part is still held after an hour without a request")
	}
}

// exchange passes what from knows to to, as a heartbeat does.
func exchange(ms int, from, to *quarantine.Table, directOnly bool) {
	report, _ := from.Since(at(ms), 0, directOnly)
	to.Apply(at(ms), report)
}

func TestCrashesAreCountedOverAllNodes(t *testing.T) {
	hub, other := quarantine.New(), quarantine.New()
	for i := range 3 {
		node := quarantine.New()
		node.Crashed(at(100*i), at(100*i), replica(i), keys(fmt.Sprint("shared", i), "dead"))
		exchange(100*i+10, node, hub, true)
	}
	exchange(300, hub, other, false)
	for name, table := range map[string]*quarantine.Table{"hub": hub, "other node": other} {
		if diff := cmp.Diff([]string{"dead"}, held(table, 600, "shared1", "dead")); diff != "" {
			t.Errorf("held parts of the %s (-want +got):\n%s", name, diff)
		}
	}
}

func TestNodeThatJoinsLearnsHoldsAndTrials(t *testing.T) {
	hub := quarantine.New()
	holdPart(hub, "dead")
	held(hub, 1000, "dead")
	hub.GrantTrial(at(40_000), keys("dead")[0])
	joined := quarantine.New()
	exchange(41_000, hub, joined, false)
	if got := held(joined, 41_000, "dead"); len(got) != 1 {
		t.Error("the part is not held by a node that has joined")
	}
	if joined.TrialDue(at(80_000), keys("dead")[0]) {
		t.Error("a node that has joined repeats the trial of another one")
	}
}

// A node at which an answer has begun ends the hold of the others, also if it has seen no crash.
func TestBegunAnswerOfOneNodeEndsHoldOfOthers(t *testing.T) {
	hub, node := quarantine.New(), quarantine.New()
	node.Begun(at(150), keys("dead"))
	holdPart(hub, "dead")
	held(hub, 1000, "dead")
	exchange(1000, hub, node, false)
	exchange(1010, node, hub, true)
	for name, table := range map[string]*quarantine.Table{"hub": hub, "node": node} {
		if got := held(table, 1020, "dead"); len(got) != 0 {
			t.Errorf("the part is held by the %s although its answers have begun", name)
		}
	}
}

func TestEndlessNewPartsTakeBoundedMemory(t *testing.T) {
	table := quarantine.New()
	for n := range 100_000 {
		table.Begun(at(n), keys(fmt.Sprint("begun", n)))
		if n%100 == 0 {
			table.Crashed(at(n), at(n), replica(n), keys(fmt.Sprint("a", n), fmt.Sprint("b", n)))
		}
	}
	report, _ := table.Since(at(100_000), 0, true)
	if len(report.Crashes) > 256 || len(report.Begun) > 4096 {
		t.Errorf("%d crashes and %d begun answers are kept, want at most 256 and 4096", len(report.Crashes), len(report.Begun))
	}
}

func TestBystandersOfOneCrashAreNotPassedOn(t *testing.T) {
	hub := quarantine.New()
	for i := range 200 {
		hub.Crashed(at(0), at(0), replica(1), keys(fmt.Sprint("part", i)))
	}
	if report, _ := hub.Since(at(10), 0, false); !report.Empty() {
		t.Errorf("%d crashes are passed on, want none", len(report.Crashes))
	}
}
