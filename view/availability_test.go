package view_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/view"
)

// coldService is a service whose replicas stay cold for 3 s after their start.
var coldService = catkinspindle.ReplicaService{Name: "s", ColdTime: 3 * time.Second, ColdPerSecond: 14}

func replicaIn(id, dataCentre string) catkinspindle.Replica {
	r := replica(id)
	r.DataCentre = dataCentre
	return r
}

// viewOfTwo returns a view with one replica in each of two data centres.
func viewOfTwo() *view.View {
	v := view.New(nil)
	v.SetRouting(catkinspindle.Routing{Version: 1, Services: []catkinspindle.ReplicaService{coldService}})
	v.SetReplicas(map[string]catkinspindle.Replica{"a": replicaIn("a", "x"), "b": replicaIn("b", "y")}, at(1), time.Time{})
	return v
}

// accepting returns the replicas that may be sent requests.
func accepting(v *view.View) (ids []string) {
	for _, id := range knownIDs(v) {
		if v.State().Replicas[id].Accepts() {
			ids = append(ids, id)
		}
	}
	return ids
}

func TestEvacuatedReplicasAcceptNothing(t *testing.T) {
	evacuation := func(revision int64, dataCentres ...string) catkinspindle.Evacuations {
		return catkinspindle.NewEvacuations(at(revision), dataCentres...)
	}
	tests := map[string]struct {
		steps []func(*view.View)
		want  []string
	}{
		"evacuated": {[]func(*view.View){func(v *view.View) { v.SetEvacuations(evacuation(5, "x")) }}, []string{"b"}},
		"all":       {[]func(*view.View){func(v *view.View) { v.SetEvacuations(evacuation(5, "x", "y")) }}, nil},
		"unknown":   {[]func(*view.View){func(v *view.View) { v.SetEvacuations(evacuation(5, "z")) }}, []string{"a", "b"}},
		"ended": {[]func(*view.View){
			func(v *view.View) { v.SetEvacuations(evacuation(5, "x")) },
			func(v *view.View) { v.SetEvacuations(evacuation(6)) },
		}, []string{"a", "b"}},
		"an older state comes later": {[]func(*view.View){
			func(v *view.View) { v.SetEvacuations(evacuation(5, "x")) },
			func(v *view.View) { v.SetEvacuations(evacuation(4)) },
		}, []string{"b"}},
		"replicas listed again": {[]func(*view.View){
			func(v *view.View) { v.SetEvacuations(evacuation(5, "x")) },
			func(v *view.View) {
				v.SetReplicas(map[string]catkinspindle.Replica{"a": replicaIn("a", "x"), "c": replicaIn("c", "x")}, at(7), time.Time{})
			},
		}, nil},
		"new replica": {[]func(*view.View){
			func(v *view.View) { v.SetEvacuations(evacuation(5, "x")) },
			func(v *view.View) {
				v.ChangeReplicas([]view.Change{{Replica: replicaIn("c", "x")}, {Replica: replicaIn("d", "y")}}, at(7), time.Time{})
			},
		}, []string{"b", "d"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			v := viewOfTwo()
			before := v.State()
			for _, step := range tt.steps {
				step(v)
			}
			if diff := cmp.Diff(tt.want, accepting(v)); diff != "" {
				t.Errorf("replicas that accept requests (-want +got):\n%s", diff)
			}
			if !before.Replicas["a"].Accepts() {
				t.Error("an earlier state has changed")
			}
		})
	}
}

// coldIDs returns the replicas that are cold.
func coldIDs(v *view.View) (ids []string) {
	for _, id := range knownIDs(v) {
		if _, cold := v.State().Replicas[id].ColdLimit(time.Now()); cold {
			ids = append(ids, id)
		}
	}
	return ids
}

func TestColdReplicas(t *testing.T) {
	cold := func(left time.Duration, incarnation int64) catkinspindle.Replica {
		r := replicaIn("a", "x")
		r.ColdLeft, r.Incarnation = left, incarnation
		return r
	}
	change := func(revision int64, r catkinspindle.Replica) func(*view.View) {
		return func(v *view.View) { v.ChangeReplicas([]view.Change{{Replica: r}}, at(revision), time.Time{}) }
	}
	restore := func(r catkinspindle.Replica) func(*view.View) {
		return func(v *view.View) {
			v.SetReplicas(map[string]catkinspindle.Replica{"a": r}, catkinspindle.Position{Era: 9, Revision: 1}, time.Time{})
		}
	}
	restated := func(r catkinspindle.Replica) func(*view.View) {
		return func(v *view.View) {
			v.ChangeReplicas([]view.Change{{Replica: r}}, catkinspindle.Position{Era: 9, Revision: 2}, time.Time{})
		}
	}
	wait := func(d time.Duration) func(*view.View) { return func(*view.View) { time.Sleep(d) } }
	evacuate := func(revision int64, dataCentres ...string) func(*view.View) {
		return func(v *view.View) { v.SetEvacuations(catkinspindle.NewEvacuations(at(revision), dataCentres...)) }
	}
	tests := map[string]struct {
		steps []func(*view.View)
		want  []string
	}{
		"stated":                         {[]func(*view.View){change(2, cold(time.Second, 1)), wait(900 * time.Millisecond)}, []string{"a"}},
		"the stated time has passed":     {[]func(*view.View){change(2, cold(time.Second, 1)), wait(1100 * time.Millisecond)}, nil},
		"stated again without a change":  {[]func(*view.View){change(2, cold(time.Second, 1)), wait(900 * time.Millisecond), change(3, cold(time.Second, 1)), wait(200 * time.Millisecond)}, nil},
		"stated to be warm":              {[]func(*view.View){change(2, cold(time.Second, 1)), change(3, cold(0, 1))}, nil},
		"cold again":                     {[]func(*view.View){change(2, cold(time.Second, 1)), wait(2 * time.Second), change(3, cold(3*time.Second, 1)), wait(2900 * time.Millisecond)}, []string{"a"}},
		"restarted":                      {[]func(*view.View){change(2, cold(time.Second, 1)), wait(900 * time.Millisecond), change(3, cold(time.Second, 2)), wait(900 * time.Millisecond)}, []string{"a"}},
		"restored list, still cold":      {[]func(*view.View){change(2, cold(3*time.Second, 1)), wait(time.Second), restore(cold(0, 1)), wait(1900 * time.Millisecond)}, []string{"a"}},
		"restored list, warm by then":    {[]func(*view.View){change(2, cold(3*time.Second, 1)), wait(time.Second), restore(cold(0, 1)), wait(2100 * time.Millisecond)}, nil},
		"restored list, cold for longer": {[]func(*view.View){change(2, cold(time.Second, 1)), restore(cold(3*time.Second, 1)), wait(2900 * time.Millisecond)}, []string{"a"}},
		"restored list, next statement":  {[]func(*view.View){change(2, cold(3*time.Second, 1)), restore(cold(0, 1)), restated(cold(time.Second, 1)), wait(1100 * time.Millisecond)}, nil},
		"restored list, restarted":       {[]func(*view.View){change(2, cold(3*time.Second, 1)), restore(cold(0, 2))}, nil},
		"old list of the same era": {[]func(*view.View){change(2, cold(3*time.Second, 2)), func(v *view.View) {
			v.SetReplicas(map[string]catkinspindle.Replica{"a": cold(0, 1)}, at(3), time.Time{})
		}, wait(2900 * time.Millisecond)}, []string{"a"}},
		"evacuated":                      {[]func(*view.View){evacuate(5, "x")}, nil},
		"after an evacuation":            {[]func(*view.View){evacuate(5, "x"), evacuate(6), wait(2900 * time.Millisecond)}, []string{"a"}},
		"long after an evacuation":       {[]func(*view.View){evacuate(5, "x"), evacuate(6), wait(3100 * time.Millisecond)}, nil},
		"evacuated again and taken back": {[]func(*view.View){evacuate(5, "x"), evacuate(6, "y"), wait(2 * time.Second), evacuate(7)}, []string{"a", "b"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				v := viewOfTwo()
				for _, step := range tt.steps {
					step(v)
				}
				if diff := cmp.Diff(tt.want, coldIDs(v)); diff != "" {
					t.Errorf("cold replicas (-want +got):\n%s", diff)
				}
			})
		})
	}
}
