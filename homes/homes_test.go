package homes_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/control"
	"github.com/catkinspindle/catkinspindle/homes"
)

// unreachablePeers is a transport on which every call fails.
type unreachablePeers struct{}

func (unreachablePeers) Handle(string, catkinspindle.PeerHandler) {}

func (unreachablePeers) Call(context.Context, string, string, any, any) error {
	return errors.New("no peer is reachable")
}

// An answer that is still in progress at shutdown releases its reservation when it ends,
// which may be while or after the client stops. Release must not add goroutines to a
// group that Stop already waits for.
func TestReleaseWhileStopping(t *testing.T) {
	for range 50 {
		self := catkinspindle.Member{Origin: catkinspindle.Origin{VM: "self", Incarnation: 1}}
		timing := catkinspindle.DefaultTiming()
		h := homes.New(control.New(self, timing, catkinspindle.Policy{}), unreachablePeers{}, timing)
		if err := h.Start(context.Background()); err != nil {
			t.Fatal(err)
		}
		var answers errgroup.Group
		for n := range 20 {
			answers.Go(func() error {
				time.Sleep(time.Duration(n%3) * time.Millisecond)
				h.Release(catkinspindle.Ticket{Engine: fmt.Sprintf("engine-%d", n)})
				return nil
			})
		}
		if err := h.Stop(context.Background()); err != nil {
			t.Fatal(err)
		}
		if err := answers.Wait(); err != nil {
			t.Fatal(err)
		}
	}
}
