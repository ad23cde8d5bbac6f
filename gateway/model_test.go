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

// fate is the scripted result of one attempt.
type fate struct {
	kind string
	// after is the number of events or bytes that are sent before the failure.
	after int
	// back is the number of events that a resumed stream repeats.
	back int
}

var fates = rapid.Custom(func(t *rapid.T) fate {
	return fate{
		kind:  rapid.SampledFrom([]string{"answers", "unreachable", "refuses", "fails", "breaks", "breaks inside", "lost", "skips"}).Draw(t, "kind"),
		after: rapid.IntRange(0, modelEvents).Draw(t, "after"),
		back:  rapid.IntRange(0, 2).Draw(t, "back"),
	}
})

// replicasOfFate is a sender that answers attempts by their script and counts executions.
type replicasOfFate struct {
	*world
	fates  []fate
	ran    int
	starts []string
}

func (r *replicasOfFate) Send(_ context.Context, e catkinspindle.Envelope, a catkinspindle.Attempt, _ bool) (*catkinspindle.Answer, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f := fate{kind: "unreachable"}
	if len(r.fates) > 0 {
		f, r.fates = r.fates[0], r.fates[1:]
	}
	switch f.kind {
	case "unreachable":
		return nil, catkinspindle.Fail(catkinspindle.NotRun, catkinspindle.ReasonUnreachable, "no connection")
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
		return r.answer(a, http.StatusOK, false, io.MultiReader(strings.NewReader("whole"[:f.after%5]), failing{io.ErrUnexpectedEOF})), nil
	}
	return r.answer(a, http.StatusOK, false, strings.NewReader("whole")), nil
}

func (r *replicasOfFate) answer(a catkinspindle.Attempt, status int, notRun bool, body io.Reader) *catkinspindle.Answer {
	return &catkinspindle.Answer{
		AnswerHead: catkinspindle.AnswerHead{Status: status, NotRun: notRun, Header: http.Header{"Response-Seal": {a.Replica.ID}}},
		Body:       io.NopCloser(body),
	}
}

func eventText(n int) string { return fmt.Sprintf("id: %d\ndata: piece %d\n\n", n, n) }

// stream returns the rest of a stream after the given event. It repeats some earlier events
// and has a failure or a gap as the script says.
func (f fate) stream(after string) io.Reader {
	last, err := strconv.Atoi(after)
	if err != nil {
		last = 0
	}
	first := max(1, last+1-f.back)
	var text strings.Builder
	for n := first; n <= modelEvents; n++ {
		// A gap before the first event of a new stream cannot be detected.
		if f.kind == "skips" && n == first+f.after && (n > first || last > 0) {
			continue
		}
		if strings.HasPrefix(f.kind, "breaks") && n == first+f.after {
			if f.kind == "breaks inside" {
				_, _ = text.WriteString(eventText(n)[:7]) // A builder takes every write.
			}
			return io.MultiReader(strings.NewReader(text.String()), failing{io.ErrUnexpectedEOF})
		}
		_, _ = text.WriteString(eventText(n)) // A builder takes every write.
	}
	return strings.NewReader(text.String())
}

// outcome is the result of a request for the caller and the number of its executions.
type outcome struct {
	status int
	body   string
	err    error
	ran    int
}

// check returns an error if o violates the guarantees of the route.
func (o outcome) check(path string, fates []fate) error {
	promises := []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}
	switch {
	case o.ran > 0 && slices.Contains(promises, o.status):
		return fmt.Errorf("status %d promises that nothing was run, but the request was run %d times", o.status, o.ran)
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
	// A stream that lacks its last event cannot be told from one with fewer events.
	skipped := slices.ContainsFunc(fates, func(f fate) bool { return f.kind == "skips" })
	if o.err == nil && o.body != want && !skipped {
		return fmt.Errorf("truncated stream ended without an error: %q", o.body)
	}
	return nil
}

// For any sequence of attempt results: a request on a non-idempotent route runs at most
// once, a status that promises that nothing was run is true, and callers get complete
// events in order, all of them if the answer ends without an error.
func TestAnyFateKeepsThePromises(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		path := rapid.SampledFrom([]string{"/once/x", "/once-of-three/x", "/any/x", "/stream/x"}).Draw(rt, "path")
		list := rapid.SliceOfN(fates, 1, 5).Draw(rt, "fates")
		w := &replicasOfFate{world: &world{}, fates: slices.Clone(list)}
		_, server := serveWith(t, w.world, w, 9, true)
		resp, body, err := ask(t, server, path, "k", "")
		server.Close()
		o := outcome{body: body, err: err, ran: w.ran}
		if resp != nil {
			o.status = resp.StatusCode
		}
		if resp == nil && !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
			rt.Fatalf("no answer: %v", err)
		}
		if err := o.check(path, list); err != nil {
			rt.Fatal(err)
		}
	})
}
