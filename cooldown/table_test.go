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

// entries counts how many of ten requests at once are let through.
func entries(t *cooldown.Table, now time.Time, r catkinspindle.Replica) (n int) {
	for range 10 {
		if ok, _ := t.Enter(now, r); ok {
			n++
		}
	}
	return n
}

// Nothing reaches a replica in its time, one request at its end, and all once that
// one has been taken.
func TestOneProbeAtTheEnd(t *testing.T) {
	table := cooldown.New()
	table.Begin(start, first, 3*time.Second)
	if n := entries(table, start.Add(2900*time.Millisecond), first); n != 0 {
		t.Errorf("%d requests within the time", n)
	}
	over := start.Add(3 * time.Second)
	if n := entries(table, over, first); n != 1 {
		t.Errorf("%d requests at the end, want one", n)
	}
	table.End(first)
	if n := entries(table, over, first); n != 10 {
		t.Errorf("%d of ten requests after the probe", n)
	}
}

// A replica that refuses the probe is left alone for the time that it names then.
func TestRefusedProbe(t *testing.T) {
	table := cooldown.New()
	table.Begin(start, first, time.Second)
	over := start.Add(time.Second)
	entries(table, over, first)
	table.Begin(over, first, 4*time.Second)
	table.End(first)
	if n := entries(table, over.Add(3*time.Second), first); n != 0 {
		t.Errorf("%d requests within the second time", n)
	}
	if n := entries(table, over.Add(4*time.Second), first); n != 1 {
		t.Errorf("%d requests at its end", n)
	}
}

// A shorter time that comes later, from a request that was on its way, shortens
// nothing.
func TestLongerTimeStands(t *testing.T) {
	table := cooldown.New()
	table.Begin(start, first, 5*time.Second)
	table.Begin(start, first, time.Second)
	if n := entries(table, start.Add(4*time.Second), first); n != 0 {
		t.Errorf("%d requests within the longer time", n)
	}
}

// The next incarnation has asked for nothing.
func TestNextIncarnation(t *testing.T) {
	table := cooldown.New()
	table.Begin(start, first, time.Hour)
	if n := entries(table, start, second); n != 10 {
		t.Errorf("%d of ten requests", n)
	}
}

func TestClosed(t *testing.T) {
	table := cooldown.New()
	table.Begin(start, first, 5*time.Second)
	table.Begin(start, another, 2*time.Second)
	ids, soonest := table.Closed(start.Add(time.Second), "s")
	if len(ids) != 2 || soonest != time.Second {
		t.Errorf("closed %v, soonest after %v", ids, soonest)
	}
	ids, soonest = table.Closed(start.Add(3*time.Second), "s")
	if diff := cmp.Diff([]string{"r"}, ids); diff != "" || soonest != 2*time.Second {
		t.Errorf("soonest after %v, closed (-want +got):\n%s", soonest, diff)
	}
	if ids, _ := table.Closed(start, "other"); len(ids) != 0 {
		t.Errorf("closed of another service: %v", ids)
	}
}
