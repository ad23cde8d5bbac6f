package gateway_test

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/view"
)

// dataCentre adds n replicas in the data centre "z" that stay cold for a time to the view of w, and prefers them to r1.
func dataCentre(w *fakeCluster, n int, cold time.Duration) {
	changes := make([]view.Change, n)
	w.preferred = nil
	for i := range changes {
		r := catkinspindle.Replica{ID: fmt.Sprintf("z%02d", i), Service: "s", Address: "at-z", DataCentre: "z", ColdLeft: cold}
		changes[i].Replica = r
		w.preferred = append(w.preferred, r.ID)
	}
	w.preferred = append(w.preferred, "r1")
	w.view.ChangeReplicas(changes, at(2), time.Time{})
}

// The node that places learns of the change of a whole data centre up to a heartbeat later or earlier than this
// one, and finds its replicas the idlest.
func TestChangeOfDataCentreRefusesNobody(t *testing.T) {
	tests := map[string]func(w *fakeCluster){
		"evacuated": func(w *fakeCluster) {
			dataCentre(w, 20, 0)
			w.view.SetEvacuations(catkinspindle.NewEvacuations(at(3), "z"))
		},
		"cold for the placing node no longer": func(w *fakeCluster) {
			cold := routing()
			cold.Version++
			cold.Services = []catkinspindle.ReplicaService{{Name: "s", ColdPerSecond: 14}}
			w.view.SetRouting(cold)
			dataCentre(w, 20, 200*time.Millisecond)
		},
	}
	for name, change := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := &fakeCluster{steps: []scriptedAnswer{okAnswer}}
				g := newGateway(w, w, 9, true)
				change(w)
				if diff := cmp.Diff(http.StatusOK, serveRequest(g, "/any/").Code); diff != "" {
					t.Errorf("status (-want +got):\n%s", diff)
				}
			})
		})
	}
}

// A replica may be evacuated while memory on it is reserved.
func TestEvacuatedHelperGetsNoSegment(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &fakeCluster{steps: []scriptedAnswer{okAnswer, okAnswer}, reserveTime: time.Second}
		g := newGateway(w, w, 9, true)
		w.view.ChangeReplicas([]view.Change{{Replica: catkinspindle.Replica{ID: "r3", Service: "s", Address: "at-r3", DataCentre: "z"}}}, at(2), time.Time{})
		time.AfterFunc(time.Second/2, func() { w.view.SetEvacuations(catkinspindle.NewEvacuations(at(3), "z")) })
		serveRequest(g, "/any/")
		for _, a := range w.attempts {
			for _, h := range a.Helpers {
				if h.Address == "at-r3" {
					t.Errorf("%s was sent the request with a helper that is evacuated", a.Replica.ID)
				}
			}
		}
	})
}
