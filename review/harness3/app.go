package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"
)

// unreadTimeout is how long an answer of a replica may stay unread before the replica cuts it off.
const unreadTimeout = 10 * time.Second

// app is a replica of the plain service.
type app struct {
	id     string
	body   string
	record *record
	// quiet leaves the requests out of the record.
	quiet bool

	mu  sync.Mutex
	ran map[string]int
	// brokenOff has the requests whose answers the replica has cut off because they stayed unread.
	brokenOff map[string]bool
}

func newApp(r *record, id, body string) *app {
	return &app{id: id, body: body, record: r, ran: map[string]int{}, brokenOff: map[string]bool{}}
}

// addApp starts and registers a replica whose answers have the given body.
func (s *site) addApp(id, body string) error {
	s.app = newApp(s.record, id, body)
	address, err := s.serve(s.app)
	if err != nil {
		return err
	}
	s.register(id, address)
	return nil
}

// register writes the entry of a replica of the plain service.
func (s *site) register(id, address string) {
	s.store.Put("servers", id, map[string]any{
		"service": "app", "addr": address, "zone": "z1", "version": "1", "slots": 8, "state": "ready",
		"cold-left-ms": 0, "seq": 1, "born": time.Now().UnixMilli(),
	})
}

// ServeHTTP implements http.Handler.
func (a *app) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/healthz" {
		w.Header().Set("Instance-Id", a.id)
		return
	}
	id := r.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", id)
	if r.Header.Get("Expect-Instance") != a.id {
		w.Header().Set("Instance-Id", a.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	a.mu.Lock()
	a.ran[id]++
	a.mu.Unlock()
	if !a.quiet {
		a.record.line("%s: runs %s %s", a.id, r.Method, id)
	}
	w.Header().Set("Response-Seal", a.id+"."+id)
	w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	err := a.write(w)
	if !a.quiet {
		a.record.line("%s: answer to %s is written, error: %v", a.id, id, err)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.brokenOff[id] = errors.Is(err, os.ErrDeadlineExceeded)
}

// write writes the body. It fails when a part of it stays unread for unreadTimeout.
func (a *app) write(w http.ResponseWriter) error {
	const part = 64 << 10
	control := http.NewResponseController(w)
	for rest := a.body; len(rest) > 0; rest = rest[min(part, len(rest)):] {
		if err := control.SetWriteDeadline(time.Now().Add(unreadTimeout)); err != nil {
			return err
		}
		if _, err := io.WriteString(w, rest[:min(part, len(rest))]); err != nil {
			return err
		}
	}
	return control.Flush()
}

// hasRun reports whether the replica has run a request and has not broken its answer off.
func (a *app) hasRun(id string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.ran[id] > 0 && !a.brokenOff[id]
}

// getRequest returns the text of a request without a body.
func getRequest(target, id string, deadline time.Duration) string {
	return fmt.Sprintf("GET %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nAuthorization: Bearer %s\r\n\r\n",
		target, host, id, deadline.Milliseconds(), key)
}

// serve starts a server on a free loopback port and returns its address. It ends with the process.
func (s *site) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: 3 * time.Second}
	s.servers.Go(func() error { return server.Serve(l) })
	return l.Addr().String(), nil
}
