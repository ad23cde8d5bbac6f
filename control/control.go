// Package control holds a node's control state: the membership table, the configuration,
// the list of VMs and the ledgers of the engines that this VM is home to. A single
// goroutine changes it; others read immutable snapshots.
package control

import (
	"context"
	"errors"
	"slices"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/home"
	"github.com/catkinspindle/catkinspindle/members"
)

// rateShareRetention is how long a dead member keeps its share of the backend servers' rate limits,
// because it may be cut off and still serve callers.
const rateShareRetention = time.Minute

// Control is the service that holds the control state.
type Control struct {
	timing   catkinspindle.Timing
	policy   catkinspindle.Policy
	commands chan func()
	stopped  chan struct{}
	cancel   context.CancelFunc
	group    *errgroup.Group
	snapshot atomic.Pointer[catkinspindle.Snapshot]

	// The fields below are accessed only by the control goroutine.
	table        *members.Table
	config       catkinspindle.FleetConfig
	configSource []byte
	vms          []catkinspindle.VM
	vmsReadAt    time.Time
	// vmsChangeCount counts how often the list of VMs has changed.
	vmsChangeCount int
	// leavingUntil maps the names of leaving backend servers to the expiry of their leaving marks.
	leavingUntil map[string]time.Time
	ledgers      map[string]*home.Ledger
	cache        snapshotCache
	// ledgersClosed means that the ledgers are closed because this VM is superseded.
	ledgersClosed bool
}

// New returns the control state of a VM, with self as the only member.
func New(self catkinspindle.Member, timing catkinspindle.Timing, policy catkinspindle.Policy) *Control {
	c := &Control{
		timing:       timing,
		policy:       policy,
		commands:     make(chan func()),
		stopped:      make(chan struct{}),
		table:        members.New(self, timing.FailureTimeout),
		leavingUntil: map[string]time.Time{},
		ledgers:      map[string]*home.Ledger{},
	}
	c.cache.stale = true
	c.publish()
	return c
}

// Start implements catkinspindle.Service.
func (c *Control) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	c.group = &errgroup.Group{}
	c.group.Go(func() error {
		c.run(ctx)
		return nil
	})
	return nil
}

// Stop implements catkinspindle.Service.
func (c *Control) Stop(context.Context) error {
	c.cancel()
	return c.group.Wait()
}

func (c *Control) run(ctx context.Context) {
	defer close(c.stopped)
	ticker := time.NewTicker(c.timing.Heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			c.closeLedgers()
			return
		case <-ticker.C:
			c.tick()
		case f := <-c.commands:
			f()
		}
		c.publish()
	}
}

var errStopped = errors.New("control has stopped")

// do runs f on the control goroutine and waits until it has returned.
func (c *Control) do(f func()) error {
	done := make(chan struct{})
	select {
	case c.commands <- func() { f(); close(done) }:
		<-done
		return nil
	case <-c.stopped:
		return errStopped
	}
}

// update runs f on the control goroutine and marks members, assignments and homes for
// recomputation. If control has stopped, f does not run.
func (c *Control) update(f func()) {
	_ = c.do(func() {
		f()
		c.cache.stale = true
	})
}

// Snapshot returns the latest snapshot. It must not be modified.
func (c *Control) Snapshot() *catkinspindle.Snapshot { return c.snapshot.Load() }

// tick increments the heartbeat counter and expires reservations and leaving marks.
func (c *Control) tick() {
	c.refreshSelf()
	isolated := c.table.Isolated(c.timing.Lease * 4)
	for _, h := range c.ledgers {
		h.SetRateShare(c.table.LiveShare(rateShareRetention))
		// A partitioned VM receives no lease renewals, although the streams may still run,
		// so it expires no lease.
		if !isolated {
			h.EndLeases(c.table.IsDead)
			h.Expire()
		}
	}
	c.refreshMarks()
	c.cache.stale = true
}

// refreshMarks renews the leaving marks of VMs that the platform lists as leaving, as long
// as its list is recent, and removes expired marks.
func (c *Control) refreshMarks() {
	if time.Since(c.vmsReadAt) < c.timing.Lease {
		for _, vm := range c.vms {
			if vm.Leaving {
				c.leavingUntil[vm.Name] = time.Now().Add(c.timing.Lease)
			}
		}
	}
	for name, until := range c.leavingUntil {
		if time.Now().After(until) {
			delete(c.leavingUntil, name)
		}
	}
}

func (c *Control) refreshSelf() {
	self := c.table.Self()
	self.ConfigVersion = c.config.Version
	self.Homes = nil
	for _, h := range c.ledgers {
		self.Homes = append(self.Homes, h.Load())
	}
	c.table.Heartbeat(self)
}

// Heartbeats returns the newest heartbeats of the live members, and the marks of leaving
// backend servers.
func (c *Control) Heartbeats() (heartbeats []catkinspindle.MemberHeartbeat, marks []catkinspindle.LeavingMark) {
	_ = c.do(func() {
		heartbeats = c.table.Heartbeats()
		for name, until := range c.leavingUntil {
			marks = append(marks, catkinspindle.LeavingMark{Backend: name, Until: until})
		}
	})
	return heartbeats, marks
}

// NewerThan returns the live members that are missing from heartbeats or have an older
// heartbeat there.
func (c *Control) NewerThan(heartbeats []catkinspindle.MemberHeartbeat) (list []catkinspindle.Member) {
	_ = c.do(func() { list = c.table.NewerThan(heartbeats) })
	return list
}

// Merge adds the newer ones of the members and leaving marks that a peer has sent.
func (c *Control) Merge(list []catkinspindle.Member, marks []catkinspindle.LeavingMark) {
	c.update(func() {
		c.table.Merge(list)
		for _, m := range marks {
			if m.Until.After(c.leavingUntil[m.Backend]) && m.Until.After(time.Now()) {
				c.leavingUntil[m.Backend] = m.Until
			}
		}
	})
}

// MarkLeaving marks a backend server as leaving, after it has refused work for this reason
// or reported it in its status. The mark expires after one lease unless it is renewed.
func (c *Control) MarkLeaving(backend string) {
	c.update(func() { c.leavingUntil[backend] = time.Now().Add(c.timing.Lease) })
}

// MarkSelfLeaving marks this VM as leaving in its membership entry.
func (c *Control) MarkSelfLeaving() {
	c.update(func() {
		self := c.table.Self()
		self.Leaving = true
		c.table.Heartbeat(self)
	})
}

// SetVMs replaces the list of VMs by the platform's list that was read at the given time.
// It ignores a list that is older than the current one.
func (c *Control) SetVMs(vms []catkinspindle.VM, readAt time.Time) {
	c.update(func() {
		if readAt.Before(c.vmsReadAt) {
			return
		}
		if !slices.Equal(c.vms, vms) {
			c.vmsChangeCount++
		}
		c.vms = vms
		c.vmsReadAt = readAt
		c.refreshMarks()
	})
}

// VMs returns the latest list of VMs and when it was read from the platform.
func (c *Control) VMs() (vms []catkinspindle.VM, readAt time.Time) {
	_ = c.do(func() { vms, readAt = c.vms, c.vmsReadAt })
	return vms, readAt
}

// AdoptConfig puts a configuration into force if its version is higher than that of the one
// in force, and reports whether it did. source is its YAML text.
func (c *Control) AdoptConfig(config catkinspindle.FleetConfig, source []byte) (adopted bool) {
	c.update(func() {
		if config.Version <= c.config.Version {
			return
		}
		adopted = true
		c.config = config
		c.configSource = source
		c.refreshSelf()
	})
	return adopted
}

// ConfigSource returns the source of the configuration in force and its version.
func (c *Control) ConfigSource() (source []byte, version int64) {
	_ = c.do(func() { source, version = c.configSource, c.config.Version })
	return source, version
}

// RateShare returns the part of the backend servers' rate limits that this VM may grant: the
// fraction of the VMs with which it agrees on the owners.
func (c *Control) RateShare() (share float64) {
	_ = c.do(func() { share = c.table.LiveShare(rateShareRetention) })
	return share
}

// IsDead reports whether an incarnation is known to have timed out or to have been replaced.
func (c *Control) IsDead(o catkinspindle.Origin) (dead bool) {
	_ = c.do(func() { dead = c.table.IsDead(o) })
	return dead
}
