package gatewaynode_test

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/gatewaynode"
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
