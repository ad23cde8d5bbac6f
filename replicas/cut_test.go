package replicas_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/replicas"
)

// cutServer answers the first request of a connection with first, unless that is empty, and the
// next one with the first cutAt bytes of second. It then closes or resets the connection.
type cutServer struct {
	first, second string
	cutAt         int
	reset         bool
}

func (s cutServer) serve(c *net.TCPConn) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for _, answer := range []string{s.first, s.second[:s.cutAt]} {
		if answer == s.first && answer == "" {
			continue
		}
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		_, _ = io.WriteString(c, answer)
	}
	if s.reset {
		_ = c.SetLinger(0)
	}
}

// attempt sends the requests to the server and returns the answer to the last one.
func (s cutServer) attempt(t *testing.T) (body string, err error) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var group errgroup.Group
	group.Go(func() error {
		c, err := l.Accept()
		if err == nil {
			s.serve(c.(*net.TCPConn))
		}
		return nil
	})
	client := newClient()
	defer func() { _ = errors.Join(client.Close(), l.Close(), group.Wait()) }() // The answer is what matters.
	if s.first != "" {
		if _, err := sendTo(client, l.Addr().String(), "a"); err != nil {
			t.Fatal(err)
		}
	}
	return sendTo(client, l.Addr().String(), "b")
}

func sendTo(c *replicas.Client, address, id string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	e := catkinspindle.Envelope{ID: id, Method: http.MethodPost, Target: "/p/x", Host: "h", Header: http.Header{"Attempt-Id": {id}}}
	a, err := c.Send(ctx, e, catkinspindle.Attempt{Replica: catkinspindle.Replica{ID: "r", Address: address, Incarnation: 1}, TimeLeft: 5 * time.Second}, false)
	if err != nil {
		return "", err
	}
	defer func() { _ = a.Body.Close() }()
	body, err := io.ReadAll(a.Body)
	return string(body), err
}

func TestAnswerCutAfterAnyByteIsNotComplete(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nAttempt-Id: b\r\nResponse-Seal: s-b\r\n"
	answers := map[string]string{
		"length":             okResponse("b", "body"),
		"chunks":             head + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n3;x=y\r\nend\r\n0\r\n\r\n",
		"chunks and trailer": head + "Trailer: X-Sum\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX-Sum: 1\r\n\r\n",
		"interim response":   "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + okResponse("b", "body"),
		"duplicate first":    okResponse("a", "first") + okResponse("b", "body"),
	}
	for name, answer := range answers {
		for kept, first := range map[string]string{"new connection": "", "kept connection": okResponse("a", "first")} {
			for _, reset := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, %s, reset %t", name, kept, reset), func(t *testing.T) {
					t.Parallel()
					for cutAt := range len(answer) {
						if body, err := (cutServer{first, answer, cutAt, reset}).attempt(t); err == nil {
							t.Errorf("cut after %d of %d bytes: accepted with the body %q", cutAt, len(answer), body)
						}
					}
				})
			}
		}
	}
}
