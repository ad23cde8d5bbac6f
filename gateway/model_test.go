package gateway_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/catkinspindle/catkinspindle"
)

// modelEvents is the number of events of a stream.
const modelEvents = 5

// attemptScript is the scripted result of one attempt.
type attemptScript struct {
	kind string
	// sentBefore is the number of events or bytes that are sent before the failure.
	sentBefore int
	// repeated is the number of events that a resumed stream repeats.
	repeated int
}

var attemptScripts = rapid.Custom(func(t *rapid.T) attemptScript {
	return attemptScript{
		kind:       rapid.SampledFrom([]string{"answers", "unreachable", "refuses", "fails", "breaks", "breaks inside", "lost", "skips"}).Draw(t, "kind"),
		sentBefore: rapid.IntRange(0, modelEvents).Draw(t, "after"),
		repeated:   rapid.IntRange(0, 2).Draw(t, "back"),
	}
})

// scriptedReplicas is a sender that answers attempts by their script and counts executions.
type scriptedReplicas struct {
	*fakeCluster
	scripts []attemptScript
	ran     int
	starts  []string
}

func (r *scriptedReplicas) Send(_ context.Context, e catkinspindle.Envelope, a catkinspindle.Attempt, _ bool) (*catkinspindle.Answer, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f := attemptScript{kind: "unreachable"}
	if len(r.scripts) > 0 {
		f, r.scripts = r.scripts[0], r.scripts[1:]
	}
	switch f.kind {
	case "unreachable":
		return nil, catkinspindle.Fail(catkinspindle.NotRun, catkinspindle.ReasonPeerUnreachable, "no connection")
	case "refuses":
		return answerOf(a, http.StatusServiceUnavailable, true, io.NopCloser(strings.NewReader(""))), nil
	}
	r.ran++
	r.starts = append(r.starts, a.AfterEvent)
	switch {
	case f.kind == "lost":
		return nil, catkinspindle.Fail(catkinspindle.MayHaveRun, catkinspindle.ReasonBackendFailed, "reset")
	case f.kind == "fails":
		return answerOf(a, http.StatusInternalServerError, false, io.NopCloser(strings.NewReader("oops"))), nil
	case strings.HasPrefix(e.Target, "/stream/"):
		text, end := f.stream(a.AfterEvent, len(r.starts)-1)
		return answerOf(a, http.StatusOK, false, io.NopCloser(io.MultiReader(strings.NewReader(text), failingReader{end}))), nil
	case strings.HasPrefix(f.kind, "breaks"):
		return answerOf(a, http.StatusOK, false, io.NopCloser(io.MultiReader(strings.NewReader("whole"[:f.sentBefore%5]), failingReader{io.ErrUnexpectedEOF}))), nil
	}
	return answerOf(a, http.StatusOK, false, io.NopCloser(strings.NewReader("whole"))), nil
}

func answerOf(a catkinspindle.Attempt, status int, notRun bool, body io.ReadCloser) *catkinspindle.Answer {
	return &catkinspindle.Answer{
		AnswerHead: catkinspindle.AnswerHead{Status: status, NotRun: notRun, Header: http.Header{"Response-Seal": {a.Replica.ID}}},
		Body:       body,
	}
}

const eventFormat = "id: %d\ndata: piece %d of run %d\n\n"

// eventText returns an event with the mark of its run.
func eventText(n, run int) string { return fmt.Sprintf(eventFormat, n, n, run) }

// eventNumber returns the number of the event that a stream resumes after, zero if it begins.
func eventNumber(after string) int {
	n, err := strconv.Atoi(after)
	if err != nil {
		return 0
	}
	return n
}

// stream returns the rest of a run's stream after the given event, and the error that follows.
// It repeats some earlier events and has a failure or a gap as the script says.
func (f attemptScript) stream(after string, run int) (string, error) {
	last := eventNumber(after)
	first := max(1, last+1-f.repeated)
	var text strings.Builder
	for n := first; n <= modelEvents; n++ {
		// A gap before the first event of a new stream cannot be detected.
		if f.kind == "skips" && n == first+f.sentBefore && (n > first || last > 0) {
			continue
		}
		if strings.HasPrefix(f.kind, "breaks") && n == first+f.sentBefore {
			if f.kind == "breaks inside" {
				_, _ = text.WriteString(eventText(n, run)[:7]) // A builder takes every write.
			}
			return text.String(), io.ErrUnexpectedEOF
		}
		_, _ = text.WriteString(eventText(n, run)) // A builder takes every write.
	}
	return text.String(), io.EOF
}

// observation is the result of a request for the caller and the number of its executions.
type observation struct {
	status int
	body   string
	err    error
	ran    int
	// starts has for each run the event after which it was asked to go on.
	starts []string
}

// check returns an error if o violates the guarantees of the route.
func (o observation) check(route catkinspindle.Route, scripts []attemptScript) error {
	notRunStatuses := []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}
	switch {
	case o.ran > 0 && slices.Contains(notRunStatuses, o.status):
		return fmt.Errorf("status %d guarantees that nothing was run, but the request was run %d times", o.status, o.ran)
	case route.RetryMode == catkinspindle.RetryNever && o.ran > 1:
		return fmt.Errorf("request on a non-idempotent route was run %d times", o.ran)
	case o.ran > route.MaxAttempts:
		return fmt.Errorf("request was run %d times on a route with %d attempts", o.ran, route.MaxAttempts)
	case o.status != http.StatusOK:
		return nil
	case !route.Streaming:
		if o.err == nil && o.body != "whole" {
			return fmt.Errorf("wrong answer %q", o.body)
		}
		return nil
	}
	received, err := o.checkEvents()
	if err != nil {
		return err
	}
	// A stream that lacks its last event cannot be distinguished from one with fewer events.
	skipped := slices.ContainsFunc(scripts, func(f attemptScript) bool { return f.kind == "skips" })
	if o.err == nil && received != modelEvents && !skipped {
		return fmt.Errorf("truncated stream ended without an error: %q", o.body)
	}
	return nil
}

// checkEvents returns the number of events in the body. It returns an error unless they are complete
// and in order, and each run goes on at the event after which it was asked to.
func (o observation) checkEvents() (int, error) {
	lastRun, n := -1, 0
	for text := range strings.SplitAfterSeq(o.body, "\n\n") {
		if text == "" {
			break
		}
		n++
		var id, piece, run int
		if _, err := fmt.Sscanf(text, eventFormat, &id, &piece, &run); err != nil || text != eventText(n, run) {
			return 0, fmt.Errorf("stream is not a sequence of complete events in order: %q", o.body)
		}
		if run != lastRun && eventNumber(o.starts[run]) != n-1 {
			return 0, fmt.Errorf("event %d is from run %d, which was asked to go on after event %q: %q", n, run, o.starts[run], o.body)
		}
		lastRun = run
	}
	return n, nil
}

// routeOf returns the route of a path.
func routeOf(path string) catkinspindle.Route {
	routes := routing().Routes
	return routes[slices.IndexFunc(routes, func(r catkinspindle.Route) bool { return strings.HasPrefix(path, r.Prefix) })]
}

// For any sequence of attempt results: a request on a non-idempotent route runs at most
// once, a status that guarantees that nothing was run is true, and callers get complete
// events in order, all of them if the answer ends without an error.
func TestGuaranteesUnderRandomFailures(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		path := rapid.SampledFrom([]string{"/once/x", "/once-of-three/x", "/any/x", "/stream/x"}).Draw(rt, "path")
		scripts := rapid.SliceOfN(attemptScripts, 1, 5).Draw(rt, "fates")
		w := &scriptedReplicas{fakeCluster: &fakeCluster{}, scripts: slices.Clone(scripts)}
		_, server := newServerWithSender(t, w.fakeCluster, w, 9, true)
		resp, body, err := post(t, server, path, "k", "")
		server.Close()
		o := observation{body: body, err: err, ran: w.ran, starts: w.starts}
		if resp != nil {
			o.status = resp.StatusCode
		}
		if resp == nil && !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
			rt.Fatalf("no answer: %v", err)
		}
		if err := o.check(routeOf(path), scripts); err != nil {
			rt.Fatal(err)
		}
	})
}
