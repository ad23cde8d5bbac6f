package plainservices_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/sync/errgroup"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/plainservices"
	"github.com/catkinspindle/catkinspindle/wire"
)

func call(c *plainservices.Client) (catkinspindle.PlainReply, error) {
	return c.Call(context.Background(), catkinspindle.PlainCall{
		Service: "s", Method: "buy", Key: "k", Body: []byte("x"), Deadline: time.Now().Add(10 * time.Second),
	})
}

// serveOneRequestPerConnection starts a server that responds to the first request of each
// connection and closes it after reading the second. It counts the requests read.
func serveOneRequestPerConnection(t *testing.T, requests *atomic.Int32) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	group := &errgroup.Group{}
	t.Cleanup(func() {
		_ = l.Close()
		_ = group.Wait()
	})
	group.Go(func() error {
		for {
			conn, err := l.Accept()
			if err != nil {
				return nil
			}
			group.Go(func() error { return serveOneRequest(conn, requests) })
		}
	})
	return l.Addr().String()
}

func serveOneRequest(conn net.Conn, requests *atomic.Int32) error {
	defer func() { _ = conn.Close() }()
	r := bufio.NewReader(conn)
	for responded := false; ; responded = true {
		req, err := http.ReadRequest(r)
		if err != nil {
			return err
		}
		_, _ = io.Copy(io.Discard, req.Body)
		requests.Add(1)
		if responded {
			return errors.New("connection closed without a response")
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	}
}

// TestBrokenReusedConnectionIsNotRepeated guards against retries by the HTTP transport: when
// a reused connection breaks after the request was sent, the call may already have run.
func TestBrokenReusedConnectionIsNotRepeated(t *testing.T) {
	var requests atomic.Int32
	client := plainservices.New(serveOneRequestPerConnection(t, &requests), wire.NewClient(time.Second))
	if _, err := call(client); err != nil {
		t.Fatal(err)
	}
	_, err := call(client)
	verdict := catkinspindle.AsFailure(err).Verdict.String()
	if diff := cmp.Diff([]any{"may-have-run", int32(2)}, []any{verdict, requests.Load()}); err == nil || diff != "" {
		t.Error(err, diff)
	}
}

func TestVerdictsOfRefusals(t *testing.T) {
	status := http.StatusServiceUnavailable
	body := `{"verdict":"not-run","reason":"stopping","message":"leaving"}`
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}))
	defer server.Close()
	client := plainservices.New(server.Listener.Addr().String(), wire.NewClient(time.Second))
	_, refused := call(client)
	body = "overloaded"
	_, unparsed := call(client)
	unused, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = unused.Close()
	_, unconnected := call(plainservices.New(unused.Addr().String(), wire.NewClient(time.Second)))
	var got []string
	for _, err := range []error{refused, unparsed, unconnected} {
		f := catkinspindle.AsFailure(err)
		got = append(got, f.Verdict.String()+" "+string(f.Reason))
	}
	want := []string{"not-run stopping", "may-have-run backend-failed", "not-run no-backend"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

// Refusals state the limit too.
func TestRateLimitOfReplica(t *testing.T) {
	tests := map[string]struct {
		status int
		value  string
		want   catkinspindle.RateLimit
	}{
		"none":      {http.StatusOK, "", catkinspindle.RateLimit{}},
		"stated":    {http.StatusOK, "1.6", catkinspindle.RateLimit{Stated: true, PerSecond: 1.6}},
		"refused":   {http.StatusServiceUnavailable, "2", catkinspindle.RateLimit{Stated: true, PerSecond: 2}},
		"malformed": {http.StatusOK, "-1", catkinspindle.RateLimit{Malformed: `"-1"`}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if tt.value != "" {
					w.Header().Set(plainservices.RateLimitHeader, tt.value)
				}
				w.WriteHeader(tt.status)
			}))
			defer server.Close()
			reply, err := call(plainservices.New(server.Listener.Addr().String(), wire.NewClient(time.Second, wire.WithoutKeepAlive())))
			if (err == nil) != (tt.status == http.StatusOK) {
				t.Errorf("error %v with status %d", err, tt.status)
			}
			if diff := cmp.Diff(tt.want, reply.RateLimit); diff != "" {
				t.Errorf("rate limit (-want +got):\n%s", diff)
			}
		})
	}
}

// TestUnfinishedRepliesOfManyCalls guards against a limit for each reply only: replies without an
// end in many calls at once must not fill the memory.
func TestUnfinishedRepliesOfManyCalls(t *testing.T) {
	const calls = 128
	const size = 500 << 10
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = w.Write(make([]byte, size)) // The client may have left.
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	}))
	defer server.Close()
	client := plainservices.New(server.Listener.Addr().String(), wire.NewClient(time.Second, wire.WithoutKeepAlive()))
	var group errgroup.Group
	var ended atomic.Int64
	for range calls {
		group.Go(func() error {
			_, err := client.Call(ctx, catkinspindle.PlainCall{Service: "s", Method: "m", Deadline: time.Now().Add(time.Hour)})
			if ctx.Err() == nil && catkinspindle.AsFailure(err).Verdict == catkinspindle.MayHaveRun {
				ended.Add(1)
			}
			return nil
		})
	}
	kept := func() int64 { return (calls - ended.Load()) * size }
	for end := time.Now().Add(time.Minute); kept() > 32<<20 && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
	}
	if kept() > 32<<20 {
		t.Errorf("%d bytes of unfinished replies are kept", kept())
	}
	cancel()
	_ = group.Wait() // It returns no error.
}
