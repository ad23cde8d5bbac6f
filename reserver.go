package catkinspindle

import (
	"context"
	"time"
)

// Reserver reserves engine memory. The home of an engine is the VM that keeps
// the engine's reservation ledger.
type Reserver interface {
	// Reserve waits until the engine's home grants or refuses the ticket. A
	// granted ticket is renewed until it is released.
	Reserve(ctx context.Context, t Ticket) (Grant, error)
	// Prefilled notifies the home that the first token was received.
	Prefilled(t Ticket)
	// Release ends the reservation. By then the engine must hold no memory
	// for it.
	Release(t Ticket)
}

// Dialer returns clients of backend servers.
type Dialer interface {
	Engine(vm VM) Engine
	Plain(vm VM) PlainService
}

// RatePermits permits calls to replicas of plain services within the rate limits that they state.
type RatePermits interface {
	// Acquire returns zero if a call may be sent to vm now, and otherwise when the caller should
	// retry. deadline is that of the call.
	Acquire(ctx context.Context, vm VM, deadline time.Time) time.Duration
	// Observe records what the reply of vm to a call that was sent at sentAt states.
	Observe(sentAt time.Time, vm VM, l RateLimit)
}
