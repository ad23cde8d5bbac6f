package cooldown_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/cooldown"
)

var (
	start   = time.Unix(1000, 0)
	first   = catkinspindle.Replica{ID: "r", Service: "s", Born: 1}
	second  = catkinspindle.Replica{ID: "r", Service: "s", Born: 2}
	another = catkinspindle.Replica{ID: "q", Service: "s", Born: 1}
)

// entries returns how many of ten concurrent requests are admitted.
func entries(t *cooldown.Table, now time.Time, r catkinspindle.Replica) (n int) {
	for range 10 {
		if ok, _ := t.Enter(now, r); ok {
			n++
		}
	}
	return n
}

// No request is admitted during a cooldown, one as a probe after it, and all once the
// probe has been answered.
func TestOneProbeAtTheEnd(t *testing.T) {
	table := cooldown.New()
	table.Begin(start, first, 3*time.Second)
	if n := entries(table, start.Add(2900*time.Millisecond), first); n != 0 {
		t.Errorf("%d requests admitted during the cooldown, want none", n)
	}
	over := start.Add(3 * time.Second)
	if n := entries(table, over, first); n != 1 {
		t.Errorf("%d requests admitted after the cooldown, want one", n)
	}
	table.End(first)
	if n := entries(table, over, first); n != 10 {
		t.Errorf("%d of ten requests admitted after the probe", n)
	}
}

// A replica that refuses the probe and asks for another cooldown gets no requests
// until that one has passed, and then a single probe again.
func TestRefusedProbe(t *testing.T) {
	table := cooldown.New()
	table.Begin(start, first, time.Second)
	over := start.Add(time.Second)
	entries(table, over, first)
	table.Begin(over, first, 4*time.Second)
	table.End(first)
	if n := entries(table, over.Add(3*time.Second), first); n != 0 {
		t.Errorf("%d requests admitted during the second cooldown, want none", n)
	}
	if n := entries(table, over.Add(4*time.Second), first); n != 1 {
		t.Errorf("%d requests admitted after the second cooldown, want one", n)
	}
}

// A shorter cooldown does not replace a longer one. It can arrive later because
// several requests may have been in flight to the replica.
func TestLongerTimeStands(t *testing.T) {
	table := cooldown.New()
	table.Begin(start, first, 5*time.Second)
	table.Begin(start, first, time.Second)
	if n := entries(table, start.Add(4*time.Second), first); n != 0 {
		t.Errorf("%d requests admitted during the longer cooldown, want none", n)
	}
}

// A cooldown does not apply to the next incarnation of the replica.
func TestNextIncarnation(t *testing.T) {
	table := cooldown.New()
	table.Begin(start, first, time.Hour)
	if n := entries(table, start, second); n != 10 {
		t.Errorf("%d of ten requests admitted", n)
	}
}

func TestClosed(t *testing.T) {
	table := cooldown.New()
	table.Begin(start, first, 5*time.Second)
	table.Begin(start, another, 2*time.Second)
	ids, soonest := table.Closed(start.Add(time.Second), "s")
	if len(ids) != 2 || soonest != time.Second {
		t.Errorf("closed replicas %v, shortest wait %v, want two replicas and 1s", ids, soonest)
	}
	ids, soonest = table.Closed(start.Add(3*time.Second), "s")
	if diff := cmp.Diff([]string{"r"}, ids); diff != "" || soonest != 2*time.Second {
		t.Errorf("shortest wait %v, closed replicas (-want +got):\n%s", soonest, diff)
	}
	if ids, _ := table.Closed(start, "other"); len(ids) != 0 {
		t.Errorf("closed replicas of another service: %v", ids)
	}
}
