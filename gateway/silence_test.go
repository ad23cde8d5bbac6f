package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/sync/errgroup"

	"github.com/catkinspindle/catkinspindle"
)

// pausedReplicas is a sender whose replicas write an event every 100 ms, except while they are
// paused.
type pausedReplicas struct {
	*fakeCluster
	// pauses has the begin and the end of the pause of each replica, from the start of a stream.
	pauses map[string][2]time.Duration
	events int
	// headTime is the time before the head of an answer; its first event comes with it.
	headTime time.Duration
}

func (r *pausedReplicas) Send(ctx context.Context, _ catkinspindle.Envelope, a catkinspindle.Attempt, _ bool) (*catkinspindle.Answer, error) {
	r.mu.Lock()
	r.attempts = append(r.attempts, a)
	r.mu.Unlock()
	time.Sleep(r.headTime)
	return &catkinspindle.Answer{
		AnswerHead: catkinspindle.AnswerHead{Status: http.StatusOK, Header: http.Header{}},
		Body:       io.NopCloser(&pausedReader{ctx: ctx, pause: r.pauses[a.Replica.ID], events: r.events, start: time.Now()}),
	}, nil
}

type pausedReader struct {
	ctx    context.Context
	pause  [2]time.Duration
	events int
	start  time.Time
	sent   int
}

// Read implements io.Reader.
func (r *pausedReader) Read(b []byte) (int, error) {
	if r.sent == r.events {
		return 0, io.EOF
	}
	wait := 100 * time.Millisecond
	if at := time.Since(r.start) + wait; at >= r.pause[0] && at < r.pause[1] {
		wait += r.pause[1] - at
	}
	select {
	case <-r.ctx.Done():
		return 0, r.ctx.Err()
	case <-time.After(wait):
		r.sent++
		return copy(b, fmt.Sprintf("id: %d\ndata: x\n\n", r.sent)), nil
	}
}

// serveOnEach serves one stream on each of the given replicas at the same time and returns the number
// of attempts.
func serveOnEach(t *testing.T, replicas *pausedReplicas, ids ...string) int {
	t.Helper()
	g := newGateway(replicas.fakeCluster, replicas, 9, true)
	var group errgroup.Group
	for _, id := range ids {
		replicas.mu.Lock()
		replicas.preferred = slices.Compact([]string{id, "r2", "r3"})
		replicas.mu.Unlock()
		group.Go(func() error {
			if _, aborted := serveAborted(g, "/quick/"); aborted {
				return fmt.Errorf("the stream on %s was aborted", id)
			}
			return nil
		})
		synctest.Wait()
	}
	replicas.mu.Lock()
	replicas.preferred = nil
	replicas.mu.Unlock()
	if err := group.Wait(); err != nil {
		t.Error(err)
	}
	return len(replicas.attempts)
}

func TestNoStandbyWhileMostReplicasAreSilent(t *testing.T) {
	pause := [2]time.Duration{200 * time.Millisecond, 1500 * time.Millisecond}
	forGood := [2]time.Duration{200 * time.Millisecond, time.Hour}
	tests := map[string]struct {
		pauses   map[string][2]time.Duration
		attempts int
	}{
		"all are paused":  {map[string][2]time.Duration{"r1": pause, "r2": pause, "r3": pause}, 3},
		"most hang":       {map[string][2]time.Duration{"r1": forGood, "r2": forGood}, 5},
		"one hangs":       {map[string][2]time.Duration{"r1": forGood}, 4},
		"none is silent":  {nil, 3},
		"one hangs later": {map[string][2]time.Duration{"r1": {2 * time.Second, time.Hour}}, 4},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				attempts := serveOnEach(t, &pausedReplicas{fakeCluster: &fakeCluster{}, pauses: tt.pauses, events: 30}, "r1", "r2", "r3")
				if diff := cmp.Diff(tt.attempts, attempts); diff != "" {
					t.Errorf("attempts (-want +got):\n%s", diff)
				}
			})
		})
	}
}

// Times that a silence of the whole service extended are not reported as those of its replicas.
func TestSharedSilenceIsNotMeasuredAsSlowness(t *testing.T) {
	pause := [2]time.Duration{0, 1100 * time.Millisecond}
	tests := map[string]struct {
		pauses   map[string][2]time.Duration
		headTime time.Duration
		measured []time.Duration
	}{
		"all heads are late": {nil, 1100 * time.Millisecond, []time.Duration{0, 0, 0}},
		"all are paused":     {map[string][2]time.Duration{"r1": pause, "r2": pause, "r3": pause}, 0, []time.Duration{0, 0, 0}},
		"one is paused":      {map[string][2]time.Duration{"r1": pause}, 0, []time.Duration{100 * time.Millisecond, 100 * time.Millisecond, 1100 * time.Millisecond}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				replicas := &pausedReplicas{fakeCluster: &fakeCluster{}, pauses: tt.pauses, events: 30, headTime: tt.headTime}
				serveOnEach(t, replicas, "r1", "r2", "r3")
				slices.Sort(replicas.firstEvents)
				if diff := cmp.Diff(tt.measured, replicas.firstEvents); diff != "" {
					t.Errorf("times to the first event (-want +got):\n%s", diff)
				}
			})
		})
	}
}

func TestNoStandbyOnIdleReplicaWhileTheOthersAreSilent(t *testing.T) {
	pause := [2]time.Duration{200 * time.Millisecond, 1500 * time.Millisecond}
	synctest.Test(t, func(t *testing.T) {
		replicas := &pausedReplicas{fakeCluster: &fakeCluster{}, pauses: map[string][2]time.Duration{"r1": pause, "r2": pause}, events: 30}
		if diff := cmp.Diff(2, serveOnEach(t, replicas, "r1", "r2")); diff != "" {
			t.Errorf("attempts (-want +got):\n%s", diff)
		}
	})
}
