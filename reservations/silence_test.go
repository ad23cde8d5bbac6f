package reservations_test

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/reservations"
)

// orderTimeout is how long an order to a silent replica takes.
const orderTimeout = 350 * time.Millisecond

// silentReplicas do not answer orders to reserve memory until they return.
type silentReplicas struct {
	*fakeReplicas
	until time.Time
	// refuses is true if they refuse connections instead.
	refuses bool
}

func (r *silentReplicas) Reserve(ctx context.Context, v catkinspindle.Reservation) error {
	if time.Now().Before(r.until) {
		if r.refuses {
			return fmt.Errorf("order: %w: %w", catkinspindle.ErrNoAnswer, syscall.ECONNREFUSED)
		}
		time.Sleep(orderTimeout)
		return fmt.Errorf("order: %w: %w", catkinspindle.ErrNoAnswer, os.ErrDeadlineExceeded)
	}
	return r.fakeReplicas.Reserve(ctx, v)
}

func TestSilentHelperIsAwaitedWhileMostReplicasAreSilent(t *testing.T) {
	tests := map[string]struct {
		silence  time.Duration
		most     bool
		full     bool
		refuses  bool
		acquired bool
		within   time.Duration
	}{
		"most are silent for a second": {time.Second, true, false, false, true, 1100 * time.Millisecond},
		"full when it returns":         {time.Second, true, true, false, false, 1100 * time.Millisecond},
		"most are silent for good":     {time.Hour, true, false, false, false, 1600 * time.Millisecond},
		"most are silent, it refuses":  {time.Second, true, false, true, false, 0},
		"one is silent":                {time.Second, false, false, false, false, orderTimeout},
		"none is silent":               {0, true, false, false, true, 0},
		"none is silent, one is full":  {0, true, true, false, false, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				r := &silentReplicas{&fakeReplicas{leaseEnds: map[string]time.Time{}}, start.Add(tt.silence), tt.refuses}
				if tt.full {
					r.full = map[string]bool{"r2": true}
				}
				k := reservations.New(r, slog.New(slog.DiscardHandler), reservations.WithSilence(func(catkinspindle.Replica) bool { return tt.most }))
				release, err := k.Acquire(context.Background(), testReservations())
				if took := time.Since(start); (err == nil) != tt.acquired || took > tt.within {
					t.Errorf("error %v after %v", err, took)
				}
				var f *reservations.Failure
				if err != nil && !errors.As(err, &f) {
					t.Errorf("error %v names no replica", err)
				}
				if err == nil {
					release()
				}
				if err := k.Wait(); err != nil {
					t.Error(err)
				}
				if diff := cmp.Diff(0, r.heldCount()); diff != "" {
					t.Errorf("reservations held (-want +got):\n%s", diff)
				}
			})
		})
	}
}
