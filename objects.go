package catkinspindle

import (
	"context"
	"encoding/json"
	"errors"
	"time"
)

// ErrHistoryGone means that a watch cannot go on from its position.
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
	// Peek is List for a fraction of the price; what it returns may be some seconds old.
	Peek(ctx context.Context, kind string) ([]StoredObject, error)
	// Changes waits for changes after a position and returns them with the
	// position to go on from. It returns ErrHistoryGone when the objects must
	// be listed again.
	Changes(ctx context.Context, kind string, after Position, wait time.Duration) ([]ObjectChange, Position, error)
	// Create creates an object. When one exists it returns that one.
	Create(ctx context.Context, kind, name string, spec any) (StoredObject, error)
	// Write creates or replaces an object and returns its revision. It takes one call
	// when there says rightly whether one exists, and two otherwise.
	Write(ctx context.Context, kind, name string, spec any, there bool) (int64, error)
	// Remove deletes an object; one that does not exist is no error.
	Remove(ctx context.Context, kind, name string) error
}

// Node is a node of the system as the others see it.
type Node struct {
	Name        string `json:"name" cbor:"1,keyasint"`
	Incarnation int64  `json:"incarnation" cbor:"2,keyasint"`
	// PeerAddress is where other nodes reach it.
	PeerAddress string `json:"peer-address" cbor:"3,keyasint"`
	// CallersAddress is what address answers name.
	CallersAddress string `json:"callers-address" cbor:"4,keyasint"`
	DataCentre     string `json:"data-centre" cbor:"5,keyasint"`
	// Rank is the store's revision at registration. Zero means that the node is not
	// registered.
	Rank    int64 `json:"-" cbor:"6,keyasint"`
	Leaving bool  `json:"leaving,omitempty" cbor:"7,keyasint,omitempty"`
	// Capacity compares VMs: shares of a core.
	Capacity float64 `json:"capacity" cbor:"8,keyasint"`
}
