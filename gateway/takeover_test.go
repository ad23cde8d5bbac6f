package gateway_test

import (
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/catkinspindle/catkinspindle"
)

const (
	firstEvent  = "id: 1\ndata: a\n\n"
	secondEvent = "id: 2\ndata: b\n\n"
	thirdEvent  = "id: 3\ndata: c\n\n"
)

// serveAborted serves a request in a test bubble and reports whether the gateway aborted the
// connection.
func serveAborted(g http.Handler, path string) (answer deadlineRecorder, aborted bool) {
	answer = deadlineRecorder{httptest.NewRecorder()}
	return answer, serveTo(g, answer, newRequest(path))
}

// serveTo is serveAborted for a given request, whose answer is written to w.
func serveTo(g http.Handler, w http.ResponseWriter, r *http.Request) (aborted bool) {
	defer func() {
		if r := recover(); r != nil && r != http.ErrAbortHandler {
			panic(r)
		}
	}()
	aborted = true
	g.ServeHTTP(w, r)
	return false
}

func TestSilentStreamIsNotCutWhileItsReplicaMayGoOn(t *testing.T) {
	silentOnce := scriptedAnswer{status: 200, body: firstEvent, rest: secondEvent, pause: 1700 * time.Millisecond}
	tests := map[string][]scriptedAnswer{
		"other replica rejects":        {refusedAnswer},
		"other replicas reject":        {refusedAnswer, refusedAnswer, refusedAnswer},
		"other replica breaks":         {{err: errAfterSend}},
		"other replica is unreachable": {{err: errBeforeSend}},
		"other replica fails":          {errorAnswer},
		"other replica is silent too":  {{status: 200, silent: true}},
		"other stream breaks":          {{status: 200, broken: true}},
		"other replica skips an event": {{status: 200, body: thirdEvent}},
		"other replica is slower":      {{status: 200, rest: secondEvent, pause: time.Second}},
	}
	for name, others := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := &fakeCluster{steps: append([]scriptedAnswer{silentOnce}, others...)}
				answer, aborted := serveAborted(newGateway(w, w, 9, true), "/quick/")
				if aborted {
					t.Error("the caller's connection was aborted")
				}
				if diff := cmp.Diff(firstEvent+secondEvent, answer.Body.String()); diff != "" {
					t.Errorf("stream (-want +got):\n%s", diff)
				}
			})
		})
	}
}

// A request that has not run on the first replica may be answered by it after others have rejected it.
func TestSilentPlainAnswerIsNotGivenUpForARejection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &fakeCluster{steps: []scriptedAnswer{{status: 200, rest: "fine", pause: 1700 * time.Millisecond}, refusedAnswer, refusedAnswer}}
		answer, aborted := serveAborted(newGateway(w, w, 9, true), "/quick-any/")
		if aborted || answer.Code != http.StatusOK || answer.Body.String() != "fine" {
			t.Errorf("status %d, body %q, aborted %t", answer.Code, answer.Body, aborted)
		}
	})
}

// A stream whose replica broke is not cut because the next one states that it did not run it.
func TestBegunStreamSurvivesRejections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &fakeCluster{steps: []scriptedAnswer{{status: 200, body: firstEvent, broken: true}, refusedAnswer, {status: 200, body: secondEvent}}}
		answer, aborted := serveAborted(newGateway(w, w, 9, true), "/quick/")
		if aborted {
			t.Error("the caller's connection was aborted")
		}
		if diff := cmp.Diff(firstEvent+secondEvent, answer.Body.String()); diff != "" {
			t.Errorf("stream (-want +got):\n%s", diff)
		}
	})
}

func TestBegunStreamWaitsForAPlaceWhenItsReplicaBreaks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &fakeCluster{steps: []scriptedAnswer{{status: 200, body: firstEvent, broken: true}, {status: 200, body: secondEvent}}, overloadedUntil: time.Now().Add(500 * time.Millisecond)}
		answer, aborted := serveAborted(newGateway(w, w, 1.2, true), "/quick/")
		if aborted || answer.Body.String() != firstEvent+secondEvent {
			t.Errorf("body %q, aborted %t", answer.Body, aborted)
		}
	})
}

// Replicas that hang for good are left for one that answers, and each one is told only once.
func TestHungReplicaIsLeftForOneThatAnswers(t *testing.T) {
	tests := map[string]struct {
		steps    []scriptedAnswer
		outcomes []catkinspindle.Outcome
	}{
		"in the stream":               {[]scriptedAnswer{{status: 200, body: firstEvent, silent: true}, {status: 200, body: secondEvent}}, []catkinspindle.Outcome{catkinspindle.OutcomeDone, catkinspindle.OutcomeFailed}},
		"before the first event":      {[]scriptedAnswer{{status: 200, silent: true}, {status: 200, body: firstEvent + secondEvent}}, []catkinspindle.Outcome{catkinspindle.OutcomeDone, catkinspindle.OutcomeFailed}},
		"after another has rejected":  {[]scriptedAnswer{{status: 200, body: firstEvent, silent: true}, refusedAnswer, {status: 200, body: secondEvent}}, []catkinspindle.Outcome{catkinspindle.OutcomeDone, catkinspindle.OutcomeRefused, catkinspindle.OutcomeFailed}},
		"and breaks while it is left": {[]scriptedAnswer{{status: 200, body: firstEvent, rest: "id: 2\nda", pause: 1300 * time.Millisecond}, {status: 200, rest: secondEvent, pause: 300 * time.Millisecond}}, []catkinspindle.Outcome{catkinspindle.OutcomeDone, catkinspindle.OutcomeFailed}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := &fakeCluster{steps: tt.steps}
				g := newGateway(w, w, 9, true)
				start := time.Now()
				answer, aborted := serveAborted(g, "/quick/")
				if aborted || time.Since(start) > 2500*time.Millisecond {
					t.Errorf("aborted %t after %v", aborted, time.Since(start))
				}
				if err := g.Wait(); err != nil {
					t.Error(err)
				}
				if diff := cmp.Diff(firstEvent+secondEvent, answer.Body.String()); diff != "" {
					t.Errorf("stream (-want +got):\n%s", diff)
				}
				slices.Sort(w.outcomes)
				if diff := cmp.Diff(tt.outcomes, w.outcomes); diff != "" {
					t.Errorf("outcomes (-want +got):\n%s", diff)
				}
			})
		})
	}
}

// slowCaller is a caller that takes each event after a delay.
type slowCaller struct {
	deadlineRecorder
	delay time.Duration
}

// Write implements http.ResponseWriter.
func (c slowCaller) Write(b []byte) (int, error) {
	time.Sleep(c.delay)
	return c.deadlineRecorder.Write(b)
}

func TestSlowCallerIsNotTakenForSilentReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &fakeCluster{steps: []scriptedAnswer{{status: 200, body: firstEvent + secondEvent + thirdEvent}, {status: 200, body: secondEvent + thirdEvent}}}
		caller := slowCaller{deadlineRecorder{httptest.NewRecorder()}, 3 * time.Second}
		if serveTo(newGateway(w, w, 9, true), caller, newRequest("/quick/")) {
			t.Error("the caller's connection was aborted")
		}
		if diff := cmp.Diff(firstEvent+secondEvent+thirdEvent, caller.Body.String()); diff != "" {
			t.Errorf("stream (-want +got):\n%s", diff)
		}
		if diff := cmp.Diff([]string{"r1"}, w.sentTo()); diff != "" {
			t.Errorf("replicas (-want +got):\n%s", diff)
		}
	})
}

// The caller already has a part of an answer over the buffer limit, which no other replica can continue.
func TestLargeAnswerThatHasBegunIsNotReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		large := strings.Repeat("x", 300<<10)
		w := &fakeCluster{steps: []scriptedAnswer{{status: 200, body: large, rest: "end", pause: 3 * time.Second}, okAnswer}}
		answer, aborted := serveAborted(newGateway(w, w, 9, true), "/quick-any/")
		if body := answer.Body.String(); aborted || body != large+"end" {
			t.Errorf("aborted %t after %d bytes, want all %d", aborted, len(body), len(large)+3)
		}
		if diff := cmp.Diff([]string{"r1"}, w.sentTo()); diff != "" {
			t.Errorf("replicas (-want +got):\n%s", diff)
		}
	})
}

// A standby that hangs does not keep the request from the last replica that the route allows. Three
// stall timeouts suffice for that.
func TestHungStandbyIsLeftForOneThatAnswers(t *testing.T) {
	hung := scriptedAnswer{status: 200, silent: true}
	tests := map[string][]scriptedAnswer{
		"both hang":        {hung, hung, okAnswer},
		"the first breaks": {{status: 200, rest: "fi", pause: 1300 * time.Millisecond, broken: true}, hung, okAnswer},
	}
	for name, steps := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := &fakeCluster{steps: steps}
				start := time.Now()
				answer, aborted := serveAborted(newGateway(w, w, 9, true), "/quick-any-of-three/")
				if took := time.Since(start); aborted || answer.Body.String() != "fine" || took > 3*1200*time.Millisecond {
					t.Errorf("status %d, body %q, aborted %t after %v; want the answer of the third replica", answer.Code, answer.Body, aborted, took)
				}
				if diff := cmp.Diff([]string{"r1", "r2", "r3"}, w.sentTo()); diff != "" {
					t.Errorf("replicas (-want +got):\n%s", diff)
				}
			})
		})
	}
}
