package engines_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/sync/errgroup"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/engines"
	"github.com/catkinspindle/catkinspindle/wire"
)

// An engine that sends endless bytes within a chunk or between chunks makes the call fail
// rather than read forever. The complete chunks before them are delivered, however many. The
// engine stops far over the limit, and the client must have left before.
func TestEndlessBytes(t *testing.T) {
	const (
		chunk      = `{"text":"x"}` + "\n"
		maxEndless = 64 << 20
	)
	tests := map[string]struct {
		prefix, endless string
		chunks          int
	}{
		"value without an end":   {chunk + `{"text":"`, strings.Repeat("x", 4<<10), 1},
		"white space":            {chunk + chunk, strings.Repeat(" ", 4<<10), 2},
		"not the protocol":       {"", strings.Repeat("\x00", 4<<10), 0},
		"many chunks, then none": {strings.Repeat(chunk, 200_000), strings.Repeat("\n", 4<<10), 200_000},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var sentAll atomic.Bool
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, err := io.WriteString(w, tt.prefix)
				for sent := 0; err == nil; {
					if sent >= maxEndless {
						sentAll.Store(true)
						return
					}
					var n int
					n, err = io.WriteString(w, tt.endless)
					sent += n
				}
			}))
			defer server.Close()
			client := wire.NewClient(time.Second, wire.WithoutKeepAlive())
			c := engines.New(strings.TrimPrefix(server.URL, "http://"), client, client)
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			stream, err := c.Start(ctx, catkinspindle.StreamStart{})
			if err != nil {
				t.Fatal(err)
			}
			defer stream.Close()
			got := 0
			for {
				if _, err = stream.Next(); err != nil {
					break
				}
				got++
			}
			stream.Close()
			if got != tt.chunks || ctx.Err() != nil {
				t.Errorf("%d chunks, want %d, then %v", got, tt.chunks, err)
			}
			// Status may succeed with the first JSON value; the test checks only that it returns.
			if _, err := c.Status(ctx); ctx.Err() != nil {
				t.Errorf("status: error %v after a minute", err)
			}
			server.Close()
			if sentAll.Load() {
				t.Errorf("client has read %d bytes without an end", maxEndless)
			}
		})
	}
}

// A malformed limit does not make the rest of the status unusable.
func TestRateLimitOfEngine(t *testing.T) {
	tests := map[string]struct {
		status string
		want   catkinspindle.RateLimit
	}{
		"none":         {`{"capacity":5}`, catkinspindle.RateLimit{}},
		"stated":       {`{"capacity":5,"rate-limit":1.6}`, catkinspindle.RateLimit{Stated: true, PerSecond: 1.6}},
		"negative":     {`{"capacity":5,"rate-limit":-1}`, catkinspindle.RateLimit{Malformed: `"-1"`}},
		"not a number": {`{"capacity":5,"rate-limit":{"x":1}}`, catkinspindle.RateLimit{Malformed: `"{\"x\":1}"`}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = io.WriteString(w, tt.status) // An error fails the request of the client.
			}))
			defer server.Close()
			client := wire.NewClient(time.Second, wire.WithoutKeepAlive())
			got, err := engines.New(strings.TrimPrefix(server.URL, "http://"), client, client).Status(context.Background())
			if err != nil {
				t.Fatal(err)
			}
			want := catkinspindle.EngineStatus{Capacity: 5, RateLimit: tt.want}
			if diff := cmp.Diff(want, got); diff != "" {
				t.Errorf("status (-want +got):\n%s", diff)
			}
		})
	}
}

// An answer of an engine that is cut after any byte of its head or chunks does not end.
func TestAnswerCutAfterAnyByteDoesNotEnd(t *testing.T) {
	const answer = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n" +
		"f\r\n{\"text\":\"one\"}\n\r\n" + "1a\r\n{\"text\":\"two\",\"end\":true}\n\r\n"
	for cutAt := range len(answer) - len("\r\n") {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		var group errgroup.Group
		group.Go(func() error {
			c, err := l.Accept()
			if err != nil {
				return nil // The test has ended.
			}
			if req, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = io.Copy(io.Discard, req.Body)
				_, _ = io.WriteString(c, answer[:cutAt])
			}
			return c.Close()
		})
		client := wire.NewClient(time.Second, wire.WithoutKeepAlive())
		stream, err := engines.New(l.Addr().String(), client, client).Start(context.Background(), catkinspindle.StreamStart{})
		ended := false
		for err == nil {
			var c catkinspindle.Chunk
			c, err = stream.Next()
			ended = ended || (err == nil && c.End)
		}
		if complete := cutAt >= strings.LastIndex(answer, "}")+1; ended != complete {
			t.Errorf("cut after %d of %d bytes: ended %t, error %v", cutAt, len(answer), ended, err)
		}
		if err := errors.Join(l.Close(), group.Wait()); err != nil {
			t.Error(err)
		}
	}
}

// TestUnfinishedStatusesOfManyEngines guards against a limit for each status only.
func TestUnfinishedStatusesOfManyEngines(t *testing.T) {
	const engineCount = 128
	const size = 500 << 10
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, `{"x":"`+strings.Repeat("x", size)) // The client may have left.
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	}))
	defer server.Close()
	client := wire.NewClient(time.Second)
	var group errgroup.Group
	var ended atomic.Int64
	for range engineCount {
		group.Go(func() error {
			if _, err := engines.New(strings.TrimPrefix(server.URL, "http://"), client, client).Status(ctx); err != nil && ctx.Err() == nil {
				ended.Add(1)
			}
			return nil
		})
	}
	kept := func() int64 { return (engineCount - ended.Load()) * size }
	for end := time.Now().Add(time.Minute); kept() > 32<<20 && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
	}
	if kept() > 32<<20 {
		t.Errorf("%d bytes of unfinished statuses are kept", kept())
	}
	cancel()
	_ = group.Wait() // It returns no error.
}
