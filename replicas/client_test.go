package replicas_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/sync/errgroup"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/platform"
	"github.com/catkinspindle/catkinspindle/replicas"
)

// script is a server that responds to the requests of all connections with a list
// of raw responses, in order of arrival.
type script struct {
	listener net.Listener
	group    errgroup.Group

	mu          sync.Mutex
	answers     []answer
	requests    []string
	connections int
}

// answer is a raw response. After one with close set or without bytes the server
// closes the connection.
type answer struct {
	bytes string
	close bool
}

func newScript(t *testing.T, answers ...answer) *script {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &script{listener: l, answers: answers}
	s.group.Go(func() error {
		for {
			c, err := l.Accept()
			if err != nil {
				return nil
			}
			s.mu.Lock()
			s.connections++
			s.mu.Unlock()
			s.group.Go(func() error {
				s.serve(c)
				return nil
			})
		}
	})
	t.Cleanup(func() { _ = l.Close() })
	return s
}

func (s *script) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		s.mu.Lock()
		s.requests = append(s.requests, req.Header.Get("Attempt-Id"))
		var a answer
		if len(s.answers) > 0 {
			a, s.answers = s.answers[0], s.answers[1:]
		}
		s.mu.Unlock()
		_, _ = io.WriteString(c, a.bytes)
		if a.close || a.bytes == "" {
			return
		}
	}
}

func (s *script) seen() ([]string, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requests, s.connections
}

func good(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Seal: s-%s\r\nContent-Length: %d\r\n\r\n%s", id, id, len(body), body)
}

func send(t *testing.T, c *replicas.Client, s *script, method, id string) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	e := catkinspindle.Envelope{ID: id, Method: method, Target: "/p/x?q=1", Host: "h", Header: http.Header{"Attempt-Id": {id}}}
	r := catkinspindle.Replica{ID: "r", Address: s.listener.Addr().String(), Born: 1}
	a, err := c.Send(ctx, e, catkinspindle.Attempt{Replica: r, Left: 5 * time.Second}, false)
	if err != nil {
		return "", err
	}
	defer func() { _ = a.Body.Close() }()
	body, err := io.ReadAll(a.Body)
	return string(body), err
}

func newClient() *replicas.Client {
	return replicas.New(platform.EncodeAttempt, platform.DecodeAnswer)
}

func TestAnswers(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nResponse-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n"
	tests := map[string]struct {
		answer answer
		want   string
		fails  bool
	}{
		"complete":               {answer{good("a", "body"), false}, "body", false},
		"after 1xx responses":    {answer{"HTTP/1.1 103 Early Hints\r\n\r\n" + good("a", "body"), false}, "body", false},
		"after a stale response": {answer{good("old", "other") + good("a", "body"), false}, "body", false},
		"only stale responses":   {answer{good("x", "1") + good("y", "2") + good("z", "3"), true}, "", true},
		"without a length":       {answer{"HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nResponse-Seal: s\r\n\r\nbody", true}, "body", false},
		"truncated":              {answer{"HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nResponse-Seal: s\r\nContent-Length: 9\r\n\r\nbody", true}, "", true},
		"truncated in a chunk":   {answer{chunked + "9\r\nbody", true}, "", true},
		"without the last chunk": {answer{chunked + "4\r\nbody\r\n", true}, "", true},
		"encoded":                {answer{"HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nResponse-Seal: s\r\nContent-Encoding: gzip\r\nContent-Length: 4\r\n\r\nbody", false}, "", true},
		"success without seal":   {answer{"HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nContent-Length: 4\r\n\r\nbody", false}, "", true},
		"no response":            {answer{"", true}, "", true},
		"not HTTP":               {answer{"\x00\x01garbage\r\n\r\n", true}, "", true},
		"endless head":           {answer{"HTTP/1.1 200 OK\r\nX: " + string(make([]byte, 80<<10)), true}, "", true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := newScript(t, tt.answer)
			got, err := send(t, newClient(), s, http.MethodPost, "a")
			if (err != nil) != tt.fails {
				t.Fatalf("error %v, want one: %t", err, tt.fails)
			}
			if err == nil && got != tt.want {
				t.Errorf("body %q, want %q", got, tt.want)
			}
		})
	}
}

// A request is not sent again when a kept connection breaks before the response,
// whatever its method.
func TestNothingIsRepeated(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodPut, http.MethodDelete} {
		t.Run(method, func(t *testing.T) {
			s := newScript(t, answer{good("a", "body"), false}, answer{"", true}, answer{good("b", "x"), false})
			c := newClient()
			if _, err := send(t, c, s, method, "a"); err != nil {
				t.Fatal(err)
			}
			_, err := send(t, c, s, method, "b")
			if f := catkinspindle.AsFailure(err); err == nil || f.Verdict != catkinspindle.MayHaveRun {
				t.Errorf("error %v, want the verdict may-have-run", err)
			}
			requests, connections := s.seen()
			if diff := cmp.Diff([]string{"a", "b"}, requests); diff != "" {
				t.Errorf("requests received by the replica (-want +got):\n%s", diff)
			}
			if connections != 1 {
				t.Errorf("%d connections, want 1", connections)
			}
		})
	}
}

// A connection is not reused when more bytes than the response have arrived on it.
func TestConnectionWithExtraBytesIsDropped(t *testing.T) {
	s := newScript(t, answer{good("a", "body") + good("a", "again"), false}, answer{good("b", "fine"), false})
	c := newClient()
	if got, err := send(t, c, s, http.MethodPost, "a"); err != nil || got != "body" {
		t.Fatalf("body %q, error %v", got, err)
	}
	if got, err := send(t, c, s, http.MethodPost, "b"); err != nil || got != "fine" {
		t.Errorf("body %q, error %v", got, err)
	}
	if _, connections := s.seen(); connections != 2 {
		t.Errorf("%d connections, want 2", connections)
	}
}

// A response without a request ID is rejected on a reused connection, because it may
// belong to an earlier request.
func TestAnswerWithoutIDOnAKeptConnection(t *testing.T) {
	const anonymous = "HTTP/1.1 200 OK\r\nResponse-Seal: s\r\nContent-Length: 5\r\n\r\nfirst"
	s := newScript(t, answer{anonymous, false}, answer{anonymous + good("b", "second"), true})
	c := newClient()
	if got, err := send(t, c, s, http.MethodGet, "a"); err != nil || got != "first" {
		t.Fatalf("on a new connection: body %q, error %v", got, err)
	}
	if got, err := send(t, c, s, http.MethodGet, "b"); err == nil {
		t.Errorf("on a reused connection: body %q, want an error", got)
	}
}

// Retain closes the idle connections to an incarnation that has been replaced.
func TestConnectionsOfOtherIncarnationsAreClosed(t *testing.T) {
	s := newScript(t, answer{good("a", "1"), false}, answer{good("b", "2"), false})
	c := newClient()
	if _, err := send(t, c, s, http.MethodPost, "a"); err != nil {
		t.Fatal(err)
	}
	c.Retain(map[string]catkinspindle.Replica{"r": {ID: "r", Address: s.listener.Addr().String(), Born: 2}})
	if _, err := send(t, c, s, http.MethodPost, "b"); err != nil {
		t.Fatal(err)
	}
	if _, connections := s.seen(); connections != 2 {
		t.Errorf("%d connections, want 2", connections)
	}
}

func TestUnreachableReplicaHasNotRun(t *testing.T) {
	s := newScript(t)
	if err := s.listener.Close(); err != nil {
		t.Fatal(err)
	}
	_, err := send(t, newClient(), s, http.MethodPost, "a")
	f := catkinspindle.AsFailure(err)
	if diff := cmp.Diff(catkinspindle.NotRun.String(), f.Verdict.String()); diff != "" {
		t.Errorf("verdict (-want +got):\n%s", diff)
	}
}

// A replica that vanishes during a request is detected early enough for the memory
// that the request has reserved on other replicas to be freed in time. The test reads
// the options back from the socket, because the runtime rounds them to whole seconds.
func TestSilenceIsNoticedInTime(t *testing.T) {
	const (
		// free is the time within which memory of an ended request must be free.
		free = 4 * time.Second
		// release is the time of two release calls that time out after 350 ms each.
		release = 700 * time.Millisecond
	)
	s := newScript(t)
	dialer := replicas.Dialer()
	c, err := dialer.Dial("tcp", s.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	option := func(name int) (v int) {
		t.Helper()
		if err := raw.Control(func(fd uintptr) { v, err = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, name) }); err != nil {
			t.Fatal(err)
		}
		if err != nil {
			t.Fatal(err)
		}
		return v
	}
	noticed := time.Duration(option(syscall.TCP_KEEPIDLE)+option(syscall.TCP_KEEPCNT)*option(syscall.TCP_KEEPINTVL)) * time.Second
	if noticed+release > free {
		t.Errorf("a vanished replica is detected after %v", noticed)
	}
	if diff := cmp.Diff(replicas.SilenceLimit, noticed); diff != "" {
		t.Errorf("detection time (-SilenceLimit +socket options):\n%s", diff)
	}
}
