package gatewaynode_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/sync/errgroup"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/events"
	"github.com/catkinspindle/catkinspindle/gatewaynode"
	"github.com/catkinspindle/catkinspindle/platform"
	"github.com/catkinspindle/catkinspindle/platform/standin/replica"
	"github.com/catkinspindle/catkinspindle/platform/standin/site"
	"github.com/catkinspindle/catkinspindle/platform/standin/store"
)

// A planned stop must succeed right after the start, also if the store has never
// responded.
func TestStopWithoutStore(t *testing.T) {
	for range 50 {
		n := gatewaynode.New(catkinspindle.GatewaySettings{
			Name: "node", DataCentre: "dc", Store: "127.0.0.1:1",
			Callers: "127.0.0.1:0", Ready: "127.0.0.2:0", Addresses: "127.0.0.3:0", Peers: "127.0.0.1:0", Metrics: "127.0.0.4:0",
			CPUShare: 1, MemoryMB: 256, Grace: 10 * time.Millisecond,
		}, slog.New(slog.DiscardHandler))
		if err := n.Start(context.Background()); err != nil {
			t.Fatal(err)
		}
		if err := n.Stop(context.Background()); err != nil {
			t.Fatalf("planned stop: %v", err)
		}
	}
}

// Guards against a planned stop that keeps to the grace period from before a reload.
func TestStopKeepsToTheReloadedGracePeriod(t *testing.T) {
	var log bytes.Buffer
	settings := catkinspindle.GatewaySettings{
		Name: "node", DataCentre: "dc", Store: "127.0.0.1:1",
		Callers: "127.0.0.1:0", Ready: "127.0.0.2:0", Addresses: "127.0.0.3:0", Peers: "127.0.0.1:0", Metrics: "127.0.0.4:0",
		CPUShare: 1, MemoryMB: 256, Grace: 10 * time.Millisecond,
	}
	n := gatewaynode.New(settings, slog.New(slog.NewJSONHandler(&log, nil)))
	if err := n.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	settings.Grace = 20 * time.Millisecond
	n.Reload(settings)
	if err := n.Stop(context.Background()); err != nil {
		t.Fatal(err)
	}
	type line struct {
		Event events.Event
		Grace time.Duration
	}
	for text := range strings.Lines(log.String()) {
		var l line
		if err := json.Unmarshal([]byte(text), &l); err != nil {
			t.Fatal(err)
		}
		if l.Event == events.NodeLeaving {
			if diff := cmp.Diff(line{events.NodeLeaving, settings.Grace}, l); diff != "" {
				t.Errorf("line of the stop (-want +got):\n%s", diff)
			}
			return
		}
	}
	t.Error("no line of the stop")
}

// Requests that arrive in a planned stop get an answer: a complete one, or a failure that says
// whether they may have run.
func TestRequestsOfAPlannedStopAreAnswered(t *testing.T) {
	const (
		grace      = 3 * time.Second
		answerTime = 2500 * time.Millisecond
	)
	s := start(t, 2, site.WithGrace(grace))
	for _, r := range append(s.Pool, s.App...) {
		r.SetFaults(replica.Faults{ExtraPause: answerTime / site.Events, PlainPause: answerTime})
	}
	var (
		mu         sync.Mutex
		unanswered []string
		statuses   = map[int]int{}
		group      errgroup.Group
	)
	send := func(kind requestKind, n int) error {
		// A new connection for each request: one that is kept may be closed before the next.
		client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
		id := fmt.Sprintf("%s-%d", kind.target[1:4], n)
		req, err := site.Request(context.Background(), s.CallersAddress(0), id, kind.method, kind.target, site.Key, kind.tokens, 9*time.Second)
		if err != nil {
			return err
		}
		status, _, err := site.Do(client, req)
		mu.Lock()
		defer mu.Unlock()
		switch {
		case err == nil:
			statuses[status]++
		case !errors.Is(err, syscall.ECONNREFUSED):
			unanswered = append(unanswered, fmt.Sprintf("%s: status %d, %v", id, status, err))
		}
		return nil
	}
	sendAll := func(n int) {
		for _, kind := range requestKinds {
			group.Go(func() error { return send(kind, n) })
		}
	}
	stopped := make(chan error, 1)
	const beforeStop, all = 20, 60
	for n := range all {
		if n == beforeStop {
			time.Sleep(answerTime)
			group.Go(func() error {
				stopped <- s.StopNode(context.Background(), 0)
				return nil
			})
		}
		sendAll(n)
		time.Sleep(grace / (all - beforeStop))
	}
	if err := group.Wait(); err != nil {
		t.Fatal(err)
	}
	if err := <-stopped; err != nil {
		t.Error(err)
	}
	t.Logf("answers by status: %v", statuses)
	if len(unanswered) > 0 {
		t.Errorf("%d requests got no complete answer, such as %s", len(unanswered), unanswered[0])
	}
}

// Requests that are in flight when the grace period of a planned stop ends get a failure.
func TestRequestsThatOutlastAPlannedStopAreAnswered(t *testing.T) {
	s := start(t, 2, site.WithGrace(time.Second))
	for _, r := range s.App {
		r.SetFaults(replica.Faults{PlainPause: 8 * time.Second})
	}
	var group errgroup.Group
	for _, kind := range requestKinds[1:] {
		group.Go(func() error {
			status, body, err := s.Send(context.Background(), s.CallersAddress(0), "slow-"+kind.target[1:4], kind.method, kind.target, site.Key, kind.tokens)
			if err != nil || status != http.StatusBadGateway {
				t.Errorf("%s: status %d, body %q, error %v; want a failure that the request may have run", kind.target, status, body, err)
			}
			return nil
		})
	}
	await(t, "the requests run", func() bool {
		runs := 0
		for _, r := range s.App {
			runs += len(r.Executions())
		}
		return runs >= len(requestKinds[1:])
	})
	if err := s.StopNode(context.Background(), 0); err != nil {
		t.Error(err)
	}
	_ = group.Wait() // No function returns an error.
}

// freeAddress returns an address of ip with a port that is not in use.
func freeAddress(t *testing.T, ip string) string {
	t.Helper()
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		t.Fatal(err)
	}
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	return l.Addr().String()
}

// startNode starts one more node of a site. It returns the address for callers and a
// function that reports whether the node is ready.
func startNode(t *testing.T, s *site.Site, peers string) (callers string, isReady func() bool) {
	t.Helper()
	callers, ready := freeAddress(t, "127.0.0.1"), freeAddress(t, "127.0.0.2")
	n := gatewaynode.New(catkinspindle.GatewaySettings{
		Name: "node", DataCentre: "dc", Store: s.StoreAddress(),
		Callers: callers, Ready: ready, Addresses: "127.0.0.3:0", Peers: peers, Metrics: "127.0.0.4:0",
		CPUShare: 1, MemoryMB: 256, Grace: 10 * time.Millisecond,
	}, slog.New(slog.DiscardHandler))
	if err := n.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := n.Stop(context.Background()); err != nil {
			t.Error(err)
		}
	})
	return callers, func() bool {
		resp, err := http.Get("http://" + ready + platform.ReadyPath)
		return err == nil && resp.Body.Close() == nil && resp.StatusCode == http.StatusOK
	}
}

// A node whose peer address is in use must join the fleet once the address is free.
func TestTakenPeerAddress(t *testing.T) {
	s := start(t, 0)
	socket, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	callers, isReady := startNode(t, s, socket.LocalAddr().String())
	// It already serves requests with the configuration and replicas read from the store.
	await(t, "a request gets a response", func() bool {
		status, _, err := s.Send(context.Background(), callers, "early", http.MethodGet, "/read/x", site.Key, 0)
		return err == nil && status == 200
	})
	if isReady() {
		t.Error("the node is ready before it has joined the fleet")
	}
	if err := socket.Close(); err != nil {
		t.Fatal(err)
	}
	await(t, "the node is ready", isReady)
}

// A node whose first reads failed must serve once the store answers, also before it has joined.
func TestStartWithoutStore(t *testing.T) {
	s := start(t, 0)
	socket, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = socket.Close() }()
	s.Store.SetFaults(store.Faults{Down: true})
	callers, _ := startNode(t, s, socket.LocalAddr().String())
	await(t, "configuration, replicas and secret could not be read", func() bool { return s.Store.StaleReads() >= 4 })
	s.Store.SetFaults(store.Faults{})
	await(t, "a request gets a response", func() bool {
		status, _, err := s.Send(context.Background(), callers, "early", http.MethodGet, "/read/x", site.Key, 0)
		return err == nil && status == 200
	})
}

// Joining a fleet must take a single write, also after a kill: when all nodes restart at
// once, the store's write rate decides how soon they serve. The reads must be stale reads,
// which cost a fraction of other calls.
func TestJoiningTakesOneWrite(t *testing.T) {
	for name, killed := range map[string]bool{"new": false, "registered before a kill": true} {
		t.Run(name, func(t *testing.T) {
			s := start(t, 1)
			previous := catkinspindle.Node{Name: "node", Incarnation: 1, PeerAddress: "127.0.0.1:1", CallersAddress: "127.0.0.1:1", DataCentre: "dc"}
			if killed {
				s.Store.Put(platform.NodesKind, previous.Name, previous)
			}
			writes, staleReads := s.Store.Writes(), s.Store.StaleReads()
			_, isReady := startNode(t, s, "127.0.0.1:0")
			await(t, "the node is ready", isReady)
			if diff := cmp.Diff(1, s.Store.Writes()-writes); diff != "" {
				t.Errorf("writes (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(4, s.Store.StaleReads()-staleReads); diff != "" {
				t.Errorf("stale reads, of the secret, the nodes, the configuration and the replicas (-want +got):\n%s", diff)
			}
			var node catkinspindle.Node
			spec, ok := s.Store.Get(platform.NodesKind, previous.Name)
			if !ok || json.Unmarshal(spec, &node) != nil || node.Incarnation <= previous.Incarnation {
				t.Errorf("registered as %s", spec)
			}
		})
	}
}
