package view_test

import (
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/view"
)

// at returns a position in the first era of the store.
func at(revision int64) catkinspindle.Position {
	return catkinspindle.Position{Era: 1, Revision: revision}
}

func replica(id string) catkinspindle.Replica {
	return catkinspindle.Replica{ID: id, Service: "s", Address: "127.0.0.1:1", Incarnation: 1}
}

func knownIDs(v *view.View) []string { return slices.Sorted(maps.Keys(v.State().Replicas)) }

// A replica that is removed shortly after an outage is kept only until mayReturn, which is
// measured from the end of the outage and not from the removal.
func TestRemovalAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := view.New(nil)
		v.SetReplicas(map[string]catkinspindle.Replica{"a": replica("a"), "b": replica("b")}, at(1), time.Time{})
		mayReturn := time.Now().Add(2 * time.Second)
		time.Sleep(1900 * time.Millisecond)
		v.ChangeReplicas([]view.Change{{Replica: replica("a"), Removed: true}}, at(2), mayReturn)
		if diff := cmp.Diff([]string{"a", "b"}, knownIDs(v)); diff != "" {
			t.Errorf("replicas right after the removal (-want +got):\n%s", diff)
		}
		time.Sleep(200 * time.Millisecond)
		v.ExpireMissing(time.Now())
		if diff := cmp.Diff([]string{"b"}, knownIDs(v)); diff != "" {
			t.Errorf("replicas 2.1 s after the end of the outage (-want +got):\n%s", diff)
		}
	})
}

func TestRemovalWithoutOutage(t *testing.T) {
	v := view.New(nil)
	v.SetReplicas(map[string]catkinspindle.Replica{"a": replica("a"), "b": replica("b")}, at(1), time.Time{})
	v.ChangeReplicas([]view.Change{{Replica: replica("a"), Removed: true}}, at(2), time.Time{})
	if diff := cmp.Diff([]string{"b"}, knownIDs(v)); diff != "" {
		t.Errorf("replicas (-want +got):\n%s", diff)
	}
}

// A missing entry that comes back is not dropped later.
func TestReturnAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := view.New(nil)
		v.SetReplicas(map[string]catkinspindle.Replica{"a": replica("a")}, at(1), time.Time{})
		v.SetReplicas(map[string]catkinspindle.Replica{}, at(2), time.Now().Add(2*time.Second))
		v.ChangeReplicas([]view.Change{{Replica: replica("a")}}, at(3), time.Time{})
		time.Sleep(3 * time.Second)
		v.ExpireMissing(time.Now())
		if diff := cmp.Diff([]string{"a"}, knownIDs(v)); diff != "" {
			t.Errorf("replicas (-want +got):\n%s", diff)
		}
	})
}

// A lower configuration version and an older list or change of replicas are not adopted.
func TestOlderVersionsAreIgnored(t *testing.T) {
	v := view.New(nil)
	for _, version := range []int64{5, 3, 5, 7, 6} {
		v.SetRouting(catkinspindle.Routing{Version: version})
	}
	if diff := cmp.Diff(int64(7), v.State().Version()); diff != "" {
		t.Errorf("version (-want +got):\n%s", diff)
	}
	v.SetReplicas(map[string]catkinspindle.Replica{"new": replica("new")}, at(9), time.Time{})
	v.SetReplicas(map[string]catkinspindle.Replica{"old": replica("old")}, at(8), time.Time{})
	v.ChangeReplicas([]view.Change{{Replica: replica("older")}}, at(7), time.Time{})
	if diff := cmp.Diff([]string{"new"}, knownIDs(v)); diff != "" {
		t.Errorf("replicas (-want +got):\n%s", diff)
	}
}

// Changes since a position bring another view to the same list, even if some are applied
// twice. Since reports false once the changes are no longer kept and while a missing
// replica may come back.
func TestSince(t *testing.T) {
	hub, other := view.New(nil), view.New(nil)
	list := map[string]catkinspindle.Replica{"a": replica("a"), "b": replica("b")}
	hub.SetReplicas(list, at(5), time.Time{})
	other.SetReplicas(list, at(5), time.Time{})
	if _, _, ok := hub.Since(at(4)); ok {
		t.Error("Since returned changes from a revision before the list")
	}
	hub.ChangeReplicas([]view.Change{{Replica: replica("c")}}, at(7), time.Time{})
	middle, upTo, ok := hub.Since(at(5))
	if !ok || upTo != at(7) || len(middle) != 1 {
		t.Errorf("changes %v up to %s, known %t", middle, upTo, ok)
	}
	hub.ChangeReplicas([]view.Change{{Replica: replica("a"), Removed: true}}, at(9), time.Time{})
	all, upTo, ok := hub.Since(at(5))
	if !ok || upTo != at(9) {
		t.Fatalf("changes up to %s, known %t", upTo, ok)
	}
	other.ChangeReplicas(middle, at(7), time.Time{})
	other.ChangeReplicas(all, upTo, time.Time{}) // Contains the changes of middle again.
	if diff := cmp.Diff(hub.State().Replicas, other.State().Replicas); diff != "" {
		t.Errorf("replicas (-hub +other):\n%s", diff)
	}
	for i := range int64(600) {
		hub.ChangeReplicas([]view.Change{{Replica: replica("d")}}, at(10+i), time.Time{})
	}
	if _, _, ok := hub.Since(at(9)); ok {
		t.Error("all 600 changes are kept, want the oldest dropped")
	}
	if changes, _, ok := hub.Since(at(600)); !ok || len(changes) != 9 {
		t.Errorf("%d changes, known %t, want the last 9", len(changes), ok)
	}
	hub.ChangeReplicas([]view.Change{{Replica: replica("b"), Removed: true}}, at(700), time.Now().Add(time.Hour))
	if _, _, ok := hub.Since(at(600)); ok {
		t.Error("changes are returned while a missing replica may come back")
	}
}

// A replica that a later list contains again is no longer treated as missing, whether or
// not other replicas still are.
func TestReturnInAListAfterOutage(t *testing.T) {
	for name, wait := range map[string]time.Duration{"no replica may return": 0, "other replicas may return": time.Second} {
		t.Run(name, func(t *testing.T) {
			now := time.Now()
			v := view.New(nil)
			v.SetReplicas(map[string]catkinspindle.Replica{"a": replica("a"), "b": replica("b"), "c": replica("c")}, at(5), time.Time{})
			v.SetReplicas(map[string]catkinspindle.Replica{"a": replica("a")}, at(7), now.Add(time.Second))
			var mayReturn time.Time
			if wait > 0 {
				mayReturn = now.Add(wait)
			}
			v.SetReplicas(map[string]catkinspindle.Replica{"a": replica("a"), "b": replica("b")}, at(9), mayReturn)
			v.ExpireMissing(now.Add(2 * time.Second))
			if diff := cmp.Diff([]string{"a", "b"}, knownIDs(v)); diff != "" {
				t.Errorf("replicas after the wait (-want +got):\n%s", diff)
			}
			if _, _, ok := v.Since(at(9)); !ok {
				t.Error("a replica is still treated as missing")
			}
		})
	}
}

// A departure overrides every later list until another incarnation has the ID, also when it
// is recorded before the list is set.
func TestDepartureOverridesTheList(t *testing.T) {
	departed := func(v *view.View) bool { return v.State().Replicas["a"].Leaving }
	list := func(incarnation int64) map[string]catkinspindle.Replica {
		r := replica("a")
		r.Incarnation = incarnation
		return map[string]catkinspindle.Replica{"a": r}
	}
	v := view.New(nil)
	v.AddDeparture(catkinspindle.Departure{ID: "a", Incarnation: 2}, false)
	v.SetReplicas(list(1), at(1), time.Time{})
	if departed(v) {
		t.Error("the departure of a later incarnation marks an earlier one as leaving")
	}
	v.SetReplicas(list(2), at(2), time.Time{})
	if !departed(v) {
		t.Error("a departure that was recorded before the list is lost")
	}
	v.ChangeReplicas([]view.Change{{Replica: list(2)["a"]}}, at(3), time.Time{})
	if !departed(v) {
		t.Error("a change of the entry clears the departure")
	}
	v.ChangeReplicas([]view.Change{{Replica: list(3)["a"]}}, at(4), time.Time{})
	if departed(v) {
		t.Error("the departure marks the next incarnation as leaving")
	}
	changes := 0
	v = view.New(func(*view.State) { changes++ })
	v.SetReplicas(list(1), at(1), time.Time{})
	if !v.AddDeparture(replica("a").Departure(), true) || v.AddDeparture(replica("a").Departure(), true) || !departed(v) || changes != 2 {
		t.Errorf("leaving: %t, %d changes published", departed(v), changes)
	}
}
