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
	table   *members.Table
	text    catkinspindle.Text
	raw     []byte
	vms     []catkinspindle.VM
	vmsRead time.Time
	// vmsChanges counts how often the list of VMs has changed.
	vmsChanges int
	// marks maps the names of leaving backend servers to the expiry of their marks.
	marks map[string]time.Time
	homes map[string]*home.Home
	views views
	// closed means that the ledgers are closed because this VM is superseded.
	closed bool
}

// New returns the control state of a VM that knows no member but itself.
func New(self catkinspindle.Member, timing catkinspindle.Timing, policy catkinspindle.Policy) *Control {
	c := &Control{
		timing:   timing,
		policy:   policy,
		commands: make(chan func()),
		stopped:  make(chan struct{}),
		table:    members.New(self, timing.FailureTimeout),
		marks:    map[string]time.Time{},
		homes:    map[string]*home.Home{},
	}
	c.views.stale = true
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
			c.closeHomes()
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

// change runs f on the control goroutine and marks members, assignments and homes for
// rebuilding. If control has stopped, f does not run.
func (c *Control) change(f func()) {
	_ = c.do(func() {
		f()
		c.views.stale = true
	})
}

// Snapshot returns the latest snapshot. It must not be modified.
func (c *Control) Snapshot() *catkinspindle.Snapshot { return c.snapshot.Load() }

// tick increments the heartbeat counter and expires reservations and leaving marks.
func (c *Control) tick() {
	c.refreshSelf()
	isolated := c.table.Isolated(c.timing.Lease * 4)
	for _, h := range c.homes {
		// A partitioned VM receives no lease renewals, although the streams may still run,
		// so it expires no lease.
		if !isolated {
			h.Lapse(c.table.Dead)
			h.Expire()
		}
	}
	c.refreshMarks()
	c.views.stale = true
}

// refreshMarks renews the leaving marks of VMs that the platform lists as leaving, as long
// as its list is recent, and removes expired marks.
func (c *Control) refreshMarks() {
	if time.Since(c.vmsRead) < c.timing.Lease {
		for _, vm := range c.vms {
			if vm.Leaving {
				c.marks[vm.Name] = time.Now().Add(c.timing.Lease)
			}
		}
	}
	for name, until := range c.marks {
		if time.Now().After(until) {
			delete(c.marks, name)
		}
	}
}

func (c *Control) refreshSelf() {
	self := c.table.Self()
	self.ConfigVersion = c.text.Version
	self.Homes = nil
	for _, h := range c.homes {
		self.Homes = append(self.Homes, h.Load())
	}
	c.table.Beat(self)
}

// Beats returns the newest heartbeats of the live members, and the marks of leaving
// backend servers.
func (c *Control) Beats() (beats []catkinspindle.MemberBeat, marks []catkinspindle.LeavingMark) {
	_ = c.do(func() {
		beats = c.table.Beats()
		for name, until := range c.marks {
			marks = append(marks, catkinspindle.LeavingMark{Backend: name, Until: until})
		}
	})
	return beats, marks
}

// Newer returns the live members that are missing in beats or have an older heartbeat there.
func (c *Control) Newer(beats []catkinspindle.MemberBeat) (list []catkinspindle.Member) {
	_ = c.do(func() { list = c.table.Newer(beats) })
	return list
}

// Merge adds the newer ones of the members and leaving marks that a peer has sent.
func (c *Control) Merge(list []catkinspindle.Member, marks []catkinspindle.LeavingMark) {
	c.change(func() {
		c.table.Merge(list)
		for _, m := range marks {
			if m.Until.After(c.marks[m.Backend]) && m.Until.After(time.Now()) {
				c.marks[m.Backend] = m.Until
			}
		}
	})
}

// MarkLeaving marks a backend server as leaving, since it has refused work for this reason
// or reports it in its status. The mark expires after one lease unless it is renewed.
func (c *Control) MarkLeaving(name string) {
	c.change(func() { c.marks[name] = time.Now().Add(c.timing.Lease) })
}

// Leave marks this VM as leaving in its membership entry.
func (c *Control) Leave() {
	c.change(func() {
		self := c.table.Self()
		self.Leaving = true
		c.table.Beat(self)
	})
}

// SetVMs replaces the list of VMs by the platform's list that was read at the given time.
// It ignores a list that is older than the present one.
func (c *Control) SetVMs(vms []catkinspindle.VM, read time.Time) {
	c.change(func() {
		if read.Before(c.vmsRead) {
			return
		}
		if !slices.Equal(c.vms, vms) {
			c.vmsChanges++
		}
		c.vms = vms
		c.vmsRead = read
		c.refreshMarks()
	})
}

// VMs returns the latest list of VMs and when it was read from the platform.
func (c *Control) VMs() (vms []catkinspindle.VM, read time.Time) {
	_ = c.do(func() { vms, read = c.vms, c.vmsRead })
	return vms, read
}

// Adopt puts a configuration into force if its version is higher than the one in force,
// and reports whether it did. raw is its source.
func (c *Control) Adopt(text catkinspindle.Text, raw []byte) (adopted bool) {
	c.change(func() {
		if text.Version <= c.text.Version {
			return
		}
		adopted = true
		c.text = text
		c.raw = raw
		c.refreshSelf()
	})
	return adopted
}

// Raw returns the source of the configuration in force and its version.
func (c *Control) Raw() (raw []byte, version int64) {
	_ = c.do(func() { raw, version = c.raw, c.text.Version })
	return raw, version
}

// Dead reports whether an incarnation is known to have timed out or to have been replaced.
func (c *Control) Dead(o catkinspindle.Origin) (dead bool) {
	_ = c.do(func() { dead = c.table.Dead(o) })
	return dead
}
