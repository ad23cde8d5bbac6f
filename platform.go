package catkinspindle

import (
	"context"
	"errors"
	"time"
)

// Errors of the platform's object API.
var (
	// ErrNotFound means that the object does not exist.
	ErrNotFound = errors.New("object not found")
	// ErrConflict means that the object's version is not the expected one.
	ErrConflict = errors.New("object version conflict")
)

// Object is a versioned value in the platform's store.
type Object struct {
	Version int64  `json:"version"`
	Value   []byte `json:"value"`
}

// Platform is a client of the platform's object API.
type Platform interface {
	// Get returns ErrNotFound for an object that was never written.
	Get(ctx context.Context, kind, name string) (Object, error)
	// Put writes value if the object's version is still version, where zero
	// means that the object must not exist, and returns ErrConflict otherwise.
	// After any other error the write may or may not have taken effect.
	Put(ctx context.Context, kind, name string, version int64, value []byte) (Object, error)
	// Watch waits until the object's version is higher than version and
	// returns the object, or the context's error.
	Watch(ctx context.Context, kind, name string, version int64) (Object, error)
	// VMs returns the platform's list of VMs, which may be stale.
	VMs(ctx context.Context) ([]VM, error)
}

// VMKind says what runs on a VM.
type VMKind string

// The kinds of VM.
const (
	KindEntry  VMKind = "entry"
	KindEngine VMKind = "engine"
	KindPlain  VMKind = "plain"
)

// VM is an entry in the platform's list of VMs.
type VM struct {
	Name       string `json:"name" yaml:"name" cbor:"1,keyasint"`
	Kind       VMKind `json:"kind" yaml:"kind" cbor:"2,keyasint"`
	Address    string `json:"address" yaml:"address" cbor:"3,keyasint"`
	DataCentre string `json:"data-centre" yaml:"data-centre" cbor:"4,keyasint"`
	// Deployment groups backend servers that one service may use.
	Deployment string `json:"deployment,omitempty" yaml:"deployment,omitempty" cbor:"5,keyasint,omitempty"`
	Leaving    bool   `json:"leaving,omitempty" yaml:"leaving,omitempty" cbor:"6,keyasint,omitempty"`
}

// Peers exchanges messages with the other nodes of the system.
type Peers interface {
	// Call sends req to the VM at address and decodes the answer into resp. A
	// Failure that the remote handler returns keeps its verdict. A failure to
	// connect has the verdict NotRun, any later failure MayHaveRun.
	Call(ctx context.Context, address, kind string, req, resp any) error
	// Handle registers the handler for messages of a kind. It must be called
	// before the transport starts.
	Handle(kind string, h PeerHandler)
}

// PeerHandler answers one message. decode decodes the message into its argument.
type PeerHandler func(ctx context.Context, decode func(any) error) (any, error)

// PlainCall is a call of a method of a plain service.
type PlainCall struct {
	Service  string    `cbor:"1,keyasint"`
	Method   string    `cbor:"2,keyasint"`
	Key      string    `cbor:"3,keyasint"`
	Body     []byte    `cbor:"4,keyasint"`
	Deadline time.Time `cbor:"5,keyasint"`
}

// PlainReply is the answer of a plain service.
type PlainReply struct {
	Status int    `cbor:"1,keyasint"`
	Body   []byte `cbor:"2,keyasint"`
	// RateLimit is the rate of calls that the replica accepts from all VMs together.
	RateLimit RateLimit `cbor:"-"`
}

// PlainService is a client of one replica of a plain service.
type PlainService interface {
	// Call sends the call to the replica once, without retries. A Failure with
	// NotRun means that no byte was sent or that the replica refused the call
	// before execution.
	Call(ctx context.Context, c PlainCall) (PlainReply, error)
}

// Service is a component of a process that the kernel starts and stops.
type Service interface {
	// Start returns when the service is ready for its dependents.
	Start(ctx context.Context) error
	// Stop ends the service and waits for its goroutines.
	Stop(ctx context.Context) error
}
