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
		return r.answer(a, http.StatusServiceUnavailable, true, strings.NewReader("")), nil
	}
	r.ran++
	r.starts = append(r.starts, a.AfterEvent)
	switch {
	case f.kind == "lost":
		return nil, catkinspindle.Fail(catkinspindle.MayHaveRun, catkinspindle.ReasonBackendFailed, "reset")
	case f.kind == "fails":
		return r.answer(a, http.StatusInternalServerError, false, strings.NewReader("oops")), nil
	case strings.HasPrefix(e.Target, "/stream/"):
		return r.answer(a, http.StatusOK, false, f.stream(a.AfterEvent)), nil
	case strings.HasPrefix(f.kind, "breaks"):
		return r.answer(a, http.StatusOK, false, io.MultiReader(strings.NewReader("whole"[:f.sentBefore%5]), failingReader{io.ErrUnexpectedEOF})), nil
	}
	return r.answer(a, http.StatusOK, false, strings.NewReader("whole")), nil
}

func (r *scriptedReplicas) answer(a catkinspindle.Attempt, status int, notRun bool, body io.Reader) *catkinspindle.Answer {
	return &catkinspindle.Answer{
		AnswerHead: catkinspindle.AnswerHead{Status: status, NotRun: notRun, Header: http.Header{"Response-Seal": {a.Replica.ID}}},
		Body:       io.NopCloser(body),
	}
}

func eventText(n int) string { return fmt.Sprintf("id: %d\ndata: piece %d\n\n", n, n) }

// stream returns the rest of a stream after the given event. It repeats some earlier events
// and has a failure or a gap as the script says.
func (f attemptScript) stream(after string) io.Reader {
	last, err := strconv.Atoi(after)
	if err != nil {
		last = 0
	}
	first := max(1, last+1-f.repeated)
	var text strings.Builder
	for n := first; n <= modelEvents; n++ {
		// A gap before the first event of a new stream cannot be detected.
		if f.kind == "skips" && n == first+f.sentBefore && (n > first || last > 0) {
			continue
		}
		if strings.HasPrefix(f.kind, "breaks") && n == first+f.sentBefore {
			if f.kind == "breaks inside" {
				_, _ = text.WriteString(eventText(n)[:7]) // A builder takes every write.
			}
			return io.MultiReader(strings.NewReader(text.String()), failingReader{io.ErrUnexpectedEOF})
		}
		_, _ = text.WriteString(eventText(n)) // A builder takes every write.
	}
	return strings.NewReader(text.String())
}

// observation is the result of a request for the caller and the number of its executions.
type observation struct {
	status int
	body   string
	err    error
	ran    int
}

// check returns an error if o violates the guarantees of the route.
func (o observation) check(path string, scripts []attemptScript) error {
	notRunStatuses := []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}
	switch {
	case o.ran > 0 && slices.Contains(notRunStatuses, o.status):
		return fmt.Errorf("status %d guarantees that nothing was run, but the request was run %d times", o.status, o.ran)
	case strings.HasPrefix(path, "/once") && o.ran > 1:
		return fmt.Errorf("request on a non-idempotent route was run %d times", o.ran)
	case o.ran > 2:
		return fmt.Errorf("request was run %d times on a route with two attempts", o.ran)
	case o.status != http.StatusOK:
		return nil
	case !strings.HasPrefix(path, "/stream/"):
		if o.err == nil && o.body != "whole" {
			return fmt.Errorf("wrong answer %q", o.body)
		}
		return nil
	}
	want := ""
	for n := 1; n <= modelEvents; n++ {
		want += eventText(n)
	}
	if !strings.HasPrefix(want, o.body) || (len(o.body) > 0 && !strings.HasSuffix(o.body, "\n\n")) {
		return fmt.Errorf("stream is not a sequence of complete events in order: %q", o.body)
	}
	// A stream that lacks its last event cannot be distinguished from one with fewer events.
	skipped := slices.ContainsFunc(scripts, func(f attemptScript) bool { return f.kind == "skips" })
	if o.err == nil && o.body != want && !skipped {
		return fmt.Errorf("truncated stream ended without an error: %q", o.body)
	}
	return nil
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
		o := observation{body: body, err: err, ran: w.ran}
		if resp != nil {
			o.status = resp.StatusCode
		}
		if resp == nil && !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
			rt.Fatalf("no answer: %v", err)
		}
		if err := o.check(path, scripts); err != nil {
			rt.Fatal(err)
		}
	})
}
