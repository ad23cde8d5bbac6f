package gateway_test

import (
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/catkinspindle/catkinspindle"
)

// A caller is judged by the time that it has, whether it states less than another one because it
// waits for less or because it has been refused before.
func TestCallersDifferInTimeLeftOnly(t *testing.T) {
	w := &fakeCluster{steps: []scriptedAnswer{okAnswer, okAnswer, okAnswer}}
	g := newGateway(w, w, 9, true)
	for _, deadline := range []string{"9000", "6000", "2000"} {
		req := newRequest("/any/")
		req.Header.Set("Deadline-Ms", deadline)
		g.ServeHTTP(httptest.NewRecorder(), req)
	}
	var left []time.Duration
	for i, j := range w.jobs {
		left = append(left, j.TimeLeft.Round(time.Second))
		w.jobs[i].TimeLeft = 0
	}
	if diff := cmp.Diff([]time.Duration{9 * time.Second, 6 * time.Second, 2 * time.Second}, left); diff != "" {
		t.Errorf("times left (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff([]catkinspindle.Job{w.jobs[0], w.jobs[0], w.jobs[0]}, w.jobs); diff != "" {
		t.Errorf("jobs of callers with 9, 6 and 2 s (-want +got):\n%s", diff)
	}
}

// The patience of a caller is counted from the arrival of its request. A caller that is still there
// when it was expected to have left is not refused for that.
func TestPatienceIsCountedFromArrival(t *testing.T) {
	for spent, left := range map[time.Duration]time.Duration{300 * time.Millisecond: 11700 * time.Millisecond, 13 * time.Second: 0} {
		t.Run(spent.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				down := scriptedAnswer{err: catkinspindle.Fail(catkinspindle.NotRun, catkinspindle.ReasonPeerUnreachable, "down"), headAfter: spent}
				w := &fakeCluster{steps: []scriptedAnswer{down, okAnswer}}
				serveRequest(newGateway(w, w, 9, true), "/patient/")
				got := []time.Duration{w.jobs[0].Patience, w.jobs[len(w.jobs)-1].Patience}
				if diff := cmp.Diff([]time.Duration{12 * time.Second, left}, got); diff != "" {
					t.Errorf("patience of the first and the last attempt (-want +got):\n%s", diff)
				}
			})
		})
	}
}
