package catkinspindle

import (
	"fmt"
	"time"
)

// Job is a request that needs a replica.
type Job struct {
	// ID is unique among all attempts.
	ID      string `cbor:"1,keyasint"`
	Service string `cbor:"2,keyasint"`
	// Prompt and Answer are token counts; Answer is an estimate.
	Prompt int `cbor:"3,keyasint"`
	Answer int `cbor:"4,keyasint"`
	// Left is the time until the caller's deadline.
	Left time.Duration `cbor:"5,keyasint"`
	// Aim is the time left until the latency objective; negative when missed.
	Aim time.Duration `cbor:"6,keyasint"`
	// MaxPause is the longest pause between events that is still on time.
	MaxPause time.Duration `cbor:"7,keyasint"`
	Priority int           `cbor:"8,keyasint"`
	// Avoid lists replicas that have failed this request.
	Avoid []string `cbor:"9,keyasint,omitempty"`
	// Again is true when a part of the answer may have been passed on: an earlier attempt
	// was sent to a replica, or the caller resumes a stream.
	Again bool `cbor:"10,keyasint,omitempty"`
	// Returned is true when the caller was probably refused before: less time
	// is left than callers of this route have at first.
	Returned bool `cbor:"12,keyasint,omitempty"`
	// DataCentre is where the request entered.
	DataCentre string `cbor:"11,keyasint"`
	// Pool is the part of the service's replicas that the job is placed on.
	Pool Pool `cbor:"13,keyasint"`
}

// Pool is one of the parts into which the replicas of a large service are divided,
// so that several nodes can coordinate them: Part from 0 to Parts-1. The zero value
// and Parts of one mean all replicas.
type Pool struct {
	Part  int `cbor:"1,keyasint,omitempty"`
	Parts int `cbor:"2,keyasint,omitempty"`
}

// Divided reports whether p is less than all replicas.
func (p Pool) Divided() bool { return p.Parts > 1 }

// String names p, the same on every node.
func (p Pool) String() string { return fmt.Sprintf("pool %d/%d", p.Part, p.Parts) }

// Placement names the replica of a job and those that help to read its prompt.
type Placement struct {
	Job     string `cbor:"1,keyasint"`
	Replica string `cbor:"2,keyasint"`
	// Helpers are IDs of replicas.
	Helpers []string `cbor:"3,keyasint,omitempty"`
	// Holds are the helpers' reservations for a prompt that does not fit into
	// one replica's memory, in the order of Helpers; empty otherwise.
	Holds []int `cbor:"8,keyasint,omitempty"`
	// First is the estimated time to the first event.
	First time.Duration `cbor:"4,keyasint"`
	// Delay is how long to wait before sending: until then the replicas read
	// prompts that were placed before.
	Delay time.Duration `cbor:"9,keyasint,omitempty"`
	// Urgency orders requests that wait at the replica; 0 is first.
	Urgency int `cbor:"5,keyasint"`
	// RetryAfter is set instead of a replica when the job is refused.
	RetryAfter time.Duration `cbor:"6,keyasint"`
	// By is the node whose ledger decided; empty when this node placed alone.
	By string `cbor:"10,keyasint,omitempty"`
	// Reason says why the job was refused.
	Reason Reason `cbor:"7,keyasint,omitempty"`
	// Check is what a job failed that was refused for overload.
	Check Check `cbor:"11,keyasint,omitempty"`
	// Limit is the latest first event with which the job was accepted or would have been.
	Limit time.Duration `cbor:"12,keyasint,omitempty"`
}

// Check is a condition that a job must meet to be placed.
type Check string

// The checks of a job.
const (
	// CheckReaders means that no set of replicas could read the prompt.
	CheckReaders Check = "readers"
	// CheckFirst means that the first event was expected after Placement.Limit.
	CheckFirst Check = "first-event"
	// CheckEnd means that the answer would not have ended before the deadline.
	CheckEnd Check = "deadline"
	// CheckMemory means that the readers had too little memory for the prompt.
	CheckMemory Check = "memory"
)

// WithCheck returns p with the check that decided and its limit.
func (p Placement) WithCheck(c Check, limit time.Duration) Placement {
	p.Check, p.Limit = c, limit
	return p
}

// Refused reports whether the job was not placed.
func (p Placement) Refused() bool { return p.Replica == "" }

// Outcome is how an attempt at a replica ended.
type Outcome int

// The outcomes of attempts.
const (
	// OutcomeDone is a whole answer.
	OutcomeDone Outcome = iota
	// OutcomeGivenUp means that the caller left or the time ran out.
	OutcomeGivenUp
	// OutcomeRefused means that the replica did not execute the request.
	OutcomeRefused
	// OutcomeUnreachable means that no connection could be made.
	OutcomeUnreachable
	// OutcomeFailed is an error answer, a broken or a silent stream.
	OutcomeFailed
)

var outcomeNames = [...]string{"done", "given-up", "refused", "unreachable", "failed"}

// String returns the name that logs use.
func (o Outcome) String() string { return outcomeNames[o] }

// Ending reports the end of an attempt to the placer.
type Ending struct {
	Job     string  `cbor:"1,keyasint"`
	Replica string  `cbor:"2,keyasint"`
	Outcome Outcome `cbor:"3,keyasint"`
	// First is the time to the first event; zero when none came.
	First time.Duration `cbor:"4,keyasint,omitempty"`
	// Total is the time that the attempt took.
	Total time.Duration `cbor:"5,keyasint,omitempty"`
	// Culprit is the replica that the failure names, when it is another one.
	Culprit string `cbor:"6,keyasint,omitempty"`
	// Departed is set when the replica has said that it leaves.
	Departed *Departure `cbor:"7,keyasint,omitempty"`
}

// Placer decides which replica serves a job.
type Placer interface {
	Place(now time.Time, j Job) Placement
	End(now time.Time, e Ending)
}
