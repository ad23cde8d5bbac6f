package limits_test

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/limits"
)

// network connects the nodes of a test. It implements catkinspindle.Peers for the node address.
type network struct {
	handlers map[string]catkinspindle.PeerHandler
	address  string
}

var errUnreachable = errors.New("unreachable")

func (n network) Handle(_ string, h catkinspindle.PeerHandler) { n.handlers[n.address] = h }

func (n network) Call(ctx context.Context, address, _ string, req, resp any) error {
	h, ok := n.handlers[address]
	if !ok {
		return errUnreachable
	}
	data, err := cbor.Marshal(req)
	if err != nil {
		return err
	}
	v, err := h(ctx, func(v any) error { return cbor.Unmarshal(data, v) })
	if err != nil {
		return err
	}
	if data, err = cbor.Marshal(v); err != nil {
		return err
	}
	return cbor.Unmarshal(data, resp)
}

// newLimits returns the limits of all nodes of a fleet. isolated nodes reach no others.
func newLimits(nodes int, isolated bool) (list []*limits.Limits, handlers map[string]catkinspindle.PeerHandler) {
	handlers = map[string]catkinspindle.PeerHandler{}
	var members []catkinspindle.Member
	for i := range nodes {
		members = append(members, catkinspindle.Member{Origin: catkinspindle.Origin{VM: fmt.Sprint("vm-", i)}, PeerAddress: fmt.Sprint("vm-", i)})
	}
	for i, self := range members {
		snap := &catkinspindle.Snapshot{Self: self, Members: members}
		share := 1.0
		if isolated {
			snap.Members, share = members[i:i+1], 1/float64(nodes)
		}
		list = append(list, limits.New(func() *catkinspindle.Snapshot { return snap }, 1000,
			limits.WithPeers(network{handlers, self.PeerAddress}, func() float64 { return share }, time.Second, slog.New(slog.DiscardHandler))))
	}
	return list, handlers
}

// admitAll sends a request of a workspace with a limit to each node every 50 ms and returns the
// number of admitted ones.
func admitAll(all []*limits.Limits, perSecond float64, duration time.Duration) (admitted int) {
	for begin := time.Now(); time.Since(begin) < duration; time.Sleep(50 * time.Millisecond) {
		for _, l := range all {
			if done, err := l.Admit(context.Background(), catkinspindle.WorkspaceSpec{Name: "w", RequestsPerSecond: perSecond}, 1, time.Now().Add(time.Second)); err == nil {
				admitted++
				done()
			}
		}
	}
	return admitted
}

func TestWorkspaceRateIsNotExceededByTheSumOfAllNodes(t *testing.T) {
	const (
		perSecond = 10
		duration  = 4 * time.Second
		// allowed is the rate with a tolerance of a half, and five requests.
		allowed = perSecond*4*3/2 + 5
	)
	for _, fleet := range []struct {
		nodes    int
		isolated bool
	}{{1, false}, {6, false}, {8, true}, {300, false}} {
		t.Run(fmt.Sprintf("%d nodes, isolated: %t", fleet.nodes, fleet.isolated), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				all, _ := newLimits(fleet.nodes, fleet.isolated)
				admitted := admitAll(all, perSecond, duration)
				if admitted > allowed || admitted < perSecond*4*3/4 {
					t.Errorf("%d requests in %s at %d requests/s, allowed %d", admitted, duration, perSecond, allowed)
				}
			})
		})
	}
}

// Without its owner, the rate of a workspace is admitted by the next one.
func TestWorkspaceRateOutlivesItsOwner(t *testing.T) {
	const nodes = 5
	for dead := range nodes {
		synctest.Test(t, func(t *testing.T) {
			all, handlers := newLimits(nodes, false)
			delete(handlers, fmt.Sprint("vm-", dead))
			alive := slices.Delete(slices.Clone(all), dead, dead+1)
			if admitted := admitAll(alive, 10, 4*time.Second); admitted < 30 || admitted > 65 {
				t.Errorf("vm-%d is dead: %d requests in 4s at 10 requests/s, want 30 to 65", dead, admitted)
			}
		})
	}
}

func TestWorkspaceTokensAreNotExceededByTheSumOfAllNodes(t *testing.T) {
	const maxTokens = 100_000
	for _, fleet := range []struct {
		nodes    int
		isolated bool
	}{{1, false}, {8, false}, {8, true}, {300, false}} {
		t.Run(fmt.Sprintf("%d nodes, isolated: %t", fleet.nodes, fleet.isolated), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				all, _ := newLimits(fleet.nodes, fleet.isolated)
				for _, tokens := range []int{60_000, 30_000, 10_000} {
					inFlight := 0
					var ends []func()
					for range 3 {
						for _, l := range all {
							w := catkinspindle.WorkspaceSpec{Name: "w", MaxTokens: maxTokens}
							if done, err := l.Admit(context.Background(), w, tokens, time.Now().Add(time.Minute)); err == nil {
								inFlight += tokens
								ends = append(ends, done)
							}
						}
					}
					if inFlight > maxTokens || (inFlight < tokens && !fleet.isolated) {
						t.Errorf("%d prompt tokens in flight, the limit is %d", inFlight, maxTokens)
					}
					for _, end := range ends {
						end()
					}
					synctest.Wait()
				}
			})
		})
	}
}

// The tokens of a node that is gone count until the deadline of its requests.
func TestWorkspaceTokensOfADeadNodeExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		all, _ := newLimits(3, false)
		w := catkinspindle.WorkspaceSpec{Name: "w", MaxTokens: 100_000}
		admit := func(l *limits.Limits) error {
			_, err := l.Admit(context.Background(), w, 60_000, time.Now().Add(10*time.Second))
			return err
		}
		if err := admit(all[0]); err != nil {
			t.Fatal(err)
		}
		if err := admit(all[1]); err == nil {
			t.Error("120,000 tokens are in flight")
		}
		time.Sleep(12 * time.Second)
		if err := admit(all[1]); err != nil {
			t.Errorf("after the deadline of the dead node's request: %v", err)
		}
	})
}
