// Package homes is the client and the server of reservations. An engine's home is the VM
// that keeps the engine's reservation ledger; the package reserves, renews and releases
// engine memory with the home, on this VM or another, and handles the same messages from
// other VMs.
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

// updateDelay is the time for which updates are collected into one message to a home.
const updateDelay = 20 * time.Millisecond

// Client implements catkinspindle.Reserver and catkinspindle.Service.
type Client struct {
	control *control.Control
	peers   catkinspindle.Peers
	timing  catkinspindle.Timing
	group   *errgroup.Group
	ctx     context.Context
	cancel  context.CancelFunc

	mu           sync.Mutex
	stopped      bool // No more goroutines may be added to group.
	reservations map[catkinspindle.StreamID]catkinspindle.Ticket
	pending      map[string]*update
}

// update is a message to a home with changes to one engine's reservations.
type update struct {
	Engine    string                   `cbor:"1,keyasint"`
	Released  []catkinspindle.StreamID `cbor:"2,keyasint,omitempty"`
	Prefilled []catkinspindle.StreamID `cbor:"3,keyasint,omitempty"`
	Renewed   []catkinspindle.Ticket   `cbor:"4,keyasint,omitempty"`
}

// New returns a client that reserves memory on the engines of c, and registers its message
// handlers with peers.
func New(c *control.Control, peers catkinspindle.Peers, timing catkinspindle.Timing) *Client {
	h := &Client{
		control:      c,
		peers:        peers,
		timing:       timing,
		group:        &errgroup.Group{},
		reservations: map[catkinspindle.StreamID]catkinspindle.Ticket{},
		pending:      map[string]*update{},
	}
	h.ctx, h.cancel = context.WithCancel(context.Background())
	peers.Handle(kindReserve, h.handleReserve)
	peers.Handle(kindUpdate, h.handleUpdate)
	return h
}

// Start implements catkinspindle.Service.
func (h *Client) Start(context.Context) error {
	h.group.Go(h.renewLoop)
	return nil
}

// Stop implements catkinspindle.Service.
func (h *Client) Stop(context.Context) error {
	h.mu.Lock()
	h.stopped = true
	h.mu.Unlock()
	h.cancel()
	return h.group.Wait()
}

func (h *Client) handleReserve(ctx context.Context, decode func(any) error) (any, error) {
	var t catkinspindle.Ticket
	if err := decode(&t); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithDeadline(ctx, t.Deadline)
	defer cancel()
	return h.control.Reserve(ctx, t)
}

func (h *Client) handleUpdate(_ context.Context, decode func(any) error) (any, error) {
	var u update
	if err := decode(&u); err != nil {
		return nil, err
	}
	h.apply(u)
	return struct{}{}, nil
}

func (h *Client) apply(u update) {
	if len(u.Renewed) > 0 {
		h.control.Renew(u.Engine, u.Renewed)
	}
	for _, id := range u.Prefilled {
		h.control.MarkPrefilled(u.Engine, id)
	}
	if len(u.Released) > 0 {
		h.control.Release(u.Engine, u.Released)
	}
}

// Reserve implements catkinspindle.Reserver.
func (h *Client) Reserve(ctx context.Context, t catkinspindle.Ticket) (catkinspindle.Grant, error) {
	snap := h.control.Snapshot()
	m, ok := snap.Homes[t.Engine]
	if !ok {
		return catkinspindle.Grant{}, catkinspindle.Fail(catkinspindle.NotRun, catkinspindle.ReasonNoBackend, "engine %s has no home", t.Engine)
	}
	g, err := h.requestGrant(ctx, snap, m, t)
	if err != nil {
		// The home may have granted the ticket although this call failed, for
		// example when the reply was lost, so the ticket is released. A
		// reservation sends no request to an engine, so the verdict is NotRun.
		h.queueUpdate(t.Engine, func(u *update) { u.Released = append(u.Released, t.ID) })
		return g, withVerdictNotRun(err)
	}
	t.Started = true
	h.mu.Lock()
	h.reservations[t.ID] = t
	h.mu.Unlock()
	return g, nil
}

func withVerdictNotRun(err error) error {
	f := catkinspindle.AsFailure(err).WithVerdict(catkinspindle.NotRun)
	if f.Reason == catkinspindle.ReasonPeerUnreachable || f.Reason == catkinspindle.ReasonBackendFailed {
		f.Reason = catkinspindle.ReasonNoBackend
	}
	return f
}

func (h *Client) requestGrant(ctx context.Context, snap *catkinspindle.Snapshot, m catkinspindle.Member, t catkinspindle.Ticket) (catkinspindle.Grant, error) {
	if m.Origin == snap.Self.Origin {
		return h.control.Reserve(ctx, t)
	}
	// If the home dies while the ticket is queued, the call would block until the
	// deadline, so it is cancelled once the home counts as dead.
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stop := h.watchHome(m, func() {
		cancel(catkinspindle.Fail(catkinspindle.NotRun, catkinspindle.ReasonNoBackend, "home %s is dead", m.Origin))
	})
	defer stop()
	var g catkinspindle.Grant
	err := h.peers.Call(ctx, m.PeerAddress, kindReserve, t, &g)
	if cause := context.Cause(ctx); err != nil && cause != nil {
		return g, cancellationFailure(cause)
	}
	return g, err
}

func cancellationFailure(cause error) error {
	f := catkinspindle.AsFailure(cause)
	if f.Reason == catkinspindle.ReasonBackendFailed {
		return catkinspindle.Fail(catkinspindle.NotRun, catkinspindle.ReasonDeadline, "no answer from the home: %w", cause).WithRetryAfter(time.Second)
	}
	return f
}

// watchHome calls onDead once m counts as dead. It checks at the heartbeat interval until
// stop is called.
func (h *Client) watchHome(m catkinspindle.Member, onDead func()) (stop func()) {
	var timer *time.Timer
	var mu sync.Mutex
	stopped := false
	check := func() {
		mu.Lock()
		defer mu.Unlock()
		if stopped {
			return
		}
		if h.control.IsDead(m.Origin) {
			onDead()
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
		stopped = true
		timer.Stop()
	}
}

// Prefilled implements catkinspindle.Reserver.
func (h *Client) Prefilled(t catkinspindle.Ticket) {
	h.mu.Lock()
	if reserved, ok := h.reservations[t.ID]; ok {
		reserved.Prefilled = true
		h.reservations[t.ID] = reserved
	}
	h.mu.Unlock()
	h.queueUpdate(t.Engine, func(u *update) { u.Prefilled = append(u.Prefilled, t.ID) })
}

// Release implements catkinspindle.Reserver.
func (h *Client) Release(t catkinspindle.Ticket) {
	h.mu.Lock()
	delete(h.reservations, t.ID)
	h.mu.Unlock()
	h.queueUpdate(t.Engine, func(u *update) { u.Released = append(u.Released, t.ID) })
}

// queueUpdate applies change to the pending update for the engine's home, which is sent
// after updateDelay. If this VM is the home, the change is applied at once.
func (h *Client) queueUpdate(engine string, change func(*update)) {
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
		return // After a stop, the home frees the reservation when its lease expires.
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

func (h *Client) flush(engine string) {
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

// send delivers an update without retries. If it is lost, the next renewal or the expiry of
// the lease corrects the home's ledger.
func (h *Client) send(u update) {
	snap := h.control.Snapshot()
	m, ok := snap.Homes[u.Engine]
	if !ok {
		return
	}
	if m.Origin == snap.Self.Origin {
		h.apply(u)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), h.timing.CallTimeout)
	defer cancel()
	_ = h.peers.Call(ctx, m.PeerAddress, kindUpdate, u, nil)
}

// renewLoop renews all reservations at the interval Timing.RenewInterval, and those of an engine
// within a heartbeat when its home changes.
func (h *Client) renewLoop() error {
	ticker := time.NewTicker(h.timing.Heartbeat)
	defer ticker.Stop()
	lastHome := map[string]catkinspindle.Origin{}
	lastRenewal := time.Now()
	for {
		select {
		case <-h.ctx.Done():
			return nil
		case <-ticker.C:
		}
		renewAll := time.Since(lastRenewal) >= h.timing.RenewInterval
		if renewAll {
			lastRenewal = time.Now()
		}
		homes := h.control.Snapshot().Homes
		for engine, tickets := range h.ticketsByEngine() {
			home := homes[engine].Origin
			if renewAll || lastHome[engine] != home {
				lastHome[engine] = home
				h.group.Go(func() error {
					h.send(update{Engine: engine, Renewed: tickets})
					return nil
				})
			}
		}
	}
}

func (h *Client) ticketsByEngine() map[string][]catkinspindle.Ticket {
	h.mu.Lock()
	defer h.mu.Unlock()
	all := map[string][]catkinspindle.Ticket{}
	for _, t := range h.reservations {
		all[t.Engine] = append(all[t.Engine], t)
	}
	return all
}

// Streams returns the IDs of the streams that this VM owns, by engine.
func (h *Client) Streams() map[string][]string {
	all := map[string][]string{}
	for engine, tickets := range h.ticketsByEngine() {
		all[engine] = streamIDs(tickets)
	}
	return all
}

func streamIDs(tickets []catkinspindle.Ticket) []string {
	var list []string
	for _, t := range tickets {
		list = append(list, t.ID.String())
	}
	return list
}
