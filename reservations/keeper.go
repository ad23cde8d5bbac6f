// Package reservations keeps memory of replicas set aside while a prompt uses
// it. Every reservation is a short lease that is renewed, so that the memory of
// a node that dies comes back without anybody's help, and so that an order that
// is carried out late holds memory only briefly.
package reservations

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/events"
)

const (
	// hold is the length of a lease. It is below the time within which the
	// memory of an ended request must be free.
	hold = 3500 * time.Millisecond
	// renewal is the interval of renewals: two may fail before a lease ends.
	renewal = 1100 * time.Millisecond
	// releaseTries bounds the attempts to release; after them the lease ends.
	releaseTries = 2
)

// Keeper acquires and keeps reservations.
type Keeper struct {
	orders catkinspindle.MemoryOrders
	log    *slog.Logger
	group  errgroup.Group
}

// New returns a keeper that orders through r.
func New(r catkinspindle.MemoryOrders, log *slog.Logger) *Keeper {
	return &Keeper{orders: r, log: log}
}

// Failure is a reservation that could not be made.
type Failure struct {
	Replica string
	Err     error
}

// Error implements error.
func (f *Failure) Error() string {
	return fmt.Sprintf("reservation at replica %s: %v", f.Replica, f.Err)
}

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Err }

// Acquire makes all reservations or none. The function that it returns ends
// them; it must be called. The error is a Failure.
func (k *Keeper) Acquire(ctx context.Context, list []catkinspindle.Reservation) (release func(), err error) {
	for i := range list {
		list[i].Hold = hold
	}
	group, groupCtx := errgroup.WithContext(ctx)
	for _, r := range list {
		group.Go(func() error {
			if err := k.orders.Reserve(groupCtx, r); err != nil {
				return &Failure{Replica: r.Replica.ID, Err: err}
			}
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		// One that got no answer may have been made.
		k.release(list)
		return nil, err
	}
	renewCtx, cancel := context.WithCancel(context.Background())
	for _, r := range list {
		k.group.Go(func() error {
			k.renew(renewCtx, r)
			return nil
		})
	}
	return func() {
		cancel()
		k.release(list)
	}, nil
}

func (k *Keeper) renew(ctx context.Context, r catkinspindle.Reservation) {
	ticker := time.NewTicker(renewal)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if err := k.orders.Reserve(ctx, r); err != nil && ctx.Err() == nil {
			k.log.Warn("reservation not renewed", events.OrderFailed.Attr(), "replica", r.Replica.ID, "reservation", r.ID, "error", err)
		}
	}
}

// release releases in the background: the caller's answer does not wait.
func (k *Keeper) release(list []catkinspindle.Reservation) {
	for _, r := range list {
		k.group.Go(func() error {
			var err error
			for range releaseTries {
				if err = k.orders.Release(context.Background(), r); err == nil {
					return nil
				}
			}
			k.log.Warn("reservation not released; its lease ends", events.OrderFailed.Attr(), "replica", r.Replica.ID, "reservation", r.ID, "error", err)
			return nil
		})
	}
}

// Wait waits until all releases have been sent.
func (k *Keeper) Wait() error { return k.group.Wait() }
