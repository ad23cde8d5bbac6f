package gateway_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/events"
	"github.com/catkinspindle/catkinspindle/gateway"
	"github.com/catkinspindle/catkinspindle/platform"
	"github.com/catkinspindle/catkinspindle/retries"
)

// panickingCluster is a fakeCluster of which one call panics.
type panickingCluster struct {
	*fakeCluster
	// method and nth say which call panics.
	method string
	nth    int
	// reserved is the number of reservations that were made.
	reserved int

	mu    sync.Mutex
	calls map[string]int
}

func (c *panickingCluster) call(method string) {
	c.mu.Lock()
	c.calls[method]++
	panics := method == c.method && c.calls[method] == c.nth
	c.mu.Unlock()
	if panics {
		panic("fault in " + method)
	}
}

func (c *panickingCluster) Place(ctx context.Context, j catkinspindle.Job) catkinspindle.Placement {
	c.call("place")
	return c.fakeCluster.Place(ctx, j)
}

func (c *panickingCluster) ReportResult(result catkinspindle.AttemptResult) {
	c.fakeCluster.ReportResult(result)
	c.call("report")
}

func (c *panickingCluster) Send(ctx context.Context, e catkinspindle.Envelope, a catkinspindle.Attempt, fresh bool) (*catkinspindle.Answer, error) {
	c.call("send")
	answer, err := c.fakeCluster.Send(ctx, e, a, fresh)
	if err == nil {
		answer.Body = panickingBody{answer.Body, c}
	}
	return answer, err
}

func (c *panickingCluster) Acquire(ctx context.Context, list []catkinspindle.Reservation) (func(), error) {
	c.call("reserve")
	c.mu.Lock()
	c.reserved++
	c.mu.Unlock()
	return c.fakeCluster.Acquire(ctx, list)
}

func (c *panickingCluster) Probe(context.Context, catkinspindle.Replica) (bool, error) {
	c.call("probe")
	return false, nil
}

func (c *panickingCluster) decode(r *http.Request, body []byte) (catkinspindle.Envelope, error) {
	c.call("decode")
	return platform.DecodeRequest(r, body)
}

type panickingBody struct {
	io.ReadCloser
	cluster *panickingCluster
}

func (b panickingBody) Read(p []byte) (int, error) {
	b.cluster.call("read")
	return b.ReadCloser.Read(p)
}

// endLine is what the log says about the end of a request.
type endLine struct {
	Event    events.Event
	Status   int
	Reason   string
	Verdict  string
	Cut      bool
	Attempts int
}

// endLines returns the lines of a log about the ends of requests, and the number of panics.
func endLines(t *testing.T, log string) (ends []endLine, panics int) {
	t.Helper()
	for line := range strings.Lines(log) {
		var l endLine
		if err := json.Unmarshal([]byte(line), &l); err != nil {
			t.Fatalf("%q: %v", line, err)
		}
		switch l.Event {
		case events.RequestEnded:
			ends = append(ends, l)
		case events.HandlerPanicked:
			panics++
		}
	}
	return ends, panics
}

// A panic while a request is served does not end the request without an answer or a line, keep what
// the request holds, or end the process.
func TestPanicEndsARequestWithATruthfulFailure(t *testing.T) {
	failed := func(status int, verdict string, attempts int) endLine {
		return endLine{Event: events.RequestEnded, Status: status, Reason: "internal", Verdict: verdict, Attempts: attempts}
	}
	answered := func(attempts int) endLine {
		return endLine{Event: events.RequestEnded, Status: 200, Attempts: attempts}
	}
	cut := func(reason string, attempts int) endLine {
		return endLine{Event: events.RequestEnded, Status: 200, Reason: reason, Verdict: "ran", Cut: true, Attempts: attempts}
	}
	later := scriptedAnswer{status: 200, body: firstEvent, rest: secondEvent, pause: 1700 * time.Millisecond}
	breaks := scriptedAnswer{status: 200, body: firstEvent, rest: "id: 2\nda", pause: 1700 * time.Millisecond, broken: true}
	next := scriptedAnswer{status: 200, body: secondEvent}
	const unsent, mayHaveRun, ran = "internal (not-run)\n", "internal (may-have-run)\n", "internal (ran)\n"
	tests := map[string]struct {
		method string
		nth    int
		path   string
		steps  []scriptedAnswer
		body   string
		want   endLine
	}{
		"decoding":                                   {"decode", 1, "/any/", nil, unsent, failed(503, "not-run", 0)},
		"placing":                                    {"place", 1, "/any/", nil, unsent, failed(503, "not-run", 0)},
		"reserving memory":                           {"reserve", 1, "/any/", nil, unsent, failed(503, "not-run", 0)},
		"sending":                                    {"send", 1, "/any/", nil, mayHaveRun, failed(502, "may-have-run", 1)},
		"placing again":                              {"place", 2, "/any/", []scriptedAnswer{{err: errAfterSend}}, mayHaveRun, failed(502, "may-have-run", 1)},
		"sending after a rejection":                  {"send", 2, "/any/", []scriptedAnswer{refusedAnswer}, mayHaveRun, failed(502, "may-have-run", 2)},
		"reading a plain answer":                     {"read", 1, "/any/", []scriptedAnswer{okAnswer}, ran, failed(502, "ran", 1)},
		"reading the first event":                    {"read", 1, "/quick/", []scriptedAnswer{later}, ran, failed(502, "ran", 1)},
		"reading a later event":                      {"read", 2, "/quick/", []scriptedAnswer{later}, firstEvent, cut("internal", 1)},
		"reporting a whole answer":                   {"report", 1, "/any/", []scriptedAnswer{okAnswer}, "fine", answered(1)},
		"probing":                                    {"probe", 1, "/any/", []scriptedAnswer{{err: errAfterSend}, okAnswer}, "fine", answered(2)},
		"reporting after a probe":                    {"report", 2, "/any/", []scriptedAnswer{{err: errAfterSend}, okAnswer}, "fine", answered(2)},
		"placing a standby":                          {"place", 2, "/quick/", []scriptedAnswer{later}, firstEvent + secondEvent, answered(1)},
		"sending to a standby":                       {"send", 2, "/quick/", []scriptedAnswer{later, next}, firstEvent + secondEvent, answered(2)},
		"reading from a standby":                     {"read", 3, "/quick/", []scriptedAnswer{later, next}, firstEvent + secondEvent, answered(2)},
		"sending to a standby beside a broken one":   {"send", 2, "/quick/", []scriptedAnswer{breaks, next}, firstEvent, cut("backend-failed", 2)},
		"placing a standby beside a broken one":      {"place", 2, "/quick/", []scriptedAnswer{breaks, next}, firstEvent + secondEvent, answered(2)},
		"reading while a standby runs":               {"read", 2, "/quick/", []scriptedAnswer{{status: 200, body: firstEvent, headAfter: 1300 * time.Millisecond}, {status: 200, silent: true}}, ran, failed(502, "ran", 2)},
		"reading an answer that a standby has begun": {"read", 4, "/quick/", []scriptedAnswer{{status: 200, body: firstEvent, silent: true}, next}, firstEvent + secondEvent, cut("internal", 2)},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := &panickingCluster{fakeCluster: &fakeCluster{steps: tt.steps, reserveTime: time.Millisecond}, method: tt.method, nth: tt.nth, calls: map[string]int{}}
				newGateway(w.fakeCluster, w, 9, true) // It makes the view.
				var log bytes.Buffer
				codec := gateway.Codec{Key: platform.APIKey, Timeout: platform.RequestTimeout, Request: w.decode}
				const body = 5000
				w.view.SetRouting(withoutBodyLimit(routing()))
				g := gateway.New(w.view, w, w, w, retries.New(testBudget, 1), codec, slog.New(slog.NewJSONHandler(&log, nil)), gateway.WithProber(w), gateway.WithMaxBodyBytes(body))
				send := func(path string) (deadlineRecorder, bool) {
					r := newRequest(path)
					r.Body, r.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", body))), body
					answer := deadlineRecorder{httptest.NewRecorder()}
					return answer, serveTo(g, answer, r)
				}
				answer, aborted := send(tt.path)
				if err := g.Wait(); err != nil {
					t.Error(err)
				}
				if diff := cmp.Diff([]any{tt.want.Status, tt.body, tt.want.Cut}, []any{answer.Code, answer.Body.String(), aborted}); diff != "" {
					t.Errorf("status, body and whether it was cut (-want +got):\n%s", diff)
				}
				ends, panics := endLines(t, log.String())
				if diff := cmp.Diff([]endLine{tt.want}, ends); diff != "" {
					t.Errorf("lines of ends (-want +got):\n%s", diff)
				}
				if diff := cmp.Diff(1, panics); diff != "" {
					t.Errorf("lines of panics (-want +got):\n%s", diff)
				}
				if diff := cmp.Diff([]int{w.placed, 0}, []int{len(w.outcomes), int(g.InFlight())}); diff != "" {
					t.Errorf("reports of placements, requests in flight (-want +got):\n%s", diff)
				}
				if diff := cmp.Diff(w.reserved, len(w.releases)); diff != "" {
					t.Errorf("reservations that were released (-want +got):\n%s", diff)
				}
				// The memory for bodies is free again.
				w.steps = []scriptedAnswer{okAnswer}
				if answer, _ := send("/any/"); answer.Code != http.StatusOK {
					t.Errorf("next request: status %d, body %q", answer.Code, answer.Body)
				}
			})
		})
	}
}

func withoutBodyLimit(r catkinspindle.Routing) catkinspindle.Routing {
	r.Version, r.Limits.MaxBody = r.Version+1, 0
	return r
}
