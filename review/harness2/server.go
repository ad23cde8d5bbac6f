package main

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// modelServer is a model server that streams events.
type modelServer struct {
	id, address string
	record      *record
	store       *storeServer
	events      int
	first, gap  time.Duration
	capacity    int
	slots       int

	mu         sync.Mutex
	active     int
	tokens     int
	peakTokens int
	ran        int
	refused    int
}

// ServeHTTP implements http.Handler.
func (s *modelServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", id)
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/api/order" {
		w.WriteHeader(http.StatusConflict) // No memory is set aside here.
		return
	}
	prompt, answer, _ := strings.Cut(r.Header.Get("Token-Counts"), ",")
	p, _ := strconv.Atoi(prompt)
	a, _ := strconv.Atoi(answer)
	s.mu.Lock()
	full := s.active >= s.slots || s.tokens+p > s.capacity
	if !full {
		s.active++
		s.tokens += p
		s.peakTokens = max(s.peakTokens, s.tokens)
		s.ran++
	} else {
		s.refused++
	}
	s.mu.Unlock()
	if full {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.active--
		s.tokens -= p
	}()
	_ = a
	s.record.line("%s runs %s", s.id, id)
	s.store.recordRun(id)
	w.Header().Set("Response-Seal", s.id+"."+id)
	w.Header().Set("Content-Type", "text/event-stream")
	begin := 1
	if after, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		begin = after + 1
	}
	control := http.NewResponseController(w)
	wait := s.first
	for n := begin; n <= s.events; n++ {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(wait):
		}
		wait = s.gap
		if _, err := fmt.Fprintf(w, "id: %d\ndata: piece %d of %s\n\n", n, n, id); err != nil || control.Flush() != nil {
			return
		}
	}
}
