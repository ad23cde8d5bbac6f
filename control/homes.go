package control

import (
	"context"
	"slices"
	"time"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/home"
)

// vmsWithLeaving returns the list of VMs with Leaving set for each VM that has a leaving mark,
// whether from the platform, a backend server or a peer.
func (c *Control) vmsWithLeaving() []catkinspindle.VM {
	vms := slices.Clone(c.vms)
	for i, vm := range vms {
		if _, ok := c.leavingUntil[vm.Name]; ok {
			vms[i].Leaving = true
		}
	}
	return vms
}

func (c *Control) engines() []catkinspindle.VM {
	var list []catkinspindle.VM
	for _, vm := range c.vms {
		if vm.Kind == catkinspindle.KindEngine {
			list = append(list, vm)
		}
	}
	return list
}

// homeOf returns the live member that keeps the engine's ledger, chosen by rendezvous
// hashing. Members in the engine's data centre come first, leaving members are skipped.
func homeOf(engine catkinspindle.VM, live []catkinspindle.Member) (catkinspindle.Member, bool) {
	var best catkinspindle.Member
	var bestScore uint64
	bestSameDC, found := false, false
	for _, m := range live {
		if m.Leaving {
			continue
		}
		sameDC := m.DataCentre == engine.DataCentre
		score := catkinspindle.RendezvousScore(engine.Name, m.Origin.VM)
		if !found || sameDC && !bestSameDC || sameDC == bestSameDC && score > bestScore {
			best, bestScore, bestSameDC, found = m, score, sameDC, true
		}
	}
	return best, found
}

// updateLedgers creates the ledgers of the engines that this VM is home to and closes the
// others. A superseded VM closes all of them.
func (c *Control) updateLedgers() {
	superseded := c.table.Superseded()
	if !c.refreshAssignments() && superseded == c.ledgersClosed {
		return
	}
	c.ledgersClosed = superseded
	want := map[string]catkinspindle.EngineState{}
	for _, a := range c.cache.assignments {
		want[a.VM.Name] = a.Want
	}
	for name, m := range c.cache.homes {
		if m.Origin != c.table.Self().Origin || superseded {
			continue
		}
		if _, ok := c.ledgers[name]; !ok {
			c.ledgers[name] = home.New(name, c.policy, c.timing.Lease)
			c.ledgers[name].SetRateShare(c.table.LiveShare(rateShareRetention))
		}
		c.ledgers[name].SetWantedState(want[name])
	}
	for name, h := range c.ledgers {
		if c.cache.homes[name].Origin != c.table.Self().Origin || superseded {
			h.Close()
			delete(c.ledgers, name)
		}
	}
}

func (c *Control) closeLedgers() {
	for _, h := range c.ledgers {
		h.Close()
	}
}

// decision is the result of a ticket that was submitted to a ledger.
type decision struct {
	grant catkinspindle.Grant
	err   error
}

// Reserve waits until the ticket is granted or refused by the ledger of an engine that this
// VM is home to. If ctx ends first, the ticket is withdrawn.
func (c *Control) Reserve(ctx context.Context, t catkinspindle.Ticket) (catkinspindle.Grant, error) {
	decided := make(chan decision, 1)
	err := c.withLedger(t.Engine, func(h *home.Ledger) {
		h.Submit(t, func(g catkinspindle.Grant, err error) { decided <- decision{grant: g, err: err} })
	})
	if err != nil {
		return catkinspindle.Grant{}, err
	}
	select {
	case d := <-decided:
		return d.grant, d.err
	case <-ctx.Done():
		c.Release(t.Engine, []catkinspindle.StreamID{t.ID})
		return catkinspindle.Grant{}, catkinspindle.Fail(catkinspindle.NotRun, catkinspindle.ReasonDeadline, "no memory on %s in time", t.Engine).WithRetryAfter(time.Second)
	}
}

// withLedger runs f with the ledger of an engine on the control goroutine. It fails if this
// VM is not home to the engine.
func (c *Control) withLedger(engine string, f func(*home.Ledger)) error {
	err := error(catkinspindle.Fail(catkinspindle.NotRun, catkinspindle.ReasonNoBackend, "this VM is not home to engine %s", engine))
	stopErr := c.do(func() {
		if h, ok := c.ledgers[engine]; ok {
			err = nil
			f(h)
			c.cache.changedLedgers[engine] = true
		}
	})
	if stopErr != nil {
		return catkinspindle.Fail(catkinspindle.NotRun, catkinspindle.ReasonStopping, "%w", stopErr)
	}
	return err
}

// Release releases reservations on an engine. It does nothing if this VM is not home to
// the engine.
func (c *Control) Release(engine string, ids []catkinspindle.StreamID) {
	_ = c.withLedger(engine, func(h *home.Ledger) {
		for _, id := range ids {
			h.Release(id)
		}
	})
}

// MarkPrefilled records that the prefill of a stream has ended: its first token has arrived.
func (c *Control) MarkPrefilled(engine string, id catkinspindle.StreamID) {
	_ = c.withLedger(engine, func(h *home.Ledger) { h.Prefilled(id) })
}

// Renew extends the leases of reservations on an engine.
func (c *Control) Renew(engine string, tickets []catkinspindle.Ticket) {
	_ = c.withLedger(engine, func(h *home.Ledger) { h.Renew(tickets) })
}

// Drain makes the ledger refuse new reservations on an engine until the given time, and
// returns the number of those still held.
func (c *Control) Drain(engine string, until time.Time) (held int, err error) {
	err = c.withLedger(engine, func(h *home.Ledger) {
		h.Drain(until)
		held = h.ReservationCount()
	})
	return held, err
}

// HomeEngines returns the engines that this VM is home to.
func (c *Control) HomeEngines() (list []catkinspindle.VM) {
	_ = c.do(func() {
		for _, vm := range c.engines() {
			if _, ok := c.ledgers[vm.Name]; ok {
				list = append(list, vm)
			}
		}
	})
	return list
}

// UpdateStatus updates the ledger from an engine's status and returns the streams to cancel.
func (c *Control) UpdateStatus(engine string, st catkinspindle.EngineStatus) (cancel []catkinspindle.StreamID) {
	_ = c.withLedger(engine, func(h *home.Ledger) { cancel = h.Observe(st) })
	if st.Leaving {
		c.MarkLeaving(engine)
	}
	return cancel
}

// ConfirmStreamEnd records that an engine has confirmed the cancellation of a stream.
func (c *Control) ConfirmStreamEnd(engine string, id catkinspindle.StreamID) {
	_ = c.withLedger(engine, func(h *home.Ledger) { h.ConfirmStreamEnd(id) })
}

// MarkUnreachable records that an engine has not answered a status request.
func (c *Control) MarkUnreachable(engine string) {
	_ = c.withLedger(engine, func(h *home.Ledger) { h.MarkUnreachable() })
}

// Ledgers returns the reservations of all ledgers by engine, for the state dump.
func (c *Control) Ledgers() map[string][]catkinspindle.Ticket {
	all := map[string][]catkinspindle.Ticket{}
	_ = c.do(func() {
		for name, h := range c.ledgers {
			all[name] = h.Reservations()
		}
	})
	return all
}
