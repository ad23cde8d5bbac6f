package main

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	replicasOfShed = 7
	slotsOfShed    = 16
	eventsOfShed   = 16
	eventPauseShed = 70 * time.Millisecond
	// streamsOfShed are the streams at a time.
	streamsOfShed = 80
	// silentTime is how long a sound replica falls silent, silentInterval the time between two
	// replicas that do so, one after the other.
	silentTime     = 1300 * time.Millisecond
	silentInterval = time.Second
	// shedShare is the share of its requests that one replica rejects during shedTime.
	shedShare  = 0.45
	shedTime   = 6500 * time.Millisecond
	shedTimes  = 4
	shedPause  = time.Second
	timeOfShed = 33 * time.Second
)

// runShed lets one of seven replicas reject a part of its requests. The sound ones fall silent for
// a moment now and then, with and without the disruption.
func runShed(ctx context.Context, l *lab, trouble bool) error {
	l.engine = true
	replicas, err := l.addReplicas(replicasOfShed, 0, eventsOfShed, eventPauseShed)
	if err != nil {
		return err
	}
	for _, r := range replicas {
		r.quiet = true
	}
	l.configure(l.routesOfApp(), oneTenant())
	if err := l.startNodes(ctx, 2, 0); err != nil {
		return err
	}
	begin := time.Now()
	l.group.Go(func() error {
		for i := 0; time.Since(begin) < timeOfShed; i++ {
			replicas[1+i%(replicasOfShed-1)].silentUntil.Store(time.Now().Add(silentTime).UnixNano())
			if err := sleep(ctx, silentInterval); err != nil {
				return err
			}
		}
		return nil
	})
	if trouble {
		l.group.Go(func() error {
			for range shedTimes {
				if err := sleep(ctx, shedPause); err != nil {
					return err
				}
				l.note("replica %s rejects %v of its requests", replicas[0].id, shedShare)
				replicas[0].shedding.Store(true)
				err := sleep(ctx, shedTime)
				replicas[0].shedding.Store(false)
				l.note("replica %s takes all requests again", replicas[0].id)
				if err != nil {
					return err
				}
			}
			return nil
		})
	}
	var complete, refused, cut atomic.Int64
	var wait sync.WaitGroup
	for i := range streamsOfShed {
		wait.Add(1)
		l.group.Go(func() error {
			defer wait.Done()
			if err := sleep(ctx, time.Duration(i)*20*time.Millisecond); err != nil {
				return err
			}
			client := &http.Client{Transport: &http.Transport{}}
			// kept is true when the channel has carried a whole answer.
			kept := false
			for k := 0; time.Since(begin) < timeOfShed && ctx.Err() == nil; k++ {
				id := fmt.Sprintf("shed-%02d-%02d", i, k)
				a := l.readStream(ctx, client, l.nodes[i%2], id)
				switch {
				case a.whole:
					complete.Add(1)
					kept = true
				case a.status != http.StatusOK:
					refused.Add(1)
				default:
					if kept {
						cut.Add(1)
					}
					l.note("requester: %s was cut %.2f s after piece %d of %d, on a kept channel: %t, begun by replica %s: %v", id, a.silence.Seconds(), a.pieces, eventsOfShed, kept, a.seal, a.err)
					kept = false
					for _, r := range replicas {
						if e, ok := r.run(id); ok {
							l.note("judge: %s ran at replica %s for %.2f s", id, r.id, e.end.Sub(e.start).Seconds())
						}
					}
				}
				if err := sleep(ctx, a.retryAfter); err != nil {
					return err
				}
			}
			return nil
		})
	}
	wait.Wait()
	l.note("judge: %d streams complete, %d refused or failed, %d cut on kept channels; %d requests were rejected by replica %s", complete.Load(), refused.Load(), cut.Load(), replicas[0].rejected.Load(), replicas[0].id)
	if cut.Load() > 3 {
		return fmt.Errorf("%w: %d streams from kept channels that sound replicas were answering ended in the middle", errBroken, cut.Load())
	}
	return nil
}

// streamAnswer is the answer to a request for a stream.
type streamAnswer struct {
	status int
	seal   string
	// whole is true when all pieces came and the answer ended as complete.
	whole  bool
	pieces int
	// silence is the time between the last piece and the end.
	silence    time.Duration
	retryAfter time.Duration
	err        error
}

// readStream sends a request for a stream and reads its answer.
func (l *lab) readStream(ctx context.Context, client *http.Client, n *node, id string) (a streamAnswer) {
	ctx, cancel := context.WithTimeout(ctx, 10*time.Second)
	defer cancel()
	req, err := newRequest(ctx, n.front, http.MethodPost, "/chat/"+id, id, knownKey, 10*time.Second, strings.NewReader("prompt"))
	if err != nil {
		return streamAnswer{err: err}
	}
	resp, err := client.Do(req)
	if err != nil {
		l.note("requester: %s: no answer: %v", id, err)
		return streamAnswer{err: err, retryAfter: time.Second}
	}
	defer func() { _ = resp.Body.Close() }() // It has been read.
	a.status, a.seal = resp.StatusCode, resp.Header.Get("Response-Seal")
	if s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		a.retryAfter = time.Duration(s * float64(time.Second))
	}
	last := time.Now()
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), "data: ") {
			a.pieces++
			last = time.Now()
		}
	}
	a.err, a.silence = lines.Err(), time.Since(last)
	a.whole = a.err == nil && a.status == http.StatusOK && a.pieces == eventsOfShed
	return a
}

// sheds reports whether the replica rejects the next request, and counts it.
func (r *replica) sheds() bool {
	if !r.shedding.Load() || rand.Float64() >= shedShare {
		return false
	}
	r.rejected.Add(1)
	return true
}

// awaitVoice waits until the replica is no longer silent.
func (r *replica) awaitVoice(ctx context.Context) error {
	return sleep(ctx, time.Until(time.Unix(0, r.silentUntil.Load())))
}
