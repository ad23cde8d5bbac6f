package plainservices_test

import (
	"context"
	"testing"
	"time"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/plainservices"
	"github.com/catkinspindle/catkinspindle/standin/brokenhttp"
	"github.com/catkinspindle/catkinspindle/wire"
)

// callServer makes a call with a body of size bytes to s.
func callServer(t *testing.T, s brokenhttp.Server, size int) (catkinspindle.PlainReply, error) {
	t.Helper()
	address, stop, err := s.Start()
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		if err := stop(); err != nil {
			t.Error(err)
		}
	}()
	return plainservices.New(address, wire.NewClient(time.Second, wire.WithoutKeepAlive())).Call(context.Background(), catkinspindle.PlainCall{
		Service: "s", Method: "m", Body: make([]byte, size), Deadline: time.Now().Add(10 * time.Second),
	})
}

func TestEarlyReplies(t *testing.T) {
	const (
		size    = 8 << 20
		repeats = 20
	)
	tests := map[string]struct {
		server brokenhttp.Server
		whole  bool
	}{
		"without a length, reset":                          {brokenhttp.Server{Bytes: "HTTP/1.1 200 OK\r\n\r\nbody", Reset: true}, false},
		"without a length, half-closed and reset":          {brokenhttp.Server{Bytes: "HTTP/1.1 200 OK\r\n\r\nbody", HalfClose: true, Reset: true}, false},
		"without a length, half-closed, upload read later": {brokenhttp.Server{Bytes: "HTTP/1.1 200 OK\r\n\r\nbody", HalfClose: true, ReadUpload: true}, true},
		"without a length, upload read":                    {brokenhttp.Server{Bytes: "HTTP/1.1 200 OK\r\n\r\nbody", ReadUpload: true}, true},
		"with a length, reset":                             {brokenhttp.Server{Bytes: "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody", Reset: true}, true},
		"with a length, half-closed":                       {brokenhttp.Server{Bytes: "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody", HalfClose: true, ReadUpload: true}, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			for range repeats {
				reply, err := callServer(t, tt.server, size)
				if (err == nil) != tt.whole || tt.whole && string(reply.Body) != "body" {
					t.Fatalf("reply %q, error %v; want a complete one: %t", reply.Body, err, tt.whole)
				}
				if err != nil && catkinspindle.AsFailure(err).Verdict != catkinspindle.MayHaveRun {
					t.Fatalf("error %v, want the verdict may-have-run", err)
				}
			}
		})
	}
}
