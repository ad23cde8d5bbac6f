package gatewaynode_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/catkinspindle/catkinspindle/platform/standin/replica"
	"github.com/catkinspindle/catkinspindle/platform/standin/site"
)

const (
	// crashDowntime is how long a crashed replica is down.
	crashDowntime = 500 * time.Millisecond
	// callerTimeout is the time that the callers have.
	callerTimeout = 5 * time.Second
	// heldRounds is how often each node gets a deadly request once all of them hold such requests.
	heldRounds = 4
)

// crashCallers sends sound and deadly requests to the nodes of a site.
type crashCallers struct {
	site  *site.Site
	nodes int
	sent  int
	// target and tokens are those of all requests; tokens is zero for the plain service.
	target string
	tokens int
	// soundBody and soundParts return the body and the prompt parts of sound request n,
	// deadlyBody and deadlyParts those of deadly ones.
	soundBody, soundParts, deadlyBody, deadlyParts func(n int) string
}

// send sends one request and returns its status, zero if the answer was cut off, and its body.
func (c *crashCallers) send(node int, deadly bool) (status int, answer string) {
	c.sent++
	body, parts := c.soundBody(c.sent), c.soundParts(c.sent)
	if deadly {
		body, parts = c.deadlyBody(c.sent), c.deadlyParts(c.sent)
	}
	req, err := site.Request(context.Background(), c.site.CallersAddress(node), fmt.Sprintf("r%d", c.sent), http.MethodPost, c.target, site.Key, c.tokens, callerTimeout)
	if err != nil {
		return 0, ""
	}
	req.Body, req.ContentLength = io.NopCloser(strings.NewReader(body)), int64(len(body))
	if parts != "" {
		req.Header.Set("Prefix-Hash", parts)
	}
	status, answer, err = site.Do(http.DefaultClient, req)
	if err != nil {
		return 0, ""
	}
	return status, answer
}

// isHeld sends a deadly request to a node and reports whether it is refused because replicas
// crash under it.
func (c *crashCallers) isHeld(node int) bool {
	status, answer := c.send(node, true)
	return status == http.StatusServiceUnavailable && strings.Contains(answer, "quarantined (not-run)")
}

// check checks that all nodes come to hold deadly requests, that none reaches a replica from then
// on, and that sound requests are answered.
func (c *crashCallers) check(t *testing.T) {
	t.Helper()
	for node := range c.nodes {
		await(t, fmt.Sprintf("node %d holds deadly requests", node), func() bool {
			c.send(node, false)
			return c.isHeld(node)
		})
	}
	reached := len(c.site.DeadlyArrivals())
	for range heldRounds {
		for node := range c.nodes {
			if !c.isHeld(node) {
				t.Errorf("node %d no longer holds deadly requests", node)
			}
		}
	}
	for node := range c.nodes {
		await(t, fmt.Sprintf("node %d serves sound requests", node), func() bool {
			status, _ := c.send(node, false)
			return status == http.StatusOK
		})
	}
	if got := len(c.site.DeadlyArrivals()) - reached; got > 0 {
		t.Errorf("%d deadly requests reached replicas after all nodes held them", got)
	}
	t.Logf("%d crashes, %d deadly requests reached replicas", c.site.Crashes(), reached)
}

func always(text string) func(int) string { return func(int) string { return text } }

func TestPromptPartDoesNotCrashReplicaAfterReplica(t *testing.T) {
	const nodes = 5
	s := start(t, nodes)
	s.SetDeadly(replica.DeadlyPart("dead"), crashDowntime)
	c := &crashCallers{
		site: s, nodes: nodes, target: "/chat/x", tokens: 900, soundBody: always("prompt"), deadlyBody: always("prompt"),
		soundParts:  func(n int) string { return fmt.Sprintf("shared:40,own%d:860", n) },
		deadlyParts: func(n int) string { return fmt.Sprintf("shared:40,dead:400,own%d:460", n) },
	}
	c.check(t)
}

func TestRepeatedRequestDoesNotCrashReplicaAfterReplica(t *testing.T) {
	const nodes = 5
	tests := map[string]struct {
		target string
		tokens int
		parts  string
	}{
		"model service":                 {"/chat/x", 900, "shared:40,own:860"},
		"plain service":                 {"/read/x", 0, ""},
		"plain service, not idempotent": {"/act/x", 0, ""},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := start(t, nodes)
			s.SetDeadly(replica.DeadlyRequest(tt.target, "deadly"), crashDowntime)
			c := &crashCallers{
				site: s, nodes: nodes, target: tt.target, tokens: tt.tokens, deadlyBody: always("deadly"),
				soundBody:  func(n int) string { return fmt.Sprintf("sound %d", n) },
				soundParts: always(tt.parts), deadlyParts: always(tt.parts),
			}
			c.check(t)
		})
	}
}
