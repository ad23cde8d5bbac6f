package gateway_test

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/buffers"
	"github.com/catkinspindle/catkinspindle/gateway"
	"github.com/catkinspindle/catkinspindle/httpserver"
)

// largeReplicas is a sender whose answers consist of a text that is repeated as often as the path states. It
// counts the answers and those that were closed.
type largeReplicas struct {
	text         string
	repeats      map[string]int
	budget       *buffers.Budget
	sent, closed atomic.Int64
	// maxHeld is the largest number of bytes that the budget had given.
	maxHeld atomic.Int64
}

func (s *largeReplicas) Send(_ context.Context, e catkinspindle.Envelope, _ catkinspindle.Attempt, _ bool) (*catkinspindle.Answer, error) {
	s.sent.Add(1)
	repeats := make([]io.Reader, s.repeats[e.Target])
	for i := range repeats {
		repeats[i] = strings.NewReader(s.text)
	}
	head := catkinspindle.AnswerHead{Status: http.StatusOK, Header: http.Header{}}
	return &catkinspindle.Answer{AnswerHead: head, Length: -1, Body: &largeBody{Reader: io.MultiReader(repeats...), replicas: s}}, nil
}

type largeBody struct {
	io.Reader
	replicas *largeReplicas
	closed   atomic.Bool
}

func (b *largeBody) Read(p []byte) (int, error) {
	if held := b.replicas.budget.Held(); held > b.replicas.maxHeld.Load() {
		b.replicas.maxHeld.Store(held)
	}
	return b.Reader.Read(p)
}

func (b *largeBody) Close() error {
	if b.closed.CompareAndSwap(false, true) {
		b.replicas.closed.Add(1)
	}
	return nil
}

// pipedCaller is the response of a caller at the other end of a pipe.
type pipedCaller struct {
	net.Conn
	header http.Header
}

func (c pipedCaller) Header() http.Header { return c.header }
func (pipedCaller) WriteHeader(int)       {}
func (pipedCaller) Flush()                {}

// Guards against answers that are held without end for callers who have stopped reading, and against callers who
// are cut off although they read.
func TestCallerIsCutOffWhenItStopsReading(t *testing.T) {
	const step = 16 << 10
	tests := map[string]struct {
		path string
		text string
		// steps is how many parts the caller reads, one every pause.
		steps int
		pause time.Duration
		isCut bool
	}{
		"plain, stops":  {"/any/", strings.Repeat("x", 10*step), 3, 3 * time.Second, true},
		"plain, slow":   {"/any/", strings.Repeat("x", 10*step), 10, 3 * time.Second, false},
		"large, stops":  {"/any/", strings.Repeat("x", 40*step), 3, 0, true},
		"stream, stops": {"/stream/", "data: " + strings.Repeat("x", 7*step) + "\n\n", 3, 0, true},
		"stream, slow":  {"/stream/", "data: " + strings.Repeat("x", 7*step) + "\n\n", 8, 500 * time.Millisecond, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &largeReplicas{text: tt.text, repeats: map[string]int{tt.path: 1}, budget: buffers.New(16 << 20)}
				registry := metrics.NewRegistry()
				g := newGateway(&fakeCluster{}, s, 9, true, gateway.WithBuffers(s.budget), gateway.WithMetrics(registry))
				caller, node := net.Pipe()
				var (
					group     errgroup.Group
					stoppedAt time.Time
				)
				group.Go(func() error {
					for range tt.steps {
						time.Sleep(tt.pause)
						if _, err := io.CopyN(io.Discard, caller, step); err != nil && !errors.Is(err, io.EOF) {
							return err
						}
					}
					stoppedAt = time.Now()
					return nil
				})
				aborted := serveTo(g, pipedCaller{node, http.Header{}}, newRequest(tt.path))
				took := time.Now()
				_ = node.Close() // It has no more to send.
				if err := group.Wait(); err != nil {
					t.Error(err)
				}
				counted := metrics.GetOrRegisterCounter("callers-cut-off-timeout", registry).Count() == 1
				if diff := cmp.Diff([]any{tt.isCut, tt.isCut, int64(1), int64(0)}, []any{aborted, counted, s.closed.Load(), s.budget.Held()}); diff != "" {
					t.Errorf("aborted, counted, answers closed, bytes held (-want +got):\n%s", diff)
				}
				if waited := took.Sub(stoppedAt); waited > 6*time.Second {
					t.Errorf("ended %v after the caller had stopped", waited)
				}
			})
		})
	}
}

// slowListener accepts connections whose kernel buffers are small.
type slowListener struct{ net.Listener }

func (l slowListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return c, c.(*net.TCPConn).SetWriteBuffer(32 << 10)
}

// Guards against callers who have stopped reading and take the memory of the answers of others.
func TestOrdinaryCallersAreServedBesideThoseThatStopReading(t *testing.T) {
	const limit, stopped, ordinary, short, long = 4 << 20, 40, 20, 10, 200
	event := "data: " + strings.Repeat("x", 100<<10) + "\n\n"
	s := &largeReplicas{text: event, repeats: map[string]int{"/stream/long": long, "/stream/short": short}, budget: buffers.New(limit)}
	registry := metrics.NewRegistry()
	g := newGateway(&fakeCluster{}, s, 0, true, gateway.WithBuffers(s.budget), gateway.WithMetrics(registry))
	server := httptest.NewUnstartedServer(nil)
	server.Listener = slowListener{server.Listener}
	callers := httpserver.New(g, slog.New(slog.DiscardHandler))
	var group errgroup.Group
	group.Go(func() error { return callers.Serve(server.Listener) })
	defer func() {
		_ = callers.Close()
		if err := group.Wait(); !errors.Is(err, http.ErrServerClosed) {
			t.Error(err)
		}
	}()
	client := &http.Client{Transport: &http.Transport{
		DisableKeepAlives: true,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := (&net.Dialer{}).DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return c, c.(*net.TCPConn).SetReadBuffer(32 << 10)
		},
	}}
	ask := func(path string) *http.Response {
		t.Helper()
		req, err := http.NewRequest(http.MethodPost, "http://"+server.Listener.Addr().String()+path, nil)
		if err != nil {
			t.Fatal(err)
		}
		req.Host = "h.example"
		req.Header.Set("Attempt-Id", "a")
		req.Header.Set("Authorization", "Bearer k")
		answer, err := client.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		return answer
	}
	var unread []*http.Response
	for range stopped {
		if answer := ask("/stream/long"); answer.StatusCode == http.StatusOK {
			unread = append(unread, answer)
		}
	}
	time.Sleep(1500 * time.Millisecond) // They stall.
	for range ordinary {
		answer := ask("/stream/short")
		body, err := io.ReadAll(answer.Body)
		if err != nil || len(body) != short*len(event) {
			t.Errorf("ordinary caller: status %d, %d of %d bytes, error %v", answer.StatusCode, len(body), short*len(event), err)
		}
	}
	if n := metrics.GetOrRegisterCounter("callers-cut-off-memory", registry).Count(); n == int64(len(unread)) {
		t.Errorf("%d of %d callers cut off for memory, also those whose memory was not needed", n, len(unread))
	}
	for _, answer := range unread {
		// The rest ends after the write timeout.
		for s.budget.Held() > 0 {
			time.Sleep(10 * time.Millisecond)
		}
		if n, err := io.Copy(io.Discard, answer.Body); err == nil {
			t.Errorf("an answer of which %d bytes were read looks complete", n)
		}
	}
	if held := s.maxHeld.Load(); held > limit {
		t.Errorf("%d bytes held", held)
	}
	if diff := cmp.Diff(s.sent.Load(), s.closed.Load()); diff != "" {
		t.Errorf("answers of replicas closed (-want +got):\n%s", diff)
	}
}
