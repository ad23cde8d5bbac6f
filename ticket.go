package catkinspindle

import "time"

// Ticket is a request to an engine's home for a reservation.
type Ticket struct {
	ID        StreamID `cbor:"1,keyasint"`
	Engine    string   `cbor:"2,keyasint"`
	Workspace string   `cbor:"3,keyasint"`
	// MemoryTokens is the KV cache to reserve, PrefillTokens the expected prefill work, both in
	// tokens.
	MemoryTokens  int `cbor:"4,keyasint"`
	PrefillTokens int `cbor:"5,keyasint"`
	// MaxTokens bounds the tokens to generate.
	MaxTokens int       `cbor:"6,keyasint"`
	Arrived   time.Time `cbor:"7,keyasint"`
	Deadline  time.Time `cbor:"8,keyasint"`
	// Long marks a prompt that counts as long under the policy.
	Long bool `cbor:"9,keyasint,omitempty"`
	// Started is true once the engine has accepted the stream, Prefilled once
	// it has sent the first token.
	Started   bool `cbor:"10,keyasint,omitempty"`
	Prefilled bool `cbor:"11,keyasint,omitempty"`
	// WaitLimit bounds the time in the queue; zero means until Deadline.
	WaitLimit time.Duration `cbor:"12,keyasint,omitempty"`
	// AwaitRate queues the ticket while the engine's rate limit is used up; otherwise it is
	// refused.
	AwaitRate bool `cbor:"13,keyasint,omitempty"`
}

// WithEngine returns a copy of t for another engine with another ID.
func (t Ticket) WithEngine(engine string, id StreamID) Ticket {
	t.Engine = engine
	t.ID = id
	return t
}

// Grant is a granted reservation.
type Grant struct {
	// Priority is the value for StreamStart.Priority.
	Priority int `cbor:"1,keyasint"`
}
