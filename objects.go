package catkinspindle

import (
	"context"
	"encoding/json"
	"errors"
	"time"
)

// ErrHistoryGone means that a watch cannot resume from its position because the
// history was compacted or the store was restored.
var ErrHistoryGone = errors.New("history before the position is gone")

// StoredObject is an object of the platform's store.
type StoredObject struct {
	Name     string
	Revision int64
	Spec     json.RawMessage
}

// ObjectChange is a change of one object.
type ObjectChange struct {
	Object  StoredObject
	Deleted bool
}

// ObjectStore is the platform's store of versioned objects.
type ObjectStore interface {
	// List returns all objects of a kind and the position to watch from. It returns
	// ErrHistoryGone when the store was restored while it answered.
	List(ctx context.Context, kind string) ([]StoredObject, Position, error)
	// ListStale lists like List, at a fraction of the cost to the store, but the result
	// may be some seconds stale.
	ListStale(ctx context.Context, kind string) ([]StoredObject, error)
	// Changes waits for changes after a position. It returns them with the position
	// from which to continue, or ErrHistoryGone when the objects must be listed again.
	Changes(ctx context.Context, kind string, after Position, wait time.Duration) ([]ObjectChange, Position, error)
	// Create creates an object, or returns the existing one.
	Create(ctx context.Context, kind, name string, spec any) (StoredObject, error)
	// Write creates or replaces an object and returns its revision. The flag exists
	// predicts whether the object exists: a right prediction takes one call to the
	// store, a wrong one two.
	Write(ctx context.Context, kind, name string, spec any, exists bool) (int64, error)
	// Remove deletes an object. It is no error if the object does not exist. If revision is not
	// zero and the object has another one, Remove returns ErrConflict and deletes nothing.
	Remove(ctx context.Context, kind, name string, revision int64) error
}

// Node describes a node to the other nodes.
type Node struct {
	Name        string `json:"name" cbor:"1,keyasint"`
	Incarnation int64  `json:"incarnation" cbor:"2,keyasint"`
	// PeerAddress is the address for other nodes.
	PeerAddress string `json:"peer-address" cbor:"3,keyasint"`
	// CallersAddress is the address that callers get in address answers.
	CallersAddress string `json:"callers-address" cbor:"4,keyasint"`
	DataCentre     string `json:"data-centre" cbor:"5,keyasint"`
	// RegistrationRevision is the store revision at which the node registered; zero when it is not
	// registered.
	RegistrationRevision int64 `json:"-" cbor:"6,keyasint"`
	Leaving              bool  `json:"leaving,omitempty" cbor:"7,keyasint,omitempty"`
	// Capacity is the CPU of the VM in cores, by which VMs are compared.
	Capacity float64 `json:"capacity" cbor:"8,keyasint"`
	// PathsLost is true while the node reaches no replica, so that others do not connect through
	// it.
	PathsLost bool `json:"-" cbor:"9,keyasint,omitempty"`
}
