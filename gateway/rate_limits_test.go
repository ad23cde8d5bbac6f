package gateway_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/gateway"
	"github.com/catkinspindle/catkinspindle/ratelimits"
)

// A request must not be sent to a limited replica without a permit, nor long after the time of
// its permit.
func TestNoRequestToLimitedReplicaWithoutPermit(t *testing.T) {
	tests := map[string]struct {
		permit bool
		delay  time.Duration
		// statedAfter is when the replica states the limit, late how long its permit has ended
		// when the request is sent.
		statedAfter, late time.Duration
		want              string
	}{
		"limit known, no permit":            {false, 0, 0, 0, "r2"},
		"limit known, permit":               {true, 0, 0, 0, "r1"},
		"limit known, permit after a delay": {true, 2 * time.Second, 0, 0, "r1"},
		"limit stated during the delay":     {false, 2 * time.Second, time.Second, 0, "r2"},
		"permit has ended":                  {true, 0, 0, time.Second, "r2"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				limits, reports := ratelimits.New(), 0
				w := &fakeCluster{steps: []scriptedAnswer{okAnswer, okAnswer}, delays: []time.Duration{tt.delay, 0}, permits: tt.permit, reserveTime: tt.late}
				g := newGateway(w, w, 9, true, gateway.WithRateLimits(limits, func(catkinspindle.Replica) { reports++ }))
				time.AfterFunc(tt.statedAfter, func() {
					limits.Observe(time.Now(), time.Now(), catkinspindle.Replica{ID: "r1"}, catkinspindle.RateLimit{Stated: true, PerSecond: 1})
				})
				synctest.Wait()
				serveRequest(g, "/any/")
				if diff := cmp.Diff([]string{tt.want}, w.sentTo()); diff != "" {
					t.Errorf("replicas (-want +got):\n%s", diff)
				}
				// The node that placed the request may not know the limit.
				if passedOver := tt.want != "r1"; (reports > 0) != passedOver {
					t.Errorf("%d reports of the limit, passed over: %t", reports, passedOver)
				}
			})
		})
	}
}

func TestAnswersReportRateLimits(t *testing.T) {
	stated := catkinspindle.RateLimit{Stated: true, PerSecond: 1.6}
	tests := map[string]struct {
		answers []scriptedAnswer
		changes int
		limited bool
	}{
		"answer":            {[]scriptedAnswer{{status: 200, body: "x", rateLimit: stated}}, 1, true},
		"refusal":           {[]scriptedAnswer{{status: 503, notRun: true, rateLimit: stated}, okAnswer}, 1, true},
		"ended":             {[]scriptedAnswer{{status: 200, body: "x", rateLimit: stated}, {status: 200, body: "x", sealed: true}}, 2, false},
		"answer of another": {[]scriptedAnswer{{status: 200, body: "x", rateLimit: stated}, {status: 503, notRun: true}, okAnswer}, 1, true},
		"malformed":         {[]scriptedAnswer{{status: 200, body: "x", rateLimit: stated}, {status: 200, body: "x", sealed: true, rateLimit: catkinspindle.RateLimit{Malformed: `"-1"`}}}, 1, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				limits, changes := ratelimits.New(), 0
				w := &fakeCluster{steps: tt.answers, permits: true, preferred: []string{"r1", "r2"}}
				g := newGateway(w, w, 9, true, gateway.WithRateLimits(limits, func(catkinspindle.Replica) { changes++ }))
				for len(w.steps) > 0 {
					time.Sleep(time.Second)
					serveRequest(g, "/any/")
				}
				if diff := cmp.Diff(tt.changes, changes); diff != "" {
					t.Errorf("reported changes (-want +got):\n%s", diff)
				}
				if _, limited := limits.Limit(catkinspindle.Replica{ID: "r1"}); limited != tt.limited {
					t.Errorf("limited: %t, want %t", limited, tt.limited)
				}
			})
		})
	}
}
