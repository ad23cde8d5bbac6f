package soak_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/catkinspindle/catkinspindle/platform/standin/replica"
	"github.com/catkinspindle/catkinspindle/platform/standin/site"
)

const (
	// deadline is the time that callers allow for a request.
	deadline = 6 * time.Second
	// stuckTimeout is the time after which a request without an answer counts as stuck. It is
	// far beyond the deadline, so that a slow machine does not reach it.
	stuckTimeout = 60 * time.Second
)

// neverRun are the statuses that guarantee that a request was not run.
var neverRun = []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}

// answer is the outcome of a request as its caller observed it.
type answer struct {
	id, path string
	node     string
	// incarnation is zero if the node restarted meanwhile, so that either process may have
	// answered.
	incarnation int64
	status      int
	body        string
	// cut is true if the connection ended before the answer was complete.
	cut       bool
	startedAt time.Time
	took      time.Duration
}

// callers send requests over persistent connections and record the answers.
type callers struct {
	fleet    *fleet
	mu       sync.Mutex
	answers  []answer
	inFlight map[string]answer
	// deadly is the kind of requests that crash replicas.
	deadly deadlyKind
}

// deadlyKind is a kind of requests that crash the replicas that run them.
type deadlyKind struct {
	method, path string
	tokens       int
	// parts are the parts of the prompt.
	parts string
	// crash is the number of the crash from which such requests must be held.
	crash int
}

var deadlyKinds = []deadlyKind{
	{http.MethodPost, "/chat/x", 900, "shared:40,dead:300,own:560", 5},
	{http.MethodPost, "/chat/deadly", 900, "", 3},
	{http.MethodGet, "/read/deadly", 0, "", 3},
	{http.MethodPost, "/act/deadly", 0, "", 3},
}

// deadlyShare is one in how many requests is deadly.
const deadlyShare = 25

func (c *callers) isDeadly(req *http.Request, body []byte) bool {
	return replica.DeadlyPart("dead")(req, body) || strings.HasSuffix(req.URL.Path, "/deadly")
}

// nodes returns the node that each answered request was sent to, by request ID.
func (c *callers) nodes() map[string]*process {
	c.mu.Lock()
	defer c.mu.Unlock()
	byName := map[string]*process{}
	for _, n := range c.fleet.nodes {
		byName[n.name] = n
	}
	all := map[string]*process{}
	for _, a := range c.answers {
		all[a.id] = byName[a.node]
	}
	return all
}

// run sends requests, one at a time, until ctx is done. Each caller has its own connections.
func (c *callers) run(ctx context.Context, caller int, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, uint64(caller)))
	// Deadly requests have their own sequence, so that the others do not depend on them.
	deadlyRNG := rand.New(rand.NewPCG(seed, 1000+uint64(caller)))
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}}
	defer client.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		node := c.fleet.nodes[rng.IntN(len(c.fleet.nodes))]
		id := fmt.Sprintf("soak-%d-%d", caller, n)
		method, path, tokens := http.MethodPost, "/chat/x", []int{900, 12000, 90000}[rng.IntN(3)]
		switch rng.IntN(4) {
		case 0:
			method, path, tokens = http.MethodPost, "/act/x", 0
		case 1:
			method, path, tokens = http.MethodGet, "/read/x", 0
		case 2:
			method, path, tokens = http.MethodGet, fmt.Sprintf("/since-%d/", 1+rng.IntN(20)), 0
		}
		c.send(client, node, id, method, path, tokens, "")
		if deadlyRNG.IntN(deadlyShare) == 0 {
			d := c.deadly
			c.send(client, node, "deadly-"+id, d.method, d.path, d.tokens, d.parts)
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(rng.IntN(30)) * time.Millisecond):
		}
	}
}

func (c *callers) send(client *http.Client, node *process, id, method, path string, tokens int, parts string) {
	a := answer{id: id, path: path, node: node.name, incarnation: node.incarnation.Load(), startedAt: time.Now()}
	c.mu.Lock()
	c.inFlight[id] = a
	c.mu.Unlock()
	a.status, a.body, a.cut = c.exchange(client, node.callersProxy.address(), id, method, path, tokens, parts)
	a.took = time.Since(a.startedAt)
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.inFlight, id)
	if a.incarnation != node.incarnation.Load() {
		a.incarnation = 0
	}
	c.answers = append(c.answers, a)
}

// inFlightAt returns the ids of the requests in flight at a node.
func (c *callers) inFlightAt(node string) (ids []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, a := range c.inFlight {
		if a.node == node {
			ids = append(ids, id)
		}
	}
	return ids
}

// cutAmong returns the answers to the requests in ids that were cut.
func (c *callers) cutAmong(ids []string) (cut []answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, a := range c.answers {
		if a.cut && slices.Contains(ids, a.id) {
			cut = append(cut, a)
		}
	}
	return cut
}

func (c *callers) exchange(client *http.Client, address, id, method, path string, tokens int, parts string) (status int, body string, cut bool) {
	ctx, cancel := context.WithTimeout(context.Background(), stuckTimeout)
	defer cancel()
	req, err := site.Request(ctx, address, id, method, path, site.Key, tokens, deadline)
	if err != nil {
		c.fleet.t.Error(err)
		return 0, "", true
	}
	if parts != "" {
		req.Header.Set("Prefix-Hash", parts)
	}
	status, body, err = site.Do(client, req)
	return status, body, err != nil
}

// violations compares the answers that callers received with the requests that replicas ran.
func (c *callers) violations() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	runs := map[string]int{}
	for _, r := range slices.Concat(c.fleet.site.Pool, c.fleet.site.App) {
		for _, run := range r.Executions() {
			runs[run.ID]++
		}
	}
	nodes := map[string]string{}
	for _, a := range c.answers {
		nodes[a.id] = a.node
	}
	var errs []error
	for _, r := range slices.Concat(c.fleet.site.Pool, c.fleet.site.App) {
		errs = append(errs, r.CheckRateLimit(func(id string, _ time.Time) string { return nodes[id] }))
	}
	newestVersion := map[string]int{}
	for _, a := range c.answers {
		if err := a.check(runs[a.id]); err != nil {
			errs = append(errs, fmt.Errorf("%s %s at %s, incarnation %d: %w", a.id, a.path, a.node, a.incarnation, err))
		}
		var version int
		if n, _ := fmt.Sscanf(a.path, "/since-%d/", &version); n == 1 && a.incarnation > 0 {
			processKey := fmt.Sprintf("%s/%d", a.node, a.incarnation)
			switch a.status {
			case http.StatusOK:
				newestVersion[processKey] = max(newestVersion[processKey], version)
			case http.StatusNotFound:
				if version <= newestVersion[processKey] {
					errs = append(errs, fmt.Errorf("%s: route of version %d was missing after version %d was active", processKey, version, newestVersion[processKey]))
				}
			}
		}
	}
	return errors.Join(errs...)
}

// check checks the answer to a request that replicas ran the given number of times.
func (a answer) check(runs int) error {
	switch {
	case a.took >= stuckTimeout:
		return fmt.Errorf("no answer within %s", stuckTimeout)
	case runs > 0 && slices.Contains(neverRun, a.status):
		return fmt.Errorf("status %d, but a replica ran the request", a.status)
	case strings.HasPrefix(a.path, "/act/") && runs > 1:
		return fmt.Errorf("action was run %d times", runs)
	case a.status != http.StatusOK || a.cut:
		return nil
	case runs == 0:
		return errors.New("status 200, but no replica ran the request")
	case strings.HasPrefix(a.path, "/chat/"):
		return checkStream(a.body)
	}
	return nil
}

// checkStream checks that a completed stream has every event, once and in order.
func checkStream(body string) error {
	if diff := cmp.Diff(replica.StreamText(site.Events), body); diff != "" {
		return fmt.Errorf("completed stream differs (-want +got):\n%s", diff)
	}
	return nil
}
