package reconcile

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/catkinspindle/catkinspindle"
)

const leaseKind = "lease"

// lease is a lease kept as an object in the platform's store. Clocks of different VMs
// are never compared: a lease is considered expired when a candidate has seen its
// object unchanged for longer than ReconcileLease plus LongestOrder.
type lease struct {
	platform catkinspindle.Platform
	name     string
	self     catkinspindle.Origin
	timing   catkinspindle.Timing

	// version is the version of the object that this VM's last lease created, zero
	// before the first lease and once it is known to be lost.
	version int64
	// renewed is when the last successful renewal was sent, which is before the store
	// applied it.
	renewed time.Time
	// seenVersion is the version last read while this VM did not hold the lease, and
	// seenSince is when it was first read.
	seenVersion int64
	seenSince   time.Time
}

type leaseValue struct {
	Holder catkinspindle.Origin `json:"holder"`
}

func newLease(platform catkinspindle.Platform, name string, self catkinspindle.Origin, timing catkinspindle.Timing) *lease {
	return &lease{platform: platform, name: name, self: self, timing: timing}
}

// fencingToken returns the fencing token of this VM's last lease, zero before the first one
// and once it is known to be lost.
func (l *lease) fencingToken() int64 { return l.version }

// held reports whether this VM holds the lease, by its own clock.
func (l *lease) held() bool {
	return l.version > 0 && time.Since(l.renewed) < l.timing.ReconcileLease
}

// mayOrder reports whether an order that starts now ends before the lease expires.
func (l *lease) mayOrder() bool {
	return l.version > 0 && time.Since(l.renewed)+l.timing.LongestOrder < l.timing.ReconcileLease
}

// acquireOrRenew acquires the lease, or renews it after a third of its duration, and
// reports whether this VM holds it.
func (l *lease) acquireOrRenew(ctx context.Context) bool {
	if l.held() && time.Since(l.renewed) < l.timing.ReconcileLease/3 {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, l.timing.CallTimeout)
	defer cancel()
	if l.held() {
		l.putLease(ctx, l.version)
		return l.held()
	}
	l.version = 0
	o, err := l.platform.Get(ctx, leaseKind, l.name)
	switch {
	case errors.Is(err, catkinspindle.ErrNotFound):
		l.putLease(ctx, 0)
	case err != nil:
		return false
	case l.expired(o):
		l.putLease(ctx, o.Version)
	}
	return l.held()
}

// expired reports whether the object has been unchanged for so long that its holder
// cannot have an order in progress.
func (l *lease) expired(o catkinspindle.Object) bool {
	if o.Version != l.seenVersion {
		l.seenVersion = o.Version
		l.seenSince = time.Now()
	}
	return time.Since(l.seenSince) > l.timing.ReconcileLease+l.timing.LongestOrder
}

// putLease acquires or renews the lease, if the object still has the given version.
func (l *lease) putLease(ctx context.Context, version int64) {
	value, err := json.Marshal(leaseValue{Holder: l.self})
	if err != nil {
		return
	}
	sent := time.Now()
	o, err := l.platform.Put(ctx, leaseKind, l.name, version, value)
	switch {
	case err == nil:
		l.version, l.renewed = o.Version, sent
	case errors.Is(err, catkinspindle.ErrConflict):
		l.resolveConflict(ctx)
	}
}

// resolveConflict handles a conflict, which may be due to an earlier write of this VM whose
// reply was lost. In that case it renews the lease again, because it is not known when
// that write was applied. If another VM holds the lease, it gives up the lease.
func (l *lease) resolveConflict(ctx context.Context) {
	o, err := l.platform.Get(ctx, leaseKind, l.name)
	if err != nil {
		return
	}
	var v leaseValue
	if json.Unmarshal(o.Value, &v) != nil || v.Holder != l.self {
		l.version = 0
		return
	}
	sent := time.Now()
	if o, err = l.platform.Put(ctx, leaseKind, l.name, o.Version, o.Value); err == nil {
		l.version, l.renewed = o.Version, sent
	}
}
