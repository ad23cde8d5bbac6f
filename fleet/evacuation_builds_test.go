package fleet_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"

	"github.com/catkinspindle/catkinspindle"
)

// without returns an encoding of v, a message, without some of its keys, and whether it had one.
func without(v any, keys ...int) (rest map[int]cbor.RawMessage, found bool, err error) {
	data, err := cbor.Marshal(v)
	if err != nil {
		return nil, false, err
	}
	if err := cbor.Unmarshal(data, &rest); err != nil {
		return nil, false, err
	}
	for _, key := range keys {
		_, has := rest[key]
		found = found || has
		delete(rest, key)
	}
	return rest, found, nil
}

// answerAsEarlierBuild makes a node handle messages as builds do that know no evacuations. It returns
// the number of state updates with evacuations that the node has got.
func answerAsEarlierBuild(net *network, address string) *atomic.Int64 {
	updates := &atomic.Int64{}
	wrap := func(kind string, request int, onFound func(), response ...int) {
		handle := net.handlers[address+kind]
		net.handlers[address+kind] = func(ctx context.Context, decode func(any) error) (any, error) {
			v, err := handle(ctx, func(into any) error {
				var message map[int]cbor.RawMessage
				if err := decode(&message); err != nil {
					return err
				}
				rest, found, err := without(message, request)
				if err != nil {
					return err
				}
				if found {
					onFound()
				}
				data, err := cbor.Marshal(rest)
				if err != nil {
					return err
				}
				return cbor.Unmarshal(data, into)
			})
			if err != nil || v == nil {
				return v, err
			}
			rest, _, err := without(v, response...)
			return rest, err
		}
	}
	net.mu.Lock()
	defer net.mu.Unlock()
	wrap("beat", 14, func() {}, 17, 18)
	wrap("news", 5, func() { updates.Add(1) })
	return updates
}

// Beside hubs of an earlier build, which pass no evacuation on, one that knows it is enough. Those hubs
// are sent no evacuations while there are none.
func TestEvacuationBesideHubsOfAnEarlierBuild(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const hubs = 4
		net, nodes := startNodes(t, 8)
		defer stopNodes(t, nodes)
		var updates []*atomic.Int64
		for _, n := range nodes[:hubs-1] {
			updates = append(updates, answerAsEarlierBuild(net, n.self.PeerAddress))
		}
		time.Sleep(2 * time.Second)
		for i, evacuated := range [][]string{nil, {"x"}, nil} {
			nodes[hubs-1].view.SetEvacuations(catkinspindle.NewEvacuations(position(int64(9+i)), evacuated...))
			time.Sleep(time.Second)
			for _, n := range nodes[hubs-1:] {
				if diff := cmp.Diff(evacuated, n.view.State().Evacuations.DataCentres); diff != "" {
					t.Errorf("%s: evacuated (-want +got):\n%s", n.self.Name, diff)
				}
			}
			before := updates[0].Load()
			time.Sleep(2 * time.Second)
			if sent := updates[0].Load() - before; (sent > 0) != (len(evacuated) > 0) {
				t.Errorf("%d updates to a hub of an earlier build while %v is evacuated", sent, evacuated)
			}
		}
	})
}
