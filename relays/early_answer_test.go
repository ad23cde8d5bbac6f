package relays_test

import (
	"fmt"
	"io"
	"net"
	"testing"

	"golang.org/x/sync/errgroup"

	"github.com/catkinspindle/catkinspindle/platform/standin/links"
	"github.com/catkinspindle/catkinspindle/standin/brokenhttp"
)

// uploadOver sends a request with a body of size bytes over c and returns what is read until the
// connection ends.
func uploadOver(c net.Conn, size int) (string, error) {
	var group errgroup.Group
	group.Go(func() error {
		_, err := io.WriteString(c, fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", size))
		if err == nil {
			_, err = c.Write(make([]byte, size))
		}
		return err
	})
	answer, err := io.ReadAll(c)
	_ = c.Close()
	_ = group.Wait() // The replica may not read the whole body.
	return string(answer), err
}

func TestEarlyAnswersThroughAnotherNode(t *testing.T) {
	const (
		answer  = "HTTP/1.1 200 OK\r\n\r\nbody"
		repeats = 5
	)
	tests := map[string]struct {
		server brokenhttp.Server
		whole  bool
	}{
		"reset":                          {brokenhttp.Server{Bytes: answer, Reset: true}, false},
		"closed":                         {brokenhttp.Server{Bytes: answer}, false},
		"half-closed and reset":          {brokenhttp.Server{Bytes: answer, HalfClose: true, Reset: true}, false},
		"half-closed, upload read later": {brokenhttp.Server{Bytes: answer, HalfClose: true, ReadUpload: true}, true},
		"upload read":                    {brokenhttp.Server{Bytes: answer, ReadUpload: true}, true},
	}
	nodes := startNodes(t, 2)
	nodes[0].links.Set(links.RefuseNew)
	for name, tt := range tests {
		for _, size := range []int{1 << 20, 4 << 20, 16 << 20} {
			t.Run(fmt.Sprintf("%s, %d MiB", name, size>>20), func(t *testing.T) {
				address, stop, err := tt.server.Start()
				if err != nil {
					t.Fatal(err)
				}
				defer func() {
					if err := stop(); err != nil {
						t.Error(err)
					}
				}()
				for range repeats {
					c, err := connect(t, nodes[0], address)
					if err != nil {
						t.Fatal(err)
					}
					got, err := uploadOver(c, size)
					// An answer with a length is complete before the end of the connection.
					if got != answer || (err == nil) != tt.whole {
						t.Fatalf("read %q, error %v; want all bytes, and an end without an error: %t", got, err, tt.whole)
					}
				}
			})
		}
	}
}
