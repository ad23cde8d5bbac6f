package router_test

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/router"
)

// step is one message of an engine and the pause before it.
type step struct {
	after time.Duration
	chunk catkinspindle.Chunk
	err   error
}

// fakeEngine plays one script for each stream, the last one repeatedly. A stream is silent after the
// end of its script, and refused if the script is nil.
type fakeEngine struct {
	mu      sync.Mutex
	scripts [][]step
	// refusals is the number of reservations that the home refuses first.
	refusals  int
	resumes   []int
	cancelled int
}

func (e *fakeEngine) Start(ctx context.Context, s catkinspindle.StreamStart) (catkinspindle.Stream, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.resumes = append(e.resumes, s.Resume)
	script := e.scripts[0]
	if len(e.scripts) > 1 {
		e.scripts = e.scripts[1:]
	}
	if script == nil {
		return nil, errStopping
	}
	return &fakeStream{ctx: ctx, steps: script}, nil
}

func (e *fakeEngine) Cancel(context.Context, catkinspindle.StreamID) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cancelled++
	return nil
}

func (e *fakeEngine) Status(context.Context) (catkinspindle.EngineStatus, error) {
	return catkinspindle.EngineStatus{}, nil
}

func (e *fakeEngine) Order(context.Context, catkinspindle.Order) error { return nil }

type fakeStream struct {
	ctx   context.Context
	steps []step
}

// Next implements catkinspindle.Stream.
func (s *fakeStream) Next() (catkinspindle.Chunk, error) {
	if len(s.steps) == 0 {
		<-s.ctx.Done()
		return catkinspindle.Chunk{}, s.ctx.Err()
	}
	next := s.steps[0]
	s.steps = s.steps[1:]
	select {
	case <-s.ctx.Done():
		return catkinspindle.Chunk{}, s.ctx.Err()
	case <-time.After(next.after):
		return next.chunk, next.err
	}
}

func (s *fakeStream) Close() {}

// fakeFleet has the engines by name. It grants each reservation that its engine does not refuse.
type fakeFleet struct {
	engines  map[string]*fakeEngine
	mu       sync.Mutex
	reserved int
}

func (f *fakeFleet) Engine(vm catkinspindle.VM) catkinspindle.Engine   { return f.engines[vm.Name] }
func (f *fakeFleet) Plain(catkinspindle.VM) catkinspindle.PlainService { return nil }
func (f *fakeFleet) Prefilled(catkinspindle.Ticket)                    {}
func (f *fakeFleet) count(n int)                                       { f.mu.Lock(); f.reserved += n; f.mu.Unlock() }
func (f *fakeFleet) Release(catkinspindle.Ticket)                      { f.count(-1) }
func (f *fakeFleet) Reserve(_ context.Context, t catkinspindle.Ticket) (catkinspindle.Grant, error) {
	e := f.engines[t.Engine]
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.refusals > 0 {
		e.refusals--
		return catkinspindle.Grant{}, errOverload
	}
	f.count(1)
	return catkinspindle.Grant{}, nil
}

// snapshot lists the engines so that those with the first names are the cheapest.
func (f *fakeFleet) snapshot() *catkinspindle.Snapshot {
	s := &catkinspindle.Snapshot{
		Config:     catkinspindle.FleetConfig{Models: []catkinspindle.ModelSpec{{Name: "m"}}},
		Homes:      map[string]catkinspindle.Member{},
		LocalLoads: map[string]catkinspindle.HomeLoad{},
	}
	for name := range f.engines {
		s.Serving = append(s.Serving, catkinspindle.Assignment{VM: catkinspindle.VM{Name: name}, Want: catkinspindle.EngineState{Model: "m"}})
		s.Homes[name] = catkinspindle.Member{}
		s.LocalLoads[name] = catkinspindle.HomeLoad{Engine: name, Free: 1000, Capacity: 1000, Rate: 1000, Ready: true, Version: "1"}
	}
	return s
}

const (
	timeLeft = 40 * time.Second
	// always is a number of refusals that no test exceeds.
	always = 10_000
)

// read serves one prompt and returns the tokens that the caller received and how long it took. The
// caller waits for pause after each chunk.
func (f *fakeFleet) read(t *testing.T, pause time.Duration) (text string, took time.Duration, err error) {
	t.Helper()
	r := router.New(f.snapshot, f, f, catkinspindle.BaselinePolicy(), catkinspindle.DefaultTiming(), catkinspindle.DefaultLimits(), slog.New(slog.DiscardHandler))
	start := time.Now()
	stream, err := r.Open(t.Context(), catkinspindle.Request{Model: "m", Prompt: "p", MaxTokens: 9, Deadline: start.Add(timeLeft)})
	if err != nil {
		return "", time.Since(start), err
	}
	var tokens []string
	for err == nil {
		var c catkinspindle.Chunk
		c, err = stream.Next()
		tokens = append(tokens, c.Tokens...)
		time.Sleep(pause)
	}
	took = time.Since(start)
	if errors.Is(err, io.EOF) {
		err = nil
	}
	stream.Close()
	if err := r.Stop(t.Context()); err != nil {
		t.Error(err)
	}
	if f.reserved != 0 {
		t.Errorf("%d reservations were not released", f.reserved)
	}
	return strings.Join(tokens, ""), took, err
}

func token(after time.Duration, offset int, text string) step {
	return step{after: after, chunk: catkinspindle.Chunk{Offset: offset, Tokens: []string{text}}}
}

func end(after time.Duration, offset int) step {
	return step{after: after, chunk: catkinspindle.Chunk{Offset: offset, End: true}}
}

var (
	errBroke    = errors.New("connection reset")
	errOverload = catkinspindle.Fail(catkinspindle.NotRun, catkinspindle.ReasonOverload, "full")
	errStopping = catkinspindle.Fail(catkinspindle.NotRun, catkinspindle.ReasonStopping, "stopping")
)

func TestSilentEngineIsKeptUntilAnotherDelivers(t *testing.T) {
	silentOnce := &fakeEngine{scripts: [][]step{{token(0, 0, "a"), token(2700*time.Millisecond, 1, "b"), end(0, 2)}}}
	silent := []step{}
	tests := map[string]map[string]*fakeEngine{
		"no other engine":            {},
		"the other refuses":          {"e2": {scripts: [][]step{nil}}},
		"its home refuses":           {"e2": {refusals: always}},
		"the others' homes refuse":   {"e2": {refusals: always}, "e3": {refusals: always}, "e4": {refusals: always}},
		"the other breaks":           {"e2": {scripts: [][]step{{{err: errBroke}}}}},
		"the other is silent too":    {"e2": {scripts: [][]step{silent}}},
		"the other reads the prompt": {"e2": {scripts: [][]step{{{after: time.Second}, token(3*time.Second, 1, "b"), end(0, 2)}}}},
		"the other skips a token":    {"e2": {scripts: [][]step{{token(0, 2, "c"), end(0, 3)}}}},
	}
	for name, others := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				first := &fakeEngine{scripts: silentOnce.scripts}
				others["e1"] = first
				text, took, err := (&fakeFleet{engines: others}).read(t, 0)
				if diff := cmp.Diff("ab", text); diff != "" || err != nil || took > 3*time.Second {
					t.Errorf("answer after %v, error %v (-want +got):\n%s", took, err, diff)
				}
				if diff := cmp.Diff([]int{0}, first.resumes); diff != "" || first.cancelled != 0 {
					t.Errorf("streams on the silent engine, %d cancelled (-want +got):\n%s", first.cancelled, diff)
				}
			})
		})
	}
}

func TestHungEngineIsLeftForOneThatDelivers(t *testing.T) {
	hangs := []step{token(0, 0, "a")}
	resumes := []step{token(0, 1, "b"), end(0, 2)}
	tests := map[string]struct {
		others map[string]*fakeEngine
		within time.Duration
	}{
		"the second one":                 {map[string]*fakeEngine{"e2": {scripts: [][]step{resumes}}}, 2500 * time.Millisecond},
		"the third one":                  {map[string]*fakeEngine{"e2": {scripts: [][]step{{}}}, "e3": {scripts: [][]step{resumes}}}, 4500 * time.Millisecond},
		"the second one after a refusal": {map[string]*fakeEngine{"e2": {scripts: [][]step{nil}}, "e3": {scripts: [][]step{resumes}}}, 2500 * time.Millisecond},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				hung := &fakeEngine{scripts: [][]step{hangs}}
				tt.others["e1"] = hung
				text, took, err := (&fakeFleet{engines: tt.others}).read(t, 0)
				if diff := cmp.Diff("ab", text); diff != "" || err != nil || took > tt.within {
					t.Errorf("answer after %v, error %v (-want +got):\n%s", took, err, diff)
				}
				if hung.cancelled != 1 {
					t.Errorf("the hung stream was cancelled %d times, want once", hung.cancelled)
				}
			})
		})
	}
}

func TestRefusalsDoNotEndABegunStream(t *testing.T) {
	breaks := []step{token(0, 0, "a"), {err: errBroke}}
	resumes := [][]step{{token(0, 1, "b"), end(0, 2)}}
	tests := map[string]map[string]*fakeEngine{
		"one home refuses once":   {"e2": {refusals: 1, scripts: resumes}},
		"one home refuses often":  {"e2": {refusals: 5, scripts: resumes}},
		"three homes refuse once": {"e2": {refusals: 1, scripts: resumes}, "e3": {refusals: 1, scripts: resumes}, "e4": {refusals: 1, scripts: resumes}},
	}
	for name, others := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				others["e1"] = &fakeEngine{scripts: [][]step{breaks, nil}}
				text, took, err := (&fakeFleet{engines: others}).read(t, 0)
				if diff := cmp.Diff("ab", text); diff != "" || err != nil || took > 5*time.Second {
					t.Errorf("answer after %v, error %v (-want +got):\n%s", took, err, diff)
				}
			})
		})
	}
}

func TestOverloadedFleetRefusesAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeFleet{engines: map[string]*fakeEngine{"e1": {refusals: always}, "e2": {refusals: always}}}
		_, took, err := f.read(t, 0)
		if took > 0 || catkinspindle.AsFailure(err).Reason != catkinspindle.ReasonOverload {
			t.Errorf("error %v after %v", err, took)
		}
	})
}

func TestStreamWithoutAnEngineEndsInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeFleet{engines: map[string]*fakeEngine{"e1": {scripts: [][]step{{token(0, 0, "a")}}}}}
		text, took, err := f.read(t, 0)
		if text != "a" || err == nil || took > timeLeft {
			t.Errorf("answer %q after %v, error %v", text, took, err)
		}
	})
}

func TestSlowCallerDoesNotMoveItsStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first := &fakeEngine{scripts: [][]step{{token(0, 0, "a"), token(0, 1, "b"), end(0, 2)}}}
		second := &fakeEngine{scripts: [][]step{{token(0, 1, "b"), end(0, 2)}}}
		text, _, err := (&fakeFleet{engines: map[string]*fakeEngine{"e1": first, "e2": second}}).read(t, 3*time.Second)
		if diff := cmp.Diff("ab", text); diff != "" || err != nil || len(second.resumes) > 0 {
			t.Errorf("error %v, %d streams on the other engine (-want +got):\n%s", err, len(second.resumes), diff)
		}
	})
}
