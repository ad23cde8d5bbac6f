package gateway_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/catkinspindle/catkinspindle"
)

// repeatedBody is a body that sends text at once and then unit after each second, without an end.
type repeatedBody struct {
	ctx        context.Context
	text, unit string
}

// Read implements io.Reader.
func (b *repeatedBody) Read(p []byte) (int, error) {
	if b.text == "" {
		select {
		case <-time.After(time.Second):
			b.text = b.unit
		case <-b.ctx.Done():
			return 0, b.ctx.Err()
		}
	}
	n := copy(p, b.text)
	b.text = b.text[n:]
	return n, nil
}

// faultyReplicas is a sender whose replica r1 answers without an end. The others answer with sound.
type faultyReplicas struct {
	*fakeCluster
	head       catkinspindle.AnswerHead
	text, unit string
	sound      string
}

func (s faultyReplicas) Send(ctx context.Context, _ catkinspindle.Envelope, a catkinspindle.Attempt, _ bool) (*catkinspindle.Answer, error) {
	s.mu.Lock()
	s.attempts = append(s.attempts, a)
	s.mu.Unlock()
	answer := &catkinspindle.Answer{AnswerHead: s.head, Length: -1, Body: io.NopCloser(&repeatedBody{ctx, s.text, s.unit})}
	if a.Replica.ID != "r1" {
		answer.AnswerHead = catkinspindle.AnswerHead{Status: http.StatusOK}
		answer.Body = io.NopCloser(strings.NewReader(s.sound))
	}
	answer.Header = http.Header{}
	return answer, nil
}

// Guards against requests that wait for a replica that sends without an end, however slowly, and against
// such a replica being taken for a sound one.
func TestReplicaThatSendsWithoutEndIsLeft(t *testing.T) {
	const limit, maxForwarded = 2 * time.Second, 256 << 10
	ok := catkinspindle.AnswerHead{Status: http.StatusOK}
	event := "id: 1\ndata: a\n\n"
	tests := map[string]struct {
		replicas faultyReplicas
		path     string
		want     catkinspindle.Outcome
	}{
		"body":                       {faultyReplicas{head: ok, unit: "x", sound: "fine"}, "/quick-any/", catkinspindle.OutcomeFailed},
		"failure":                    {faultyReplicas{head: catkinspindle.AnswerHead{Status: http.StatusInternalServerError}, unit: "x", sound: "fine"}, "/quick-any/", catkinspindle.OutcomeFailed},
		"event":                      {faultyReplicas{head: ok, text: "data: ", unit: "x", sound: event}, "/quick/", catkinspindle.OutcomeFailed},
		"comments":                   {faultyReplicas{head: ok, unit: ": x\n\n", sound: event}, "/quick/", catkinspindle.OutcomeFailed},
		"comments without a pause":   {faultyReplicas{head: ok, text: strings.Repeat(": x\n\n", 1<<20), unit: "x", sound: event}, "/quick/", catkinspindle.OutcomeFailed},
		"rejection":                  {faultyReplicas{head: catkinspindle.AnswerHead{Status: http.StatusServiceUnavailable, NotRun: true}, unit: "x", sound: "fine"}, "/quick-any/", catkinspindle.OutcomeRefused},
		"rejection of a single call": {faultyReplicas{head: catkinspindle.AnswerHead{Status: http.StatusServiceUnavailable, NotRun: true}, unit: "x", sound: "fine"}, "/once-of-three/", catkinspindle.OutcomeRefused},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := &fakeCluster{}
				tt.replicas.fakeCluster = w
				start := time.Now()
				answer, aborted := serveAborted(newGateway(w, tt.replicas, 9, true), tt.path)
				if body := answer.Body.String(); aborted || answer.Code != http.StatusOK || !strings.HasSuffix(body, tt.replicas.sound) {
					t.Errorf("status %d, body ending in %q, aborted: %t", answer.Code, body[max(0, len(body)-100):], aborted)
				}
				if n := answer.Body.Len(); n > maxForwarded {
					t.Errorf("%d bytes were forwarded", n)
				}
				if d := time.Since(start); d > limit {
					t.Errorf("answered after %v", d)
				}
				synctest.Wait()
				w.mu.Lock()
				defer w.mu.Unlock()
				got := map[string]catkinspindle.Outcome{}
				for _, r := range w.reported {
					got[r.Replica] = r.Outcome
				}
				if diff := cmp.Diff(map[string]catkinspindle.Outcome{"r1": tt.want, "r2": catkinspindle.OutcomeDone}, got); diff != "" {
					t.Errorf("reported (-want +got):\n%s", diff)
				}
			})
		})
	}
}
