package proofs_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/catkinspindle/catkinspindle/platform/standin/replica"
	standinsite "github.com/catkinspindle/catkinspindle/platform/standin/site"
)

// silenceCallers read streams on kept connections and record how each request ended.
type silenceCallers struct {
	site *silenceSite
	// patience is the gap after which a caller leaves.
	patience time.Duration

	mu    sync.Mutex
	calls []silenceCall
}

// silenceCall is a request as its caller saw it.
type silenceCall struct {
	id, path, body string
	node, status   int
	err            error
	// left is true if the caller left after a gap, which is the longest one.
	left           bool
	gap            time.Duration
	sentAt, doneAt time.Time
}

// run sends one request after the other until ctx is done.
func (c *silenceCallers) run(ctx context.Context, caller int, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, uint64(caller)))
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}
	defer client.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Duration(rng.IntN(100)) * time.Millisecond):
		}
		path, tokens := "/chat/x", silenceTokens
		switch draw := rng.IntN(10); {
		case draw == 0:
			path = "/once/x"
		case draw <= 2:
			path, tokens = "/act/x", ""
		}
		call := c.send(client, rng.IntN(len(c.site.nodes)), fmt.Sprintf("call-%d-%d", caller, n), path, tokens)
		c.mu.Lock()
		c.calls = append(c.calls, call)
		c.mu.Unlock()
	}
}

func (c *silenceCallers) send(client *http.Client, node int, id, path, tokens string) (call silenceCall) {
	call = silenceCall{id: id, path: path, node: node, sentAt: time.Now()}
	defer func() { call.doneAt = time.Now() }()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	req, err := standinsite.Request(ctx, c.site.nodes[node], id, http.MethodPost, path, standinsite.Key, 0, silenceTimeout)
	if err != nil {
		call.err = err
		return call
	}
	if tokens != "" {
		req.Header.Set("Token-Counts", tokens)
	}
	leave := time.AfterFunc(c.patience, cancel)
	defer leave.Stop()
	dataAt := call.sentAt
	received := func() {
		call.gap = max(call.gap, time.Since(dataAt))
		dataAt = time.Now()
		leave.Reset(c.patience)
	}
	resp, err := client.Do(req)
	if err != nil {
		received()
		call.err, call.left = err, ctx.Err() != nil
		return call
	}
	defer func() { _ = resp.Body.Close() }() // Read to its end, or cut off.
	call.status = resp.StatusCode
	var body strings.Builder
	buf := make([]byte, 4<<10)
	for err == nil {
		var n int
		n, err = resp.Body.Read(buf)
		body.Write(buf[:n])
		received()
	}
	call.body = body.String()
	if !errors.Is(err, io.EOF) {
		call.err, call.left = err, ctx.Err() != nil
	}
	return call
}

// silenceEnd is how a request ended.
type silenceEnd int

// The ends of requests; those from silenceCut on are faults.
const (
	silenceWhole silenceEnd = iota
	silenceRefused
	// silenceUnsent is a request that no replica received and that was not answered, because the
	// node was about to stop.
	silenceUnsent
	silenceLeft
	silenceCut
	silenceFailed
	silenceEnds
)

var silenceEndNames = [...]string{"whole", "refused", "unsent", "left", "cut", "failed"}

var silenceRefusals = []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}

// end returns how the request ended, given what it did at the replicas.
func (c silenceCall) end(h silenceHistory) silenceEnd {
	switch {
	case c.left:
		return silenceLeft
	case c.status == http.StatusOK && c.err == nil && c.body == c.want():
		return silenceWhole
	case c.status == http.StatusOK:
		return silenceCut
	case slices.Contains(silenceRefusals, c.status):
		return silenceRefused
	case c.status == 0 && h.arrivals == 0:
		return silenceUnsent
	}
	return silenceFailed
}

func (c silenceCall) want() string {
	if c.path == "/act/x" {
		return "POST /act/x 6"
	}
	return replica.StreamText(silenceEvents)
}

// broken returns an error if the request broke a guarantee that holds however it ends.
func (c silenceCall) broken(h silenceHistory) error {
	repeatable := strings.HasPrefix(c.path, "/chat/")
	switch {
	case !repeatable && len(h.ranAt) > 1:
		return fmt.Errorf("ran at %v", h.ranAt)
	case !repeatable && slices.Contains(silenceRefusals, c.status) && len(h.ranAt) > 0:
		return fmt.Errorf("status %d, but ran at %v", c.status, h.ranAt)
	case c.status == http.StatusOK && !strings.HasPrefix(c.want(), c.body):
		return fmt.Errorf("events are missing, repeated or out of order: %q", c.body)
	case c.status == http.StatusOK && c.err == nil && c.body != c.want():
		return fmt.Errorf("ended as complete after %q", c.body)
	case c.status == http.StatusOK && !c.left && c.path != "/act/x" && c.body != "" && !strings.HasSuffix(c.body, "\n\n"):
		return fmt.Errorf("cut in the middle of an event: %q", c.body)
	case c.status == http.StatusOK && len(h.ranAt) == 0:
		return errors.New("answered, but no replica ran it")
	}
	return nil
}
