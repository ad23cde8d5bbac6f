package actions_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/actions"
	"github.com/catkinspindle/catkinspindle/standin/plain"
)

type noPeers struct{}

func (noPeers) Handle(string, catkinspindle.PeerHandler) {}

func (noPeers) Call(context.Context, string, string, any, any) error {
	return catkinspindle.Fail(catkinspindle.NotRun, catkinspindle.ReasonPeerUnreachable, "no peers")
}

type dialer struct{ replica *plain.Service }

func (dialer) Engine(catkinspindle.VM) catkinspindle.Engine { return nil }

func (d dialer) Plain(catkinspindle.VM) catkinspindle.PlainService { return d.replica }

// newNode returns the actions of a node and the replica that answers their calls. The
// service has two replicas, p and q, with this one behind both.
func newNode() (*actions.Actions, *plain.Service) {
	replica := plain.New("p")
	spec := catkinspindle.ServiceSpec{Name: "s", Kind: catkinspindle.ServicePlain, Methods: []catkinspindle.MethodSpec{{Name: "buy"}, {Name: "read", Idempotent: true}}}
	snap := &catkinspindle.Snapshot{
		Self:    catkinspindle.Member{Origin: catkinspindle.Origin{VM: "vm", Incarnation: 1}},
		Config:  catkinspindle.FleetConfig{Version: 1, Services: []catkinspindle.ServiceSpec{spec}},
		Serving: []catkinspindle.Assignment{{VM: catkinspindle.VM{Name: "p"}, Service: "s"}, {VM: catkinspindle.VM{Name: "q"}, Service: "s"}},
	}
	a := actions.New(func() *catkinspindle.Snapshot { return snap }, dialer{replica}, noPeers{}, nil,
		catkinspindle.DefaultTiming(), catkinspindle.DefaultLimits())
	return a, replica
}

// runCall sends a call and returns its verdict and reason, or "ran".
func runCall(a *actions.Actions, method, key, body string, o *catkinspindle.ActionOrigin) string {
	_, err := a.Call(context.Background(), catkinspindle.Action{
		Workspace: "w",
		Call:      catkinspindle.PlainCall{Service: "s", Method: method, Key: key, Body: []byte(body), Deadline: time.Now().Add(5 * time.Second)},
		Origin:    o,
	})
	if err == nil {
		return "ran"
	}
	f := catkinspindle.AsFailure(err)
	return fmt.Sprint(f.Verdict, " ", f.Reason)
}

// A key runs once; a repeat gets the first outcome, also under the next epoch, and is a
// conflict with another body. An origin two epochs old is rejected.
func TestKeysAndEpochs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, replica := newNode()
		first := a.Origin()
		retention := catkinspindle.DefaultTiming().KeyRetention
		got := []string{runCall(a, "buy", "k", "x", &first), runCall(a, "buy", "k", "x", &first), runCall(a, "buy", "k", "y", &first)}
		time.Sleep(retention)
		second := a.Origin()
		got = append(got, runCall(a, "buy", "k", "x", &first), runCall(a, "buy", "k", "x", &second))
		time.Sleep(retention)
		got = append(got, runCall(a, "buy", "k", "x", &first))
		want := []string{"ran", "ran", "not-run conflict", "ran", "ran", "may-have-run origin-gone"}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Error(diff)
		}
		if n := len(replica.History()); n != 1 {
			t.Errorf("call was executed %d times, want 1", n)
		}
	})
}

// When the reply is lost, an idempotent call is sent again; any other call fails as
// may-have-run, because a second attempt could run it twice.
func TestLostRepliesAreRepeatedForIdempotentMethodsOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, replica := newNode()
		replica.SetFaults(plain.Faults{LoseReplies: 1})
		read := runCall(a, "read", "", "x", nil)
		replica.SetFaults(plain.Faults{LoseReplies: 1})
		buy := runCall(a, "buy", "", "x", nil)
		replica.SetFaults(plain.Faults{Draining: true})
		refused := runCall(a, "buy", "", "x", nil)
		want := []string{"ran", "may-have-run backend-failed", "not-run stopping", "3"}
		if diff := cmp.Diff(want, []string{read, buy, refused, fmt.Sprint(len(replica.History()))}); diff != "" {
			t.Error(diff)
		}
	})
}
