package proofs_test

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/node"
	"github.com/catkinspindle/catkinspindle/settings"
	"github.com/catkinspindle/catkinspindle/standin/platform"
)

// handlers records the handlers that a node registers for calls of its peers.
type handlers map[string]catkinspindle.PeerHandler

func (h handlers) Handle(kind string, f catkinspindle.PeerHandler) { h[kind] = f }

func (h handlers) Call(context.Context, string, string, any, any) error {
	return catkinspindle.Fail(catkinspindle.NotRun, catkinspindle.ReasonPeerUnreachable, "no peers")
}

// FuzzPeerMessages sends malformed bodies to each peer handler of a node.
func FuzzPeerMessages(f *testing.F) {
	h := handlers{}
	cfg := settings.Default()
	cfg.Name, cfg.DataCentre = "vm-00", "dc-0"
	n, err := node.New(cfg, logger(), node.WithPeers(h), node.WithoutListeners(), node.WithPlatform(platform.New(0)), node.WithDialer(&dialer{}))
	if err != nil {
		f.Fatal(err)
	}
	if err := n.Start(context.Background()); err != nil {
		f.Fatal(err)
	}
	done, cancel := context.WithCancel(context.Background())
	cancel()
	f.Cleanup(func() { _ = n.Stop(done) })
	var kinds []string
	for kind := range h {
		kinds = append(kinds, kind)
	}
	slices.Sort(kinds)
	seeds := []any{
		catkinspindle.Ticket{Engine: "e", MemoryTokens: -1, Deadline: time.Unix(1, 0)},
		[]catkinspindle.Member{{PeerAddress: "x", Homes: []catkinspindle.HomeLoad{{Engine: "e"}}}},
		catkinspindle.Action{Workspace: "w"},
		map[int]any{1: 1 << 60, 2: "x"},
	}
	for i := range kinds {
		for _, s := range seeds {
			data, err := cbor.Marshal(s)
			if err != nil {
				f.Fatal(err)
			}
			f.Add(uint8(i), data)
		}
	}
	f.Fuzz(func(_ *testing.T, kind uint8, data []byte) {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
		defer cancel()
		handle := h[kinds[int(kind)%len(kinds)]]
		_, _ = handle(ctx, func(v any) error { return cbor.Unmarshal(data, v) })
	})
}
