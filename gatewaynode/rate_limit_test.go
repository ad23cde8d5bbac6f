package gatewaynode_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/catkinspindle/catkinspindle/platform/standin/replica"
	"github.com/catkinspindle/catkinspindle/platform/standin/site"
)

// load sends requests at a fixed rate to all nodes in turn.
type load struct {
	site   *site.Site
	nodes  int
	method string
	target string
	tokens int
}

// senderOf returns the node in the ID of a request of load.
func senderOf(id string, _ time.Time) string {
	node, _, _ := strings.Cut(id, "/")
	return node
}

func (l load) run(t *testing.T, perSecond int, duration time.Duration) {
	t.Helper()
	var group errgroup.Group
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	end := time.Now().Add(duration)
	for n := 0; time.Now().Before(end); n++ {
		<-ticker.C
		group.Go(func() error {
			i := n % l.nodes
			_, _, err := l.site.Send(context.Background(), l.site.CallersAddress(i), fmt.Sprintf("node-%d/%s/%d", i, l.target, n), l.method, l.target, site.Key, l.tokens)
			return err
		})
	}
	if err := group.Wait(); err != nil {
		t.Error(err)
	}
}

func TestReplicaRateLimitIsNotExceededByTheSumOfAllNodes(t *testing.T) {
	const nodes = 5
	tests := map[string]struct {
		method, target string
		tokens         int
		limited        func(*site.Site) *replica.Replica
	}{
		"model service": {http.MethodPost, "/chat/x", 900, func(s *site.Site) *replica.Replica { return s.Pool[0] }},
		"plain service": {http.MethodGet, "/read/x", 0, func(s *site.Site) *replica.Replica { return s.App[0] }},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := start(t, nodes)
			r := tt.limited(s)
			r.SetRateLimit(2)
			load{s, nodes, tt.method, tt.target, tt.tokens}.run(t, 62, 5*time.Second)
			if err := r.CheckRateLimit(senderOf); err != nil {
				t.Error(err)
			}
		})
	}
}
