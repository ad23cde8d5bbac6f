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

func replica(id string) catkinspindle.Replica {
	return catkinspindle.Replica{ID: id, Service: "s", Address: "127.0.0.1:1", Born: 1}
}

func known(v *view.View) []string { return slices.Sorted(maps.Keys(v.State().Replicas)) }

// A replica that is removed shortly after an outage stays known only until the
// store has been back for the time in which entries return, counted from the
// store's return and not from the removal.
func TestRemovalAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := view.New(nil)
		v.SetReplicas(map[string]catkinspindle.Replica{"a": replica("a"), "b": replica("b")}, 1, time.Time{})
		mayReturn := time.Now().Add(2 * time.Second)
		time.Sleep(1900 * time.Millisecond)
		v.ChangeReplicas([]view.Change{{Replica: replica("a"), Gone: true}}, 2, mayReturn)
		if diff := cmp.Diff([]string{"a", "b"}, known(v)); diff != "" {
			t.Errorf("replicas right after the removal (-want +got):\n%s", diff)
		}
		time.Sleep(200 * time.Millisecond)
		v.Expire(time.Now())
		if diff := cmp.Diff([]string{"b"}, known(v)); diff != "" {
			t.Errorf("replicas 2.1 s after the store's return (-want +got):\n%s", diff)
		}
	})
}

func TestRemovalWithoutOutage(t *testing.T) {
	v := view.New(nil)
	v.SetReplicas(map[string]catkinspindle.Replica{"a": replica("a"), "b": replica("b")}, 1, time.Time{})
	v.ChangeReplicas([]view.Change{{Replica: replica("a"), Gone: true}}, 2, time.Time{})
	if diff := cmp.Diff([]string{"b"}, known(v)); diff != "" {
		t.Errorf("replicas (-want +got):\n%s", diff)
	}
}

// A missing entry that comes back is not dropped later.
func TestReturnAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := view.New(nil)
		v.SetReplicas(map[string]catkinspindle.Replica{"a": replica("a")}, 1, time.Time{})
		v.SetReplicas(map[string]catkinspindle.Replica{}, 2, time.Now().Add(2*time.Second))
		v.ChangeReplicas([]view.Change{{Replica: replica("a")}}, 3, time.Time{})
		time.Sleep(3 * time.Second)
		v.Expire(time.Now())
		if diff := cmp.Diff([]string{"a"}, known(v)); diff != "" {
			t.Errorf("replicas (-want +got):\n%s", diff)
		}
	})
}

// Nothing goes back: neither a lower version nor an older revision is adopted.
func TestOlderWordIsIgnored(t *testing.T) {
	v := view.New(nil)
	for _, version := range []int64{5, 3, 5, 7, 6} {
		v.SetRouting(catkinspindle.Routing{Version: version})
	}
	if diff := cmp.Diff(int64(7), v.State().Version()); diff != "" {
		t.Errorf("version (-want +got):\n%s", diff)
	}
	v.SetReplicas(map[string]catkinspindle.Replica{"new": replica("new")}, 9, time.Time{})
	v.SetReplicas(map[string]catkinspindle.Replica{"old": replica("old")}, 8, time.Time{})
	v.ChangeReplicas([]view.Change{{Replica: replica("older")}}, 7, time.Time{})
	if diff := cmp.Diff([]string{"new"}, known(v)); diff != "" {
		t.Errorf("replicas (-want +got):\n%s", diff)
	}
}
