package gatewaynode_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
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

// run returns the number of requests that were answered with status 200. On a slow machine
// connections reach the header timeout and requests their deadline.
func (l load) run(perSecond int, duration time.Duration) int64 {
	var (
		group    errgroup.Group
		answered atomic.Int64
	)
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	end := time.Now().Add(duration)
	for n := 0; time.Now().Before(end); n++ {
		<-ticker.C
		group.Go(func() error {
			i := n % l.nodes
			status, _, err := l.site.Send(context.Background(), l.site.CallersAddress(i), fmt.Sprintf("node-%d/%s/%d", i, l.target, n), l.method, l.target, site.Key, l.tokens)
			if err == nil && status == http.StatusOK {
				answered.Add(1)
			}
			return nil
		})
	}
	_ = group.Wait() // The functions return no errors.
	return answered.Load()
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
			if (load{s, nodes, tt.method, tt.target, tt.tokens}).run(62, 5*time.Second) == 0 {
				t.Error("no request was answered")
			}
			if err := r.CheckRateLimit(senderOf); err != nil {
				t.Error(err)
			}
		})
	}
}
