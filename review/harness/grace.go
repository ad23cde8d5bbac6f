package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	graceAtStart    = 8.0
	graceReloaded   = 20.0
	streamsOfGrace  = 6
	eventsOfGrace   = 12
	eventPauseGrace = time.Second
)

// runGrace changes grace-s in the settings of two machines, announced by SIGHUP, and then stops
// one of them as planned while it answers streams of 12 s. The platform kills it when the new
// grace-s is over.
func runGrace(ctx context.Context, l *lab, trouble bool) error {
	replicas, err := l.addReplicas(3, 20*time.Millisecond, eventsOfGrace, eventPauseGrace)
	if err != nil {
		return err
	}
	l.configure(l.routesOfApp(), oneTenant())
	if err := l.startNodes(ctx, 2, 0); err != nil {
		return err
	}
	grace := graceAtStart
	if trouble {
		grace = graceReloaded
		for _, n := range l.nodes {
			n.grace = grace
			if err := n.writeSettings(); err != nil {
				return err
			}
			n.signal(syscall.SIGHUP)
		}
	}
	if err := sleep(ctx, 2*stableWindow); err != nil {
		return err
	}
	stopped := l.nodes[0]
	complete := make([]bool, streamsOfGrace)
	var wait sync.WaitGroup
	for i := range streamsOfGrace {
		wait.Add(1)
		l.group.Go(func() error {
			defer wait.Done()
			complete[i] = sendStream(ctx, l, stopped, fmt.Sprintf("stream-%04d", i))
			return nil
		})
	}
	if err := sleep(ctx, time.Second); err != nil {
		return err
	}
	stopAt := time.Now()
	end := stopAt.Add(time.Duration(grace * float64(time.Second)))
	stopped.signal(syscall.SIGTERM)
	for stopped.running() && time.Now().Before(end) {
		if err := sleep(ctx, 20*time.Millisecond); err != nil {
			return err
		}
	}
	if stopped.running() {
		stopped.signal(syscall.SIGKILL)
	}
	<-stopped.done
	l.note("platform: %s has ended %.2f s after SIGTERM, grace-s is %v", stopped.name, time.Since(stopAt).Seconds(), grace)
	wait.Wait()
	time.Sleep(200 * time.Millisecond)
	lastSixth := stopAt.Add(time.Duration(grace * 5 / 6 * float64(time.Second)))
	lost := 0
	for i, ok := range complete {
		id := fmt.Sprintf("stream-%04d", i)
		for _, r := range replicas {
			e, ran := r.run(id)
			if !ran || ok {
				continue
			}
			if e.end.After(lastSixth) {
				l.note("judge: %s is excused: its replica was at work in the last sixth of grace-s", id)
				continue
			}
			l.note("judge: %s is lost: its replica was at work until %.2f s after SIGTERM, the last sixth of grace-s begins at %.2f s", id, e.end.Sub(stopAt).Seconds(), lastSixth.Sub(stopAt).Seconds())
			lost++
		}
	}
	if lost > 0 {
		return fmt.Errorf("%w: %d of %d streams that the node had passed on ended without a complete answer", errBroken, lost, streamsOfGrace)
	}
	return nil
}

// sendStream sends a request for a stream and reports whether its answer was complete.
func sendStream(ctx context.Context, l *lab, n *node, id string) bool {
	client := &http.Client{Transport: &http.Transport{}}
	req, err := newRequest(ctx, n.front, http.MethodPost, "/chat/"+id, id, knownKey, 15*time.Second, strings.NewReader("prompt"))
	if err != nil {
		return false
	}
	sentAt := time.Now()
	l.note("requester: sends %s to %s", id, n.name)
	resp, err := client.Do(req)
	if err != nil {
		l.note("requester: %s: no answer after %.2f s: %v", id, time.Since(sentAt).Seconds(), err)
		return false
	}
	data, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close() // It has been read.
	pieces := strings.Count(string(data), "data: ")
	l.note("requester: %s: status %d, %d of %d pieces after %.2f s, end of the body: %v", id, resp.StatusCode, pieces, eventsOfGrace, time.Since(sentAt).Seconds(), err)
	return err == nil && resp.StatusCode == http.StatusOK && pieces == eventsOfGrace
}
