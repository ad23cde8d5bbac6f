package entries_test

import (
	"context"
	"testing"
	"time"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/entries"
	"github.com/catkinspindle/catkinspindle/standin/brokenhttp"
)

func TestBrokenReplies(t *testing.T) {
	tests := map[string]struct {
		server brokenhttp.Server
		valid  bool
	}{
		"valid":                {brokenhttp.Server{Bytes: "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody", ReadUpload: true}, true},
		"status 000":           {brokenhttp.Server{Bytes: "HTTP/1.1 000 X\r\nContent-Length: 4\r\n\r\nbody", ReadUpload: true}, false},
		"blank before a colon": {brokenhttp.Server{Bytes: "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", ReadUpload: true}, false},
		"reset during upload":  {brokenhttp.Server{Bytes: "HTTP/1.1 200 OK\r\n\r\nbody", Reset: true}, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			address, stop, err := tt.server.Start()
			if err != nil {
				t.Fatal(err)
			}
			defer func() {
				if err := stop(); err != nil {
					t.Error(err)
				}
			}()
			call := catkinspindle.PlainCall{Service: "s", Method: "m", Body: make([]byte, 8<<20), Deadline: time.Now().Add(10 * time.Second)}
			for range 10 {
				reply, err := entries.New("key").CallAt(context.Background(), "http://"+address, call, "")
				if (err == nil) != tt.valid || tt.valid && string(reply.Body) != "body" {
					t.Fatalf("body %q, error %v; want a reply: %t", reply.Body, err, tt.valid)
				}
			}
		})
	}
}
