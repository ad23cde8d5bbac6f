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

// maxLeaseTime is the longest time that a reservation may be held after its last renewal:
// the duration of a lease, and a second for the release calls.
const maxLeaseTime = 3500*time.Millisecond + time.Second

// unreliableReplicas simulates replicas that may be unreachable or whose responses may be
// lost.
type unreliableReplicas struct {
	fakeReplicas
	// responsesLost holds the replicas that execute calls but whose responses are lost.
	responsesLost map[string]bool
	// unreachable holds the replicas that calls do not reach.
	unreachable map[string]bool
}

var errNoResponse = errors.New("no response")

func (u *unreliableReplicas) call(replica string, do func() error) error {
	u.mu.Lock()
	unreachable, responseLost := u.unreachable[replica], u.responsesLost[replica]
	u.mu.Unlock()
	if unreachable {
		return errNoResponse
	}
	err := do()
	if responseLost {
		return errNoResponse
	}
	return err
}

func (u *unreliableReplicas) Reserve(ctx context.Context, r catkinspindle.Reservation) error {
	return u.call(r.Replica.ID, func() error { return u.fakeReplicas.Reserve(ctx, r) })
}

func (u *unreliableReplicas) Release(ctx context.Context, r catkinspindle.Reservation) error {
	return u.call(r.Replica.ID, func() error { return u.fakeReplicas.Release(ctx, r) })
}

func (u *unreliableReplicas) holds(id string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	end, ok := u.leaseEnds[id]
	return ok && time.Now().Before(end)
}

// step is a step of a schedule.
type step struct {
	kind    string
	replica string
	request int
	wait    time.Duration
}

var steps = rapid.Custom(func(t *rapid.T) step {
	return step{
		kind:    rapid.SampledFrom([]string{"acquire", "acquire", "release", "wait", "wait", "lose", "cut", "heal", "fill", "drain"}).Draw(t, "kind"),
		replica: rapid.SampledFrom([]string{"r1", "r2", "r3"}).Draw(t, "replica"),
		request: rapid.IntRange(0, 3).Draw(t, "request"),
		wait:    time.Duration(rapid.IntRange(1, 4000).Draw(t, "wait")) * time.Millisecond,
	}
})

// client acquires and releases the reservations of a few requests, each on all
// replicas.
type client struct {
	manager  *reservations.Manager
	replicas *unreliableReplicas
	held     map[int][]catkinspindle.Reservation
	release  map[int]func()
	serial   int
	// lastFault is the last time at which a replica was unreachable or full. Leases
	// whose renewals failed then may expire later.
	lastFault time.Time
}

func (u *client) apply(m step) {
	u.replicas.mu.Lock()
	switch m.kind {
	case "lose":
		u.replicas.responsesLost[m.replica] = true
	case "cut":
		u.replicas.unreachable[m.replica] = true
	case "heal":
		clear(u.replicas.responsesLost)
		clear(u.replicas.unreachable)
	case "fill":
		u.replicas.full[m.replica] = true
	case "drain":
		clear(u.replicas.full)
	}
	faulty := len(u.replicas.unreachable)+len(u.replicas.full) > 0
	u.replicas.mu.Unlock()
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
	if faulty {
		u.lastFault = time.Now()
	}
}

func (u *client) acquire(request int) {
	if u.release[request] != nil {
		return
	}
	u.serial++
	var list []catkinspindle.Reservation
	for _, r := range []string{"r1", "r2", "r3"} {
		list = append(list, catkinspindle.Reservation{ID: fmt.Sprintf("%d-%s", u.serial, r), Replica: catkinspindle.Replica{ID: r}, Tokens: 1})
	}
	end, err := u.manager.Acquire(context.Background(), list)
	if err == nil {
		u.held[request], u.release[request] = list, end
	}
}

// check returns an error when a request has lost a reservation although all replicas
// have been reachable and not full for the duration of a lease.
func (u *client) check() error {
	if time.Since(u.lastFault) < maxLeaseTime {
		return nil
	}
	for request, list := range u.held {
		for _, r := range list {
			if !u.replicas.holds(r.ID) {
				return fmt.Errorf("request %d lost reservation %s", request, r.ID)
			}
		}
	}
	return nil
}

func runSchedule(t *testing.T, schedule []step) (err error) {
	synctest.Test(t, func(*testing.T) {
		replicas := &unreliableReplicas{fakeReplicas: fakeReplicas{leaseEnds: map[string]time.Time{}, full: map[string]bool{}}, responsesLost: map[string]bool{}, unreachable: map[string]bool{}}
		u := &client{manager: reservations.New(replicas, slog.New(slog.DiscardHandler)), replicas: replicas, held: map[int][]catkinspindle.Reservation{}, release: map[int]func(){}}
		for _, m := range schedule {
			u.apply(m)
			if e := u.check(); e != nil && err == nil {
				err = fmt.Errorf("after %+v: %w", m, e)
			}
		}
		for _, end := range u.release {
			end()
		}
		time.Sleep(maxLeaseTime)
		if n := replicas.heldCount(); n > 0 && err == nil {
			err = fmt.Errorf("%d reservations still held %s after the last release", n, maxLeaseTime)
		}
		_ = u.manager.Wait() // The error is always nil.
	})
	return err
}

// Under any schedule of lost responses, refusals and unreachable replicas, requests
// whose renewals succeed keep their reservations, and all reservations are free one
// lease after the requests have ended.
func TestReservationsAreFreed(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		if err := runSchedule(t, rapid.SliceOfN(steps, 1, 30).Draw(rt, "schedule")); err != nil {
			rt.Fatal(err)
		}
	})
}
