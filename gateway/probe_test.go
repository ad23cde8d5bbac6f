package gateway_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/gateway"
	"github.com/catkinspindle/catkinspindle/reservations"
)

// fixedProber is a Prober that always has the same result.
type fixedProber struct {
	relayed bool
	err     error
}

func (p fixedProber) Probe(context.Context, catkinspindle.Replica) (bool, error) {
	return p.relayed, p.err
}

func connectFailure(confirmed bool) error {
	return &catkinspindle.ConnectFailure{Confirmed: confirmed, Err: errors.New("no connection")}
}

func TestBrokenPathsAreNotPutDownToReplicas(t *testing.T) {
	unreachable := func(confirmed bool) scriptedAnswer {
		return scriptedAnswer{err: catkinspindle.Fail(catkinspindle.NotRun, catkinspindle.ReasonPeerUnreachable, "%w", connectFailure(confirmed))}
	}
	broken := scriptedAnswer{status: 200, body: "par", broken: true}
	tests := map[string]struct {
		step   scriptedAnswer
		prober fixedProber
		want   catkinspindle.Outcome
	}{
		"broken, replica accepts connections":  {broken, fixedProber{}, catkinspindle.OutcomeFailed},
		"broken, only another node connects":   {broken, fixedProber{relayed: true}, catkinspindle.OutcomeNoPath},
		"broken, no node connects":             {broken, fixedProber{err: connectFailure(true)}, catkinspindle.OutcomeUnreachable},
		"broken, nothing known of other nodes": {broken, fixedProber{err: connectFailure(false)}, catkinspindle.OutcomeNoPath},
		"no answer, only another node":         {scriptedAnswer{err: errAfterSend}, fixedProber{relayed: true}, catkinspindle.OutcomeNoPath},
		"unreachable for all":                  {unreachable(true), fixedProber{}, catkinspindle.OutcomeUnreachable},
		"unreachable for this node":            {unreachable(false), fixedProber{}, catkinspindle.OutcomeNoPath},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			w := &fakeCluster{steps: []scriptedAnswer{tt.step, okAnswer}}
			g := newGateway(w, w, 9, true, gateway.WithProber(tt.prober))
			req := httptest.NewRequest(http.MethodPost, "/any/x", strings.NewReader("body"))
			req.RequestURI, req.Host = "/any/x", "h.example"
			req.Header.Set("Attempt-Id", "a")
			req.Header.Set("Authorization", "Bearer k")
			answer := httptest.NewRecorder()
			g.ServeHTTP(answer, req)
			if err := g.Wait(); err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(http.StatusOK, answer.Code); diff != "" {
				t.Errorf("status (-want +got):\n%s", diff)
			}
			got := map[catkinspindle.Outcome]int{}
			for _, o := range w.outcomes {
				got[o]++
			}
			if diff := cmp.Diff(map[catkinspindle.Outcome]int{tt.want: 1, catkinspindle.OutcomeDone: 1}, got); diff != "" {
				t.Errorf("outcomes (-want +got):\n%s", diff)
			}
		})
	}
}

func TestSilentHelperIsNotSuspectedAtOnce(t *testing.T) {
	noAnswer := &reservations.Failure{Replica: "r3", Err: catkinspindle.ErrNoAnswer}
	tests := map[string]struct {
		err    error
		prober fixedProber
		want   catkinspindle.AttemptResult
	}{
		"silent":                {noAnswer, fixedProber{}, catkinspindle.AttemptResult{Replica: "r3", Outcome: catkinspindle.OutcomeFailed}},
		"unreachable for all":   {noAnswer, fixedProber{err: connectFailure(true)}, catkinspindle.AttemptResult{Replica: "r1", Outcome: catkinspindle.OutcomeRefused, FaultyReplica: "r3"}},
		"unreachable from here": {noAnswer, fixedProber{relayed: true}, catkinspindle.AttemptResult{Replica: "r1", Outcome: catkinspindle.OutcomeNoPath}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			w := &fakeCluster{steps: []scriptedAnswer{okAnswer}, reserveTime: time.Millisecond, reserveErr: tt.err}
			g := newGateway(w, w, 9, true, gateway.WithProber(tt.prober))
			answer := httptest.NewRecorder()
			g.ServeHTTP(answer, newRequest("/any/"))
			if err := g.Wait(); err != nil {
				t.Error(err)
			}
			if answer.Code != http.StatusOK {
				t.Errorf("status %d", answer.Code)
			}
			got := slices.DeleteFunc(w.reported, func(r catkinspindle.AttemptResult) bool { return r.Outcome == catkinspindle.OutcomeDone })
			if diff := cmp.Diff([]catkinspindle.AttemptResult{tt.want}, got); diff != "" {
				t.Errorf("results (-want +got):\n%s", diff)
			}
		})
	}
}

// lateSender answers after a delay.
type lateSender struct {
	*fakeCluster
	delay time.Duration
}

// Send implements gateway.Sender.
func (s lateSender) Send(ctx context.Context, e catkinspindle.Envelope, a catkinspindle.Attempt, once bool) (*catkinspindle.Answer, error) {
	time.Sleep(s.delay)
	return s.fakeCluster.Send(ctx, e, a, once)
}

func TestHelperNamedByALateRejectionIsNotSuspectedAtOnce(t *testing.T) {
	suspected := catkinspindle.AttemptResult{Replica: "r1", Outcome: catkinspindle.OutcomeRefused, FaultyReplica: "r3"}
	tests := map[string]struct {
		delay  time.Duration
		prober fixedProber
		want   catkinspindle.AttemptResult
	}{
		"at once":                     {time.Millisecond, fixedProber{}, suspected},
		"late":                        {600 * time.Millisecond, fixedProber{}, catkinspindle.AttemptResult{Replica: "r3", Outcome: catkinspindle.OutcomeFailed}},
		"late, unreachable for all":   {600 * time.Millisecond, fixedProber{err: connectFailure(true)}, suspected},
		"late, unreachable from here": {600 * time.Millisecond, fixedProber{err: connectFailure(false)}, suspected},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := &fakeCluster{steps: []scriptedAnswer{{status: 503, notRun: true, faultyReplica: "at-r3"}, okAnswer}}
				g := newGateway(w, lateSender{w, tt.delay}, 9, true, gateway.WithProber(tt.prober))
				answer := httptest.NewRecorder()
				g.ServeHTTP(answer, newRequest("/any/"))
				if err := g.Wait(); err != nil {
					t.Error(err)
				}
				if answer.Code != http.StatusOK {
					t.Errorf("status %d", answer.Code)
				}
				got := slices.DeleteFunc(w.reported, func(r catkinspindle.AttemptResult) bool { return r.Outcome == catkinspindle.OutcomeDone })
				if diff := cmp.Diff([]catkinspindle.AttemptResult{tt.want}, got); diff != "" {
					t.Errorf("results (-want +got):\n%s", diff)
				}
			})
		})
	}
}
