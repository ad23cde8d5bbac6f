package replicas_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/catkinspindle/catkinspindle"
)

// serveUnframed answers one request with neither length nor chunks, and then closes the connection
// or resets it.
func serveUnframed(t *testing.T, body string, reset bool) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var group errgroup.Group
	group.Go(func() error {
		c, err := l.Accept()
		if err != nil {
			return err
		}
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return err
		}
		if _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nResponse-Seal: s\r\n\r\n"+body); err != nil {
			return err
		}
		if reset {
			time.Sleep(50 * time.Millisecond) // The client has read the body by then.
			if err := c.(*net.TCPConn).SetLinger(0); err != nil {
				return err
			}
		}
		return c.Close()
	})
	t.Cleanup(func() {
		if err := group.Wait(); err != nil {
			t.Error(err)
		}
		_ = l.Close()
	})
	return l.Addr().String()
}

func TestUnframedAnswerThatIsResetIsNotComplete(t *testing.T) {
	for name, reset := range map[string]bool{"closed": false, "reset": true} {
		t.Run(name, func(t *testing.T) {
			c := newClient()
			address := serveUnframed(t, "whole", reset)
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			e := catkinspindle.Envelope{ID: "a", Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{"Attempt-Id": {"a"}}}
			answer, err := c.Send(ctx, e, catkinspindle.Attempt{Replica: catkinspindle.Replica{ID: "r", Address: address}, TimeLeft: 5 * time.Second}, false)
			if err != nil {
				t.Fatal(err)
			}
			body, err := io.ReadAll(answer.Body)
			if string(body) != "whole" || (err != nil) != reset {
				t.Errorf("body %q, error %v; want an error: %t", body, err, reset)
			}
			if err := answer.Body.Close(); err != nil {
				t.Error(err)
			}
		})
	}
}
