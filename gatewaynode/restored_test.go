package gatewaynode_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/platform"
	"github.com/catkinspindle/catkinspindle/platform/standin/site"
)

// drillAway is how long the store of these tests is away.
const drillAway = 300 * time.Millisecond

// registered returns the incarnations that the store lists, by node.
func registered(t *testing.T, s *site.Site) map[string]int64 {
	t.Helper()
	nodes := map[string]int64{}
	for _, name := range s.Store.Names(platform.NodesKind) {
		spec, _ := s.Store.Get(platform.NodesKind, name)
		var f catkinspindle.Node
		if err := json.Unmarshal(spec, &f); err != nil {
			t.Fatal(err)
		}
		nodes[name] = f.Incarnation
	}
	return nodes
}

// What was acknowledged before the store came back from an older copy holds: the
// configuration, a revoked key, the departure and the removal of a replica, and the
// nodes are registered again. What follows is seen although the revisions are low.
func TestStoreRestoredFromCopy(t *testing.T) {
	const spareKey = "spare-key"
	s := start(t, 3)
	s.SetKeys(site.Key, spareKey)
	s.Configure(nil)
	ctx := context.Background()
	asked := 0
	ask := func(node int, target, key string, tokens int) int {
		t.Helper()
		asked++
		status, _, err := s.Ask(ctx, s.Callers(node), fmt.Sprintf("r-%d", asked), http.MethodGet, target, key, tokens)
		if err != nil {
			t.Error(err)
		}
		return status
	}
	await(t, "the spare key is known", func() bool { return ask(0, "/read/x", spareKey, 0) == 200 })
	before := s.Store.Copy()
	// A higher revision than the restored store has for long.
	for i := range 200 {
		s.Store.Put("other", "object", i)
	}
	_, isReady := startNode(t, s, "127.0.0.1:0")
	await(t, "a node that joins later is ready", isReady)
	s.SetKeys(site.Key)
	s.Configure([]map[string]any{{"name": "new", "host": site.Host, "path-prefix": "/new/", "type": "idempotent", "service": "app", "timeout-ms": 5000, "slo-ms": 1000, "max-attempts": 2}})
	s.Drain("app-0")
	s.Remove("pool-2")
	unused := func() int { return len(s.App[0].Arrivals()) + len(s.Pool[2].Arrivals()) }
	all := func(allowed int) bool {
		for i := range 3 {
			if ask(i, "/new/x", site.Key, 0) != 200 || ask(i, "/read/x", spareKey, 0) != 401 || ask(i, "/chat/x", site.Key, 900) != 200 {
				return false
			}
		}
		return unused() == allowed
	}
	await(t, "all of it is in force", func() bool { return all(unused()) })
	nodes := registered(t, s)

	s.Drill(before, drillAway)
	arrived := unused()
	for end := time.Now().Add(2500 * time.Millisecond); time.Now().Before(end); {
		if !all(arrived) {
			t.Fatal("something has gone back with the store")
		}
	}
	s.Store.Delete(platform.ReplicasKind, "pool-2")
	s.WriteAgain()
	s.Remove("pool-2")
	await(t, "all nodes are registered again", func() bool {
		return cmp.Diff(nodes, registered(t, s)) == ""
	})
	if !all(arrived) {
		t.Error("something has gone back after the entries were written again")
	}
	s.Configure([]map[string]any{{"name": "newer", "host": site.Host, "path-prefix": "/newer/", "type": "idempotent", "service": "app", "timeout-ms": 5000, "slo-ms": 1000, "max-attempts": 2}})
	await(t, "a configuration of the new era", func() bool {
		return ask(0, "/newer/x", site.Key, 0) == 200 && ask(1, "/newer/x", site.Key, 0) == 200 && ask(2, "/newer/x", site.Key, 0) == 200
	})
	s.Return("app-0")
	await(t, "a replica of the new era is used", func() bool {
		ask(0, "/read/x", site.Key, 0)
		return len(s.App[0].Arrivals()) > arrived
	})
}

// A store that has lost everything gets the secret of the fleet and all registrations
// again, so that a node that starts then joins the others.
func TestStoreRestoredFromEmptyCopy(t *testing.T) {
	s := start(t, 0)
	empty := s.Store.Copy()
	_, isReady := startNode(t, s, "127.0.0.1:0")
	await(t, "the first node is ready", isReady)
	kinds := map[string][]string{}
	for _, kind := range []string{"catkinspindle-keys", platform.NodesKind} {
		kinds[kind] = s.Store.Names(kind)
	}
	secret, ok := s.Store.Get("catkinspindle-keys", "fleet")
	if !ok {
		t.Fatal("the fleet has no secret")
	}
	s.Drill(empty, drillAway)
	await(t, "secret and registration are written again", func() bool {
		for kind, names := range kinds {
			if cmp.Diff(names, s.Store.Names(kind)) != "" {
				return false
			}
		}
		return true
	})
	again, _ := s.Store.Get("catkinspindle-keys", "fleet")
	if diff := cmp.Diff(string(secret), string(again)); diff != "" {
		t.Errorf("secret (-want +got):\n%s", diff)
	}
}

// A node that starts before the others have written the secret again waits for it and
// makes none of its own.
func TestStartBeforeSecretIsWrittenAgain(t *testing.T) {
	s := start(t, 0)
	s.Store.Put(platform.NodesKind, "other", catkinspindle.Node{Name: "other", Incarnation: 1, PeerAddress: "127.0.0.1:1"})
	const seed = "c2VlZC1vZi10aGUtZmxlZXQtc2VlZC1vZi10aGUtZmw="
	_, isReady := startNode(t, s, "127.0.0.1:0")
	time.Sleep(time.Second)
	if names := s.Store.Names("catkinspindle-keys"); len(names) > 0 {
		t.Errorf("the node has written %v", names)
	}
	s.Store.Put("catkinspindle-keys", "fleet", map[string]string{"seed": seed})
	await(t, "the node is ready", isReady)
	spec, _ := s.Store.Get("catkinspindle-keys", "fleet")
	if diff := cmp.Diff(`{"seed":"`+seed+`"}`, string(spec)); diff != "" {
		t.Errorf("secret (-want +got):\n%s", diff)
	}
}
