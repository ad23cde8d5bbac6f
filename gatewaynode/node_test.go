package gatewaynode_test

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/sync/errgroup"

	"github.com/catkinspindle/catkinspindle/platform/standin/replica"
	"github.com/catkinspindle/catkinspindle/platform/standin/site"
	"github.com/catkinspindle/catkinspindle/platform/standin/store"
)

// awaitTimeout is the timeout of await. It is generous because no test checks how soon a
// condition holds.
const awaitTimeout = 20 * time.Second

func start(t *testing.T, nodes int, opts ...site.Option) *site.Site {
	t.Helper()
	s, err := site.Start(context.Background(), nodes, slog.New(slog.DiscardHandler), opts...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		var group errgroup.Group
		for i := range nodes {
			group.Go(func() error { return s.StopNode(context.Background(), i) })
		}
		if err := group.Wait(); err != nil {
			t.Log(err)
		}
		if err := s.Close(); err != nil {
			t.Log(err)
		}
	})
	return s
}

func await(t *testing.T, what string, ok func() bool) {
	t.Helper()
	end := time.Now().Add(awaitTimeout)
	for !ok() {
		if time.Now().After(end) {
			t.Fatalf("%s: did not happen within %v", what, awaitTimeout)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func wantStream() string {
	var b strings.Builder
	for n := 1; n <= site.Events; n++ {
		_, _ = fmt.Fprintf(&b, "id: %d\ndata: piece %d\n\n", n, n)
	}
	return b.String()
}

// A caller requests the addresses, connects to any of the nodes and gets complete
// responses from replicas that the nodes have discovered through the store.
func TestEndToEnd(t *testing.T) {
	s := start(t, 3)
	ctx := context.Background()
	await(t, "all nodes are in the address response", func() bool {
		list, err := s.Addresses(1)
		return err == nil && len(list) == 3
	})
	for i := range 3 {
		for k, tokens := range []int{900, 60_000, 300_000} {
			tries := 0
			await(t, fmt.Sprintf("a prompt of %d tokens gets a response", tokens), func() bool {
				tries++
				id := fmt.Sprintf("chat-%d-%d-%d", i, k, tries)
				status, body, err := s.Send(ctx, s.CallersAddress(i), id, http.MethodPost, "/chat/x", site.Key, tokens)
				if err != nil || (status != 200 && status != 503) {
					t.Fatalf("%s: status %d, error %v", id, status, err)
				}
				// 503: the end of the previous prompt has not been reported yet.
				if diff := cmp.Diff(wantStream(), body); status == 200 && diff != "" {
					t.Errorf("%s: stream (-want +got):\n%s", id, diff)
				}
				return status == 200
			})
		}
		status, body, err := s.Send(ctx, s.CallersAddress(i), fmt.Sprintf("read-%d", i), http.MethodGet, "/read/a?q=1", site.Key, 0)
		if err != nil || status != 200 || body != "GET /read/a?q=1 6" {
			t.Errorf("read: status %d, body %q, error %v", status, body, err)
		}
	}
	if status, _, err := s.Send(ctx, s.CallersAddress(0), "x", http.MethodGet, "/read/a", "wrong", 0); err != nil || status != 401 {
		t.Errorf("unknown key: status %d, error %v", status, err)
	}
	for _, r := range append(s.Pool, s.App...) {
		for _, run := range r.Executions() {
			if run.Tenant != "readers" {
				t.Errorf("request %s was executed for tenant %q, want \"readers\"", run.ID, run.Tenant)
			}
		}
		await(t, "reservations are released", func() bool { return r.ActiveReservations() == 0 })
	}
	text, err := s.Metrics(0)
	if err != nil || !strings.Contains(text, "requests-answered") {
		t.Errorf("metrics %q, error %v", text, err)
	}
}

// Failures of replicas are retried where the route allows it. An action whose response is
// lost must not run twice.
func TestReplicaFaults(t *testing.T) {
	s := start(t, 2)
	ctx := context.Background()
	for _, r := range s.Pool {
		r.SetFaults(replica.Faults{CutStreams: 1})
	}
	status, body, err := s.Send(ctx, s.CallersAddress(0), "broken", http.MethodPost, "/chat/x", site.Key, 900)
	// The first replica breaks off within the third event. The second one resumes from
	// the third event and breaks off there too. The route allows two attempts.
	if err == nil || !strings.HasPrefix(wantStream(), body) || !strings.HasSuffix(body, "\n\n") {
		t.Errorf("status %d, error %v, body %q; want complete events and a truncated stream", status, err, body)
	}
	status, body, err = s.Send(ctx, s.CallersAddress(1), "resumed", http.MethodPost, "/chat/x", site.Key, 900)
	if err != nil || status != 200 || body != wantStream() {
		t.Errorf("status %d, error %v, body %q", status, err, body)
	}
	for _, r := range s.App {
		r.SetFaults(replica.Faults{LoseAnswers: 1})
	}
	if status, _, err := s.Send(ctx, s.CallersAddress(0), "act", http.MethodPost, "/act/x", site.Key, 0); err != nil || status != 502 {
		t.Errorf("lost response of an action: status %d, error %v", status, err)
	}
	ran := 0
	for _, r := range s.App {
		for _, run := range r.Executions() {
			if run.ID == "act" {
				ran++
			}
		}
	}
	if diff := cmp.Diff(1, ran); diff != "" {
		t.Errorf("executions of the action (-want +got):\n%s", diff)
	}
}

// A new route and the departure of a replica must reach all nodes, also after an outage of
// the store and a compaction of its history.
func TestChangesReachAllNodes(t *testing.T) {
	s := start(t, 3)
	ctx := context.Background()
	serves := func(target string) func() bool {
		return func() bool {
			for i := range 3 {
				status, _, err := s.Send(ctx, s.CallersAddress(i), "p", http.MethodGet, target, site.Key, 0)
				if err != nil || status != 200 {
					return false
				}
			}
			return true
		}
	}
	route := func(prefix string) map[string]any {
		return map[string]any{"name": prefix, "host": site.Host, "path-prefix": prefix, "type": "idempotent", "service": "app", "timeout-ms": 5000, "slo-ms": 1000, "max-attempts": 2}
	}
	s.Configure([]map[string]any{route("/new/")})
	await(t, "a new route is served", serves("/new/x"))
	s.Store.SetFaults(store.Faults{Down: true})
	if !serves("/new/x")() {
		t.Error("requests fail while the store is down")
	}
	s.Configure([]map[string]any{route("/new/"), route("/newer/")})
	s.Store.Compact()
	s.Store.SetFaults(store.Faults{})
	await(t, "a route written during the outage is served", serves("/newer/x"))

	s.DrainReplica("app-0")
	runs := func() int { return len(s.App[0].Executions()) }
	await(t, "the leaving replica gets no request", func() bool {
		before := runs()
		return serves("/read/x")() && serves("/read/x")() && runs() == before
	})
}

// A replica whose responses say that it is leaving must get no further requests from any
// node until it restarts, also if the store is unreachable and still lists it as ready.
func TestLeavingReplicaGetsNoRequests(t *testing.T) {
	const leavingReplica = "app-0"
	s := start(t, 3)
	ctx := context.Background()
	s.Store.SetFaults(store.Faults{Down: true})
	s.App[0].SetFaults(replica.Faults{Leaving: true})
	requests := 0
	request := func(node int) {
		t.Helper()
		requests++
		status, _, err := s.Send(ctx, s.CallersAddress(node), fmt.Sprintf("read-%d", requests), http.MethodGet, "/read/x", site.Key, 0)
		if err != nil || status != 200 {
			t.Errorf("status %d, error %v", status, err)
		}
	}
	await(t, "node 0 has a response of the leaving replica", func() bool {
		request(0)
		return len(s.App[0].Arrivals()) > 0
	})
	arrived := len(s.App[0].Arrivals())
	for range 20 {
		request(0)
	}
	if diff := cmp.Diff(arrived, len(s.App[0].Arrivals())); diff != "" {
		t.Errorf("requests to the leaving replica (-want +got):\n%s", diff)
	}
	await(t, "the other nodes send it no requests", func() bool {
		before := len(s.App[0].Arrivals())
		for range 10 {
			request(1)
			request(2)
		}
		return len(s.App[0].Arrivals()) == before
	})
	s.App[0].SetFaults(replica.Faults{})
	s.Store.SetFaults(store.Faults{})
	s.RestartReplica(leavingReplica)
	await(t, "the replica is used again after its restart", func() bool {
		before := len(s.App[0].Arrivals())
		for i := range 3 {
			request(i)
		}
		return len(s.App[0].Arrivals()) > before
	})
}

// A replica that refuses a request with a cooldown must get no requests from that node
// until the cooldown has ended.
func TestReplicaCooldown(t *testing.T) {
	const cooldown = 1500 * time.Millisecond
	s := start(t, 1)
	ctx := context.Background()
	for _, r := range s.App {
		r.SetFaults(replica.Faults{RefuseRequests: 1, Cooldown: cooldown})
	}
	began := time.Now()
	for n := 0; time.Since(began) < 3*cooldown; n++ {
		if _, _, err := s.Send(ctx, s.CallersAddress(0), fmt.Sprintf("read-%d", n), http.MethodGet, "/read/x", site.Key, 0); err != nil {
			t.Fatal(err)
		}
	}
	for i, r := range s.App {
		all := r.Arrivals()
		if len(all) < 3 {
			t.Fatalf("app-%d: %d requests in all", i, len(all))
		}
		// The refusal comes right after the arrival of the refused request.
		within := 0
		for _, a := range all[1:] {
			if a.At.Sub(all[0].At) < cooldown {
				within++
			}
		}
		if within > 0 {
			t.Errorf("app-%d: %d requests within its cooldown", i, within)
		}
	}
}

// A key that is revoked while the store refuses the calls of a node must be refused by
// that node too, and stay refused once the store accepts its calls again.
func TestKeyRevokedWhileCutOff(t *testing.T) {
	const node = 2
	s := start(t, 3)
	status := func(key string) int {
		got, _, err := s.Send(context.Background(), s.CallersAddress(node), "p", http.MethodGet, "/read/x", key, 0)
		if err != nil {
			t.Errorf("request with key %q: %v", key, err)
		}
		return got
	}
	if got := status(site.Key); got != http.StatusOK {
		t.Fatalf("status %d before the key is revoked", got)
	}
	s.SetStoreBlocked(node, true)
	s.SetKeys("next-key")
	s.Configure(nil)
	await(t, "the next key is accepted", func() bool { return status("next-key") == http.StatusOK })
	if got := status(site.Key); got != http.StatusUnauthorized {
		t.Errorf("status %d with the revoked key, want %d", got, http.StatusUnauthorized)
	}
	s.SetStoreBlocked(node, false)
	for range 50 {
		if got := status(site.Key); got != http.StatusUnauthorized {
			t.Fatalf("status %d with the revoked key after the store accepts calls again", got)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// A stopping node must not be in address responses, must still serve requests from callers
// that have cached its address, and must remove its registration.
func TestStopDrainsNode(t *testing.T) {
	s := start(t, 3)
	ctx := context.Background()
	await(t, "all nodes are in the address response", func() bool {
		list, err := s.Addresses(1)
		return err == nil && len(list) == 3
	})
	var group errgroup.Group
	stopped := make(chan struct{})
	group.Go(func() error {
		defer close(stopped)
		return s.StopNode(ctx, 0)
	})
	await(t, "the node is not in the address response", func() bool {
		list, err := s.Addresses(1)
		return err == nil && len(list) == 2
	})
	if s.Ready(0) {
		t.Error("a stopping node reports that it is ready")
	}
	for i := range 5 {
		status, body, err := s.Send(ctx, s.CallersAddress(0), fmt.Sprint("late-", i), http.MethodPost, "/chat/x", site.Key, 900)
		if err != nil && body == "" {
			// On a slow machine the node may have stopped by now.
			<-stopped
			break
		}
		if err != nil || (status != 200 && status != 503) || (status == 200 && body != wantStream()) {
			t.Errorf("request %d during the stop: status %d, error %v", i, status, err)
		}
	}
	if err := group.Wait(); err != nil {
		t.Error(err)
	}
	for _, name := range s.Store.Names("catkinspindle-nodes") {
		if name == "node-0" {
			t.Error("the stopped node is still registered")
		}
	}
}

// A stream that began before a planned stop must be delivered completely although it
// outlasts the phase in which new requests are served.
func TestStopWaitsForStreams(t *testing.T) {
	// New requests are served for 3 s and streams may take 11 s; this one takes 5.4 s.
	s := start(t, 2, site.WithGrace(12*time.Second))
	for _, r := range s.Pool {
		r.SetFaults(replica.Faults{ExtraPause: 900 * time.Millisecond})
	}
	var group errgroup.Group
	group.Go(func() error {
		status, body, err := s.Send(context.Background(), s.CallersAddress(0), "slow", http.MethodPost, "/chat/x", site.Key, 900)
		if err != nil || status != http.StatusOK {
			return fmt.Errorf("status %d, error %w", status, err)
		}
		if diff := cmp.Diff(wantStream(), body); diff != "" {
			return fmt.Errorf("stream (-want +got):\n%s", diff)
		}
		return nil
	})
	await(t, "the stream has begun", func() bool {
		for _, r := range s.Pool {
			if len(r.Executions()) > 0 {
				return true
			}
		}
		return false
	})
	if err := s.StopNode(context.Background(), 0); err != nil {
		t.Error(err)
	}
	if err := group.Wait(); err != nil {
		t.Error(err)
	}
}
