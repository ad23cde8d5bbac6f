package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// shortWork is the work time of requests that are neither streams nor actions.
const shortWork = 20 * time.Millisecond

// execution is a request that a replica has run.
type execution struct {
	id, tenant string
	start, end time.Time
	complete   bool
}

// replica is a stand-in of a replica. It works for a time on each action, and streams events one
// after the other.
type replica struct {
	lab    *lab
	id     string
	work   time.Duration
	events int
	pause  time.Duration
	quiet  bool
	// slow is how many times as long the replica takes for a large answer.
	slow atomic.Int64
	// shedding is true while the replica rejects a part of its requests; rejected counts them.
	shedding atomic.Bool
	rejected atomic.Int64
	// silentUntil is the time in nanoseconds until which the replica sends nothing.
	silentUntil atomic.Int64

	mu   sync.Mutex
	runs map[string]*execution
}

// addReplica starts a replica and registers it in the store.
func (l *lab) addReplica(i int, work time.Duration, events int, pause time.Duration) (*replica, error) {
	r := &replica{lab: l, id: fmt.Sprintf("i-%04d", i), work: work, events: events, pause: pause, runs: map[string]*execution{}}
	addr, err := l.serve("127.0.0.1", r)
	if err != nil {
		return nil, err
	}
	l.store.Put("servers", r.id, map[string]any{
		"service": l.service(), "addr": addr, "zone": "zone-a", "version": 1, "slots": slotsOfShed, "state": "ready",
		"cold-left-ms": 0, "seq": 1, "born": time.Now().UnixMilli(),
	})
	return r, nil
}

// addReplicas starts a number of like replicas.
func (l *lab) addReplicas(count int, work time.Duration, events int, pause time.Duration) ([]*replica, error) {
	list := make([]*replica, count)
	for i := range list {
		r, err := l.addReplica(i, work, events, pause)
		if err != nil {
			return nil, err
		}
		list[i] = r
	}
	return list, nil
}

func (r *replica) run(id string) (execution, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, ok := r.runs[id]
	if !ok {
		return execution{}, false
	}
	return *e, true
}

// ServeHTTP implements http.Handler.
func (r *replica) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	h := w.Header()
	switch {
	case req.URL.Path == "/healthz":
		h.Set("Instance-Id", r.id)
		return
	case req.URL.Path == "/api/report" || req.URL.Path == "/api/order":
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	id := req.Header.Get("Attempt-Id")
	h.Set("Attempt-Id", id)
	if expected := req.Header.Get("Expect-Instance"); expected != "" && expected != r.id {
		h.Set("Not-Executed", "1")
		h.Set("At-Server", r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return // The request did not arrive whole.
	}
	ctx := req.Context()
	if r.sheds() {
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if ms, err := strconv.Atoi(req.Header.Get("Deadline-Ms")); err == nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(ms)*time.Millisecond)
		defer cancel()
	}
	e := &execution{id: id, tenant: req.Header.Get("Tenant"), start: time.Now()}
	r.mu.Lock()
	r.runs[id] = e
	r.mu.Unlock()
	if !r.quiet {
		r.lab.note("replica %s: runs %s of tenant %q: %s %s", r.id, id, e.tenant, req.Method, req.URL.Path)
	}
	complete := r.answer(ctx, w, req)
	r.mu.Lock()
	e.end, e.complete = time.Now(), complete
	r.mu.Unlock()
	if !complete && !r.quiet {
		r.lab.note("replica %s: %s was broken off after %.2f s", r.id, id, e.end.Sub(e.start).Seconds())
	}
}

func (r *replica) answer(ctx context.Context, w http.ResponseWriter, req *http.Request) bool {
	w.Header().Set("Response-Seal", r.id+"."+req.Header.Get("Attempt-Id"))
	if strings.HasPrefix(req.URL.Path, "/large/") {
		return r.answerLarge(ctx, w)
	}
	if !strings.HasPrefix(req.URL.Path, "/chat/") {
		work := r.work
		if !strings.HasPrefix(req.URL.Path, "/act/") {
			work = shortWork
		}
		if sleep(ctx, work) != nil {
			return false
		}
		_, err := fmt.Fprintf(w, "done by %s\n", r.id)
		return err == nil
	}
	first := 1
	if after, err := strconv.Atoi(req.Header.Get("Last-Event-Id")); err == nil {
		first = after + 1
	}
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	for n := first; n <= r.events; n++ {
		if sleep(ctx, r.pause) != nil || r.awaitVoice(ctx) != nil {
			return false
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: piece %d of %d\n\n", n, n, r.events); err != nil {
			return false
		}
		if control.Flush() != nil {
			return false
		}
	}
	return true
}
