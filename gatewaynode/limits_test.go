package gatewaynode_test

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/sync/errgroup"

	"github.com/catkinspindle/catkinspindle/platform"
	"github.com/catkinspindle/catkinspindle/platform/standin/replica"
	"github.com/catkinspindle/catkinspindle/platform/standin/site"
)

const (
	// closeMargin is the time that nodes add to the configured idle timeout.
	closeMargin = 2 * time.Second
	// slack is the time that a close may take on a busy machine.
	slack = 3 * time.Second
)

// configLimits are limits of a configuration.
type configLimits struct {
	headerBytes         int
	headerTime, maxIdle time.Duration
}

func defaultLimits() configLimits {
	return configLimits{headerBytes: 16 << 10, headerTime: 3 * time.Second, maxIdle: 20 * time.Second}
}

// changeConfig writes the next version of the configuration with a change and one more route, and
// waits until node 0 serves that.
func changeConfig(t *testing.T, s *site.Site, change func(config map[string]any)) {
	t.Helper()
	raw, _ := s.Store.Get(platform.ConfigKind, platform.ConfigName)
	var config map[string]any
	if err := json.Unmarshal(raw, &config); err != nil {
		t.Fatal(err)
	}
	version := int(config["version"].(float64)) + 1
	prefix := fmt.Sprintf("/version-%d/", version)
	config["version"] = version
	change(config)
	config["routes"] = append(config["routes"].([]any), map[string]any{
		"name": prefix, "host": site.Host, "path-prefix": prefix, "type": "idempotent", "service": "app", "timeout-ms": 5000, "slo-ms": 1000, "max-attempts": 2,
	})
	s.Store.Put(platform.ConfigKind, platform.ConfigName, config)
	await(t, "the configuration is in force", func() bool {
		status, _, err := s.Send(context.Background(), s.CallersAddress(0), prefix, http.MethodGet, prefix, "", 0)
		// A request without a key runs nothing.
		return err == nil && status == http.StatusUnauthorized
	})
}

func setLimits(t *testing.T, s *site.Site, l configLimits) {
	t.Helper()
	changeConfig(t, s, func(config map[string]any) {
		config["limits"] = map[string]any{
			"max-header-bytes": l.headerBytes, "max-body-bytes": 1 << 20,
			"header-timeout-ms": l.headerTime.Milliseconds(), "idle-timeout-ms": l.maxIdle.Milliseconds(),
		}
	})
}

// startWithLimits starts a site of one node with limits in force.
func startWithLimits(t *testing.T, l configLimits) *site.Site {
	t.Helper()
	s := start(t, 1)
	setLimits(t, s, l)
	return s
}

// connection is a caller's connection to node 0. Unlike an http.Client it never opens another one.
type connection struct {
	net.Conn
	reader *bufio.Reader
}

// connect opens a connection on which one request has been answered.
func connect(t *testing.T, s *site.Site) *connection {
	t.Helper()
	c, err := net.Dial("tcp", s.CallersAddress(0))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() }) // The node may have closed it.
	conn := &connection{Conn: c, reader: bufio.NewReader(c)}
	conn.checkAnswered(t, readRequest("first", 0))
	return conn
}

// readRequest returns a request of the route /read/ with a header field of the given size.
func readRequest(id string, size int) string {
	return fmt.Sprintf("GET /read/x HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: 9000\r\nAuthorization: Bearer %s\r\nContext: %s\r\n\r\n",
		site.Host, id, site.Key, strings.Repeat("x", size))
}

func (c *connection) write(t *testing.T, text string) {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
}

// status reads a response and returns its status.
func (c *connection) status() (int, error) {
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, errors.Join(err, resp.Body.Close())
}

// checkAnswered sends a request and checks that it is answered.
func (c *connection) checkAnswered(t *testing.T, request string) {
	t.Helper()
	c.write(t, request)
	c.checkStatus(t, http.StatusOK)
}

func (c *connection) checkStatus(t *testing.T, want int) {
	t.Helper()
	got, err := c.status()
	if err != nil {
		t.Fatalf("no response: %v", err)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Fatalf("status (-want +got):\n%s", diff)
	}
}

// checkClosed checks that the node closes the connection within a time from now, and not before
// the earliest time.
func (c *connection) checkClosed(t *testing.T, earliest, within time.Duration) {
	t.Helper()
	began := time.Now()
	if err := c.SetReadDeadline(began.Add(within)); err != nil {
		t.Fatal(err)
	}
	text, err := io.ReadAll(c.reader)
	took := time.Since(began)
	const refusal = "HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
	if errors.Is(err, os.ErrDeadlineExceeded) || took < earliest {
		t.Errorf("after %v: %v, want the connection closed after %v to %v", took, err, earliest, within)
	}
	if len(text) > 0 && string(text) != refusal {
		t.Errorf("before the close: %q", text)
	}
}

// Callers that go by a raised idle timeout must not lose a request to a close by the former one.
func TestRaisedIdleTimeoutKeepsOpenConnections(t *testing.T) {
	t.Parallel()
	limits := defaultLimits()
	limits.maxIdle = time.Second
	s := startWithLimits(t, limits)
	conn := connect(t, s)
	limits.maxIdle = 10 * time.Second
	setLimits(t, s, limits)
	time.Sleep(closeMargin + 2*time.Second)
	conn.checkAnswered(t, readRequest("late", 0))
	time.Sleep(closeMargin + 2*time.Second)
	conn.checkAnswered(t, readRequest("later", 0))
}

// Connections opened before a lowered idle timeout must not be kept for the former one, but for a
// margin in which callers learn of the new one.
func TestLoweredIdleTimeoutClosesOpenConnections(t *testing.T) {
	t.Parallel()
	limits := defaultLimits()
	s := startWithLimits(t, limits)
	idle, used := connect(t, s), connect(t, s)
	time.Sleep(time.Second)
	limits.maxIdle = 500 * time.Millisecond
	setLimits(t, s, limits)
	used.checkAnswered(t, readRequest("second", 0))
	// The configuration was adopted a moment before setLimits returned.
	const earliest = closeMargin - time.Second
	var group errgroup.Group
	for _, c := range []*connection{idle, used} {
		group.Go(func() error {
			c.checkClosed(t, earliest, closeMargin+limits.maxIdle+slack)
			return nil
		})
	}
	_ = group.Wait() // No function returns an error.
	text, err := s.Metrics(0)
	if want := "idle-connections-closed-2.5s"; err != nil || !strings.Contains(text, want) {
		t.Errorf("metrics have no %s, error %v:\n%s", want, err, text)
	}
}

// Requests that are being read or answered when the limits change must be answered, also when that
// takes longer than the new limits.
func TestChangedLimitsCutNoRequests(t *testing.T) {
	t.Parallel()
	const answerTime = 4 * time.Second
	lowered := configLimits{headerBytes: 8 << 10, headerTime: 100 * time.Millisecond, maxIdle: 100 * time.Millisecond}
	former := defaultLimits()
	former.headerTime = 8 * time.Second
	s := startWithLimits(t, former)
	running, arriving, pipelined := connect(t, s), connect(t, s), connect(t, s)
	for _, r := range s.App {
		r.SetFaults(replica.Faults{PlainPause: answerTime})
	}
	begin, end, _ := strings.Cut(readRequest("arriving", 12<<10), "Authorization")
	running.write(t, readRequest("running", 0))
	arriving.write(t, begin)
	pipelined.write(t, readRequest("pipelined-1", 0)+readRequest("pipelined-2", 0))
	setLimits(t, s, lowered)
	time.Sleep(time.Second)
	setLimits(t, s, former)
	setLimits(t, s, lowered)
	arriving.write(t, "Authorization"+end)
	for _, c := range []*connection{running, arriving, pipelined, pipelined} {
		c.checkStatus(t, http.StatusOK)
	}
}

// Requests within a raised max-header-bytes must not get 431 on connections opened before, and a
// lowered one must hold there too.
func TestChangedHeaderLimitHoldsOnOpenConnections(t *testing.T) {
	t.Parallel()
	const small, large, between = 8 << 10, 128 << 10, 64 << 10
	tests := map[string]struct {
		before, after int
		want          int
	}{
		"raised":  {before: small, after: large, want: http.StatusOK},
		"lowered": {before: large, after: small, want: http.StatusRequestHeaderFieldsTooLarge},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			limits := defaultLimits()
			limits.headerBytes = tc.before
			s := startWithLimits(t, limits)
			conn := connect(t, s)
			limits.headerBytes = tc.after
			setLimits(t, s, limits)
			conn.checkAnswered(t, readRequest("small", small/2))
			conn.write(t, readRequest("between", between))
			conn.checkStatus(t, tc.want)
			if tc.want != http.StatusOK {
				conn.checkClosed(t, 0, slack)
			}
		})
	}
}

// A changed header timeout must hold on connections opened before.
func TestChangedHeaderTimeoutHoldsOnOpenConnections(t *testing.T) {
	t.Parallel()
	const short, long = 500 * time.Millisecond, 10 * time.Second
	begin, end, _ := strings.Cut(readRequest("slow", 0), "Authorization")
	t.Run("raised", func(t *testing.T) {
		t.Parallel()
		limits := defaultLimits()
		limits.headerTime = short
		s := startWithLimits(t, limits)
		conn := connect(t, s)
		limits.headerTime = long
		setLimits(t, s, limits)
		conn.write(t, begin)
		time.Sleep(3 * short)
		conn.checkAnswered(t, "Authorization"+end)
	})
	t.Run("lowered", func(t *testing.T) {
		t.Parallel()
		limits := defaultLimits()
		limits.headerTime = long
		s := startWithLimits(t, limits)
		conn := connect(t, s)
		limits.headerTime = short
		setLimits(t, s, limits)
		conn.write(t, begin)
		conn.checkClosed(t, short/2, short+slack)
	})
}

// A node must not keep a server for each change of the limits. This test counts goroutines, so it
// runs before the parallel ones.
func TestChangedLimitsLeaveNoServers(t *testing.T) {
	const changes = 12
	limits := defaultLimits()
	s := startWithLimits(t, limits)
	serving := func() int {
		stacks := make([]byte, 16<<20)
		return strings.Count(string(stacks[:runtime.Stack(stacks, true)]), "net/http.(*Server).Serve(")
	}
	before := serving()
	for range changes {
		limits.maxIdle += time.Second
		limits.headerBytes += 1 << 10
		setLimits(t, s, limits)
		connect(t, s)
	}
	if diff := cmp.Diff(before, serving()); diff != "" {
		t.Errorf("goroutines that run a server (-want +got):\n%s", diff)
	}
}
