package gateway_test

import (
	"context"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/catkinspindle/catkinspindle"
)

// pacedBody is a body of which a part arrives at once and the rest in pieces, each after a pause.
type pacedBody struct {
	ctx          context.Context
	atOnce, left int
	piece        int
	pause        time.Duration
}

// Read implements io.Reader.
func (b *pacedBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	n := min(b.atOnce, len(p))
	if n == 0 {
		select {
		case <-time.After(b.pause):
		case <-b.ctx.Done():
			return 0, b.ctx.Err()
		}
		n = min(b.piece, len(p), b.left)
	}
	b.atOnce, b.left = max(0, b.atOnce-n), b.left-n
	clear(p[:n])
	return n, nil
}

// pacedAnswer is a sender whose answers all arrive in the same way.
type pacedAnswer pacedBody

func (s pacedAnswer) Send(ctx context.Context, _ catkinspindle.Envelope, _ catkinspindle.Attempt, _ bool) (*catkinspindle.Answer, error) {
	body := pacedBody(s)
	body.ctx = ctx
	return &catkinspindle.Answer{
		AnswerHead: catkinspindle.AnswerHead{Status: http.StatusOK, Header: http.Header{}},
		Length:     int64(s.left),
		Body:       io.NopCloser(&body),
	}, nil
}

func TestLargeAnswerIsNotCutWhileItIsReceived(t *testing.T) {
	const size = 512 << 10
	tests := map[string]pacedAnswer{
		"flows after its begin":     {atOnce: 300 << 10, left: size, piece: 8 << 10, pause: 100 * time.Millisecond},
		"flows from the first byte": {left: size, piece: 16 << 10, pause: 100 * time.Millisecond},
		"pauses after its begin":    {atOnce: 300 << 10, left: size, piece: size, pause: 1700 * time.Millisecond},
		"pauses before its begin":   {atOnce: 100 << 10, left: size, piece: size, pause: 1700 * time.Millisecond},
	}
	for name, sender := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				answer, aborted := serveAborted(newGateway(&fakeCluster{}, sender, 9, true), "/quick-any/")
				if aborted {
					t.Error("the caller's connection was aborted")
				}
				if diff := cmp.Diff(size, answer.Body.Len()); diff != "" {
					t.Errorf("bytes received (-want +got):\n%s", diff)
				}
			})
		})
	}
}
