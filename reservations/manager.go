// Package reservations reserves memory on replicas while a request needs it.
// Every reservation is a short lease that is renewed. When a node dies, its
// leases expire and the memory becomes free without a release, and a reserve
// call that a replica executes late holds memory only briefly.
package reservations

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/events"
)

const (
	// leaseDuration is the duration of a lease. It is below the time within which the
	// memory of an ended request must be free again.
	leaseDuration = 3500 * time.Millisecond
	// renewInterval is the interval between renewals. Two in a row may fail before a
	// lease expires.
	renewInterval = 1100 * time.Millisecond
	// maxReleaseAttempts bounds the attempts to release a reservation. When all of
	// them fail, the lease expires.
	maxReleaseAttempts = 2
	// maxSilence bounds the time in which an order to reserve memory is repeated while most replicas are
	// silent. A sound one may be silent for a second.
	maxSilence = 1200 * time.Millisecond
)

// Manager acquires, renews and releases reservations.
type Manager struct {
	memory catkinspindle.MemoryReserver
	log    *slog.Logger
	group  errgroup.Group
	// mostSilent reports whether most of the other replicas of a replica's service are silent.
	mostSilent func(catkinspindle.Replica) bool
}

// Option configures a Manager.
type Option func(*Manager)

// WithSilence sets the function that reports whether most of the other replicas of a replica's service
// are silent. An order without an answer is then repeated, since another replica would not answer
// sooner. Without it every silence counts as the replica's failure.
func WithSilence(mostSilent func(catkinspindle.Replica) bool) Option {
	return func(k *Manager) { k.mostSilent = mostSilent }
}

// New returns a Manager that makes and releases reservations through r.
func New(r catkinspindle.MemoryReserver, log *slog.Logger, opts ...Option) *Manager {
	k := &Manager{memory: r, log: log, mostSilent: func(catkinspindle.Replica) bool { return false }}
	for _, opt := range opts {
		opt(k)
	}
	return k
}

// Failure reports a reservation that could not be made.
type Failure struct {
	Replica string
	Err     error
}

// Error implements error.
func (f *Failure) Error() string {
	return fmt.Sprintf("reserving memory on replica %s: %v", f.Replica, f.Err)
}

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Err }

// Acquire makes all reservations in list or none and renews them in the
// background. The caller must call release to end them. The error is a
// *Failure.
func (k *Manager) Acquire(ctx context.Context, list []catkinspindle.Reservation) (release func(), err error) {
	for i := range list {
		list[i].LeaseDuration = leaseDuration
	}
	group, groupCtx := errgroup.WithContext(ctx)
	for _, r := range list {
		group.Go(func() error {
			if err := k.reserve(groupCtx, r); err != nil {
				return &Failure{Replica: r.Replica.ID, Err: err}
			}
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		// A call that failed without a response may still have made its reservation.
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

// reserve makes a reservation. A repeated order has the same ID, so that a replica that executes the
// earlier ones late makes one reservation.
func (k *Manager) reserve(ctx context.Context, r catkinspindle.Reservation) error {
	for start := time.Now(); ; {
		err := k.memory.Reserve(ctx, r)
		if !timedOut(err) || ctx.Err() != nil || time.Since(start) >= maxSilence || !k.mostSilent(r.Replica) {
			return err
		}
	}
}

// timedOut reports whether err means that the replica did not answer in time. One whose connection
// failed is not silent.
func timedOut(err error) bool {
	var timeout net.Error
	return errors.Is(err, catkinspindle.ErrNoAnswer) && errors.As(err, &timeout) && timeout.Timeout()
}

func (k *Manager) renew(ctx context.Context, r catkinspindle.Reservation) {
	ticker := time.NewTicker(renewInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if err := k.memory.Reserve(ctx, r); err != nil && ctx.Err() == nil {
			k.log.Warn("renewing a reservation failed", events.OrderFailed.Attr(), "replica", r.Replica.ID, "reservation", r.ID, "error", err)
		}
	}
}

// release ends the reservations in the background, so that the response to the
// caller is not delayed.
func (k *Manager) release(list []catkinspindle.Reservation) {
	for _, r := range list {
		k.group.Go(func() error {
			var err error
			for range maxReleaseAttempts {
				if err = k.memory.Release(context.Background(), r); err == nil {
					return nil
				}
			}
			k.log.Warn("releasing a reservation failed; its lease will expire", events.OrderFailed.Attr(), "replica", r.Replica.ID, "reservation", r.ID, "error", err)
			return nil
		})
	}
}

// Wait waits until all renewals have stopped and all releases have been sent.
func (k *Manager) Wait() error { return k.group.Wait() }
