package plainservices_test

import (
	"testing"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/standin/brokenhttp"
)

func TestMalformedHeadsOfReplies(t *testing.T) {
	tests := map[string]struct {
		head  string
		valid bool
	}{
		"valid":               {"HTTP/1.1 404 Not Found\r\nContent-Length: 4\r\n", true},
		"interim head first":  {"HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n", true},
		"status 000":          {"HTTP/1.1 000 X\r\nContent-Length: 4\r\n", false},
		"status 042":          {"HTTP/1.1 042 X\r\nContent-Length: 4\r\n", false},
		"status 600":          {"HTTP/1.1 600 X\r\nContent-Length: 4\r\n", false},
		"blank in a name":     {"HTTP/1.1 200 OK\r\nX y: z\r\nContent-Length: 4\r\n", false},
		"blank before length": {"HTTP/1.1 200 OK\r\nX: y\r\n Content-Length: 2\r\n", false},
		"blank before colon":  {"HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n", false},
		"switching protocols": {"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n", false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			reply, err := callServer(t, brokenhttp.Server{Bytes: tt.head + "\r\nbody", ReadUpload: true}, 1)
			if (err == nil) != tt.valid || tt.valid && string(reply.Body) != "body" {
				t.Errorf("status %d, body %q, error %v; want a reply: %t", reply.Status, reply.Body, err, tt.valid)
			}
			if err != nil && catkinspindle.AsFailure(err).Verdict != catkinspindle.MayHaveRun {
				t.Errorf("error %v, want the verdict may-have-run", err)
			}
		})
	}
}
