package gatewaynode_test

import (
	"context"
	"encoding/json"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/gatewaynode"
	"github.com/catkinspindle/catkinspindle/platform"
	"github.com/catkinspindle/catkinspindle/platform/standin/site"
)

// A planned stop ends without error, also just after the start and when the
// store has never answered.
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

// startNode starts one more node of a site and returns whether it is ready.
func startNode(t *testing.T, s *site.Site, peers string) func() bool {
	t.Helper()
	ready, err := net.Listen("tcp", "127.0.0.2:0")
	if err != nil {
		t.Fatal(err)
	}
	if err := ready.Close(); err != nil { // The node listens there.
		t.Fatal(err)
	}
	n := gatewaynode.New(catkinspindle.GatewaySettings{
		Name: "node", DataCentre: "dc", Store: s.StoreAddress(),
		Callers: "127.0.0.1:0", Ready: ready.Addr().String(), Addresses: "127.0.0.3:0", Peers: peers, Metrics: "127.0.0.4:0",
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
	return func() bool {
		resp, err := http.Get("http://" + ready.Addr().String() + platform.ReadyPath)
		return err == nil && resp.Body.Close() == nil && resp.StatusCode == http.StatusOK
	}
}

// A node whose address for peers is taken joins when it becomes free.
func TestTakenPeerAddress(t *testing.T) {
	s := start(t, 0)
	taken, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	isReady := startNode(t, s, taken.LocalAddr().String())
	time.Sleep(time.Second)
	if isReady() {
		t.Error("the node is ready without peers")
	}
	if err := taken.Close(); err != nil {
		t.Fatal(err)
	}
	await(t, "the node is ready", isReady)
}

// A node takes one write to join a fleet, also after a kill: when all nodes come
// back at once, the store's rate of writes decides how soon they serve.
func TestJoiningTakesOneWrite(t *testing.T) {
	for name, killed := range map[string]bool{"new": false, "known from before a kill": true} {
		t.Run(name, func(t *testing.T) {
			s := start(t, 1)
			before := catkinspindle.Fellow{Name: "node", Incarnation: 1, PeerAddress: "127.0.0.1:1", CallersAddress: "127.0.0.1:1", DataCentre: "dc"}
			if killed {
				s.Store.Put(platform.NodesKind, before.Name, before)
			}
			writes := s.Store.Writes()
			await(t, "the node is ready", startNode(t, s, "127.0.0.1:0"))
			if diff := cmp.Diff(1, s.Store.Writes()-writes); diff != "" {
				t.Errorf("writes (-want +got):\n%s", diff)
			}
			var f catkinspindle.Fellow
			spec, ok := s.Store.Get(platform.NodesKind, before.Name)
			if !ok || json.Unmarshal(spec, &f) != nil || f.Incarnation <= before.Incarnation {
				t.Errorf("registered as %s", spec)
			}
		})
	}
}
