package replicas_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/standin/brokenhttp"
)

// upload sends a body of size bytes to s and returns the answer's head and body. The error is that of
// reading the body if there is a head.
func upload(t *testing.T, s brokenhttp.Server, size int) (catkinspindle.AnswerHead, string, error) {
	t.Helper()
	address, stop, err := s.Start()
	if err != nil {
		t.Fatal(err)
	}
	c := newClient()
	defer func() {
		if err := c.Close(); err != nil {
			t.Error(err)
		}
		if err := stop(); err != nil {
			t.Error(err)
		}
	}()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	e := catkinspindle.Envelope{ID: "a", Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{"Attempt-Id": {"a"}}, Body: make([]byte, size)}
	answer, err := c.Send(ctx, e, catkinspindle.Attempt{Replica: catkinspindle.Replica{ID: "r", Address: address}, TimeLeft: 5 * time.Second}, false)
	if err != nil {
		return catkinspindle.AnswerHead{}, "", err
	}
	body, err := io.ReadAll(answer.Body)
	if closeErr := answer.Body.Close(); closeErr != nil {
		t.Error(closeErr)
	}
	if ctx.Err() != nil {
		t.Error("the answer has not ended in time")
	}
	return answer.AnswerHead, string(body), err
}

// A connection that breaks while the request is still written ends an answer without a length, which
// must not look complete.
func TestEarlyAnswers(t *testing.T) {
	const (
		head    = "HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nResponse-Seal: s\r\n"
		repeats = 10
	)
	tests := map[string]struct {
		server   brokenhttp.Server
		complete bool
	}{
		"without a length, reset":                          {brokenhttp.Server{Bytes: head + "\r\nbody", Reset: true}, false},
		"without a length, closed":                         {brokenhttp.Server{Bytes: head + "\r\nbody"}, false},
		"without a length, half-closed and reset":          {brokenhttp.Server{Bytes: head + "\r\nbody", HalfClose: true, Reset: true}, false},
		"without a length, half-closed, upload read later": {brokenhttp.Server{Bytes: head + "\r\nbody", HalfClose: true, ReadUpload: true}, true},
		"with a length, reset":                             {brokenhttp.Server{Bytes: head + "Content-Length: 4\r\n\r\nbody", Reset: true}, true},
		"with a length, half-closed":                       {brokenhttp.Server{Bytes: head + "Content-Length: 4\r\n\r\nbody", HalfClose: true}, true},
		"in chunks, half-closed":                           {brokenhttp.Server{Bytes: head + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", HalfClose: true}, true},
	}
	for name, tt := range tests {
		for _, size := range []int{1 << 20, 8 << 20, 32 << 20} {
			t.Run(fmt.Sprintf("%s, %d MiB", name, size>>20), func(t *testing.T) {
				for range repeats {
					_, body, err := upload(t, tt.server, size)
					if (err == nil) != tt.complete || tt.complete && body != "body" {
						t.Fatalf("body %q, error %v; want a complete answer: %t", body, err, tt.complete)
					}
				}
			})
		}
	}
}

// A refusal that arrives while the request is still written holds, however its connection ends.
func TestEarlyRefusals(t *testing.T) {
	const (
		refusal = "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
		size    = 8 << 20
		repeats = 10
	)
	tests := map[string]brokenhttp.Server{
		"reset":                          {Bytes: refusal, Reset: true},
		"closed":                         {Bytes: refusal},
		"half-closed":                    {Bytes: refusal, HalfClose: true},
		"half-closed, upload read later": {Bytes: refusal, HalfClose: true, ReadUpload: true},
	}
	for name, server := range tests {
		t.Run(name, func(t *testing.T) {
			for range repeats {
				if head, _, err := upload(t, server, size); err != nil || !head.NotRun {
					t.Fatalf("head %+v, error %v; want a refusal", head, err)
				}
			}
		})
	}
}
