package gateway_test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
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
	"github.com/catkinspindle/catkinspindle/events"
	"github.com/catkinspindle/catkinspindle/gateway"
	"github.com/catkinspindle/catkinspindle/httpserver"
	"github.com/catkinspindle/catkinspindle/platform"
	"github.com/catkinspindle/catkinspindle/retries"
)

// handedOver is a listener of connections that are handed to it.
type handedOver struct {
	connections chan net.Conn
	closed      chan struct{}
	once        sync.Once
}

// Accept implements net.Listener.
func (l *handedOver) Accept() (net.Conn, error) {
	select {
	case c := <-l.connections:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *handedOver) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *handedOver) Addr() net.Addr { return &net.TCPAddr{} }

// pipeEnd is an end of a pipe whose writing side can be closed.
type pipeEnd struct {
	net.Conn
	closed atomic.Bool
}

// CloseWrite makes later writes fail.
func (e *pipeEnd) CloseWrite() error {
	e.closed.Store(true)
	return nil
}

// Write implements net.Conn.
func (e *pipeEnd) Write(p []byte) (int, error) {
	if e.closed.Load() {
		return 0, net.ErrClosed
	}
	return e.Conn.Write(p)
}

// served is a gateway behind a server, with its log and counters.
type served struct {
	gateway  *gateway.Gateway
	server   *httpserver.Server
	cluster  *panickingCluster
	registry metrics.Registry
	log      *bytes.Buffer
}

func newServed(w *panickingCluster, budget float64, configured bool) *served {
	newGateway(w.fakeCluster, w, budget, configured) // It makes the view.
	s := &served{cluster: w, registry: metrics.NewRegistry(), log: &bytes.Buffer{}}
	log := slog.New(slog.NewJSONHandler(s.log, nil))
	allowance := testBudget
	allowance.Min = budget
	codec := gateway.Codec{Key: platform.APIKey, Timeout: platform.RequestTimeout, Request: w.decode}
	s.gateway = gateway.New(w.view, w, w, w, retries.New(allowance, 1), codec, log, gateway.WithConfigExpected(func() bool { return false }))
	s.server = httpserver.New(s.gateway, log, httpserver.WithMetrics(s.registry))
	return s
}

// lines returns the reasons of the lines about ends, empty for an answer, and those of closed
// connections whose requests never reached the gateway.
func (s *served) lines(t *testing.T) (ends, closed []string) {
	t.Helper()
	for line := range strings.Lines(s.log.String()) {
		var l struct {
			Event  events.Event
			Reason string
		}
		if err := json.Unmarshal([]byte(line), &l); err != nil {
			t.Fatalf("%q: %v", line, err)
		}
		switch {
		case l.Event == events.RequestEnded:
			ends = append(ends, l.Reason)
		case l.Event == events.ConnectionClosed && (l.Reason == "malformed" || strings.HasPrefix(l.Reason, "header-")):
			closed = append(closed, l.Reason)
		}
	}
	return ends, closed
}

// count returns a counter of requests.
func (s *served) count(name string) int {
	return int(metrics.GetOrRegisterCounter("caller-requests-"+name, s.registry).Count())
}

// readAnswers reads the answers to requests until the connection ends.
func readAnswers(r io.Reader) (answers []string) {
	reader := bufio.NewReader(r)
	for {
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			return answers
		}
		body, err := io.ReadAll(resp.Body)
		answer := fmt.Sprint(resp.StatusCode)
		switch {
		case err != nil:
			answer += " cut"
		case resp.StatusCode > 500 && resp.Header.Get("Response-Seal") == "":
			reason, _, _ := strings.Cut(string(body), " ")
			answer += " " + reason
		}
		answers = append(answers, answer)
	}
}

// requestText returns a request with further lines of the header and a body.
func requestText(path, protocol, lines, body string) string {
	return "POST " + path + " HTTP/" + protocol + "\r\nHost: h.example\r\nAttempt-Id: a\r\nAuthorization: Bearer k\r\n" + lines + "\r\n" + body
}

// leave lets the caller close its connection, act something happen to the gateway, pause let time pass.
type (
	leave struct{}
	act   func(*served)
	pause time.Duration
)

// Each request that reaches the gateway ends with one line, is counted once and gives its caller an
// answer, a failure or a cut answer. One that does not reach it is in the line of its connection.
func TestEveryKindOfEndIsCountedLoggedAndAnswered(t *testing.T) {
	plain := func(path string) string { return requestText(path, "1.1", "Content-Length: 0\r\n", "") }
	within := func(path string) string {
		return requestText(path, "1.1", "Deadline-Ms: 1000\r\nContent-Length: 0\r\n", "")
	}
	withBody := func(lines, body string) string { return requestText("/any/", "1.1", lines, body) }
	silent := func(body string) []scriptedAnswer {
		return []scriptedAnswer{{status: 200, body: body, silent: true}}
	}
	changeRoutes := func(edit func(*catkinspindle.Routing)) act {
		return func(s *served) {
			r := routing()
			r.Version++
			edit(&r)
			s.cluster.view.SetRouting(r)
		}
	}
	endAll := act(func(s *served) { s.gateway.EndRequests() })
	later := []scriptedAnswer{{status: 200, body: firstEvent, rest: secondEvent, pause: time.Second}}
	type test struct {
		steps []scriptedAnswer
		// sent has texts and what happens between them.
		sent []any
		want []string
		// ends and closed are the reasons of the lines of ends and of closed connections.
		ends, closed []string
		refused      catkinspindle.Reason
		noBudget     bool
		unconfigured bool
		panics       string
		nth          int
	}
	tests := map[string]test{
		"answered":                      {steps: []scriptedAnswer{okAnswer}, sent: []any{plain("/any/")}, want: []string{"200"}, ends: []string{""}},
		"replica's error":               {steps: []scriptedAnswer{errorAnswer}, sent: []any{plain("/once/")}, want: []string{"500"}, ends: []string{""}},
		"no configuration":              {unconfigured: true, sent: []any{plain("/any/")}, want: []string{"503 not-ready"}, ends: []string{"not-ready"}},
		"refused by a stopping node":    {sent: []any{act(func(s *served) { s.gateway.RefuseRequests() }), plain("/any/")}, want: []string{"503 stopping"}, ends: []string{"stopping"}},
		"refused before the stop":       {sent: []any{act(func(s *served) { s.gateway.StopBy(time.Now()) }), pause(time.Second), plain("/any/")}, want: []string{"503 stopping"}, ends: []string{"stopping"}},
		"connection closed by a stop":   {steps: []scriptedAnswer{okAnswer}, sent: []any{act(func(s *served) { s.gateway.CloseConnections() }), plain("/any/")}, want: []string{"200"}, ends: []string{""}},
		"unauthorized":                  {sent: []any{strings.Replace(plain("/any/"), "Bearer k", "Bearer x", 1)}, want: []string{"401"}, ends: []string{"unauthorized"}},
		"unknown route":                 {sent: []any{plain("/none/")}, want: []string{"404"}, ends: []string{"unknown-service"}},
		"target that is no path":        {sent: []any{plain("http://h.example/any/")}, want: []string{"400"}, ends: []string{"bad-request"}},
		"request without an id":         {sent: []any{strings.Replace(plain("/any/"), "Attempt-Id: a\r\n", "", 1)}, want: []string{"400"}, ends: []string{"bad-request"}},
		"body too large":                {sent: []any{withBody("Content-Length: 1001\r\n", strings.Repeat("x", 1001))}, want: []string{"413"}, ends: []string{"too-large"}},
		"chunks too large":              {sent: []any{withBody("Transfer-Encoding: chunked\r\n", "400\r\n"+strings.Repeat("x", 1024)+"\r\n0\r\n\r\n")}, want: []string{"413"}, ends: []string{"too-large"}},
		"malformed chunk":               {sent: []any{withBody("Transfer-Encoding: chunked\r\n", "x\r\n")}, want: []string{"400"}, ends: []string{"bad-request"}},
		"body cut short":                {sent: []any{withBody("Content-Length: 9\r\n", "x"), leave{}}, ends: []string{"bad-request"}},
		"body slow and then cut":        {sent: []any{withBody("Content-Length: 9\r\n", "x"), pause(3 * time.Second), "x", leave{}}, ends: []string{"bad-request"}},
		"slow body":                     {steps: []scriptedAnswer{okAnswer}, sent: []any{withBody("Content-Length: 2\r\n", "x"), pause(3 * time.Second), "x"}, want: []string{"200"}, ends: []string{""}},
		"body that never ends":          {sent: []any{strings.Replace(within("/any/"), "Length: 0", "Length: 9", 1)}, want: []string{"503 deadline"}, ends: []string{"deadline"}},
		"chunks that never end":         {sent: []any{strings.Replace(within("/any/"), "Content-Length: 0", "Transfer-Encoding: chunked", 1)}, want: []string{"503 deadline"}, ends: []string{"deadline"}},
		"ended while the body is read":  {sent: []any{withBody("Content-Length: 9\r\n", "x"), endAll}, want: []string{"503 stopping"}, ends: []string{"stopping"}},
		"refused beside a stalled body": {sent: []any{strings.Replace(withBody("Content-Length: 9\r\n", "x"), "/any/", "/none/", 1), pause(time.Second), leave{}}, want: []string{"404"}, ends: []string{"unknown-service"}},
		"too large and stalled":         {sent: []any{withBody("Content-Length: 1001\r\n", "x"), pause(time.Second), leave{}}, want: []string{"413"}, ends: []string{"too-large"}},
		"refused and then sent whole":   {sent: []any{strings.Replace(withBody("Content-Length: 2\r\n", "x"), "/any/", "/none/", 1), pause(50 * time.Millisecond), "x" + plain("/none/")}, want: []string{"404", "404"}, ends: []string{"unknown-service", "unknown-service"}},
		"caller gone before the answer": {steps: silent(""), sent: []any{plain("/quick/"), leave{}}, ends: []string{"caller-gone"}},
		"caller gone after an event":    {steps: silent(firstEvent), sent: []any{plain("/stream/"), pause(time.Second), leave{}}, want: []string{"200 cut"}, ends: []string{"caller-gone"}},
		"expects 100":                   {steps: []scriptedAnswer{okAnswer}, sent: []any{withBody("Expect: 100-continue\r\nContent-Length: 1\r\n", ""), pause(time.Second), "x"}, want: []string{"100", "200"}, ends: []string{""}},
		"expects 100 and is refused":    {sent: []any{strings.Replace(withBody("Expect: 100-continue\r\nContent-Length: 1\r\n", ""), "/any/", "/none/", 1)}, want: []string{"404"}, ends: []string{"unknown-service"}},
		"HTTP/1.0":                      {steps: []scriptedAnswer{okAnswer}, sent: []any{requestText("/any/", "1.0", "", "")}, want: []string{"200"}, ends: []string{""}},
		"pipelined":                     {steps: []scriptedAnswer{okAnswer, okAnswer}, sent: []any{plain("/any/") + plain("/any/") + plain("/none/")}, want: []string{"200", "200", "404"}, ends: []string{"", "", "unknown-service"}},
		"deadline before an event":      {steps: silent(""), sent: []any{within("/stream/")}, want: []string{"504 deadline"}, ends: []string{"deadline"}},
		"deadline after an event":       {steps: silent(firstEvent), sent: []any{within("/stream/")}, want: []string{"200 cut"}, ends: []string{"deadline"}},
		"replica breaks":                {steps: []scriptedAnswer{{err: errAfterSend}}, sent: []any{plain("/once/")}, want: []string{"502 backend-failed"}, ends: []string{"backend-failed"}},
		"replica breaks a stream":       {steps: []scriptedAnswer{{status: 200, body: firstEvent, broken: true}}, noBudget: true, sent: []any{plain("/stream/")}, want: []string{"200 cut"}, ends: []string{"backend-failed"}},
		"no budget for a retry":         {steps: []scriptedAnswer{{err: errAfterSend}}, noBudget: true, sent: []any{plain("/any/")}, want: []string{"502 backend-failed"}, ends: []string{"backend-failed"}},
		"standby takes over":            {steps: append(silent(firstEvent), scriptedAnswer{status: 200, body: secondEvent}), sent: []any{plain("/quick/")}, want: []string{"200"}, ends: []string{""}},
		"configuration changed":         {steps: later, sent: []any{plain("/stream/"), changeRoutes(func(r *catkinspindle.Routing) { r.Limits.IdleTimeout = time.Second })}, want: []string{"200"}, ends: []string{""}},
		"route dropped":                 {steps: later, sent: []any{plain("/stream/"), changeRoutes(func(r *catkinspindle.Routing) { r.Routes = nil }), pause(2 * time.Second), plain("/stream/")}, want: []string{"200", "404"}, ends: []string{"", "unknown-service"}},
		"ended before the answer":       {steps: silent(""), sent: []any{plain("/stream/"), endAll}, want: []string{"502 stopping"}, ends: []string{"stopping"}},
		"ended after an event":          {steps: silent(firstEvent), sent: []any{plain("/stream/"), pause(time.Second), endAll}, want: []string{"200 cut"}, ends: []string{"stopping"}},
		"panic":                         {panics: "send", nth: 1, sent: []any{plain("/any/")}, want: []string{"502 internal"}, ends: []string{"internal"}},
		"panic after an event":          {panics: "read", nth: 2, steps: later, sent: []any{plain("/stream/")}, want: []string{"200 cut"}, ends: []string{"internal"}},
		"malformed":                     {sent: []any{"?\r\n\r\n"}, want: []string{"400"}, closed: []string{"malformed"}},
		"header too large":              {sent: []any{"GET / HTTP/1.1\r\nA: " + strings.Repeat("x", 32<<10)}, want: []string{"431"}, closed: []string{"header-size"}},
		"header not completed":          {sent: []any{"GET / HT"}, want: []string{"408"}, closed: []string{"header-timeout"}},
	}
	for _, reason := range []catkinspindle.Reason{catkinspindle.ReasonOverload, catkinspindle.ReasonNoBackend, catkinspindle.ReasonRateLimit, catkinspindle.ReasonNeverFits, catkinspindle.ReasonDeadline, catkinspindle.ReasonQuarantined, catkinspindle.ReasonNotReady} {
		tests["placing refused: "+string(reason)] = test{refused: reason, sent: []any{plain("/any/")}, want: []string{"503 " + string(reason)}, ends: []string{string(reason)}}
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := &panickingCluster{fakeCluster: &fakeCluster{steps: tt.steps}, method: tt.panics, nth: tt.nth, calls: map[string]int{}}
				if tt.refused != "" {
					w.refusal = &catkinspindle.Placement{Reason: tt.refused, RetryAfter: time.Second}
				}
				budget := 9.0
				if tt.noBudget {
					budget = 0
				}
				s := newServed(w, budget, !tt.unconfigured)
				l := &handedOver{connections: make(chan net.Conn), closed: make(chan struct{})}
				var serving, caller errgroup.Group
				serving.Go(func() error { return s.server.Serve(l) })
				client, conn := net.Pipe()
				l.connections <- &pipeEnd{Conn: conn}
				var answers []string
				caller.Go(func() error {
					answers = readAnswers(client)
					return nil
				})
				for _, step := range tt.sent {
					switch step := step.(type) {
					case string:
						_, _ = io.WriteString(client, step) // The server may close the connection meanwhile.
					case pause:
						time.Sleep(time.Duration(step))
					case act:
						step(s)
					case leave:
						_ = client.Close() // A pipe returns no error.
					}
					synctest.Wait()
				}
				time.Sleep(2 * time.Minute)
				_ = client.Close()
				if err := errors.Join(caller.Wait(), s.gateway.Wait(), s.server.Close()); err != nil {
					t.Error(err)
				}
				if err := serving.Wait(); !errors.Is(err, http.ErrServerClosed) {
					t.Error(err)
				}
				synctest.Wait()
				if n := len(answers); n > len(tt.want) && answers[n-1] == "408" {
					answers = answers[:n-1] // The connection was idle.
				}
				if diff := cmp.Diff(tt.want, answers); diff != "" {
					t.Errorf("answers (-want +got):\n%s", diff)
				}
				ends, closed := s.lines(t)
				if diff := cmp.Diff(tt.ends, ends); diff != "" {
					t.Errorf("lines of ends (-want +got):\n%s", diff)
				}
				if diff := cmp.Diff(tt.closed, closed); diff != "" {
					t.Errorf("lines of closed connections (-want +got):\n%s", diff)
				}
				begun := s.count("begun")
				if diff := cmp.Diff([]int{len(tt.ends), len(tt.ends)}, []int{begun, s.count("ended") + s.count("aborted")}); diff != "" {
					t.Errorf("requests begun, ended or aborted (-want +got):\n%s", diff)
				}
			})
		})
	}
}
