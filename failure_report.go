package catkinspindle

import (
	"errors"
	"time"
)

// FailureReport is the wire format of a Failure.
type FailureReport struct {
	Verdict    string        `json:"verdict" cbor:"1,keyasint"`
	Reason     Reason        `json:"reason" cbor:"2,keyasint"`
	Message    string        `json:"message" cbor:"3,keyasint"`
	RetryAfter time.Duration `json:"retry-after,omitempty" cbor:"4,keyasint,omitempty"`
}

// Report returns f in its wire format.
func (f *Failure) Report() FailureReport {
	return FailureReport{
		Verdict:    f.Verdict.String(),
		Reason:     f.Reason,
		Message:    f.Err.Error(),
		RetryAfter: f.RetryAfter,
	}
}

// Failure returns the failure that r reports.
func (r FailureReport) Failure() *Failure {
	return &Failure{
		Verdict:    ParseVerdict(r.Verdict),
		Reason:     r.Reason,
		RetryAfter: r.RetryAfter,
		Err:        errors.New(r.Message),
	}
}
