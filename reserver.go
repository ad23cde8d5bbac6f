package catkinspindle

import "context"

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
