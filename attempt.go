package catkinspindle

import (
	"context"
	"io"
	"net/http"
	"time"
)

// Attempt is what one attempt adds to an envelope.
type Attempt struct {
	Replica   Replica
	Workspace string
	// Left is the time that the replica may use.
	Left time.Duration
	// AfterEvent is the last event that the caller has.
	AfterEvent string
	// Version is the model version that must answer; empty for any.
	Version string
	Urgency int
	// Helpers read parts of the prompt.
	Helpers []Helper
}

// Helper is a replica that reads a part of a prompt for another one.
type Helper struct {
	Address string
	// Reservation names memory that the helper has set aside for the prompt;
	// empty when it only reads.
	Reservation string
}

// Reservation is memory of a replica that is set aside for one prompt.
type Reservation struct {
	ID      string
	Replica Replica
	Tokens  int
	Hold    time.Duration
}

// MemoryOrders sets memory of replicas aside.
type MemoryOrders interface {
	// Reserve makes or renews a reservation. It fails when the memory is not
	// free.
	Reserve(ctx context.Context, r Reservation) error
	// Release ends a reservation; one that has ended is no error.
	Release(ctx context.Context, r Reservation) error
}

// AnswerHead is what a replica's answer says before its body.
type AnswerHead struct {
	Status int
	Header http.Header
	// ID is the request's, as the replica repeats it.
	ID string
	// NotRun is the replica's word that it did not execute the request.
	NotRun bool
	// Sealed tells a replica's answer from other bytes.
	Sealed bool
	// Leaving is the replica's word that it leaves.
	Leaving bool
	// Cooldown is how long a replica that refuses wants no requests from this node;
	// zero when it does not say.
	Cooldown time.Duration
	// Culprit is the replica at fault when it is not the one that answers.
	Culprit string
	// Version is the version of the model that answers.
	Version string
	// Encoded bodies are not the replica's own.
	Encoded bool
	// KeepAlive is how long the replica keeps an idle connection; zero when it
	// does not say.
	KeepAlive time.Duration
}

// Answer is an answer of a replica.
type Answer struct {
	AnswerHead
	// Length is that of the body in bytes; negative when the replica does not say.
	Length int64
	// Body ends with io.EOF only when the answer is whole.
	Body io.ReadCloser
}
