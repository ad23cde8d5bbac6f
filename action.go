package catkinspindle

import (
	"context"
	"fmt"
	"strconv"
)

// ActionOrigin is the origin that an address answer carries: the process
// incarnation of a VM and the epoch in which the answer was given. An action
// whose key is sent with an origin is executed only by that incarnation.
type ActionOrigin struct {
	Origin Origin `cbor:"1,keyasint"`
	Epoch  int64  `cbor:"2,keyasint"`
}

// String returns the origin as vm.incarnation.epoch.
func (o ActionOrigin) String() string {
	return o.Origin.String() + "." + strconv.FormatInt(o.Epoch, 10)
}

// ParseActionOrigin parses what ActionOrigin.String returns.
func ParseActionOrigin(s string) (ActionOrigin, error) {
	head, tail, ok := cutLast(s, ".")
	if !ok {
		return ActionOrigin{}, fmt.Errorf("origin %q: want vm.incarnation.epoch", s)
	}
	o, err := ParseOrigin(head)
	if err != nil {
		return ActionOrigin{}, err
	}
	epoch, err := strconv.ParseInt(tail, 10, 64)
	if err != nil {
		return ActionOrigin{}, fmt.Errorf("origin %q: %w", s, err)
	}
	return ActionOrigin{Origin: o, Epoch: epoch}, nil
}

// Action is a call of a plain service as a caller makes it.
type Action struct {
	Workspace string    `cbor:"1,keyasint"`
	Call      PlainCall `cbor:"2,keyasint"`
	// Origin is nil when the caller sent none.
	Origin *ActionOrigin `cbor:"3,keyasint,omitempty"`
}

// WithOrigin returns a copy of a that is executed only by the incarnation o.
func (a Action) WithOrigin(o ActionOrigin) Action {
	a.Origin = &o
	return a
}

// PromptService opens answer streams for prompts.
type PromptService interface {
	Open(ctx context.Context, req Request) (Stream, error)
}

// Actions calls plain services.
type Actions interface {
	Call(ctx context.Context, a Action) (PlainReply, error)
	// Origin returns the origin that address answers currently carry.
	Origin() ActionOrigin
}

// Claimer records which origin owns an idempotency key.
type Claimer interface {
	// Claim returns the origin that owns the key: o, or the origin that
	// claimed the key earlier.
	Claim(ctx context.Context, key string, o ActionOrigin) (ActionOrigin, error)
}
