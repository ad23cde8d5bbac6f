package cooldown_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/cooldown"
)

var (
	start           = time.Unix(1000, 0)
	replica         = catkinspindle.Replica{ID: "r", Service: "s", Incarnation: 1}
	nextIncarnation = catkinspindle.Replica{ID: "r", Service: "s", Incarnation: 2}
	otherReplica    = catkinspindle.Replica{ID: "q", Service: "s", Incarnation: 1}
)

// admitted returns how many of ten concurrent requests are admitted.
func admitted(t *cooldown.Table, now time.Time, r catkinspindle.Replica) (n int) {
	for range 10 {
		if ok, _ := t.Admit(now, r); ok {
			n++
		}
	}
	return n
}

// No request is admitted during a cooldown, one as a probe after it, and all once the
// probe has been answered.
func TestSingleProbeAfterCooldown(t *testing.T) {
	table := cooldown.New()
	table.Start(start, replica, 3*time.Second)
	if n := admitted(table, start.Add(2900*time.Millisecond), replica); n != 0 {
		t.Errorf("%d requests admitted during the cooldown, want none", n)
	}
	end := start.Add(3 * time.Second)
	if n := admitted(table, end, replica); n != 1 {
		t.Errorf("%d requests admitted after the cooldown, want one", n)
	}
	table.EndProbe(replica)
	if n := admitted(table, end, replica); n != 10 {
		t.Errorf("%d of ten requests admitted after the probe", n)
	}
}

// A replica that refuses the probe and asks for another cooldown gets no requests
// until that one has passed, and then a single probe again.
func TestRefusedProbe(t *testing.T) {
	table := cooldown.New()
	table.Start(start, replica, time.Second)
	end := start.Add(time.Second)
	admitted(table, end, replica)
	table.Start(end, replica, 4*time.Second)
	table.EndProbe(replica)
	if n := admitted(table, end.Add(3*time.Second), replica); n != 0 {
		t.Errorf("%d requests admitted during the second cooldown, want none", n)
	}
	if n := admitted(table, end.Add(4*time.Second), replica); n != 1 {
		t.Errorf("%d requests admitted after the second cooldown, want one", n)
	}
}

// A shorter cooldown does not replace a longer one. It can arrive later because
// several requests may have been in flight to the replica.
func TestLongerCooldownIsKept(t *testing.T) {
	table := cooldown.New()
	table.Start(start, replica, 5*time.Second)
	table.Start(start, replica, time.Second)
	if n := admitted(table, start.Add(4*time.Second), replica); n != 0 {
		t.Errorf("%d requests admitted during the longer cooldown, want none", n)
	}
}

// A cooldown does not apply to the next incarnation of the replica.
func TestNextIncarnationHasNoCooldown(t *testing.T) {
	table := cooldown.New()
	table.Start(start, replica, time.Hour)
	if n := admitted(table, start, nextIncarnation); n != 10 {
		t.Errorf("%d of ten requests admitted", n)
	}
}

// Cooling lists the replicas of the service that are still in a cooldown, and the shortest
// time until one of their cooldowns ends.
func TestCooling(t *testing.T) {
	table := cooldown.New()
	table.Start(start, replica, 5*time.Second)
	table.Start(start, otherReplica, 2*time.Second)
	ids, shortest := table.Cooling(start.Add(time.Second), "s")
	if len(ids) != 2 || shortest != time.Second {
		t.Errorf("replicas in a cooldown %v, shortest wait %v, want two replicas and 1s", ids, shortest)
	}
	ids, shortest = table.Cooling(start.Add(3*time.Second), "s")
	if diff := cmp.Diff([]string{"r"}, ids); diff != "" || shortest != 2*time.Second {
		t.Errorf("shortest wait %v, replicas in a cooldown (-want +got):\n%s", shortest, diff)
	}
	if ids, _ := table.Cooling(start, "other"); len(ids) != 0 {
		t.Errorf("replicas of another service in a cooldown: %v, want none", ids)
	}
}
