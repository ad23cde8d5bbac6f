package view_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/view"
)

const probation = 4 * time.Second

// inEra returns a position in the given era.
func inEra(era, revision int64) catkinspindle.Position {
	return catkinspindle.Position{Era: era, Revision: revision}
}

func byID(replicas ...catkinspindle.Replica) map[string]catkinspindle.Replica {
	list := map[string]catkinspindle.Replica{}
	for _, r := range replicas {
		list[r.ID] = r
	}
	return list
}

// usableIDs returns the IDs of the replicas that may get new requests.
func usableIDs(v *view.View) (ids []string) {
	for _, id := range knownIDs(v) {
		if !v.State().Replicas[id].Leaving {
			ids = append(ids, id)
		}
	}
	return ids
}

// The list of a restored store is adopted although its revisions are lower. Lists and
// changes of the previous era no longer apply, nor do changes of an era without a list.
func TestRestoredListIsAdopted(t *testing.T) {
	v := view.New(nil)
	v.SetReplicas(byID(replica("a"), replica("b")), inEra(1, 900), time.Time{})
	v.SetReplicas(byID(replica("a"), replica("c")), inEra(2, 7), time.Time{})
	v.ChangeReplicas([]view.Change{{Replica: replica("late")}}, inEra(1, 950), time.Time{})
	v.SetReplicas(byID(replica("late")), inEra(1, 960), time.Time{})
	v.ChangeReplicas([]view.Change{{Replica: replica("early")}}, inEra(3, 1), time.Time{})
	v.ChangeReplicas([]view.Change{{Replica: replica("d")}}, inEra(2, 8), time.Time{})
	if diff := cmp.Diff([]string{"a", "c", "d"}, knownIDs(v)); diff != "" {
		t.Errorf("replicas (-want +got):\n%s", diff)
	}
	if _, _, ok := v.Since(inEra(1, 950)); ok {
		t.Error("Since returned changes from a position of the previous era")
	}
}

// A replica whose registration was lost in a restore stays in use until it has had time
// to register again.
func TestRegistrationLostByRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := view.New(nil)
		v.SetReplicas(byID(replica("a"), replica("new"), replica("dead")), inEra(1, 900), time.Time{})
		v.SetReplicas(byID(replica("a")), inEra(2, 7), time.Now().Add(time.Second))
		if diff := cmp.Diff([]string{"a", "dead", "new"}, usableIDs(v)); diff != "" {
			t.Errorf("replicas right after the restore (-want +got):\n%s", diff)
		}
		v.ChangeReplicas([]view.Change{{Replica: replica("new")}}, inEra(2, 8), time.Time{})
		time.Sleep(time.Second)
		v.ExpireMissing(time.Now())
		if diff := cmp.Diff([]string{"a", "new"}, usableIDs(v)); diff != "" {
			t.Errorf("replicas a second later (-want +got):\n%s", diff)
		}
	})
}

// A replica whose Leaving mark was lost in a restore is still leaving, and the departure
// is passed to other nodes. A later incarnation with the same ID is used.
func TestDepartureLostByRestore(t *testing.T) {
	leaving := replica("leaving")
	leaving.Leaving = true
	restarted := replica("leaving")
	restarted.Incarnation++
	v := view.New(nil)
	v.SetReplicas(byID(replica("a"), leaving), inEra(1, 900), time.Time{})
	v.SetReplicas(byID(replica("a"), replica("leaving")), inEra(2, 7), time.Time{})
	if diff := cmp.Diff([]string{"a"}, usableIDs(v)); diff != "" {
		t.Errorf("usable after the restore (-want +got):\n%s", diff)
	}
	v.ChangeReplicas([]view.Change{{Replica: replica("leaving")}}, inEra(2, 8), time.Time{})
	if diff := cmp.Diff([]string{"a"}, usableIDs(v)); diff != "" {
		t.Errorf("usable after its old entry was written again (-want +got):\n%s", diff)
	}
	if direct, _ := v.Departures(0, true); len(direct) != 1 {
		t.Errorf("%d departures for other nodes, want 1", len(direct))
	}
	v.ChangeReplicas([]view.Change{{Replica: restarted}}, inEra(2, 9), time.Time{})
	if diff := cmp.Diff([]string{"a", "leaving"}, usableIDs(v)); diff != "" {
		t.Errorf("usable after its restart (-want +got):\n%s", diff)
	}
}

// A replica whose removal was lost in a restore is listed again. It is not used until the
// store has had time to remove the entry of a silent replica, unless the replica has
// written its entry since the restore. A second restore does not change this.
func TestRemovalLostByRestore(t *testing.T) {
	for name, restores := range map[string]int64{"one restore": 1, "two restores": 2} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				v := view.New(nil, view.WithProbation(probation))
				all := byID(replica("a"), replica("alive"), replica("gone"), replica("silent"), replica("reborn"))
				v.SetReplicas(all, inEra(1, 900), time.Time{})
				for i, id := range []string{"alive", "gone", "silent", "reborn"} {
					v.ChangeReplicas([]view.Change{{Replica: replica(id), Removed: true}}, inEra(1, 901+int64(i)), time.Time{})
				}
				restarted := replica("reborn")
				restarted.Incarnation++
				all["reborn"] = restarted
				era := int64(1)
				for range restores {
					era++
					v.SetReplicas(all, inEra(era, 7), time.Now().Add(time.Second))
					time.Sleep(500 * time.Millisecond)
				}
				if diff := cmp.Diff([]string{"a", "reborn"}, usableIDs(v)); diff != "" {
					t.Errorf("usable after the restore (-want +got):\n%s", diff)
				}
				if list, _, _ := v.Listed(); len(list) != len(all) {
					t.Errorf("other nodes are sent %d replicas of %d", len(list), len(all))
				}
				v.ChangeReplicas([]view.Change{{Replica: replica("alive")}}, inEra(era, 8), time.Time{})
				time.Sleep(probation / 2)
				v.ChangeReplicas([]view.Change{{Replica: replica("gone"), Removed: true}}, inEra(era, 9), time.Time{})
				v.EndProbation(time.Now())
				if diff := cmp.Diff([]string{"a", "alive", "reborn"}, usableIDs(v)); diff != "" {
					t.Errorf("usable after one has written its entry (-want +got):\n%s", diff)
				}
				time.Sleep(probation)
				v.EndProbation(time.Now())
				if diff := cmp.Diff([]string{"a", "alive", "reborn", "silent"}, usableIDs(v)); diff != "" {
					t.Errorf("usable after the probation (-want +got):\n%s", diff)
				}
			})
		})
	}
}

// A restored store may list an old incarnation of a replica that has restarted since the
// backup. The later incarnation stays in use until it has had time to register again.
func TestRestartLostByRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		restarted := replica("a")
		restarted.Incarnation++
		v := view.New(nil)
		v.SetReplicas(byID(restarted), inEra(1, 900), time.Time{})
		v.SetReplicas(byID(replica("a")), inEra(2, 7), time.Now().Add(time.Second))
		if diff := cmp.Diff(byID(restarted), v.State().Replicas); diff != "" {
			t.Errorf("replicas right after the restore (-want +got):\n%s", diff)
		}
		time.Sleep(time.Second)
		v.ExpireMissing(time.Now())
		if diff := cmp.Diff(byID(), v.State().Replicas); diff != "" {
			t.Errorf("replicas a second later (-want +got):\n%s", diff)
		}
	})
}

// A departure is kept even after a list marks the replica as leaving, because a later list
// may lack the mark.
func TestDepartureOutlastsLists(t *testing.T) {
	leaving := replica("a")
	leaving.Leaving = true
	v := view.New(nil)
	v.SetReplicas(byID(replica("a")), inEra(1, 5), time.Time{})
	v.AddDeparture(replica("a").Departure(), true)
	v.ChangeReplicas([]view.Change{{Replica: replica("b")}}, inEra(1, 6), time.Time{})
	v.ChangeReplicas([]view.Change{{Replica: leaving}}, inEra(1, 7), time.Time{})
	v.SetReplicas(byID(replica("a"), replica("b")), inEra(1, 8), time.Time{})
	if diff := cmp.Diff([]string{"b"}, usableIDs(v)); diff != "" {
		t.Errorf("usable (-want +got):\n%s", diff)
	}
}

// Removals that another node has recorded also lead to probation, even of a replica that
// is in use here because this node has not received its removal.
func TestRemovalsOfOtherNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := view.New(nil, view.WithProbation(probation))
		v.SetReplicas(byID(replica("a"), replica("b")), inEra(1, 900), time.Time{})
		v.AddRemoved([]catkinspindle.Departure{replica("b").Departure(), replica("c").Departure()})
		v.SetReplicas(byID(replica("a"), replica("b"), replica("c")), inEra(2, 7), time.Now().Add(time.Second))
		if diff := cmp.Diff([]string{"a"}, usableIDs(v)); diff != "" {
			t.Errorf("usable (-want +got):\n%s", diff)
		}
		time.Sleep(probation)
		v.ExpireMissing(time.Now())
		v.EndProbation(time.Now())
		if diff := cmp.Diff([]string{"a", "b", "c"}, usableIDs(v)); diff != "" {
			t.Errorf("usable after the probation (-want +got):\n%s", diff)
		}
	})
}
