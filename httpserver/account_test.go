package httpserver_test

import (
	"bytes"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/httpserver"
)

// counters returns the counters of r that are not zero.
func counters(r metrics.Registry) map[string]int64 {
	all := map[string]int64{}
	r.Each(func(name string, m any) {
		if c, ok := m.(metrics.Counter); ok && c.Count() != 0 {
			all[strings.TrimPrefix(name, "caller-")] = c.Count()
		}
	})
	return all
}

// Each request that has begun ends or is aborted, and each connection is closed for one reason.
func TestEndsOfRequestsAndConnectionsAreCounted(t *testing.T) {
	handler := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/abort":
			panic(http.ErrAbortHandler)
		case "/panic":
			panic(errors.New("fault"))
		case "/slow":
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
	})
	get := func(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n" }
	// leave lets the caller close the connection.
	const leave = "leave"
	tests := map[string]struct {
		sent   []string
		want   map[string]int64
		logged string
	}{
		"answered":        {[]string{get("/"), get("/"), leave}, map[string]int64{"requests-begun": 2, "requests-ended": 2, "connections-closed-caller": 1}, ""},
		"options":         {[]string{"OPTIONS * HTTP/1.1\r\nHost: h\r\n\r\n", leave}, map[string]int64{"requests-begun": 1, "requests-ended": 1, "connections-closed-caller": 1}, ""},
		"asked to close":  {[]string{"GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"}, map[string]int64{"requests-begun": 1, "requests-ended": 1, "connections-closed-answered": 1}, ""},
		"aborted":         {[]string{get("/"), get("/abort")}, map[string]int64{"requests-begun": 2, "requests-ended": 1, "requests-aborted": 1, "connections-closed-aborted": 1}, `"reason":"aborted"`},
		"panic":           {[]string{get("/panic")}, map[string]int64{"requests-begun": 1, "requests-aborted": 1, "connections-closed-aborted": 1}, `"panic":"fault"`},
		"caller left":     {[]string{get("/slow"), leave}, map[string]int64{"requests-begun": 1, "requests-aborted": 1, "connections-closed-caller": 1}, ""},
		"idle":            {[]string{get("/")}, map[string]int64{"requests-begun": 1, "requests-ended": 1, "connections-closed-idle-timeout": 1}, `"reason":"idle-timeout"`},
		"part of header":  {[]string{get("/"), "GET"}, map[string]int64{"requests-begun": 1, "requests-ended": 1, "connections-closed-header-timeout": 1}, `"header-bytes":3`},
		"malformed":       {[]string{"?\r\n\r\n"}, map[string]int64{"connections-closed-malformed": 1}, `"reason":"malformed"`},
		"header too long": {[]string{"GET / HTTP/1.1\r\nA: " + strings.Repeat("x", 32<<10)}, map[string]int64{"connections-closed-header-size": 1}, `"reason":"header-size"`},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				registry := metrics.NewRegistry()
				var log bytes.Buffer
				s := httpserver.New(handler, slog.New(slog.NewJSONHandler(&log, nil)), httpserver.WithMetrics(registry))
				s.SetLimits(catkinspindle.TrafficLimits{IdleTimeout: time.Second})
				p := &pipes{accepted: make(chan net.Conn), closed: make(chan struct{})}
				var group errgroup.Group
				group.Go(func() error { return s.Serve(p) })
				c := p.connect()
				var answers errgroup.Group
				answers.Go(func() error {
					_, err := io.Copy(io.Discard, c.Conn)
					return err
				})
				for _, text := range tc.sent {
					if text == leave {
						_ = c.Close() // The pipe returns no error.
						continue
					}
					_, _ = io.WriteString(c, text) // The server may close the connection meanwhile.
					synctest.Wait()
				}
				time.Sleep(time.Minute)
				synctest.Wait()
				if diff := cmp.Diff(tc.want, counters(registry)); diff != "" {
					t.Errorf("counters (-want +got):\n%s", diff)
				}
				if !strings.Contains(log.String(), tc.logged) || (tc.logged == "" && log.Len() > 0) {
					t.Errorf("logged %s, want %s", log.String(), tc.logged)
				}
				_ = answers.Wait() // It may have read from a closed pipe.
				if err := s.Close(); err != nil {
					t.Error(err)
				}
				if err := group.Wait(); !errors.Is(err, http.ErrServerClosed) {
					t.Error(err)
				}
			})
		})
	}
}
