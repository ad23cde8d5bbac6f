// Package homes speaks to the VMs that keep the engines' ledgers: it reserves,
// renews and releases, here or on another VM, and answers the same messages.
package homes

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/control"
)

// The kinds of message between an entry and a home.
const (
	kindReserve = "reserve"
	kindUpdate  = "update"
)

// updateDelay collects updates to a home into one message.
const updateDelay = 20 * time.Millisecond

// Homes implements catkinspindle.Reserver and catkinspindle.Service.
type Homes struct {
	control *control.Control
	peers   catkinspindle.Peers
	timing  catkinspindle.Timing
	group   *errgroup.Group
	ctx     context.Context
	cancel  context.CancelFunc

	mu      sync.Mutex
	stopped bool // No goroutine is added to group any more.
	live    map[catkinspindle.StreamID]catkinspindle.Ticket
	pending map[string]*update
}

// update tells a home of changes to one engine's reservations.
type update struct {
	Engine    string                   `cbor:"1,keyasint"`
	Released  []catkinspindle.StreamID `cbor:"2,keyasint,omitempty"`
	Prefilled []catkinspindle.StreamID `cbor:"3,keyasint,omitempty"`
	Renewed   []catkinspindle.Ticket   `cbor:"4,keyasint,omitempty"`
}

// New returns a reserver for the engines that c knows.
func New(c *control.Control, peers catkinspindle.Peers, timing catkinspindle.Timing) *Homes {
	h := &Homes{
		control: c,
		peers:   peers,
		timing:  timing,
		group:   &errgroup.Group{},
		live:    map[catkinspindle.StreamID]catkinspindle.Ticket{},
		pending: map[string]*update{},
	}
	h.ctx, h.cancel = context.WithCancel(context.Background())
	peers.Handle(kindReserve, h.handleReserve)
	peers.Handle(kindUpdate, h.handleUpdate)
	return h
}

// Start implements catkinspindle.Service.
func (h *Homes) Start(context.Context) error {
	h.group.Go(h.renewLoop)
	return nil
}

// Stop implements catkinspindle.Service.
func (h *Homes) Stop(context.Context) error {
	h.mu.Lock()
	h.stopped = true
	h.mu.Unlock()
	h.cancel()
	return h.group.Wait()
}

func (h *Homes) handleReserve(ctx context.Context, decode func(any) error) (any, error) {
	var t catkinspindle.Ticket
	if err := decode(&t); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithDeadline(ctx, t.Deadline)
	defer cancel()
	return h.control.Reserve(ctx, t)
}

func (h *Homes) handleUpdate(_ context.Context, decode func(any) error) (any, error) {
	var u update
	if err := decode(&u); err != nil {
		return nil, err
	}
	h.apply(u)
	return struct{}{}, nil
}

func (h *Homes) apply(u update) {
	if len(u.Renewed) > 0 {
		h.control.Renew(u.Engine, u.Renewed)
	}
	for _, id := range u.Prefilled {
		h.control.Prefilled(u.Engine, id)
	}
	if len(u.Released) > 0 {
		h.control.Release(u.Engine, u.Released)
	}
}

// Reserve implements catkinspindle.Reserver.
func (h *Homes) Reserve(ctx context.Context, t catkinspindle.Ticket) (catkinspindle.Grant, error) {
	snap := h.control.Snapshot()
	m, ok := snap.Homes[t.Engine]
	if !ok {
		return catkinspindle.Grant{}, catkinspindle.Fail(catkinspindle.NotRun, catkinspindle.ReasonNoBackend, "engine %s has no home", t.Engine)
	}
	g, err := h.ask(ctx, snap, m, t)
	if err != nil {
		// The home may have granted what was refused here, as when the reply
		// was lost. A reservation moves no request, so the verdict is NotRun.
		h.queueUpdate(t.Engine, func(u *update) { u.Released = append(u.Released, t.ID) })
		return g, refused(err)
	}
	t.Started = true
	h.mu.Lock()
	h.live[t.ID] = t
	h.mu.Unlock()
	return g, nil
}

func refused(err error) error {
	f := catkinspindle.AsFailure(err).WithVerdict(catkinspindle.NotRun)
	if f.Reason == catkinspindle.ReasonUnreachable || f.Reason == catkinspindle.ReasonBackendFailed {
		f.Reason = catkinspindle.ReasonNoBackend
	}
	return f
}

func (h *Homes) ask(ctx context.Context, snap *catkinspindle.Snapshot, m catkinspindle.Member, t catkinspindle.Ticket) (catkinspindle.Grant, error) {
	if m.Origin == snap.Self.Origin {
		return h.control.Reserve(ctx, t)
	}
	// A home that dies while the ticket waits would hold the request until its
	// deadline, so the wait ends when the home counts as dead.
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stop := h.watchHome(m, func() {
		cancel(catkinspindle.Fail(catkinspindle.NotRun, catkinspindle.ReasonNoBackend, "home %s is gone", m.Origin))
	})
	defer stop()
	var g catkinspindle.Grant
	err := h.peers.Call(ctx, m.PeerAddress, kindReserve, t, &g)
	if cause := context.Cause(ctx); err != nil && cause != nil {
		return g, reserveFailure(cause)
	}
	return g, err
}

func reserveFailure(cause error) error {
	f := catkinspindle.AsFailure(cause)
	if f.Reason == catkinspindle.ReasonBackendFailed {
		return catkinspindle.Fail(catkinspindle.NotRun, catkinspindle.ReasonDeadline, "no answer of the home: %w", cause).WithRetryAfter(time.Second)
	}
	return f
}

// watchHome calls gone once m is no longer a live member.
func (h *Homes) watchHome(m catkinspindle.Member, gone func()) (stop func()) {
	var timer *time.Timer
	var mu sync.Mutex
	ended := false
	check := func() {
		mu.Lock()
		defer mu.Unlock()
		if ended {
			return
		}
		if h.control.Dead(m.Origin) {
			gone()
			return
		}
		timer.Reset(h.timing.Heartbeat)
	}
	mu.Lock()
	timer = time.AfterFunc(h.timing.Heartbeat, check)
	mu.Unlock()
	return func() {
		mu.Lock()
		defer mu.Unlock()
		ended = true
		timer.Stop()
	}
}

// Prefilled implements catkinspindle.Reserver.
func (h *Homes) Prefilled(t catkinspindle.Ticket) {
	h.mu.Lock()
	if live, ok := h.live[t.ID]; ok {
		live.Prefilled = true
		h.live[t.ID] = live
	}
	h.mu.Unlock()
	h.queueUpdate(t.Engine, func(u *update) { u.Prefilled = append(u.Prefilled, t.ID) })
}

// Release implements catkinspindle.Reserver.
func (h *Homes) Release(t catkinspindle.Ticket) {
	h.mu.Lock()
	delete(h.live, t.ID)
	h.mu.Unlock()
	h.queueUpdate(t.Engine, func(u *update) { u.Released = append(u.Released, t.ID) })
}

// queueUpdate changes the next message to the engine's home. The own ledger
// is told at once.
func (h *Homes) queueUpdate(engine string, change func(*update)) {
	snap := h.control.Snapshot()
	if snap.Homes[engine].Origin == snap.Self.Origin {
		u := update{Engine: engine}
		change(&u)
		h.apply(u)
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	u, ok := h.pending[engine]
	if !ok && h.stopped {
		return // The lease of what is released after the stop lapses at the home.
	}
	if !ok {
		u = &update{Engine: engine}
		h.pending[engine] = u
		h.group.Go(func() error {
			h.flush(engine)
			return nil
		})
	}
	change(u)
}

func (h *Homes) flush(engine string) {
	select {
	case <-time.After(updateDelay):
	case <-h.ctx.Done():
	}
	h.mu.Lock()
	u := h.pending[engine]
	delete(h.pending, engine)
	h.mu.Unlock()
	h.send(*u)
}

// send delivers an update once. A lost one is made good by the next renewal
// or by the lapse of the lease.
func (h *Homes) send(u update) {
	snap := h.control.Snapshot()
	m, ok := snap.Homes[u.Engine]
	if !ok {
		return
	}
	if m.Origin == snap.Self.Origin {
		h.apply(u)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), h.timing.Call)
	defer cancel()
	_ = h.peers.Call(ctx, m.PeerAddress, kindUpdate, u, nil)
}

// renewLoop renews all live reservations at an interval, and those of an
// engine at once when its home changes.
func (h *Homes) renewLoop() error {
	ticker := time.NewTicker(h.timing.Heartbeat)
	defer ticker.Stop()
	known := map[string]catkinspindle.Origin{}
	last := time.Now()
	for {
		select {
		case <-h.ctx.Done():
			return nil
		case <-ticker.C:
		}
		all := time.Since(last) >= h.timing.Renew
		if all {
			last = time.Now()
		}
		homes := h.control.Snapshot().Homes
		for engine, tickets := range h.byEngine() {
			now := homes[engine].Origin
			if all || known[engine] != now {
				known[engine] = now
				h.group.Go(func() error {
					h.send(update{Engine: engine, Renewed: tickets})
					return nil
				})
			}
		}
	}
}

func (h *Homes) byEngine() map[string][]catkinspindle.Ticket {
	h.mu.Lock()
	defer h.mu.Unlock()
	all := map[string][]catkinspindle.Ticket{}
	for _, t := range h.live {
		all[t.Engine] = append(all[t.Engine], t)
	}
	return all
}

// Streams returns the ids of the streams that this VM owns, by engine.
func (h *Homes) Streams() map[string][]string {
	all := map[string][]string{}
	for engine, tickets := range h.byEngine() {
		all[engine] = ids(tickets)
	}
	return all
}

func ids(tickets []catkinspindle.Ticket) []string {
	var list []string
	for _, t := range tickets {
		list = append(list, t.ID.String())
	}
	return list
}
