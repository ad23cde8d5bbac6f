package gateway_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"runtime"
	"strings"
	"testing"

	"golang.org/x/sync/errgroup"

	"github.com/catkinspindle/catkinspindle"
)

// repeatingBody is a body that repeats text up to length bytes, or endlessly if length is 0.
type repeatingBody struct {
	text   string
	length int
	read   int
}

func (r *repeatingBody) Read(p []byte) (int, error) {
	n := len(p)
	if r.length > 0 {
		n = min(n, r.length-r.read)
	}
	if n == 0 {
		return 0, io.EOF
	}
	for done := 0; done < n; {
		c := copy(p[done:n], r.text[r.read%len(r.text):])
		done += c
		r.read += c
	}
	return n, nil
}

// longAnswer is a sender whose answers have bodies of the given length.
type longAnswer struct {
	status int
	text   string
	length int
	// declaresLength is true if the head contains the length.
	declaresLength bool
}

func (l longAnswer) Send(_ context.Context, _ catkinspindle.Envelope, a catkinspindle.Attempt, _ bool) (*catkinspindle.Answer, error) {
	answer := &catkinspindle.Answer{
		AnswerHead: catkinspindle.AnswerHead{Status: l.status, Header: http.Header{"Response-Seal": {a.Replica.ID}}},
		Length:     -1,
		Body:       io.NopCloser(&repeatingBody{text: l.text, length: l.length}),
	}
	if l.declaresLength {
		answer.Length = int64(l.length)
	}
	return answer, nil
}

// A large answer reaches the caller completely, with or without a Content-Length.
func TestLargeAnswerIsForwarded(t *testing.T) {
	const text = "0123456789abcdef-"
	for name, l := range map[string]longAnswer{
		"small":                          {200, text, 1000, true},
		"large":                          {200, text, 3 << 20, true},
		"large without a length":         {200, text, 3 << 20, false},
		"large failure":                  {404, text, 1 << 20, true},
		"at the buffer limit":            {200, text, 256 << 10, true},
		"one byte over the buffer limit": {200, text, 256<<10 + 1, false},
		"at the maximum size":            {200, text, 16 << 20, true},
	} {
		t.Run(name, func(t *testing.T) {
			want := l.length
			_, server := newServerWithSender(t, &fakeCluster{}, l, 10, true)
			resp, body, err := post(t, server, "/any/x", "k", "")
			if err != nil || resp.StatusCode != l.status || len(body) != want {
				t.Fatalf("status %v, %d bytes, error %v", resp.StatusCode, len(body), err)
			}
			whole, _ := io.ReadAll(&repeatingBody{text: text, length: want})
			if !bytes.Equal(whole, []byte(body)) {
				t.Error("the body differs from that of the replica")
			}
		})
	}
}

// 100 concurrent endless answers must not exhaust the memory, and none of them may look
// complete to its caller.
func TestEndlessAnswersAreAborted(t *testing.T) {
	const (
		callers = 100
		// share is the part of the memory of a VM with 184 MB that all answers may use.
		share = 60 << 20
	)
	for name, l := range map[string]longAnswer{
		"body":   {200, strings.Repeat("endless ", 4<<10), 0, false},
		"failed": {500, strings.Repeat("endless ", 4<<10), 0, false},
		"stream": {200, strings.Repeat(": endless\n", 4<<10), 0, false},
		"event":  {200, strings.Repeat("data: endless", 4<<10), 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			path := "/any/x"
			if name == "stream" || name == "event" {
				path = "/stream/x"
			}
			_, server := newServerWithSender(t, &fakeCluster{}, l, 1000, true)
			var before, during runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			var group errgroup.Group
			for range callers {
				group.Go(func() error {
					req, err := http.NewRequest(http.MethodPost, server.URL+path, strings.NewReader(""))
					if err != nil {
						return err
					}
					req.Host = "h.example"
					req.Header.Set("Attempt-Id", "a")
					req.Header.Set("Authorization", "Bearer k")
					resp, err := server.Client().Do(req)
					if err != nil {
						return nil // Aborted before the head.
					}
					defer func() { _ = resp.Body.Close() }()
					n, err := io.Copy(io.Discard, resp.Body)
					if err == nil && resp.StatusCode/100 == 2 {
						t.Errorf("truncated answer of %d bytes looks complete", n)
					}
					return nil
				})
			}
			if err := group.Wait(); err != nil {
				t.Fatal(err)
			}
			runtime.ReadMemStats(&during)
			if grown := int64(during.HeapSys) - int64(before.HeapSys); grown > share {
				t.Errorf("memory grew by %d MB for %d endless answers", grown>>20, callers)
			}
		})
	}
}
