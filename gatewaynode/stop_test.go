package gatewaynode_test

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/gatewaynode"
	"github.com/catkinspindle/catkinspindle/platform"
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

// A node whose address for peers is taken joins when it becomes free.
func TestTakenPeerAddress(t *testing.T) {
	s := start(t, 0)
	taken, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ready, err := net.Listen("tcp", "127.0.0.2:0")
	if err != nil {
		t.Fatal(err)
	}
	if err := ready.Close(); err != nil { // The node listens there.
		t.Fatal(err)
	}
	n := gatewaynode.New(catkinspindle.GatewaySettings{
		Name: "node", DataCentre: "dc", Store: s.StoreAddress(),
		Callers: "127.0.0.1:0", Ready: ready.Addr().String(), Addresses: "127.0.0.3:0", Peers: taken.LocalAddr().String(), Metrics: "127.0.0.4:0",
		CPUShare: 1, MemoryMB: 256, Grace: 10 * time.Millisecond,
	}, slog.New(slog.DiscardHandler))
	if err := n.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	defer func() {
		if err := n.Stop(context.Background()); err != nil {
			t.Error(err)
		}
	}()
	isReady := func() bool {
		resp, err := http.Get("http://" + ready.Addr().String() + platform.ReadyPath)
		return err == nil && resp.Body.Close() == nil && resp.StatusCode == http.StatusOK
	}
	time.Sleep(time.Second)
	if isReady() {
		t.Error("the node is ready without peers")
	}
	if err := taken.Close(); err != nil {
		t.Fatal(err)
	}
	await(t, "the node is ready", isReady)
}
