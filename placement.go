package catkinspindle

import (
	"fmt"
	"time"
)

// Job asks a Placer for a replica for one attempt at a request.
type Job struct {
	// ID is unique among all attempts.
	ID      string `cbor:"1,keyasint"`
	Service string `cbor:"2,keyasint"`
	// PromptTokens and AnswerTokens are lengths in tokens; AnswerTokens is an estimate.
	PromptTokens int `cbor:"3,keyasint"`
	AnswerTokens int `cbor:"4,keyasint"`
	// TimeLeft is the time until the caller's deadline.
	TimeLeft time.Duration `cbor:"5,keyasint"`
	// LatencyObjective is the route's objective for the time to the first event, zero or less if
	// there is none. Nodes of earlier versions subtract what the caller seems to have waited.
	LatencyObjective time.Duration `cbor:"6,keyasint"`
	// MaxEventGap is the objective for the longest gap between two events.
	MaxEventGap time.Duration `cbor:"7,keyasint"`
	// Priority is the rank of the request; 0 is the highest.
	Priority int `cbor:"8,keyasint"`
	// Avoid lists the IDs of replicas that must not be chosen, such as those that
	// failed this request.
	Avoid []string `cbor:"9,keyasint,omitempty"`
	// MayBePartial is true when the caller may already have part of the answer: an earlier
	// attempt was sent to a replica, or the caller resumes a stream.
	MayBePartial bool `cbor:"10,keyasint,omitempty"`
	// Replacement is true when an earlier placement of the request was accepted and failed: its
	// replica was unreachable, failed or could not be used.
	Replacement bool `cbor:"14,keyasint,omitempty"`
	// DataCentre is where the request entered.
	DataCentre string `cbor:"11,keyasint"`
	// Pool is the subset of the service's replicas that the job may be placed on.
	Pool Pool `cbor:"13,keyasint"`
	// Patience is the time within which the caller must get an event, or it leaves; zero or less if
	// that is unknown.
	Patience time.Duration `cbor:"15,keyasint,omitempty"`
	// Hold is how long the Placer may hold the call for a job that has to wait; zero if it must decide at
	// once.
	Hold time.Duration `cbor:"16,keyasint,omitempty"`
	// Waited is how long the job has waited at Placers.
	Waited time.Duration `cbor:"17,keyasint,omitempty"`
	// Key 12 is taken: nodes of earlier versions send a flag with it.
}

// After returns j as it is once it has waited for d more.
func (j Job) After(d time.Duration) Job {
	j.Waited += d
	j.TimeLeft -= d
	if j.Patience > 0 {
		j.Patience = max(1, j.Patience-d)
	}
	return j
}

// Pool is one of the parts into which the replicas of a large service are divided so
// that several nodes can coordinate them. Part is in [0, Parts). The zero value and
// Parts of one mean all replicas.
type Pool struct {
	Part  int `cbor:"1,keyasint,omitempty"`
	Parts int `cbor:"2,keyasint,omitempty"`
}

// Divided reports whether p is a proper subset of the replicas.
func (p Pool) Divided() bool { return p.Parts > 1 }

// String returns a name for p that is the same on every node.
func (p Pool) String() string { return fmt.Sprintf("pool %d/%d", p.Part, p.Parts) }

// Placement is a Placer's answer to a job: the replica to send the request to and the
// replicas that help to prefill the prompt, or a refusal.
type Placement struct {
	JobID   string `cbor:"1,keyasint"`
	Replica string `cbor:"2,keyasint"`
	// Helpers are the IDs of the helping replicas.
	Helpers []string `cbor:"3,keyasint,omitempty"`
	// HelperTokens lists the memory to reserve on each helper, in tokens and in the order of
	// Helpers. It is empty unless the prompt exceeds one replica's memory.
	HelperTokens []int `cbor:"8,keyasint,omitempty"`
	// ExpectedFirstEvent is the estimated time to the first event.
	ExpectedFirstEvent time.Duration `cbor:"4,keyasint"`
	// Delay is how long to wait before sending the request, while the replicas
	// prefill prompts that were placed earlier.
	Delay time.Duration `cbor:"9,keyasint,omitempty"`
	// Urgency orders requests that are queued at the replica; 0 is first.
	Urgency int `cbor:"5,keyasint"`
	// RetryAfter is when to retry after a refusal.
	RetryAfter time.Duration `cbor:"6,keyasint"`
	// PlacedBy is the name of the node that decided; empty when this node decided from its
	// local ledger.
	PlacedBy string `cbor:"10,keyasint,omitempty"`
	// Reason says why the job was refused.
	Reason Reason `cbor:"7,keyasint,omitempty"`
	// Check is the check that failed when the job was refused for overload.
	Check Check `cbor:"11,keyasint,omitempty"`
	// ExpectedWait is the part of ExpectedFirstEvent before the prefill of a long prompt begins;
	// Slowdown is the factor by which the slowest of its replicas extends the prefill.
	ExpectedWait time.Duration `cbor:"14,keyasint,omitempty"`
	Slowdown     float64       `cbor:"15,keyasint,omitempty"`
	// FirstEventLimit is the highest estimated time to the first event at which the job is
	// accepted.
	FirstEventLimit time.Duration `cbor:"12,keyasint,omitempty"`
	// RatePermit is true when the placement counts against the replica's rate limit. A limited
	// replica must not be sent a request without it.
	RatePermit bool `cbor:"13,keyasint,omitempty"`
	// Waiting is true while the job waits: it is neither placed nor refused.
	Waiting bool `cbor:"16,keyasint,omitempty"`
	// PermitEnd is the time at which the RatePermit ends on the node that sends the request.
	PermitEnd time.Time `cbor:"-"`
}

// Check is a condition that a job must meet to be placed.
type Check string

// The checks of a job.
const (
	// CheckReaders means that no set of replicas could prefill the prompt.
	CheckReaders Check = "readers"
	// CheckFirstEvent means that the first event was expected after Placement.FirstEventLimit.
	CheckFirstEvent Check = "first-event"
	// CheckDeadline means that the answer was expected to end after the deadline.
	CheckDeadline Check = "deadline"
	// CheckMemory means that the replicas chosen for prefill had too little memory for
	// the prompt.
	CheckMemory Check = "memory"
	// CheckQueue means that the job would have had to wait for too long behind others.
	CheckQueue Check = "queue"
	// CheckRateLimit means that the rate limits of the replicas were used up.
	CheckRateLimit Check = "rate-limit"
)

// WithCheck returns p with the check that failed and the limit that it applied.
func (p Placement) WithCheck(c Check, limit time.Duration) Placement {
	p.Check, p.FirstEventLimit = c, limit
	return p
}

// Refused reports whether the job was not placed and does not wait.
func (p Placement) Refused() bool { return p.Replica == "" && !p.Waiting }

// Outcome is how an attempt at a replica ended.
type Outcome int

// The outcomes of attempts.
const (
	// OutcomeDone is a complete answer.
	OutcomeDone Outcome = iota
	// OutcomeGivenUp means that the caller disconnected or the deadline passed.
	OutcomeGivenUp
	// OutcomeRefused means that the replica did not execute the request.
	OutcomeRefused
	// OutcomeUnreachable means that neither this node nor another one could connect.
	OutcomeUnreachable
	// OutcomeFailed is an error answer, or a stream that broke or stalled.
	OutcomeFailed
	// OutcomeNoPath means that this node's path failed, which says nothing about the replica.
	OutcomeNoPath
)

var outcomeNames = [...]string{"done", "given-up", "refused", "unreachable", "failed", "no-path"}

// String returns the outcome as it appears in logs.
func (o Outcome) String() string { return outcomeNames[o] }

// AttemptResult reports the result of an attempt to the Placer.
type AttemptResult struct {
	JobID   string  `cbor:"1,keyasint"`
	Replica string  `cbor:"2,keyasint"`
	Outcome Outcome `cbor:"3,keyasint"`
	// TimeToFirstEvent is the time to the first event; zero when none was received.
	TimeToFirstEvent time.Duration `cbor:"4,keyasint,omitempty"`
	// Duration is the duration of the attempt.
	Duration time.Duration `cbor:"5,keyasint,omitempty"`
	// FaultyReplica is the ID of the replica at fault when it is not Replica.
	FaultyReplica string `cbor:"6,keyasint,omitempty"`
	// Departure is set when the replica has announced that it is leaving.
	Departure *Departure `cbor:"7,keyasint,omitempty"`
}

// Placer chooses the replica for a job and receives the result of the attempt.
type Placer interface {
	Place(now time.Time, j Job) Placement
	ReportResult(now time.Time, result AttemptResult)
}
