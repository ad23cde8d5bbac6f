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

// replicas keeps the leases of a few replicas.
type replicas struct {
	mu       sync.Mutex
	until    map[string]time.Time
	full     map[string]bool
	unheard  int
	renewals int
}

var errFull = errors.New("memory is not free")

func (r *replicas) Reserve(_ context.Context, v catkinspindle.Reservation) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.full[v.Replica.ID] {
		return errFull
	}
	if _, ok := r.until[v.ID]; ok {
		r.renewals++
	}
	r.until[v.ID] = time.Now().Add(v.Hold)
	return nil
}

func (r *replicas) Release(_ context.Context, v catkinspindle.Reservation) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.unheard > 0 {
		r.unheard--
		return errors.New("no answer")
	}
	delete(r.until, v.ID)
	return nil
}

func (r *replicas) held() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, until := range r.until {
		if time.Now().Before(until) {
			n++
		}
	}
	return n
}

func list() []catkinspindle.Reservation {
	return []catkinspindle.Reservation{
		{ID: "a", Replica: catkinspindle.Replica{ID: "r1"}, Tokens: 1000},
		{ID: "b", Replica: catkinspindle.Replica{ID: "r2"}, Tokens: 1000},
	}
}

// Memory is held as long as the prompt uses it and is free after the release,
// also when the first release gets no answer.
func TestReservationsAreKeptAndReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &replicas{until: map[string]time.Time{}}
		k := reservations.New(r, slog.New(slog.DiscardHandler))
		release, err := k.Acquire(context.Background(), list())
		if err != nil {
			t.Fatal(err)
		}
		for range 20 {
			time.Sleep(time.Second)
			if diff := cmp.Diff(2, r.held()); diff != "" {
				t.Fatalf("held reservations (-want +got):\n%s", diff)
			}
		}
		r.unheard = 1
		release()
		if err := k.Wait(); err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(0, r.held()); diff != "" {
			t.Errorf("held after the release (-want +got):\n%s", diff)
		}
	})
}

// The memory of a node that dies is free within the time that a replica may
// keep it set aside for an ended request.
func TestMemoryComesBackWithoutTheNode(t *testing.T) {
	const freeWithin = 4 * time.Second
	synctest.Test(t, func(t *testing.T) {
		r := &replicas{until: map[string]time.Time{}}
		k := reservations.New(r, slog.New(slog.DiscardHandler))
		release, err := k.Acquire(context.Background(), list())
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * time.Second)
		r.mu.Lock()
		r.unheard = 100
		r.full = map[string]bool{"r1": true, "r2": true}
		r.mu.Unlock()
		time.Sleep(freeWithin)
		if diff := cmp.Diff(0, r.held()); diff != "" {
			t.Errorf("held %v after the last renewal (-want +got):\n%s", freeWithin, diff)
		}
		release()
		_ = k.Wait()
	})
}

// All or nothing: when one replica has no room, the others' memory is released
// and the error names the one at fault.
func TestAllOrNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &replicas{until: map[string]time.Time{}, full: map[string]bool{"r2": true}}
		k := reservations.New(r, slog.New(slog.DiscardHandler))
		_, err := k.Acquire(context.Background(), list())
		var f *reservations.Failure
		if !errors.As(err, &f) || f.Replica != "r2" {
			t.Errorf("error %v, want one that names r2", err)
		}
		if err := k.Wait(); err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(0, r.held()); diff != "" {
			t.Errorf("held (-want +got):\n%s", diff)
		}
	})
}
