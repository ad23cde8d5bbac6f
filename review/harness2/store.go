package main

import (
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/catkinspindle/catkinspindle/platform/standin/store"
)

// group runs everything that goes on beside a case.
var group errgroup.Group

// storeServer is the platform's store, whose answers may get lost.
type storeServer struct {
	*store.Store
	address string
	record  *record

	mu  sync.Mutex
	ran map[string]int
	// lose reports whether the answer of a write gets lost, which is done all the same.
	lose func(method, path string) bool
	// written and lost count the writes of the nodes since lose was set.
	written, lost int
}

func newStore(r *record) (*storeServer, error) {
	s := &storeServer{Store: store.New(), record: r, ran: map[string]int{}}
	address, err := serve(s)
	s.address = address
	return s, err
}

// serve serves h on a free loopback port.
func serve(h http.Handler) (address string, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	group.Go(func() error { return http.Serve(l, h) })
	return l.Addr().String(), nil
}

func (s *storeServer) setLose(f func(method, path string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lose, s.written, s.lost = f, 0, 0
}

func (s *storeServer) writes() (written, lost int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.written, s.lost
}

// ServeHTTP implements http.Handler.
func (s *storeServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet {
		s.Store.ServeHTTP(w, r)
		return
	}
	s.mu.Lock()
	s.written++
	lost := s.lose != nil && s.lose(r.Method, r.URL.Path)
	if lost {
		s.lost++
	}
	s.mu.Unlock()
	s.record.line("store: %s %s, answer lost: %t", r.Method, strings.TrimPrefix(r.URL.Path, "/api/objects/"), lost)
	if !lost {
		s.Store.ServeHTTP(w, r)
		return
	}
	s.Store.ServeHTTP(httptest.NewRecorder(), r)
	<-r.Context().Done() // The channel returns nothing further.
}

// register registers a server of the service "pool".
func (s *storeServer) register(m *modelServer) { s.registerIn(m, "a") }

// registerIn registers a server in a zone.
func (s *storeServer) registerIn(m *modelServer, zone string) {
	m.store = s
	s.Put("servers", m.id, map[string]any{"service": "pool", "addr": m.address, "zone": zone, "version": "v1", "slots": m.slots, "state": "ready", "cold-left-ms": 0, "seq": 1, "born": time.Now().UnixMilli()})
}

// recordRun records that a server has begun to work on a request.
func (s *storeServer) recordRun(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ran[id]++
}

func (s *storeServer) hasRun(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ran[id] > 0
}
