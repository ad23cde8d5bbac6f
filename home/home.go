// Package home implements the memory ledger and the admission queue of one engine.
// The ledger records the reservations that were granted; the engine's status reports
// only correct it.
package home

import (
	"cmp"
	"slices"
	"time"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/pacing"
)

// Ledger is the ledger and the admission queue of one engine. It is not safe for
// concurrent use.
type Ledger struct {
	engine string
	policy catkinspindle.Policy
	lease  time.Duration

	statusKnown     bool
	status          catkinspindle.EngineStatus
	want            catkinspindle.EngineState
	drainUntil      time.Time
	rate            float64
	lastDecay       time.Time
	held            map[catkinspindle.StreamID]*reservation
	released        map[catkinspindle.StreamID]release
	queue           []*waiter
	workspaceTokens map[string]int
	// pacer spaces the grants while the engine states a rate limit, of which rateShare is this
	// home's part; turns spaces the callers that are refused because of it.
	rateShare    float64
	pacer, turns pacing.Pacer
}

// reservation is memory that the ledger counts as used by a stream.
type reservation struct {
	ticket catkinspindle.Ticket
	key    time.Time
	// prefillLeft is the estimated remaining prefill work, in tokens.
	prefillLeft float64
	// leaseEnd is when the lease expires.
	leaseEnd time.Time
	// listed means that the engine's last status lists the stream.
	listed bool
	// adopted means that the stream is known only from the engine's status.
	adopted bool
	// orphaned means that the lease expired while the engine still listed the stream.
	orphaned bool
}

// release is a released reservation. It is kept for the duration of the lease, and longer
// while the engine still lists the stream; a listed stream's memory counts as used.
type release struct {
	releasedAt time.Time
	memory     int
	listed     bool
}

// waiter is a ticket in the admission queue.
type waiter struct {
	ticket catkinspindle.Ticket
	key    time.Time
	decide func(catkinspindle.Grant, error)
}

// initialPrefillShare is the share of an engine's prefill rate that is assumed to be
// available while it also decodes, until first tokens correct the estimate.
const initialPrefillShare = 0.5

// New returns an empty ledger. It admits nothing until Observe has received the
// engine's first status.
func New(engine string, policy catkinspindle.Policy, lease time.Duration) *Ledger {
	return &Ledger{
		engine:          engine,
		policy:          policy,
		lease:           lease,
		lastDecay:       time.Now(),
		held:            map[catkinspindle.StreamID]*reservation{},
		released:        map[catkinspindle.StreamID]release{},
		workspaceTokens: map[string]int{},
		rateShare:       1,
	}
}

// SetWantedState sets the state that the engine should serve. With the zero value no model
// is assigned to the engine, and all waiting tickets are refused.
func (h *Ledger) SetWantedState(want catkinspindle.EngineState) {
	h.want = want
	if h.want.Model == "" {
		h.refuseQueue(catkinspindle.ReasonNoBackend, "no model is assigned to the engine")
	}
}

// Drain refuses new and waiting tickets until the given time.
func (h *Ledger) Drain(until time.Time) {
	h.drainUntil = until
	h.refuseQueue(catkinspindle.ReasonNoBackend, "engine is draining")
}

func (h *Ledger) ready() bool {
	return h.statusKnown && !h.status.Leaving && h.want.Model != "" &&
		h.status.State.Model == h.want.Model && time.Now().After(h.drainUntil)
}

// Submit requests a reservation for t. decide is called exactly once, either before
// Submit returns or later, with the grant or the refusal.
func (h *Ledger) Submit(t catkinspindle.Ticket, decide func(catkinspindle.Grant, error)) {
	if err := h.admissionError(t); err != nil {
		decide(catkinspindle.Grant{}, err)
		return
	}
	h.queue = append(h.queue, &waiter{ticket: t, key: h.queueKey(t), decide: decide})
	h.grantWaiting()
}

func (h *Ledger) admissionError(t catkinspindle.Ticket) error {
	notRun := catkinspindle.NotRun
	if !h.ready() {
		return catkinspindle.Fail(notRun, catkinspindle.ReasonNoBackend, "engine %s is not ready", h.engine)
	}
	if wait := h.rateWait(time.Now()); wait > 0 && !t.AwaitRate {
		return catkinspindle.Fail(notRun, catkinspindle.ReasonRateLimit, "rate limit of engine %s is used up", h.engine).WithRetryAfter(h.turns.Turn(time.Now(), wait, h.perSecond(), time.Until(t.Deadline)))
	}
	if t.MemoryTokens > h.status.Capacity {
		return catkinspindle.Fail(notRun, catkinspindle.ReasonNeverFits, "engine %s has memory for %d tokens, request needs %d", h.engine, h.status.Capacity, t.MemoryTokens)
	}
	if !h.policy.Admission {
		return nil
	}
	completion := h.completionTime(t)
	if late := time.Until(t.Deadline) - completion; late < 0 {
		return catkinspindle.Fail(notRun, catkinspindle.ReasonOverload, "estimated completion time on engine %s is %v, after the deadline", h.engine, completion.Round(time.Millisecond)).WithRetryAfter(-late)
	}
	return nil
}

// grantWaiting grants the waiting tickets that fit, in queue order.
func (h *Ledger) grantWaiting() {
	if len(h.queue) == 0 {
		return
	}
	h.decay()
	h.sortQueue()
	now := time.Now()
	var rest []*waiter
	blocked := false
	for _, w := range h.queue {
		if !blocked && h.fits(w.ticket) {
			h.grant(w)
			continue
		}
		// Free memory is kept for a ticket whose key has passed; before that,
		// smaller tickets may overtake it.
		blocked = blocked || h.policy.Order == catkinspindle.OrderFIFO || !w.key.After(now)
		rest = append(rest, w)
	}
	h.queue = rest
}

func (h *Ledger) sortQueue() {
	slices.SortStableFunc(h.queue, func(a, b *waiter) int {
		if h.policy.FairShare {
			if c := cmp.Compare(h.workspaceTokens[a.ticket.Workspace], h.workspaceTokens[b.ticket.Workspace]); c != 0 {
				return c
			}
		}
		return a.key.Compare(b.key)
	})
}

func (h *Ledger) fits(t catkinspindle.Ticket) bool {
	if t.MemoryTokens > h.freeTokens() || len(h.held) >= h.status.MaxStreams || h.rateWait(time.Now()) > 0 {
		return false
	}
	return !t.Long || h.policy.MaxLong == 0 || h.longStreams() < h.policy.MaxLong
}

func (h *Ledger) longStreams() int {
	n := 0
	for _, r := range h.held {
		if r.ticket.Long {
			n++
		}
	}
	return n
}

func (h *Ledger) freeTokens() int {
	free := h.status.Capacity
	for _, r := range h.held {
		free -= r.ticket.MemoryTokens
	}
	for _, r := range h.released {
		if r.listed {
			free -= r.memory
		}
	}
	return free
}

func (h *Ledger) grant(w *waiter) {
	if h.status.RateLimit.Stated {
		h.pacer.Take(time.Now(), h.perSecond())
	}
	h.addReservation(w.ticket, w.key)
	g := catkinspindle.Grant{}
	if h.policy.EnginePriority {
		g.Priority = int(-w.key.UnixMilli())
	}
	w.decide(g, nil)
}

func (h *Ledger) addReservation(t catkinspindle.Ticket, key time.Time) *reservation {
	r := &reservation{ticket: t, key: key, prefillLeft: float64(t.PrefillTokens), leaseEnd: time.Now().Add(h.lease)}
	if t.Prefilled {
		r.prefillLeft = 0
	}
	h.held[t.ID] = r
	h.workspaceTokens[t.Workspace] += t.MemoryTokens
	return r
}

func (h *Ledger) removeReservation(id catkinspindle.StreamID) {
	r, ok := h.held[id]
	if !ok {
		return
	}
	delete(h.held, id)
	h.workspaceTokens[r.ticket.Workspace] -= r.ticket.MemoryTokens
	if h.workspaceTokens[r.ticket.Workspace] <= 0 {
		delete(h.workspaceTokens, r.ticket.Workspace)
	}
}

// Release ends a reservation or removes a waiting ticket from the queue. The owner
// calls it once the engine has confirmed the end of the stream.
func (h *Ledger) Release(id catkinspindle.StreamID) {
	h.queue = slices.DeleteFunc(h.queue, func(w *waiter) bool { return w.ticket.ID == id })
	if r, ok := h.held[id]; ok {
		h.released[id] = release{releasedAt: time.Now(), memory: r.ticket.MemoryTokens}
		h.removeReservation(id)
	}
	h.grantWaiting()
}

// Prefilled records the first token of a stream and corrects the estimated prefill
// rate: by 2 % upwards if the estimate still had prefill work left for the stream,
// downwards if it had none. The rate stays between 1/20 of the reported rate and the
// reported rate.
func (h *Ledger) Prefilled(id catkinspindle.StreamID) {
	h.decay()
	r, ok := h.held[id]
	if !ok || r.ticket.Prefilled {
		return
	}
	step := 0.98
	if r.prefillLeft > 0 {
		step = 1.02
	}
	reported := float64(h.status.PrefillRate)
	h.rate = min(max(h.rate*step, reported/20), reported)
	r.prefillLeft = 0
	r.ticket.Prefilled = true
}

// Renew extends the leases of an owner's reservations. It adds those that are
// missing because a previous home of the engine granted them.
func (h *Ledger) Renew(tickets []catkinspindle.Ticket) {
	for _, t := range tickets {
		r, ok := h.held[t.ID]
		if !ok || r.adopted {
			r = h.replaceAdopted(t)
		}
		r.leaseEnd = time.Now().Add(h.lease)
		r.orphaned = false
	}
}

// replaceAdopted reserves memory for t in place of a reservation that was adopted from the
// engine's status, if there is one.
func (h *Ledger) replaceAdopted(t catkinspindle.Ticket) *reservation {
	old, ok := h.held[t.ID]
	listed := ok && old.listed
	h.removeReservation(t.ID)
	r := h.addReservation(t, h.queueKey(t))
	r.listed = listed
	return r
}

// EndLeases ends the leases of all owners for which dead returns true.
func (h *Ledger) EndLeases(dead func(catkinspindle.Origin) bool) {
	for id, r := range h.held {
		if dead(id.Owner) && !r.orphaned {
			r.leaseEnd = time.Now()
		}
	}
}

// Expire removes reservations whose lease has expired, and waiting tickets whose
// deadline has passed. A reservation that the engine still lists is marked as an
// orphan instead, for Observe to cancel.
func (h *Ledger) Expire() {
	now := time.Now()
	for id, r := range h.held {
		if now.Before(r.leaseEnd) {
			continue
		}
		if r.listed {
			r.orphaned = true
			continue
		}
		h.removeReservation(id)
	}
	h.queue = slices.DeleteFunc(h.queue, func(w *waiter) bool {
		if now.Before(w.ticket.Deadline) {
			return false
		}
		w.decide(catkinspindle.Grant{}, catkinspindle.Fail(catkinspindle.NotRun, catkinspindle.ReasonDeadline, "deadline passed in the admission queue of engine %s", h.engine))
		return true
	})
	h.grantWaiting()
}

// MarkUnreachable records that the engine does not answer. Waiting tickets are refused,
// and nothing is admitted until the engine's next status.
func (h *Ledger) MarkUnreachable() {
	h.statusKnown = false
	h.refuseQueue(catkinspindle.ReasonNoBackend, "engine is unreachable")
}

// Close refuses all waiting tickets, because another VM is now the engine's home.
func (h *Ledger) Close() {
	h.refuseQueue(catkinspindle.ReasonNoBackend, "the home of the engine moved to another VM")
}

func (h *Ledger) refuseQueue(reason catkinspindle.Reason, message string) {
	queue := h.queue
	h.queue = nil
	for _, w := range queue {
		w.decide(catkinspindle.Grant{}, catkinspindle.Fail(catkinspindle.NotRun, reason, "engine %s: %s", h.engine, message))
	}
}

// ReservationCount returns the number of reservations.
func (h *Ledger) ReservationCount() int { return len(h.held) }

// Load returns the load summary that the home publishes for its engine.
func (h *Ledger) Load() catkinspindle.HomeLoad {
	h.decay()
	l := catkinspindle.HomeLoad{
		Engine:   h.engine,
		Free:     h.freeTokens(),
		Capacity: h.status.Capacity,
		Rate:     int(h.rate),
		Streams:  len(h.held),
		Long:     h.longStreams(),
		Queued:   len(h.queue),
		Ready:    h.ready(),
		Leaving:  h.status.Leaving,
		Version:  h.status.State.Version,
	}
	if h.statusKnown {
		l.StateHash = h.status.State.Hash()
	}
	now := time.Now()
	for i := range l.Backlog {
		l.Backlog[i] = int(h.prefillBacklog(h.classQueueKey(now, i)))
	}
	return l
}

// classQueueKey returns the key of a prompt of backlog class i that arrives now. The last
// class has no upper bound: its key is after all others.
func (h *Ledger) classQueueKey(now time.Time, i int) time.Time {
	if i == len(catkinspindle.BacklogClasses) {
		return now.Add(365 * 24 * time.Hour)
	}
	return h.queueKey(catkinspindle.Ticket{Arrived: now, PrefillTokens: catkinspindle.BacklogClasses[i]})
}

// Reservations returns the tickets of all reservations, sorted by sequence number,
// for the state dump.
func (h *Ledger) Reservations() []catkinspindle.Ticket {
	list := make([]catkinspindle.Ticket, 0, len(h.held))
	for _, r := range h.held {
		list = append(list, r.ticket)
	}
	slices.SortFunc(list, func(a, b catkinspindle.Ticket) int { return cmp.Compare(a.ID.Seq, b.ID.Seq) })
	return list
}
