package httpserver_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/sync/errgroup"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/httpserver"
)

const (
	margin  = 2 * time.Second
	request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
)

// pipes is a net.Listener of connections without sockets.
type pipes struct {
	accepted chan net.Conn
	closed   chan struct{}
}

func (p *pipes) Accept() (net.Conn, error) {
	select {
	case c := <-p.accepted:
		return c, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}

func (p *pipes) Close() error {
	close(p.closed)
	return nil
}

func (p *pipes) Addr() net.Addr { return &net.TCPAddr{} }

// serve runs a server until the test ends. Its handler answers after the given time.
func serve(t *testing.T, answerTime time.Duration, limits catkinspindle.TrafficLimits, opts ...httpserver.Option) (*httpserver.Server, *pipes) {
	t.Helper()
	s := httpserver.New(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { time.Sleep(answerTime) }), slog.New(slog.DiscardHandler), opts...)
	s.SetLimits(limits)
	p := &pipes{accepted: make(chan net.Conn), closed: make(chan struct{})}
	var group errgroup.Group
	group.Go(func() error { return s.Serve(p) })
	t.Cleanup(func() {
		if err := s.Close(); err != nil {
			t.Error(err)
		}
		if err := group.Wait(); !errors.Is(err, http.ErrServerClosed) {
			t.Error(err)
		}
	})
	return s, p
}

// caller is the caller's end of a connection.
type caller struct {
	net.Conn
	reader *bufio.Reader
}

func (p *pipes) connect() *caller {
	c, served := net.Pipe()
	p.accepted <- served
	return &caller{Conn: c, reader: bufio.NewReader(c)}
}

// send sends text and returns the status of the response.
func (c *caller) send(text string) (int, error) {
	if _, err := io.WriteString(c, text); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

func (c *caller) checkAnswered(t *testing.T, text string) {
	t.Helper()
	if status, err := c.send(text); err != nil || status != http.StatusOK {
		t.Fatalf("status %d, error %v", status, err)
	}
}

// closedAfter waits until the server closes the connection and returns the time since began.
func (c *caller) closedAfter(t *testing.T, began time.Time) time.Duration {
	t.Helper()
	// What net/http answers to a part of a header does not matter.
	if _, err := io.Copy(io.Discard, c.reader); err != nil {
		t.Error(err)
	}
	return time.Since(began).Truncate(10 * time.Millisecond)
}

// change is a change of a timeout at a time after the last response or the begin of a header.
type change struct {
	at, timeout time.Duration
}

// An idle connection is closed by the timeout in force, and not within the margin after a change.
func TestIdleTimeoutInForce(t *testing.T) {
	tests := map[string]struct {
		timeout time.Duration
		changes []change
		want    time.Duration
		counted time.Duration
	}{
		"unchanged":                 {timeout: 10 * time.Second, want: 12 * time.Second, counted: 12 * time.Second},
		"default":                   {want: 20 * time.Second, counted: 20 * time.Second},
		"raised":                    {time.Second, []change{{2 * time.Second, 10 * time.Second}}, 12 * time.Second, 12 * time.Second},
		"lowered early":             {10 * time.Second, []change{{100 * time.Millisecond, time.Second}}, 3 * time.Second, 3 * time.Second},
		"lowered late":              {10 * time.Second, []change{{5 * time.Second, time.Second}}, 5*time.Second + margin, 3 * time.Second},
		"lowered just before close": {10 * time.Second, []change{{11500 * time.Millisecond, time.Second}}, 12 * time.Second, 3 * time.Second},
		"lowered twice":             {10 * time.Second, []change{{5 * time.Second, 2 * time.Second}, {6 * time.Second, time.Second}}, 5*time.Second + margin, 3 * time.Second},
		"lowered and raised":        {10 * time.Second, []change{{5 * time.Second, time.Second}, {6 * time.Second, 18 * time.Second}}, 20 * time.Second, 20 * time.Second},
		"same":                      {10 * time.Second, []change{{5 * time.Second, 10 * time.Second}}, 12 * time.Second, 12 * time.Second},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var counted []time.Duration
				s, p := serve(t, 0, catkinspindle.TrafficLimits{IdleTimeout: tc.timeout},
					httpserver.WithOnIdleClosed(func(d time.Duration) { counted = append(counted, d) }))
				c := p.connect()
				c.checkAnswered(t, request)
				began := time.Now()
				for _, change := range tc.changes {
					time.Sleep(time.Until(began.Add(change.at)))
					s.SetLimits(catkinspindle.TrafficLimits{IdleTimeout: change.timeout})
				}
				if diff := cmp.Diff(tc.want, c.closedAfter(t, began)); diff != "" {
					t.Errorf("closed after (-want +got):\n%s", diff)
				}
				if diff := cmp.Diff([]time.Duration{tc.counted}, counted); diff != "" {
					t.Errorf("timeouts of counted connections (-want +got):\n%s", diff)
				}
			})
		})
	}
}

// A header that has begun to arrive gets the longest of the timeouts in force meanwhile.
func TestHeaderTimeoutInForce(t *testing.T) {
	tests := map[string]struct {
		timeout time.Duration
		changes []change
		want    time.Duration
	}{
		"default":            {want: 3 * time.Second},
		"unchanged":          {timeout: 5 * time.Second, want: 5 * time.Second},
		"raised":             {time.Second, []change{{500 * time.Millisecond, 5 * time.Second}}, 5 * time.Second},
		"lowered":            {5 * time.Second, []change{{500 * time.Millisecond, time.Second}}, 5 * time.Second},
		"raised and lowered": {time.Second, []change{{500 * time.Millisecond, 5 * time.Second}, {700 * time.Millisecond, time.Second}}, 5 * time.Second},
	}
	for name, tc := range tests {
		for _, kind := range []string{"first request", "second request", "pipelined request"} {
			t.Run(name+", "+kind, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					s, p := serve(t, 0, catkinspindle.TrafficLimits{HeaderTimeout: tc.timeout, IdleTimeout: time.Minute},
						httpserver.WithOnIdleClosed(func(time.Duration) { t.Error("counted as idle") }))
					c := p.connect()
					var began time.Time
					switch kind {
					case "first request", "second request":
						if kind == "second request" {
							c.checkAnswered(t, request)
							time.Sleep(30 * time.Second)
						}
						began = time.Now()
						if _, err := io.WriteString(c, request[:1]); err != nil {
							t.Fatal(err)
						}
					case "pipelined request":
						began = time.Now()
						c.checkAnswered(t, request+request[:4])
					}
					for _, change := range tc.changes {
						time.Sleep(time.Until(began.Add(change.at)))
						s.SetLimits(catkinspindle.TrafficLimits{HeaderTimeout: change.timeout, IdleTimeout: time.Minute})
					}
					if diff := cmp.Diff(tc.want, c.closedAfter(t, began)); diff != "" {
						t.Errorf("closed after (-want +got):\n%s", diff)
					}
				})
			})
		}
	}
}

// A request that arrives as the idle timeout expires must be served.
func TestRequestAtTheIdleDeadlineIsServed(t *testing.T) {
	for range 50 {
		synctest.Test(t, func(t *testing.T) {
			const timeout = 10 * time.Second
			_, p := serve(t, 0, catkinspindle.TrafficLimits{IdleTimeout: timeout})
			c := p.connect()
			for range 3 {
				c.checkAnswered(t, request)
				time.Sleep(timeout + margin)
			}
		})
	}
}

// A connection whose idle timeout is raised as it expires must be kept.
func TestIdleTimeoutRaisedAtTheDeadline(t *testing.T) {
	for range 200 {
		synctest.Test(t, func(t *testing.T) {
			const timeout = 10 * time.Second
			s, p := serve(t, 0, catkinspindle.TrafficLimits{IdleTimeout: timeout})
			c := p.connect()
			c.checkAnswered(t, request)
			time.Sleep(timeout + margin)
			s.SetLimits(catkinspindle.TrafficLimits{IdleTimeout: 2 * timeout})
			time.Sleep(timeout)
			c.checkAnswered(t, request)
		})
	}
}

// A request that is being answered or has been pipelined must not be cut by timeouts.
func TestTimeoutsCutNoRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, p := serve(t, time.Minute, catkinspindle.TrafficLimits{})
		c := p.connect()
		var group errgroup.Group
		group.Go(func() error {
			_, err := io.WriteString(c, request+request)
			return err
		})
		for i := range 2 {
			time.Sleep(time.Second)
			s.SetLimits(catkinspindle.TrafficLimits{HeaderTimeout: time.Millisecond, IdleTimeout: time.Millisecond})
			if status, err := c.send(""); err != nil || status != http.StatusOK {
				t.Errorf("request %d: status %d, error %v", i, status, err)
			}
		}
		if err := group.Wait(); err != nil {
			t.Error(err)
		}
	})
}

// The header of each request on a connection is held to the limit in force, but for the bytes that
// net/http reads ahead.
func TestHeaderLimitInForce(t *testing.T) {
	const readAhead = 4096
	withHeader := func(size int) string {
		const frame = "GET / HTTP/1.1\r\nHost: h\r\nA: \r\n\r\n"
		return strings.Replace(frame, "A: ", "A: "+strings.Repeat("x", size-len(frame)), 1)
	}
	for _, limit := range []int{4 << 10, 100 << 10, 10 << 10} {
		t.Run(fmt.Sprint(limit), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, p := serve(t, 0, catkinspindle.TrafficLimits{MaxHeader: 16 << 10})
				c := p.connect()
				c.checkAnswered(t, withHeader(16<<10))
				s.SetLimits(catkinspindle.TrafficLimits{MaxHeader: limit})
				for range 3 {
					c.checkAnswered(t, withHeader(limit))
				}
				synctest.Wait() // net/http reads no more byte beyond the request.
				var group errgroup.Group
				group.Go(func() error {
					_, err := io.WriteString(c, withHeader(limit+readAhead+1))
					return err
				})
				const want = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n431 Request Header Fields Too Large"
				got, err := io.ReadAll(c.reader)
				if diff := cmp.Diff(want, string(got)); diff != "" || err != nil {
					t.Errorf("error %v, response (-want +got):\n%s", err, diff)
				}
				if err := group.Wait(); err == nil {
					t.Error("all of the header has been read")
				}
			})
		})
	}
}

// A header that has begun to arrive is not held to a lowered limit.
func TestLoweredHeaderLimitWhileHeaderArrives(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, p := serve(t, 0, catkinspindle.TrafficLimits{MaxHeader: 16 << 10})
		c := p.connect()
		if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\nA: "+strings.Repeat("x", 8<<10)); err != nil {
			t.Fatal(err)
		}
		s.SetLimits(catkinspindle.TrafficLimits{MaxHeader: 1 << 10})
		c.checkAnswered(t, strings.Repeat("x", 4<<10)+"\r\n\r\n")
	})
}

// Changes of the limits must not disturb connections in use.
func TestChangesUnderLoad(t *testing.T) {
	const callers, requests = 8, 300
	s, p := serve(t, 0, catkinspindle.TrafficLimits{})
	var group errgroup.Group
	for range callers {
		group.Go(func() error {
			c := p.connect()
			for n := range requests {
				if status, err := c.send(request); err != nil || status != http.StatusOK {
					return fmt.Errorf("request %d: status %d, error %w", n, status, err)
				}
			}
			return nil
		})
	}
	stop := make(chan struct{})
	var changes errgroup.Group
	changes.Go(func() error {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return nil
			default:
				s.SetLimits(catkinspindle.TrafficLimits{MaxHeader: 1<<10 + n%100, HeaderTimeout: 3 * time.Second, IdleTimeout: time.Duration(1 + n%1000)})
			}
		}
	})
	if err := group.Wait(); err != nil {
		t.Error(err)
	}
	close(stop)
	_ = changes.Wait() // The function returns no error.
}
