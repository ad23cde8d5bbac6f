package httpserver_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/httpserver"
)

const (
	// linkDelay is the delay of each direction of a link.
	linkDelay = 50 * time.Millisecond
	// ownIdleLimit is how long a caller keeps an idle connection of a server that states no timeout.
	ownIdleLimit = 25 * time.Second
)

// newLink returns both ends of a connection on which data and closes arrive after linkDelay.
func newLink(group *errgroup.Group) (client, server net.Conn) {
	type segment struct {
		data []byte
		at   time.Time
	}
	clientEnd, clientWire := net.Pipe()
	serverEnd, serverWire := net.Pipe()
	pass := func(from, to net.Conn) {
		queue := make(chan segment, 100)
		group.Go(func() error {
			defer close(queue)
			for {
				data := make([]byte, 4096)
				n, err := from.Read(data)
				queue <- segment{data[:n], time.Now().Add(linkDelay)}
				if err != nil {
					return nil
				}
			}
		})
		group.Go(func() error {
			for s := range queue {
				time.Sleep(time.Until(s.at))
				_, _ = to.Write(s.data) // What arrives after a close is lost.
			}
			return to.Close()
		})
	}
	pass(clientWire, serverWire)
	pass(serverWire, clientWire)
	return clientEnd, serverEnd
}

// statedTimeout returns the idle timeout that a response states.
func statedTimeout(h http.Header) (time.Duration, bool) {
	for field := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		if value, ok := strings.CutPrefix(strings.TrimSpace(field), "timeout="); ok {
			seconds, err := strconv.Atoi(value)
			return time.Duration(seconds) * time.Second, err == nil
		}
	}
	return 0, false
}

// reuse sends two requests on c, the second one after the given share of the time for which the caller
// keeps an idle connection: the stated one, or its own if that is zero. It sends none if it has seen the
// connection closed, and returns the status of the second response, zero if it did not send it.
func reuse(c net.Conn, share float64, own time.Duration) (int, error) {
	responses := make(chan *http.Response)
	reader := bufio.NewReader(c)
	var group errgroup.Group
	group.Go(func() error {
		defer close(responses)
		for {
			resp, err := http.ReadResponse(reader, nil)
			if err != nil {
				return nil
			}
			responses <- resp
		}
	})
	defer func() {
		_ = c.Close()    // A pipe returns no error.
		_ = group.Wait() // The function returns no error.
	}()
	if _, err := io.WriteString(c, request); err != nil {
		return 0, err
	}
	resp, ok := <-responses
	if !ok {
		return 0, errors.New("no response on a new connection")
	}
	limit, ok := statedTimeout(resp.Header)
	if !ok || own > 0 {
		limit = ownIdleLimit
	}
	idle := time.Duration(share * float64(limit))
	select {
	case <-responses:
		return 0, nil
	case <-time.After(idle):
	}
	if _, err := io.WriteString(c, request); err != nil {
		return 0, nil
	}
	resp, ok = <-responses
	if !ok {
		return 0, fmt.Errorf("a request that was sent after %v of %v got no answer", idle, limit)
	}
	return resp.StatusCode, nil
}

const reusingCallers = 300

// reuseAll lets callers use connections to p again after idle times up to the longest, and returns how many
// second responses had which status.
func reuseAll(t *testing.T, p *pipes, own time.Duration) map[int]int {
	t.Helper()
	var (
		links, group errgroup.Group
		mu           sync.Mutex
		statuses     = map[int]int{}
	)
	for n := range reusingCallers {
		client, server := newLink(&links)
		p.accepted <- server
		group.Go(func() error {
			status, err := reuse(client, float64(n+1)/reusingCallers, own)
			mu.Lock()
			defer mu.Unlock()
			statuses[status]++
			return err
		})
	}
	if err := group.Wait(); err != nil {
		t.Error(err)
	}
	if err := links.Wait(); err != nil {
		t.Error(err)
	}
	return statuses
}

var reuseTimeouts = []time.Duration{0, 500 * time.Millisecond, 1500 * time.Millisecond, 15 * time.Second}

// Callers that keep idle connections for as long as the server states lose no request to its close.
func TestStatedIdleTimeoutLosesNoRequests(t *testing.T) {
	for _, timeout := range reuseTimeouts {
		t.Run(timeout.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				_, p := serve(t, 0, catkinspindle.TrafficLimits{IdleTimeout: timeout})
				if diff := cmp.Diff(map[int]int{http.StatusOK: reusingCallers}, reuseAll(t, p, 0)); diff != "" {
					t.Errorf("second responses by status (-want +got):\n%s", diff)
				}
			})
		})
	}
}

// A request of a caller that keeps idle connections for longer than the server gets a refusal if it
// crosses the close.
func TestRequestThatCrossesAnIdleCloseIsRefused(t *testing.T) {
	for _, timeout := range reuseTimeouts {
		t.Run(timeout.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				_, p := serve(t, 0, catkinspindle.TrafficLimits{IdleTimeout: timeout})
				statuses := reuseAll(t, p, ownIdleLimit)
				if statuses[http.StatusRequestTimeout] == 0 {
					t.Errorf("no request crossed a close, responses by status: %v", statuses)
				}
				delete(statuses, 0)
				delete(statuses, http.StatusOK)
				delete(statuses, http.StatusRequestTimeout)
				if diff := cmp.Diff(map[int]int{}, statuses); diff != "" {
					t.Errorf("other responses by status (-want +got):\n%s", diff)
				}
			})
		})
	}
}

// A connection that is opened ahead of its first request is kept like an idle one.
func TestConnectionOpenedAheadIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const timeout = 15 * time.Second
		_, p := serve(t, 0, catkinspindle.TrafficLimits{HeaderTimeout: 3 * time.Second, IdleTimeout: timeout})
		used, unused := p.connect(), p.connect()
		began := time.Now()
		time.Sleep(timeout)
		used.checkAnswered(t, request)
		if diff := cmp.Diff(timeout+margin, unused.closedAfter(t, began)); diff != "" {
			t.Errorf("an unused connection is closed after (-want +got):\n%s", diff)
		}
	})
}

// Requests that are sent on kept connections while the server stops are answered or refused.
func TestRequestsThatCrossAStopAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, p := serve(t, 10*time.Millisecond, catkinspindle.TrafficLimits{})
		const stopAt = 10 * time.Second
		var (
			links, group errgroup.Group
			mu           sync.Mutex
			statuses     = map[int]int{}
		)
		for n := range reusingCallers {
			client, server := newLink(&links)
			p.accepted <- server
			group.Go(func() error {
				// The second requests are spread over the time around the stop.
				idle := stopAt - 8*linkDelay + time.Duration(n)*10*linkDelay/reusingCallers
				status, err := reuse(client, float64(idle)/float64(ownIdleLimit), ownIdleLimit)
				mu.Lock()
				defer mu.Unlock()
				statuses[status]++
				return err
			})
		}
		time.Sleep(stopAt)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if err := s.Stop(ctx); err != nil {
			t.Error(err)
		}
		if err := group.Wait(); err != nil {
			t.Error(err)
		}
		if err := links.Wait(); err != nil {
			t.Error(err)
		}
		if statuses[http.StatusOK] == 0 || statuses[http.StatusRequestTimeout] == 0 {
			t.Errorf("responses by status: %v", statuses)
		}
	})
}

// A request that is served after a stop has begun gets an answer that says that the connection is closed.
func TestAnswerDuringAStopStatesTheClose(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, p := serve(t, time.Second, catkinspindle.TrafficLimits{})
		c := p.connect()
		if _, err := io.WriteString(c, request+request); err != nil {
			t.Fatal(err)
		}
		time.Sleep(500 * time.Millisecond)
		var group errgroup.Group
		group.Go(func() error { return s.Stop(t.Context()) })
		var got []bool
		for range 2 {
			resp, err := http.ReadResponse(c.reader, nil)
			if err != nil {
				t.Fatal(err)
			}
			_, stated := statedTimeout(resp.Header)
			got = append(got, stated, resp.Close)
		}
		if diff := cmp.Diff([]bool{true, false, false, true}, got); diff != "" {
			t.Errorf("timeout and close that the answers state (-want +got):\n%s", diff)
		}
		if err := group.Wait(); err != nil {
			t.Error(err)
		}
	})
}

// A request whose header was refused because it came too slowly does not run, whatever arrives later and
// whatever changes while the refusal lingers.
func TestRefusedRequestNeverRuns(t *testing.T) {
	stop := func(s *httpserver.Server) {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
		defer cancel()
		_ = s.Stop(ctx) // The test's own close returns the error.
	}
	raise := func(s *httpserver.Server) { s.SetLimits(catkinspindle.TrafficLimits{HeaderTimeout: time.Minute}) }
	tests := map[string]struct {
		runs      int
		meanwhile func(s *httpserver.Server)
		rest      string
	}{
		"the rest of the header":       {1, func(*httpserver.Server) {}, "1\r\n\r\n"},
		"more than is discarded":       {1, func(*httpserver.Server) {}, strings.Repeat("x", 256<<10) + "\r\n\r\n"},
		"the header timeout is raised": {1, raise, strings.Repeat("x", 256<<10) + "\r\n\r\n"},
		"the server stops":             {20, stop, "1\r\n\r\n"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for range tc.runs {
				if ran := sendAfterRefusal(t, tc.meanwhile, tc.rest); ran > 0 {
					t.Fatal("a refused request has run")
				}
			}
		})
	}
}

// sendAfterRefusal has a request refused whose header stalls, sends the rest while meanwhile runs, and
// returns how many requests were served.
func sendAfterRefusal(t *testing.T, meanwhile func(*httpserver.Server), rest string) int64 {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var ran atomic.Int64
	s := httpserver.New(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { ran.Add(1) }), slog.New(slog.DiscardHandler))
	s.SetLimits(catkinspindle.TrafficLimits{HeaderTimeout: 20 * time.Millisecond})
	var group errgroup.Group
	group.Go(func() error { return s.Serve(listener) })
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	if err := conn.SetDeadline(time.Now().Add(5 * time.Second)); err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\nA: "); err != nil {
		t.Fatal(err)
	}
	reader := bufio.NewReader(conn)
	if resp, err := http.ReadResponse(reader, nil); err != nil || resp.StatusCode != http.StatusRequestTimeout {
		t.Fatalf("response %v, error %v", resp, err)
	}
	group.Go(func() error {
		meanwhile(s)
		return http.ErrServerClosed
	})
	_, _ = io.WriteString(conn, rest) // The server may have closed the connection.
	time.Sleep(5 * time.Millisecond)
	_, _ = io.WriteString(conn, rest)
	time.Sleep(5 * time.Millisecond)
	_ = conn.Close() // It may have been reset.
	_ = s.Close()    // It may have been stopped.
	if err := group.Wait(); !errors.Is(err, http.ErrServerClosed) {
		t.Error(err)
	}
	return ran.Load()
}

// The refusal of a request that arrives after an idle close reaches the caller over TCP.
func TestRefusalOfALateRequestIsNotReset(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	registry := metrics.NewRegistry()
	s := httpserver.New(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), slog.New(slog.DiscardHandler), httpserver.WithMetrics(registry))
	s.SetLimits(catkinspindle.TrafficLimits{IdleTimeout: time.Millisecond})
	var group errgroup.Group
	group.Go(func() error { return s.Serve(listener) })
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	c := &caller{Conn: conn, reader: bufio.NewReader(conn)}
	c.checkAnswered(t, request)
	if _, err := c.reader.Peek(1); err != nil {
		t.Fatal(err)
	}
	// The caller has not looked at what has arrived and sends a request in parts.
	for _, part := range []string{request[:10], request[10:]} {
		if _, err := io.WriteString(c, part); err != nil {
			t.Fatal(err)
		}
		time.Sleep(20 * time.Millisecond)
	}
	if status, err := c.send(""); err != nil || status != http.StatusRequestTimeout {
		t.Errorf("status %d, error %v", status, err)
	}
	if _, err := c.reader.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("after the refusal: %v", err)
	}
	if err := errors.Join(c.Close(), s.Close()); err != nil {
		t.Error(err)
	}
	if err := group.Wait(); !errors.Is(err, http.ErrServerClosed) {
		t.Error(err)
	}
}
