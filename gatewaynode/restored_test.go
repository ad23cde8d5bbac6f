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

// outageDuration is how long the store of these tests is unreachable before it is restored.
const outageDuration = 300 * time.Millisecond

// registeredIncarnations returns the incarnations of the registered nodes by node name.
func registeredIncarnations(t *testing.T, s *site.Site) map[string]int64 {
	t.Helper()
	nodes := map[string]int64{}
	for _, name := range s.Store.Names(platform.NodesKind) {
		spec, _ := s.Store.Get(platform.NodesKind, name)
		var node catkinspindle.Node
		if err := json.Unmarshal(spec, &node); err != nil {
			t.Fatal(err)
		}
		nodes[name] = node.Incarnation
	}
	return nodes
}

// State that the nodes had seen before the store was restored from an older backup must
// stay in force: the configuration, a revoked key, the departure and the removal of a
// replica. The nodes must register again, and changes after the restore must be adopted
// although their revisions are lower than before.
func TestStoreRestoredFromCopy(t *testing.T) {
	const spareKey = "spare-key"
	s := start(t, 3)
	s.SetKeys(site.Key, spareKey)
	s.Configure(nil)
	ctx := context.Background()
	requests := 0
	request := func(node int, target, key string, tokens int) int {
		t.Helper()
		requests++
		status, _, err := s.Send(ctx, s.CallersAddress(node), fmt.Sprintf("r-%d", requests), http.MethodGet, target, key, tokens)
		if err != nil {
			t.Error(err)
		}
		return status
	}
	await(t, "the spare key is accepted", func() bool { return request(0, "/read/x", spareKey, 0) == 200 })
	backup := s.Store.Backup()
	// The revision exceeds what the restored store reaches during the test.
	for i := range 200 {
		s.Store.Put("other", "object", i)
	}
	_, isReady := startNode(t, s, "127.0.0.1:0")
	await(t, "a node that joins later is ready", isReady)
	s.SetKeys(site.Key)
	s.Configure([]map[string]any{{"name": "new", "host": site.Host, "path-prefix": "/new/", "type": "idempotent", "service": "app", "timeout-ms": 5000, "slo-ms": 1000, "max-attempts": 2}})
	s.DrainReplica("app-0")
	s.RemoveReplica("pool-2")
	arrivalsAtDeparted := func() int { return len(s.App[0].Arrivals()) + len(s.Pool[2].Arrivals()) }
	allInForce := func(wantArrivals int) bool {
		for i := range 3 {
			if request(i, "/new/x", site.Key, 0) != 200 || request(i, "/read/x", spareKey, 0) != 401 || request(i, "/chat/x", site.Key, 900) != 200 {
				return false
			}
		}
		return arrivalsAtDeparted() == wantArrivals
	}
	await(t, "all changes are in force", func() bool { return allInForce(arrivalsAtDeparted()) })
	nodes := registeredIncarnations(t, s)

	s.RestoreStore(backup, outageDuration)
	arrived := arrivalsAtDeparted()
	for end := time.Now().Add(2500 * time.Millisecond); time.Now().Before(end); {
		if !allInForce(arrived) {
			t.Fatal("a change was undone by the restore")
		}
	}
	s.Store.Delete(platform.ReplicasKind, "pool-2")
	s.RewriteEntries()
	s.RemoveReplica("pool-2")
	await(t, "all nodes are registered again", func() bool {
		return cmp.Diff(nodes, registeredIncarnations(t, s)) == ""
	})
	if !allInForce(arrived) {
		t.Error("a change was undone after the entries were rewritten")
	}
	s.Configure([]map[string]any{{"name": "newer", "host": site.Host, "path-prefix": "/newer/", "type": "idempotent", "service": "app", "timeout-ms": 5000, "slo-ms": 1000, "max-attempts": 2}})
	await(t, "a configuration of the new era is in force", func() bool {
		return request(0, "/newer/x", site.Key, 0) == 200 && request(1, "/newer/x", site.Key, 0) == 200 && request(2, "/newer/x", site.Key, 0) == 200
	})
	s.RestartDrained("app-0")
	await(t, "a replica of the new era is used", func() bool {
		request(0, "/read/x", site.Key, 0)
		return len(s.App[0].Arrivals()) > arrived
	})
}

// The nodes must rewrite the fleet secret and their registrations to a store that was
// restored empty; otherwise a node that starts later could not join them.
func TestStoreRestoredFromEmptyCopy(t *testing.T) {
	s := start(t, 0)
	empty := s.Store.Backup()
	_, isReady := startNode(t, s, "127.0.0.1:0")
	await(t, "the first node is ready", isReady)
	kinds := map[string][]string{}
	for _, kind := range []string{"catkinspindle-keys", platform.NodesKind} {
		kinds[kind] = s.Store.Names(kind)
	}
	secret, ok := s.Store.Get("catkinspindle-keys", "fleet")
	if !ok {
		t.Fatal("the store has no fleet secret")
	}
	s.RestoreStore(empty, outageDuration)
	await(t, "secret and registration are rewritten", func() bool {
		for kind, names := range kinds {
			if cmp.Diff(names, s.Store.Names(kind)) != "" {
				return false
			}
		}
		return true
	})
	rewritten, _ := s.Store.Get("catkinspindle-keys", "fleet")
	if diff := cmp.Diff(string(secret), string(rewritten)); diff != "" {
		t.Errorf("secret (-want +got):\n%s", diff)
	}
}

// A node that starts after a restore, before the others have rewritten the fleet secret,
// must wait for it. If it created one of its own, the others would refuse it.
func TestStartBeforeSecretIsWrittenAgain(t *testing.T) {
	s := start(t, 0)
	s.Store.Put(platform.NodesKind, "other", catkinspindle.Node{Name: "other", Incarnation: 1, PeerAddress: "127.0.0.1:1"})
	const secret = "c2VlZC1vZi10aGUtZmxlZXQtc2VlZC1vZi10aGUtZmw="
	_, isReady := startNode(t, s, "127.0.0.1:0")
	time.Sleep(time.Second)
	if names := s.Store.Names("catkinspindle-keys"); len(names) > 0 {
		t.Errorf("the node has created %v", names)
	}
	s.Store.Put("catkinspindle-keys", "fleet", map[string]string{"seed": secret})
	await(t, "the node is ready", isReady)
	spec, _ := s.Store.Get("catkinspindle-keys", "fleet")
	if diff := cmp.Diff(`{"seed":"`+secret+`"}`, string(spec)); diff != "" {
		t.Errorf("secret (-want +got):\n%s", diff)
	}
}
