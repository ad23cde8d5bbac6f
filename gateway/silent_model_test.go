package gateway_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"
	"pgregory.net/rapid"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/gateway"
)

// forGood is longer than the timeout of any route.
const forGood = time.Hour

// silentScript is the script of an attempt whose replica may be silent.
type silentScript struct {
	attemptScript
	// interval is the time before each piece of the body.
	interval time.Duration
	// silence is the time without data before the head, if silentAt is 0, or before that piece.
	silence  time.Duration
	silentAt int
	// buffered is the number of pieces that are read although the attempt has been cancelled, as if
	// they had arrived by then.
	buffered int
}

var silentScripts = rapid.Custom(func(t *rapid.T) silentScript {
	return silentScript{
		attemptScript: attemptScripts.Draw(t, "result"),
		interval:      rapid.SampledFrom([]time.Duration{0, 100 * time.Millisecond, 300 * time.Millisecond}).Draw(t, "interval"),
		silence:       rapid.SampledFrom([]time.Duration{0, 1200 * time.Millisecond, 1300 * time.Millisecond, 1500 * time.Millisecond, 2500 * time.Millisecond, forGood}).Draw(t, "silence"),
		silentAt:      rapid.IntRange(0, modelEvents+1).Draw(t, "silent at"),
		buffered:      rapid.IntRange(0, 2).Draw(t, "buffered"),
	}
})

// pause returns the time before piece n of the answer.
func (f silentScript) pause(n int) time.Duration {
	if n == f.silentAt {
		return f.interval + f.silence
	}
	return f.interval
}

// sleep sleeps until ctx is done at most.
func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

// silentReplica is what the replicas note about one request.
type silentReplica struct {
	mu      sync.Mutex
	scripts []silentScript
	starts  []string
	// active is the number of runs that have not ended, maxActive the highest so far.
	active, maxActive int
}

func (r *silentReplica) next() silentScript {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.scripts) == 0 {
		return silentScript{attemptScript: attemptScript{kind: "unreachable"}}
	}
	f := r.scripts[0]
	r.scripts = r.scripts[1:]
	return f
}

func (r *silentReplica) begin(after string) (run int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.active++
	r.maxActive = max(r.maxActive, r.active)
	r.starts = append(r.starts, after)
	return len(r.starts) - 1
}

func (r *silentReplica) end() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.active--
}

// silentBody is the body of a run.
type silentBody struct {
	ctx     context.Context
	script  silentScript
	pieces  []string
	failure error
	reads   int
	// late is the number of pieces that were read after the attempt had been cancelled.
	late  int
	ended sync.Once
	end   func()
}

// Read implements io.Reader. It returns one piece.
func (b *silentBody) Read(p []byte) (int, error) {
	b.reads++
	pause := b.script.pause(b.reads)
	if err := sleep(b.ctx, pause); err != nil {
		if b.late++; b.late > b.script.buffered || pause >= forGood {
			return 0, err
		}
	}
	if len(b.pieces) == 0 {
		return 0, b.failure
	}
	n := copy(p, b.pieces[0])
	if b.pieces[0] = b.pieces[0][n:]; b.pieces[0] == "" {
		b.pieces = b.pieces[1:]
	}
	return n, nil
}

// Close implements io.Closer.
func (b *silentBody) Close() error {
	b.ended.Do(b.end)
	return nil
}

// silentReplicas is a sender that answers the attempts of each request by its scripts.
type silentReplicas struct{ requests map[string]*silentReplica }

func (s silentReplicas) Send(ctx context.Context, e catkinspindle.Envelope, a catkinspindle.Attempt, _ bool) (*catkinspindle.Answer, error) {
	r := s.requests[e.ID]
	f := r.next()
	switch f.kind {
	case "unreachable":
		return nil, catkinspindle.Fail(catkinspindle.NotRun, catkinspindle.ReasonPeerUnreachable, "no connection")
	case "refuses":
		if err := sleep(ctx, f.pause(0)); err != nil {
			return nil, catkinspindle.Fail(catkinspindle.MayHaveRun, catkinspindle.ReasonBackendFailed, "%w", err)
		}
		return answerOf(a, http.StatusServiceUnavailable, true, io.NopCloser(strings.NewReader(""))), nil
	}
	b := &silentBody{ctx: ctx, script: f, failure: io.EOF, end: r.end}
	run := r.begin(a.AfterEvent)
	if err := sleep(ctx, f.pause(0)); err != nil || f.kind == "lost" {
		b.end()
		return nil, catkinspindle.Fail(catkinspindle.MayHaveRun, catkinspindle.ReasonBackendFailed, "reset")
	}
	switch {
	case f.kind == "fails":
		b.pieces = []string{"oo", "ps"}
		return answerOf(a, http.StatusInternalServerError, false, b), nil
	case routeOf(e.Target).Streaming:
		var text string
		text, b.failure = f.stream(a.AfterEvent, run)
		b.pieces = slices.DeleteFunc(strings.SplitAfter(text, "\n\n"), func(s string) bool { return s == "" })
	default:
		b.pieces = []string{"wh", "ol", "e"}
		if strings.HasPrefix(f.kind, "breaks") {
			b.pieces, b.failure = b.pieces[:f.sentBefore%3], io.ErrUnexpectedEOF
		}
	}
	return answerOf(a, http.StatusOK, false, b), nil
}

// silentRequest is a request and the scripts of its attempts.
type silentRequest struct {
	path    string
	scripts []silentScript
}

var silentRequests = rapid.Custom(func(t *rapid.T) silentRequest {
	return silentRequest{
		path:    rapid.SampledFrom([]string{"/quick/", "/quick-of-three/", "/quick-any/", "/short-once/", "/quick-once-of-three/"}).Draw(t, "path"),
		scripts: rapid.SliceOfN(silentScripts, 1, 6).Draw(t, "scripts"),
	}
})

// serve serves the request with the given ID and checks its guarantees.
func (q silentRequest) serve(g *gateway.Gateway, id string, r *silentReplica) error {
	answer := deadlineRecorder{httptest.NewRecorder()}
	req := newRequest(q.path)
	req.Header.Set("Attempt-Id", id)
	o, route := observation{}, routeOf(q.path)
	if serveTo(g, answer, req) {
		o.err = errors.New("aborted")
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	o.body, o.starts, o.ran = answer.Body.String(), r.starts, len(r.starts)
	if o.err == nil || o.body != "" {
		o.status = answer.Code
	}
	if r.active > 0 {
		return fmt.Errorf("%d runs have not ended", r.active)
	}
	if r.maxActive > route.MaxAttempts {
		return fmt.Errorf("%d runs at the same time on a route with %d attempts", r.maxActive, route.MaxAttempts)
	}
	results := make([]attemptScript, len(q.scripts))
	for i, f := range q.scripts {
		results[i] = f.attemptScript
	}
	return o.check(route, results)
}

// serveWithSilence serves the requests at the same time, each on another replica at first.
func serveWithSilence(t *testing.T, requests []silentRequest) (err error) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		cluster := &fakeCluster{}
		replicas := silentReplicas{map[string]*silentReplica{}}
		for i, q := range requests {
			replicas.requests[fmt.Sprint("a", i)] = &silentReplica{scripts: slices.Clone(q.scripts)}
		}
		g := newGateway(cluster, replicas, 99, true)
		var group errgroup.Group
		for i, q := range requests {
			cluster.mu.Lock()
			cluster.preferred = slices.Concat([]string{"r1", "r2", "r3"}[i:], []string{"r1", "r2", "r3"}[:i])
			cluster.mu.Unlock()
			id := fmt.Sprint("a", i)
			group.Go(func() error { return q.serve(g, id, replicas.requests[id]) })
			synctest.Wait()
		}
		err = errors.Join(group.Wait(), g.Wait())
	})
	return err
}

// For any silence of replicas beside any results of attempts, the guarantees hold: see
// TestGuaranteesUnderRandomFailures. No event is from a run that was asked to go on elsewhere.
func TestGuaranteesWhileReplicasAreSilent(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		requests := rapid.SliceOfN(silentRequests, 1, 3).Draw(rt, "requests")
		if err := serveWithSilence(t, requests); err != nil {
			rt.Fatal(err)
		}
	})
}

func TestEventsReadAfterTakeoverAreDropped(t *testing.T) {
	for silentAt := 2; silentAt <= modelEvents; silentAt++ {
		for buffered := 1; buffered <= 2; buffered++ {
			t.Run(fmt.Sprintf("%d events from event %d on", buffered, silentAt), func(t *testing.T) {
				answers := attemptScript{kind: "answers"}
				silent := silentScript{attemptScript: answers, silence: 2500 * time.Millisecond, silentAt: silentAt, buffered: buffered}
				if err := serveWithSilence(t, []silentRequest{{"/quick/", []silentScript{silent, {attemptScript: answers}}}}); err != nil {
					t.Error(err)
				}
			})
		}
	}
}
