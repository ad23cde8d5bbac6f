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
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/platform"
	"github.com/catkinspindle/catkinspindle/replicas"
)

// scriptedServer is a server that responds to the requests of all connections with a list
// of raw responses, in order of arrival.
type scriptedServer struct {
	listener net.Listener
	group    errgroup.Group

	mu          sync.Mutex
	responses   []rawResponse
	requests    []string
	connections int
}

// rawResponse is a response as it is sent. After one with closeAfter set or without
// data the server closes the connection.
type rawResponse struct {
	data       string
	closeAfter bool
}

func newScriptedServer(t *testing.T, responses ...rawResponse) *scriptedServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &scriptedServer{listener: l, responses: responses}
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

func (s *scriptedServer) serve(c net.Conn) {
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
		var a rawResponse
		if len(s.responses) > 0 {
			a, s.responses = s.responses[0], s.responses[1:]
		}
		s.mu.Unlock()
		_, _ = io.WriteString(c, a.data)
		if a.closeAfter || a.data == "" {
			return
		}
	}
}

func (s *scriptedServer) received() ([]string, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requests, s.connections
}

func okResponse(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Seal: s-%s\r\nContent-Length: %d\r\n\r\n%s", id, id, len(body), body)
}

func send(t *testing.T, c *replicas.Client, s *scriptedServer, method, id string) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	e := catkinspindle.Envelope{ID: id, Method: method, Target: "/p/x?q=1", Host: "h", Header: http.Header{"Attempt-Id": {id}}}
	r := catkinspindle.Replica{ID: "r", Address: s.listener.Addr().String(), Incarnation: 1}
	a, err := c.Send(ctx, e, catkinspindle.Attempt{Replica: r, TimeLeft: 5 * time.Second}, false)
	if err != nil {
		return "", err
	}
	defer func() { _ = a.Body.Close() }()
	body, err := io.ReadAll(a.Body)
	return string(body), err
}

func newClient(opts ...replicas.Option) *replicas.Client {
	return replicas.New(platform.EncodeAttempt, platform.DecodeAnswer, opts...)
}

func TestAnswers(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nResponse-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n"
	tests := map[string]struct {
		response rawResponse
		want     string
		fails    bool
	}{
		"complete":               {rawResponse{okResponse("a", "body"), false}, "body", false},
		"after 1xx responses":    {rawResponse{"HTTP/1.1 103 Early Hints\r\n\r\n" + okResponse("a", "body"), false}, "body", false},
		"after a stale response": {rawResponse{okResponse("old", "other") + okResponse("a", "body"), false}, "body", false},
		"only stale responses":   {rawResponse{okResponse("x", "1") + okResponse("y", "2") + okResponse("z", "3"), true}, "", true},
		"without a length":       {rawResponse{"HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nResponse-Seal: s\r\n\r\nbody", true}, "body", false},
		"truncated":              {rawResponse{"HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nResponse-Seal: s\r\nContent-Length: 9\r\n\r\nbody", true}, "", true},
		"truncated in a chunk":   {rawResponse{chunked + "9\r\nbody", true}, "", true},
		"without the last chunk": {rawResponse{chunked + "4\r\nbody\r\n", true}, "", true},
		"encoded":                {rawResponse{"HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nResponse-Seal: s\r\nContent-Encoding: gzip\r\nContent-Length: 4\r\n\r\nbody", false}, "", true},
		"success without seal":   {rawResponse{"HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nContent-Length: 4\r\n\r\nbody", false}, "", true},
		"no response":            {rawResponse{"", true}, "", true},
		"not HTTP":               {rawResponse{"\x00\x01garbage\r\n\r\n", true}, "", true},
		"endless head":           {rawResponse{"HTTP/1.1 200 OK\r\nX: " + string(make([]byte, 80<<10)), true}, "", true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := newScriptedServer(t, tt.response)
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

// A request is not sent again when a reused connection breaks before the response,
// whatever its method.
func TestRequestIsNotResent(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodPut, http.MethodDelete} {
		t.Run(method, func(t *testing.T) {
			s := newScriptedServer(t, rawResponse{okResponse("a", "body"), false}, rawResponse{"", true}, rawResponse{okResponse("b", "x"), false})
			c := newClient()
			if _, err := send(t, c, s, method, "a"); err != nil {
				t.Fatal(err)
			}
			_, err := send(t, c, s, method, "b")
			if f := catkinspindle.AsFailure(err); err == nil || f.Verdict != catkinspindle.MayHaveRun {
				t.Errorf("error %v, want the verdict may-have-run", err)
			}
			requests, connections := s.received()
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
	s := newScriptedServer(t, rawResponse{okResponse("a", "body") + okResponse("a", "again"), false}, rawResponse{okResponse("b", "fine"), false})
	c := newClient()
	if got, err := send(t, c, s, http.MethodPost, "a"); err != nil || got != "body" {
		t.Fatalf("body %q, error %v", got, err)
	}
	if got, err := send(t, c, s, http.MethodPost, "b"); err != nil || got != "fine" {
		t.Errorf("body %q, error %v", got, err)
	}
	if _, connections := s.received(); connections != 2 {
		t.Errorf("%d connections, want 2", connections)
	}
}

// A response without a request ID is rejected on a reused connection, because it may
// belong to an earlier request.
func TestAnswerWithoutIDOnAKeptConnection(t *testing.T) {
	const anonymous = "HTTP/1.1 200 OK\r\nResponse-Seal: s\r\nContent-Length: 5\r\n\r\nfirst"
	s := newScriptedServer(t, rawResponse{anonymous, false}, rawResponse{anonymous + okResponse("b", "second"), true})
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
	s := newScriptedServer(t, rawResponse{okResponse("a", "1"), false}, rawResponse{okResponse("b", "2"), false})
	c := newClient()
	if _, err := send(t, c, s, http.MethodPost, "a"); err != nil {
		t.Fatal(err)
	}
	c.Retain(map[string]catkinspindle.Replica{"r": {ID: "r", Address: s.listener.Addr().String(), Incarnation: 2}})
	if _, err := send(t, c, s, http.MethodPost, "b"); err != nil {
		t.Fatal(err)
	}
	if _, connections := s.received(); connections != 2 {
		t.Errorf("%d connections, want 2", connections)
	}
}

func TestUnreachableReplicaHasNotRun(t *testing.T) {
	s := newScriptedServer(t)
	if err := s.listener.Close(); err != nil {
		t.Fatal(err)
	}
	_, err := send(t, newClient(), s, http.MethodPost, "a")
	f := catkinspindle.AsFailure(err)
	if diff := cmp.Diff(catkinspindle.NotRun.String(), f.Verdict.String()); diff != "" {
		t.Errorf("verdict (-want +got):\n%s", diff)
	}
}

// A replica that stops responding during a request is detected early enough for the memory
// that the request has reserved on other replicas to be freed in time. The test reads
// the options back from the socket, because the runtime rounds them to whole seconds.
func TestVanishedReplicaIsDetectedInTime(t *testing.T) {
	const (
		// freeWithin is the time within which memory of an ended request must be free.
		freeWithin = 4 * time.Second
		// releaseTime is the time of two release calls that time out after 350 ms each.
		releaseTime = 700 * time.Millisecond
	)
	s := newScriptedServer(t)
	c, err := replicas.NewDialer(0).Connect(context.Background(), s.listener.Addr().String())
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
	detected := time.Duration(option(syscall.TCP_KEEPIDLE)+option(syscall.TCP_KEEPCNT)*option(syscall.TCP_KEEPINTVL)) * time.Second
	if detected+releaseTime > freeWithin {
		t.Errorf("a replica that stops responding is detected after %v, too late to free the memory in time", detected)
	}
	if diff := cmp.Diff(replicas.DetectionTime, detected); diff != "" {
		t.Errorf("detection time (-DetectionTime +socket options):\n%s", diff)
	}
}

// A connection that has been idle since its path failed may hang.
func TestIdleConnectionOfAFailedPathIsNotReused(t *testing.T) {
	for name, mayReuse := range map[string]bool{"path works": true, "path failed": false} {
		t.Run(name, func(t *testing.T) {
			s := newScriptedServer(t, rawResponse{okResponse("a", "first"), false}, rawResponse{okResponse("b", "second"), false})
			registry := metrics.NewRegistry()
			c := newClient(replicas.WithMetrics(registry), replicas.WithIdleCheck(func(address string, lastRead time.Time) bool {
				if address != s.listener.Addr().String() || lastRead.IsZero() {
					t.Errorf("check of %q, last read at %v", address, lastRead)
				}
				return mayReuse
			}))
			for _, id := range []string{"a", "b"} {
				_, _ = send(t, c, s, http.MethodPost, id) // Only the connections matter.
			}
			want := int64(2)
			if mayReuse {
				want = 1
			}
			if diff := cmp.Diff(want, metrics.GetOrRegisterCounter("replica-connections", registry).Count()); diff != "" {
				t.Errorf("connections (-want +got):\n%s", diff)
			}
		})
	}
}

// A refusal states that a request was not run, so one that may be the repetition of an earlier
// refusal must not end another request.
func TestRepeatedRefusalOnAKeptConnectionIsNotTakenForTheNextAnswer(t *testing.T) {
	refusal := func(id string) string {
		return "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n" + id + "Content-Length: 0\r\n\r\n"
	}
	tests := map[string]struct {
		refusal string
		want    string
	}{
		"without an ID":                {refusal(""), "may-have-run"},
		"with the ID of another":       {refusal("Attempt-Id: a\r\n"), "answered"},
		"misdirected, without an ID":   {"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n", "may-have-run"},
		"of this request, with its ID": {refusal("Attempt-Id: b\r\n"), "not-run"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := newScriptedServer(t, rawResponse{okResponse("a", "first"), false}, rawResponse{tt.refusal + okResponse("b", "second"), true})
			c := newClient()
			if _, err := send(t, c, s, http.MethodPost, "a"); err != nil {
				t.Fatal(err)
			}
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			e := catkinspindle.Envelope{ID: "b", Method: http.MethodPost, Target: "/p/x", Host: "h", Header: http.Header{"Attempt-Id": {"b"}}}
			r := catkinspindle.Replica{ID: "r", Address: s.listener.Addr().String(), Incarnation: 1}
			answer, err := c.Send(ctx, e, catkinspindle.Attempt{Replica: r, TimeLeft: 5 * time.Second}, false)
			got := "answered"
			switch {
			case err != nil:
				got = catkinspindle.AsFailure(err).Verdict.String()
			case answer.NotRun:
				got = "not-run"
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("outcome (-want +got):\n%s", diff)
			}
			if answer != nil {
				_ = answer.Body.Close()
			}
		})
	}
}
