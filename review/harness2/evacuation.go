package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/catkinspindle/catkinspindle/platform/standin/store"
)

// zoneLog has the times at which requests reached the servers of a zone.
type zoneLog struct {
	mu sync.Mutex
	at []time.Time
}

func (l *zoneLog) between(from, to time.Time) (n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, t := range l.at {
		if t.After(from) && t.Before(to) {
			n++
		}
	}
	return n
}

// playEvacuation evacuates a zone. The store is away for a second shortly after, and comes back from a copy that
// is two seconds old; the operator writes the request again six seconds later.
func playEvacuation(r *record) (bool, error) {
	const (
		evacuate    = 5 * time.Second
		touch       = 4 * time.Second
		rewriteTime = 6 * time.Second
		slack       = 200 * time.Millisecond
	)
	s, err := newStore(r)
	if err != nil {
		return false, err
	}
	zones := map[string]*zoneLog{"a": {}, "b": {}}
	for i := range 4 {
		zone := "ab"[i%2 : i%2+1]
		m := &modelServer{id: fmt.Sprintf("i-%s%d", zone, i/2+1), record: r, events: 24, first: 100 * time.Millisecond, gap: 45 * time.Millisecond, capacity: 315000, slots: 16}
		l := zones[zone]
		if m.address, err = serve(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
			l.mu.Lock()
			l.at = append(l.at, time.Now())
			l.mu.Unlock()
			m.ServeHTTP(w, q)
		})); err != nil {
			return false, err
		}
		s.registerIn(m, zone)
	}
	s.Put("config", "main", smallConfig())
	f, err := newFleet(r)
	if err != nil {
		return false, err
	}
	defer f.stop()
	for range 3 {
		if _, err := f.add("a", s.address, 284, map[string]any{"evacuate-ms": evacuate.Milliseconds(), "stable-window-ms": touch.Milliseconds(), "catch-up-s": 6, "drain-ms": 3000, "config-apply-ms": 3000}); err != nil {
			return false, err
		}
	}
	for _, n := range f.nodes {
		if err := n.start(); err != nil {
			return false, err
		}
	}
	if err := f.awaitReady(); err != nil {
		return false, err
	}
	t := startTraffic(f, 24, request{method: "POST", path: "/chat/1", key: "k1", prompt: 4960, output: 1224, deadline: 10 * time.Second, body: "prompt"})
	begun := time.Now()
	time.Sleep(touch)
	backup := s.Backup()
	time.Sleep(100 * time.Millisecond)
	s.Put("evacuations", "b", map[string]any{})
	acknowledged := time.Now()
	r.line("operator: evacuation of zone b, acknowledged")
	time.Sleep(time.Second)
	if r.trouble {
		r.line("store: away")
		s.SetFaults(store.Faults{Down: true})
	}
	time.Sleep(time.Second)
	if r.trouble {
		s.Restore(backup)
		s.SetFaults(store.Faults{})
		r.line("store: back from a copy, before the evacuation")
	}
	back := time.Now()
	time.Sleep(rewriteTime)
	if r.trouble {
		s.Put("evacuations", "b", map[string]any{})
		r.line("operator: evacuation of zone b, written again")
	}
	rewritten := time.Now()
	time.Sleep(evacuate + time.Second)
	list := t.end()
	from := back.Add(touch + slack)
	if due := acknowledged.Add(evacuate + slack); due.After(from) {
		from = due
	}
	before := zones["b"].between(begun, acknowledged)
	early := zones["b"].between(acknowledged.Add(evacuate), rewritten)
	late := zones["b"].between(from, rewritten)
	after := zones["b"].between(rewritten.Add(evacuate), time.Now())
	share, sent := served(list, time.Time{}, time.Now())
	r.printf("served: %.3f of %d; requests at servers of zone b: %d before the evacuation, %d later than evacuate-ms after it was acknowledged, %d of them while the machines were in touch, %d later than evacuate-ms after it was written again",
		share, sent, before, early, late, after)
	if before < 10 || share < 0.9 {
		return false, fmt.Errorf("too little traffic: %d at zone b, %.3f served", before, share)
	}
	return late > 0, nil
}
