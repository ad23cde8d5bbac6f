package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	replicasOfStall = 7
	channelsOfStall = 24
	// slowTime is how long one replica is slow, timeOfStall how long requests are sent.
	slowTime    = 6500 * time.Millisecond
	timeOfStall = 12 * time.Second
	// answerBytes is the size of an answer, which a replica sends in answerChunks over answerTime.
	answerBytes  = 600 << 10
	answerChunks = 20
	answerTime   = 500 * time.Millisecond
	// slowFactor is how many times as long a slow replica takes.
	slowFactor = 4
)

// runStall turns one of seven replicas slow. It goes on sending its answers, in four times the time.
func runStall(ctx context.Context, l *lab, trouble bool) error {
	replicas, err := l.addReplicas(replicasOfStall, 20*time.Millisecond, 0, 0)
	if err != nil {
		return err
	}
	for _, r := range replicas {
		r.quiet = true
		r.slow.Store(1)
	}
	l.configure(l.routesOfApp(), oneTenant())
	if err := l.startNodes(ctx, 3, 0); err != nil {
		return err
	}
	if trouble {
		l.note("replica %s turns slow, %d times", replicas[0].id, slowFactor)
		replicas[0].slow.Store(slowFactor)
	}
	l.group.Go(func() error {
		err := sleep(ctx, slowTime)
		replicas[0].slow.Store(1)
		l.note("replica %s is as fast as before", replicas[0].id)
		return err
	})
	var cut, answered, refused atomic.Int64
	var wait sync.WaitGroup
	end := time.Now().Add(timeOfStall)
	for i := range channelsOfStall {
		wait.Add(1)
		l.group.Go(func() error {
			defer wait.Done()
			n := l.nodes[i%len(l.nodes)]
			client := &http.Client{Transport: &http.Transport{DialContext: oneChannel()}}
			for k := 0; time.Now().Before(end) && ctx.Err() == nil; k++ {
				id := fmt.Sprintf("large-%d-%d", i, k)
				switch status, complete := readLarge(ctx, l, client, n, id); {
				case !complete:
					cut.Add(1)
				case status == http.StatusOK:
					answered.Add(1)
				default:
					refused.Add(1)
				}
			}
			return nil
		})
	}
	wait.Wait()
	l.note("judge: %d answers complete, %d requests refused or failed, %d cut off", answered.Load(), refused.Load(), cut.Load())
	if cut.Load() > 3 {
		return fmt.Errorf("%w: %d requests from kept channels were passed on to a replica that was answering, and their channels were closed in the middle of the answer", errBroken, cut.Load())
	}
	return nil
}

// readLarge sends a request for a large answer and reports whether a complete answer came.
func readLarge(ctx context.Context, l *lab, client *http.Client, n *node, id string) (status int, complete bool) {
	ctx, cancel := context.WithTimeout(ctx, 4*time.Second)
	defer cancel()
	req, err := newRequest(ctx, n.front, http.MethodGet, "/large/"+id, id, knownKey, 3*time.Second, nil)
	if err != nil {
		return 0, false
	}
	begun := time.Now()
	resp, err := client.Do(req)
	if err != nil {
		l.note("requester: %s at %s: no answer after %.2f s: %v", id, n.name, time.Since(begun).Seconds(), err)
		return 0, false
	}
	data, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close() // It has been read.
	if err != nil {
		l.note("requester: %s at %s: %d of %d bytes after %.2f s, from replica %s: %v", id, n.name, len(data), answerBytes, time.Since(begun).Seconds(), resp.Header.Get("Response-Seal"), err)
		return resp.StatusCode, false
	}
	return resp.StatusCode, true
}

// answerLarge sends a large answer in parts.
func (r *replica) answerLarge(ctx context.Context, w http.ResponseWriter) bool {
	w.Header().Set("Content-Length", fmt.Sprint(answerBytes))
	control := http.NewResponseController(w)
	chunk := make([]byte, answerBytes/answerChunks)
	for range answerChunks {
		if sleep(ctx, time.Duration(r.slow.Load())*answerTime/answerChunks) != nil {
			return false
		}
		if _, err := w.Write(chunk); err != nil || control.Flush() != nil {
			return false
		}
	}
	return true
}
