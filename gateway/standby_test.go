package gateway_test

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
)

// outcome is what a caller has seen.
type outcome struct {
	Status   int
	Body     string
	Aborted  bool
	Attempts int
}

func TestDoubtfulStandbys(t *testing.T) {
	const comment = ": ping\n\n"
	later := func(begin, rest string) scriptedAnswer {
		return scriptedAnswer{status: 200, body: begin, rest: rest, pause: 1500 * time.Millisecond}
	}
	silent := func(begin string) scriptedAnswer { return scriptedAnswer{status: 200, body: begin, silent: true} }
	notFound := scriptedAnswer{status: 404, body: "no such stream"}
	tests := map[string]struct {
		path  string
		steps []scriptedAnswer
		want  outcome
		// within bounds the time to the end of the answer.
		within time.Duration
	}{
		"an error does not end a stream that goes on":              {"/quick/", []scriptedAnswer{later("", firstEvent), notFound}, outcome{200, firstEvent, false, 2}, 2 * time.Second},
		"an error after a comment does not end it":                 {"/quick/", []scriptedAnswer{later(comment, firstEvent), notFound}, outcome{200, comment + firstEvent, false, 2}, 2 * time.Second},
		"an early end does not end it":                             {"/quick/", []scriptedAnswer{later(firstEvent, secondEvent), {status: 200}}, outcome{200, firstEvent + secondEvent, false, 2}, 2 * time.Second},
		"the end is taken over from a hung replica":                {"/quick/", []scriptedAnswer{silent(firstEvent), {status: 200}}, outcome{200, firstEvent, false, 2}, 2 * time.Second},
		"an error is not held back":                                {"/quick-any/", []scriptedAnswer{silent(""), errorAnswer}, outcome{500, "oops", false, 2}, 2 * time.Second},
		"an error is not held back for a hung standby":             {"/quick-any/", []scriptedAnswer{{status: 500, rest: "oops", pause: 1500 * time.Millisecond}, silent("")}, outcome{500, "oops", false, 2}, 3 * time.Second},
		"a rejection while a hung standby runs is no attempt":      {"/quick/", []scriptedAnswer{{status: 503, notRun: true, headAfter: 1500 * time.Millisecond}, silent(""), {status: 200, body: firstEvent}}, outcome{200, firstEvent, false, 3}, 2500 * time.Millisecond},
		"two replicas that hang one after the other are both left": {"/quick-of-three/", []scriptedAnswer{silent(firstEvent), silent(secondEvent), {status: 200, body: thirdEvent}}, outcome{200, firstEvent + secondEvent + thirdEvent, false, 3}, 3 * time.Second},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := &fakeCluster{steps: tt.steps}
				g := newGateway(w, w, 9, true)
				start := time.Now()
				answer, aborted := serveAborted(g, tt.path)
				if took := time.Since(start); took > tt.within {
					t.Errorf("answered after %v, want at most %v", took, tt.within)
				}
				if err := g.Wait(); err != nil {
					t.Error(err)
				}
				got := outcome{answer.Code, answer.Body.String(), aborted, len(w.attempts)}
				if diff := cmp.Diff(tt.want, got); diff != "" {
					t.Errorf("answer (-want +got):\n%s", diff)
				}
				if diff := cmp.Diff(w.placed, len(w.outcomes)); diff != "" {
					t.Errorf("placements and reports of their ends (-want +got):\n%s", diff)
				}
			})
		})
	}
}

func TestBrokenAttemptReleasesItsMemoryWhileAStandbyRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &fakeCluster{reserveTime: time.Millisecond, steps: []scriptedAnswer{
			{status: 200, body: firstEvent, rest: "id: 2\nda", pause: 1300 * time.Millisecond},
			{status: 200, rest: secondEvent, pause: 3 * time.Second},
		}}
		g := newGateway(w, w, 9, true)
		start := time.Now()
		answer, aborted := serveAborted(g, "/quick/")
		if aborted || answer.Body.String() != firstEvent+secondEvent {
			t.Errorf("body %q, aborted %t", answer.Body, aborted)
		}
		if len(w.releases) != 1 || w.releases[0].Sub(start) > 1500*time.Millisecond {
			t.Errorf("memory released at %v, want once, when the attempt broke at 1.3 s", w.releases)
		}
	})
}

func TestNoRequestIsSentForAStandbyThatIsNoLongerNeeded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &fakeCluster{retryPlacingTime: 100 * time.Millisecond, steps: []scriptedAnswer{{status: 200, body: firstEvent, rest: secondEvent, pause: 1250 * time.Millisecond}, okAnswer}}
		answer, aborted := serveAborted(newGateway(w, w, 9, true), "/quick/")
		got := outcome{answer.Code, answer.Body.String(), aborted, len(w.attempts)}
		if diff := cmp.Diff(outcome{http.StatusOK, firstEvent + secondEvent, false, 1}, got); diff != "" {
			t.Errorf("answer (-want +got):\n%s", diff)
		}
	})
}
