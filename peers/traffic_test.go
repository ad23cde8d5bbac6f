package peers_test

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/rcrowley/go-metrics"

	"github.com/catkinspindle/catkinspindle/peers"
)

// TestTrafficByKind sends 1,000 bytes there and back and a message of a kind that no handler has,
// which counts only on the node that sent it.
func TestTrafficByKind(t *testing.T) {
	dir := t.TempDir()
	caller, handler := metrics.NewRegistry(), metrics.NewRegistry()
	a, _ := start(t, dir, "a", peers.WithMetrics(caller))
	_, address := start(t, dir, "b", peers.WithMetrics(handler))
	if _, err := call(a, address, strings.Repeat("x", 1000)); err != nil {
		t.Fatal(err)
	}
	_ = a.Call(t.Context(), address, "unknown", "", nil) // It fails.
	sent := func(r metrics.Registry, name string) int64 {
		return metrics.GetOrRegisterCounter("peers."+name, r).Count()
	}
	got := []int64{
		sent(caller, "echo.messages-sent"), sent(handler, "echo.messages-sent"),
		sent(caller, "unknown.messages-sent"), sent(handler, "unknown.messages-sent"),
		sent(caller, "echo.bytes-sent") / 1000, sent(handler, "echo.bytes-sent") / 1000,
	}
	if diff := cmp.Diff([]int64{1, 1, 1, 0, 1, 1}, got); diff != "" {
		t.Errorf("counters (-want +got):\n%s", diff)
	}
}
