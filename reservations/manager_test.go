package reservations_test

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/reservations"
)

// fakeReplicas simulates the leases of a few replicas.
type fakeReplicas struct {
	mu              sync.Mutex
	leaseEnds       map[string]time.Time
	full            map[string]bool
	failingReleases int
	renewals        int
}

var errFull = errors.New("not enough free memory")

func (r *fakeReplicas) Reserve(_ context.Context, v catkinspindle.Reservation) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.full[v.Replica.ID] {
		return errFull
	}
	if _, ok := r.leaseEnds[v.ID]; ok {
		r.renewals++
	}
	r.leaseEnds[v.ID] = time.Now().Add(v.LeaseDuration)
	return nil
}

func (r *fakeReplicas) Release(_ context.Context, v catkinspindle.Reservation) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.failingReleases > 0 {
		r.failingReleases--
		return errors.New("no response")
	}
	delete(r.leaseEnds, v.ID)
	return nil
}

func (r *fakeReplicas) heldCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, end := range r.leaseEnds {
		if time.Now().Before(end) {
			n++
		}
	}
	return n
}

func testReservations() []catkinspindle.Reservation {
	return []catkinspindle.Reservation{
		{ID: "a", Replica: catkinspindle.Replica{ID: "r1"}, Tokens: 1000},
		{ID: "b", Replica: catkinspindle.Replica{ID: "r2"}, Tokens: 1000},
	}
}

// Reservations are renewed until they are released, and are released even when the
// first release call fails.
func TestReservationsAreKeptAndReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &fakeReplicas{leaseEnds: map[string]time.Time{}}
		k := reservations.New(r, slog.New(slog.DiscardHandler))
		release, err := k.Acquire(context.Background(), testReservations())
		if err != nil {
			t.Fatal(err)
		}
		for range 20 {
			time.Sleep(time.Second)
			if diff := cmp.Diff(2, r.heldCount()); diff != "" {
				t.Fatalf("reservations held before the release (-want +got):\n%s", diff)
			}
		}
		r.failingReleases = 1
		release()
		if err := k.Wait(); err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(0, r.heldCount()); diff != "" {
			t.Errorf("reservations held after the release (-want +got):\n%s", diff)
		}
	})
}

// When a node dies, renewals and releases stop arriving, and its leases expire within
// the time allowed for freeing the memory of an ended request.
func TestLeasesOfADeadNodeExpire(t *testing.T) {
	const freeWithin = 4 * time.Second
	synctest.Test(t, func(t *testing.T) {
		r := &fakeReplicas{leaseEnds: map[string]time.Time{}}
		k := reservations.New(r, slog.New(slog.DiscardHandler))
		release, err := k.Acquire(context.Background(), testReservations())
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * time.Second)
		r.mu.Lock()
		r.failingReleases = 100
		r.full = map[string]bool{"r1": true, "r2": true}
		r.mu.Unlock()
		time.Sleep(freeWithin)
		if diff := cmp.Diff(0, r.heldCount()); diff != "" {
			t.Errorf("reservations held %v after the last renewal (-want +got):\n%s", freeWithin, diff)
		}
		release()
		_ = k.Wait()
	})
}

// When one replica has too little memory, the reservations on the others are
// released and the error names that replica.
func TestAcquireMakesAllReservationsOrNone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &fakeReplicas{leaseEnds: map[string]time.Time{}, full: map[string]bool{"r2": true}}
		k := reservations.New(r, slog.New(slog.DiscardHandler))
		_, err := k.Acquire(context.Background(), testReservations())
		var f *reservations.Failure
		if !errors.As(err, &f) || f.Replica != "r2" {
			t.Errorf("error %v, want one that names r2", err)
		}
		if err := k.Wait(); err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(0, r.heldCount()); diff != "" {
			t.Errorf("reservations held after a failed Acquire (-want +got):\n%s", diff)
		}
	})
}
