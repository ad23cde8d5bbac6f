package catkinspindle

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"
)

// Attempt holds the values that one attempt at a replica adds to an Envelope.
type Attempt struct {
	Replica   Replica
	Workspace string
	// TimeLeft is the time that remains for the replica to answer.
	TimeLeft time.Duration
	// AfterEvent is the ID of the last event that the caller has received.
	AfterEvent string
	// Version is the model version that must answer; empty for any.
	Version string
	// Urgency orders requests that are queued at the replica; 0 is first.
	Urgency int
	// Helpers prefill parts of the prompt.
	Helpers []Helper
}

// Helper is a replica that prefills part of a prompt for another replica.
type Helper struct {
	Address string
	// Reservation is the ID of the memory reserved on the helper for the
	// prompt; empty when the helper prefills without holding KV cache.
	Reservation string
}

// Reservation is replica memory that is reserved for one prompt.
type Reservation struct {
	ID      string
	Replica Replica
	Tokens  int
	// LeaseDuration is how long the reservation lasts without renewal.
	LeaseDuration time.Duration
}

// ErrNoAnswer means that a replica did not answer an order, because of itself or of the path to it.
var ErrNoAnswer = errors.New("no answer from the replica")

// MemoryReserver reserves memory on replicas.
type MemoryReserver interface {
	// Reserve makes or renews a reservation. It fails when the memory is not
	// free.
	Reserve(ctx context.Context, r Reservation) error
	// Release ends a reservation. It is no error if the reservation has
	// already ended.
	Release(ctx context.Context, r Reservation) error
}

// AnswerHead is the status and the decoded headers of a replica's answer.
type AnswerHead struct {
	Status int
	Header http.Header
	// ID is the request ID as echoed by the replica.
	ID string
	// NotRun is true when the replica states that it did not execute the
	// request.
	NotRun bool
	// Sealed is true when the answer carries a seal. An answer without one
	// may come from a process other than the replica.
	Sealed bool
	// Leaving is true when the replica announces that it is leaving.
	Leaving bool
	// Cooldown is how long this node must send no requests to a replica that
	// refused one; zero when not stated.
	Cooldown time.Duration
	// RateLimit is what the answer states about the replica's rate limit.
	RateLimit RateLimit
	// FaultyReplica identifies, by ID or address, the replica at fault when it is not
	// the one that answered.
	FaultyReplica string
	// Version is the version of the model that answered.
	Version string
	// Encoded is true when the body has a content encoding. Replicas use
	// none, so such a body was not written by the replica.
	Encoded bool
	// KeepAlive is how long the replica keeps an idle connection open; zero
	// when not stated.
	KeepAlive time.Duration
}

// Answer is a replica's answer to an attempt.
type Answer struct {
	AnswerHead
	// Length is the length of the body in bytes; negative when not stated.
	Length int64
	// Body ends with io.EOF only when the answer is complete.
	Body io.ReadCloser
}
