package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync"
	"time"
)

// answer is what a client got for a request.
type answer struct {
	sentAt time.Time
	id     string
	node   string
	status int
	body   string
	err    error
	took   time.Duration
	// kept is true if the request was sent on a channel that had carried an earlier one.
	kept bool
}

// request is what a client sends.
type request struct {
	method, path, key string
	prompt, output    int
	deadline          time.Duration
	body              string
}

const host = "site.example"

var transport = &http.Transport{
	DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
	MaxIdleConnsPerHost: 256,
	DisableCompression:  true,
}

// send sends one requester attempt to a node and reads the answer to its end.
func send(n *node, id string, q request) answer {
	a := answer{sentAt: time.Now(), id: id, node: n.name}
	ctx, cancel := context.WithTimeout(context.Background(), q.deadline)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, q.method, "http://"+n.front+q.path, strings.NewReader(q.body))
	if err != nil {
		a.err = err
		return a
	}
	r.Host = host
	r.Header.Set("Attempt-Id", id)
	r.Header.Set("Deadline-Ms", strconv.FormatInt(q.deadline.Milliseconds(), 10))
	if q.key != "" {
		r.Header.Set("Authorization", "Bearer "+q.key)
	}
	if q.prompt > 0 {
		r.Header.Set("Model", "m")
		r.Header.Set("Token-Counts", fmt.Sprintf("%d,%d", q.prompt, q.output))
	}
	r = r.WithContext(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { a.kept = i.Reused }}))
	resp, err := transport.RoundTrip(r)
	if err == nil {
		var data []byte
		data, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close() // It has been read.
		a.status, a.body = resp.StatusCode, string(data)
	}
	a.err, a.took = err, time.Since(a.sentAt)
	return a
}

// traffic is a steady rate of requests to all nodes of a fleet.
type traffic struct {
	record *record
	mu     sync.Mutex
	got    []answer
	stop   chan struct{}
	ended  sync.WaitGroup
}

func startTraffic(f *fleet, perSecond int, q request) *traffic {
	t := &traffic{record: f.record, stop: make(chan struct{})}
	t.ended.Add(1)
	group.Go(func() error {
		defer t.ended.Done()
		// The arrivals are a Poisson process, the same in each run.
		random := rand.New(rand.NewPCG(1, 2))
		next := time.Now()
		for i := 0; ; i++ {
			next = next.Add(time.Duration(random.ExpFloat64() * float64(time.Second) / float64(perSecond)))
			select {
			case <-t.stop:
				return nil
			case <-time.After(time.Until(next)):
			}
			n, id := f.nodes[random.IntN(len(f.nodes))], fmt.Sprintf("%016x", 0x1c41d07be2a30000+i)
			t.ended.Add(1)
			group.Go(func() error {
				defer t.ended.Done()
				a := send(n, id, q)
				f.record.line("%s to %s: status %d, %d bytes after %v, error %v", id, n.name, a.status, len(a.body), a.took.Round(time.Millisecond), a.err)
				t.mu.Lock()
				defer t.mu.Unlock()
				t.got = append(t.got, a)
				return nil
			})
		}
	})
	return t
}

// end ends the traffic and returns the answers.
func (t *traffic) end() []answer {
	close(t.stop)
	t.ended.Wait()
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.got
}

// served returns the share of the requests sent in a span that were served.
func served(list []answer, from, to time.Time) (share float64, sent int) {
	ok := 0
	for _, a := range list {
		if a.sentAt.Before(from) || !a.sentAt.Before(to) {
			continue
		}
		sent++
		if a.err == nil && a.status == http.StatusOK {
			ok++
		}
	}
	if sent == 0 {
		return 0, 0
	}
	return float64(ok) / float64(sent), sent
}
