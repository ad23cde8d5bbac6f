// Package watch follows the objects of one kind in the platform's store.
package watch

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/events"
)

const (
	// initialBackoff and maxBackoff are the first and the longest backoff after failed
	// calls; it doubles with each failure.
	initialBackoff = 100 * time.Millisecond
	maxBackoff     = 500 * time.Millisecond
	// returnWindow is how long entries that expired during an outage of the store may take
	// to come back. They do so within about two seconds of the end of the outage, but a
	// replica that has left must get no requests two seconds after its removal, and the
	// end of the outage is detected up to maxBackoff late.
	returnWindow = 1400 * time.Millisecond
	// minOutage is the length of an outage from which entries may have expired.
	minOutage = 900 * time.Millisecond
)

// Follower passes the objects of one kind and their changes to a Sink.
type Follower struct {
	store       catkinspindle.ObjectStore
	kind        string
	pollTimeout time.Duration
	log         *slog.Logger
	sink        Sink
	onOutage    func(lost bool)
	minInterval time.Duration
}

// Option configures a Follower.
type Option func(*Follower)

// WithOutageFunc calls f when the store becomes unreachable and when it is reachable again.
func WithOutageFunc(f func(lost bool)) Option { return func(l *Follower) { l.onOutage = f } }

// WithMinInterval sets the minimum time between the starts of successive calls, so that a
// series of changes takes few calls. The first change after an idle period is not delayed.
func WithMinInterval(d time.Duration) Option { return func(l *Follower) { l.minInterval = d } }

// Sink receives the objects and their changes. Until mayReturn, missing entries may come
// back, because the store had an outage or was restored from a backup; otherwise mayReturn
// is zero.
type Sink interface {
	Reset(objects []catkinspindle.StoredObject, at catkinspindle.Position, mayReturn time.Time)
	Apply(changes []catkinspindle.ObjectChange, at catkinspindle.Position, mayReturn time.Time)
}

// New returns a follower of the objects of a kind. pollTimeout is how long a call waits for
// changes.
func New(store catkinspindle.ObjectStore, kind string, pollTimeout time.Duration, log *slog.Logger, sink Sink, opts ...Option) *Follower {
	f := &Follower{store: store, kind: kind, pollTimeout: pollTimeout, log: log, sink: sink, onOutage: func(bool) {}}
	for _, opt := range opts {
		opt(f)
	}
	return f
}

// Run follows the objects until ctx is done.
func (f *Follower) Run(ctx context.Context) {
	defer f.onOutage(false)
	var (
		position    catkinspindle.Position
		listed      bool
		outageSince time.Time
		mayReturn   time.Time
		backoff     = initialBackoff
	)
	for ctx.Err() == nil {
		started := time.Now()
		var err error
		if time.Now().After(mayReturn) {
			mayReturn = time.Time{}
		}
		if !listed {
			var objects []catkinspindle.StoredObject
			var listedAt catkinspindle.Position
			objects, listedAt, err = f.store.List(ctx, f.kind)
			if err == nil {
				restored := position.Revision > 0 && listedAt.Era > position.Era
				if restored {
					f.log.Warn("store restored from a backup", events.StoreRestored.Attr(), "kind", f.kind, "position", listedAt, "before", position)
				}
				if restored || (!outageSince.IsZero() && time.Since(outageSince) > minOutage) {
					mayReturn = time.Now().Add(returnWindow)
				}
				listed, position = true, listedAt
				f.sink.Reset(objects, position, mayReturn)
			}
		} else {
			var changes []catkinspindle.ObjectChange
			var next catkinspindle.Position
			changes, next, err = f.store.Changes(ctx, f.kind, position, f.pollTimeout)
			if err == nil {
				position = next
				if len(changes) > 0 {
					f.sink.Apply(changes, position, mayReturn)
				}
			}
		}
		if err == nil {
			if !outageSince.IsZero() {
				f.onOutage(false)
				f.log.Info("store reachable again", events.PlatformRegained.Attr(), "kind", f.kind, "away", time.Since(outageSince), "position", position)
			}
			outageSince, backoff = time.Time{}, initialBackoff
			sleep(ctx, time.Until(started.Add(f.minInterval)))
			continue
		}
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, catkinspindle.ErrHistoryGone) {
			listed = false
			continue
		}
		if outageSince.IsZero() {
			outageSince = time.Now()
			f.onOutage(true)
			f.log.Warn("store unreachable", events.PlatformFailed.Attr(), "kind", f.kind, "position", position, "error", err)
		}
		// A failed watch can continue from its position, but after an outage a
		// new list also shows which entries have expired.
		listed = listed && time.Since(outageSince) < minOutage
		sleep(ctx, backoff)
		backoff = min(maxBackoff, 2*backoff)
	}
}

// sleep waits for d or until ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
