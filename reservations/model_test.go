package reservations_test

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/reservations"
)

// lease is the longest time that a reservation may be held after its last renewal:
// the duration of a lease, and a second for the release calls.
const lease = 3500*time.Millisecond + time.Second

// unreliable simulates replicas that may be unreachable or whose responses may be
// lost.
type unreliable struct {
	replicas
	// lost holds the replicas that execute calls but whose responses are lost.
	lost map[string]bool
	// cut holds the replicas that calls do not reach.
	cut map[string]bool
}

var errNoAnswer = errors.New("no response")

func (u *unreliable) order(replica string, do func() error) error {
	u.mu.Lock()
	cut, lost := u.cut[replica], u.lost[replica]
	u.mu.Unlock()
	if cut {
		return errNoAnswer
	}
	err := do()
	if lost {
		return errNoAnswer
	}
	return err
}

func (u *unreliable) Reserve(ctx context.Context, r catkinspindle.Reservation) error {
	return u.order(r.Replica.ID, func() error { return u.replicas.Reserve(ctx, r) })
}

func (u *unreliable) Release(ctx context.Context, r catkinspindle.Reservation) error {
	return u.order(r.Replica.ID, func() error { return u.replicas.Release(ctx, r) })
}

func (u *unreliable) holds(id string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	until, ok := u.until[id]
	return ok && time.Now().Before(until)
}

// move is a step of a schedule.
type move struct {
	kind    string
	replica string
	request int
	wait    time.Duration
}

var moves = rapid.Custom(func(t *rapid.T) move {
	return move{
		kind:    rapid.SampledFrom([]string{"acquire", "acquire", "release", "wait", "wait", "lose", "cut", "heal", "fill", "drain"}).Draw(t, "kind"),
		replica: rapid.SampledFrom([]string{"r1", "r2", "r3"}).Draw(t, "replica"),
		request: rapid.IntRange(0, 3).Draw(t, "request"),
		wait:    time.Duration(rapid.IntRange(1, 4000).Draw(t, "wait")) * time.Millisecond,
	}
})

// user acquires and releases the reservations of a few requests, each on all
// replicas.
type user struct {
	keeper  *reservations.Keeper
	orders  *unreliable
	held    map[int][]catkinspindle.Reservation
	release map[int]func()
	serial  int
	// troubled is the last time at which a replica was unreachable or full. Leases
	// whose renewals failed then may expire later.
	troubled time.Time
}

func (u *user) apply(m move) {
	u.orders.mu.Lock()
	switch m.kind {
	case "lose":
		u.orders.lost[m.replica] = true
	case "cut":
		u.orders.cut[m.replica] = true
	case "heal":
		clear(u.orders.lost)
		clear(u.orders.cut)
	case "fill":
		u.orders.full[m.replica] = true
	case "drain":
		clear(u.orders.full)
	}
	trouble := len(u.orders.cut)+len(u.orders.full) > 0
	u.orders.mu.Unlock()
	switch m.kind {
	case "acquire":
		u.acquire(m.request)
	case "release":
		if end := u.release[m.request]; end != nil {
			end()
			delete(u.release, m.request)
			delete(u.held, m.request)
		}
	case "wait":
		time.Sleep(m.wait)
	}
	if trouble {
		u.troubled = time.Now()
	}
}

func (u *user) acquire(request int) {
	if u.release[request] != nil {
		return
	}
	u.serial++
	var list []catkinspindle.Reservation
	for _, r := range []string{"r1", "r2", "r3"} {
		list = append(list, catkinspindle.Reservation{ID: fmt.Sprintf("%d-%s", u.serial, r), Replica: catkinspindle.Replica{ID: r}, Tokens: 1})
	}
	end, err := u.keeper.Acquire(context.Background(), list)
	if err == nil {
		u.held[request], u.release[request] = list, end
	}
}

// check returns an error when a request has lost a reservation although all replicas
// have been reachable and not full for the duration of a lease.
func (u *user) check() error {
	if time.Since(u.troubled) < lease {
		return nil
	}
	for request, list := range u.held {
		for _, r := range list {
			if !u.orders.holds(r.ID) {
				return fmt.Errorf("request %d lost reservation %s", request, r.ID)
			}
		}
	}
	return nil
}

func play(t *testing.T, schedule []move) (err error) {
	synctest.Test(t, func(*testing.T) {
		orders := &unreliable{replicas: replicas{until: map[string]time.Time{}, full: map[string]bool{}}, lost: map[string]bool{}, cut: map[string]bool{}}
		u := &user{keeper: reservations.New(orders, slog.New(slog.DiscardHandler)), orders: orders, held: map[int][]catkinspindle.Reservation{}, release: map[int]func(){}}
		for _, m := range schedule {
			u.apply(m)
			if e := u.check(); e != nil && err == nil {
				err = fmt.Errorf("after %+v: %w", m, e)
			}
		}
		for _, end := range u.release {
			end()
		}
		time.Sleep(lease)
		if n := orders.held(); n > 0 && err == nil {
			err = fmt.Errorf("%d reservations still held %s after the last release", n, lease)
		}
		_ = u.keeper.Wait() // The error is always nil.
	})
	return err
}

// Under any schedule of lost responses, refusals and unreachable replicas, requests
// whose renewals succeed keep their reservations, and all reservations are free one
// lease after the requests have ended.
func TestReservationsAreFreed(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		if err := play(t, rapid.SliceOfN(moves, 1, 30).Draw(rt, "schedule")); err != nil {
			rt.Fatal(err)
		}
	})
}
