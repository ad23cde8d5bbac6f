package replicas_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"

	"golang.org/x/sync/errgroup"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/buffers"
	"github.com/catkinspindle/catkinspindle/replicas"
)

// maxSentBytes is more than the client's limits and the socket buffers hold together.
const maxSentBytes = 16 << 20

// endlessServer is a server that responds to the first request with an endless stream of bytes
// until the client closes the connection, and to all others with a valid response.
type endlessServer struct {
	listener net.Listener
	group    errgroup.Group
	once     sync.Once
	// closed is signalled when the client has closed the connection; sent is the number of
	// bytes that were written until then.
	closed chan struct{}
	sent   int
}

func newEndlessServer(t *testing.T, prefix, repeated string) *endlessServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b := &endlessServer{listener: l, closed: make(chan struct{})}
	b.group.Go(func() error {
		for {
			c, err := l.Accept()
			if err != nil {
				return nil
			}
			b.group.Go(func() error {
				b.serve(c, prefix, repeated)
				return nil
			})
		}
	})
	t.Cleanup(func() {
		_ = l.Close()
		_ = b.group.Wait()
	})
	return b
}

func (s *endlessServer) serve(c net.Conn, prefix, repeated string) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		endless := false
		s.once.Do(func() { endless = true })
		if !endless {
			_, _ = io.WriteString(c, okResponse(req.Header.Get("Attempt-Id"), "fine"))
			continue
		}
		_, err = io.WriteString(c, prefix)
		for err == nil {
			_, err = io.WriteString(c, repeated)
			s.sent += len(repeated)
		}
		close(s.closed)
		return
	}
}

// An endless head, interim response, response to another request, chunk header or trailer
// fails the attempt and closes the connection. The next requests succeed on another one.
func TestEndlessBytesEndTheAttempt(t *testing.T) {
	const (
		head    = "HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nResponse-Seal: s\r\n"
		other   = "HTTP/1.1 200 OK\r\nAttempt-Id: b\r\nResponse-Seal: s\r\n"
		chunked = head + "Transfer-Encoding: chunked\r\n\r\n"
	)
	fill := strings.Repeat("x", 4<<10)
	tests := map[string]struct{ prefix, repeated string }{
		"status line":                     {"HTTP/1.1 200 ", fill},
		"header line":                     {head + "X: ", fill},
		"header lines":                    {head, "X: " + fill + "\r\n"},
		"short header lines":              {head, "X: y\r\n"},
		"interim responses":               {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		"header of an interim response":   {"HTTP/1.1 103 Early Hints\r\n", "X: y\r\n"},
		"responses to other requests":     {"", other + "Content-Length: 0\r\n\r\n"},
		"body of a response to another":   {other + "\r\n", fill},
		"chunks of a response to another": {other + "Transfer-Encoding: chunked\r\n\r\n", "4\r\nxxxx\r\n"},
		"size of a chunk":                 {chunked + "1;", fill},
		"extensions of chunks":            {chunked, "1;" + strings.Repeat("y", 2<<10) + "\r\nx\r\n"},
		"trailer line":                    {chunked + "1\r\nx\r\n0\r\nX: ", fill},
		"trailer lines":                   {chunked + "1\r\nx\r\n0\r\n", "X: y\r\n"},
		"bytes that are not HTTP":         {"", "\x00\x01" + fill},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			b := newEndlessServer(t, tt.prefix, tt.repeated)
			c := newClient()
			defer func() { _ = c.Close() }()
			s := &scriptedServer{listener: b.listener}
			if body, err := send(t, c, s, http.MethodPost, "a"); err == nil {
				t.Errorf("a response with a body of %d bytes was accepted", len(body))
			}
			<-b.closed
			if b.sent > maxSentBytes {
				t.Errorf("the connection was closed only after %d bytes", b.sent)
			}
			for i := range 3 {
				id := fmt.Sprintf("later-%d", i)
				if got, err := send(t, c, s, http.MethodPost, id); err != nil || got != "fine" {
					t.Errorf("%s: body %q, error %v", id, got, err)
				}
			}
		})
	}
}

// An endless response leaves open whether the request was executed, so the verdict must
// be may-have-run.
func TestEndlessResponseMayHaveRun(t *testing.T) {
	b := newEndlessServer(t, "HTTP/1.1 200 OK\r\n", "X: y\r\n")
	c := newClient()
	defer func() { _ = c.Close() }()
	_, err := send(t, c, &scriptedServer{listener: b.listener}, http.MethodPost, "a")
	if f := catkinspindle.AsFailure(err); err == nil || f.Verdict != catkinspindle.MayHaveRun {
		t.Errorf("error %v, want the verdict may-have-run", err)
	}
}

// Guards against a node that runs out of memory because the heads of its replicas' responses are bounded
// one by one only, and against heads that are counted for longer than they are held.
func TestHeadsTogetherStayInTheirMemory(t *testing.T) {
	const lines = 40 << 10 / 6
	large := "HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nResponse-Seal: s\r\n" + strings.Repeat("X: y\r\n", lines) + "Content-Length: 4\r\n\r\nfine"
	const responses = 60
	for name, tt := range map[string]struct {
		budget int64
		want   bool
	}{"enough": {16 << 20, true}, "too little": {1 << 20, false}} {
		t.Run(name, func(t *testing.T) {
			s := newScriptedServer(t, slices.Repeat([]rawResponse{{large, false}}, responses)...)
			c := newClient(replicas.WithBuffers(buffers.New(tt.budget)))
			defer func() { _ = c.Close() }()
			for i := range responses {
				if _, err := send(t, c, s, http.MethodPost, "a"); (err == nil) != tt.want {
					t.Fatalf("response %d: error %v", i, err)
				}
			}
		})
	}
}
