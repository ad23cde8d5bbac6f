package catkinspindle

import (
	"errors"
	"fmt"
	"time"
)

// Verdict says whether a request may have been executed by a backend server.
type Verdict int

// The verdicts, in order of increasing certainty that the request was executed.
const (
	// NotRun means that no backend server executed any part of the request.
	NotRun Verdict = iota
	// MayHaveRun means that the request was sent to a backend server and the
	// outcome is unknown.
	MayHaveRun
	// Ran means that a backend server executed the request.
	Ran
)

var verdictNames = map[Verdict]string{
	NotRun:     "not-run",
	MayHaveRun: "may-have-run",
	Ran:        "ran",
}

// String returns the verdict in kebab case, as sent to callers.
func (v Verdict) String() string {
	return verdictNames[v]
}

// ParseVerdict returns the verdict that s names. An unknown name yields
// MayHaveRun, the verdict that makes no guarantee.
func ParseVerdict(s string) Verdict {
	for v, name := range verdictNames {
		if name == s {
			return v
		}
	}
	return MayHaveRun
}

// Reason is a stable code for the cause of a failed request.
type Reason string

// The reasons that are sent to callers.
const (
	ReasonBadRequest       Reason = "bad-request"
	ReasonTooLarge         Reason = "too-large"
	ReasonUnknownModel     Reason = "unknown-model"
	ReasonUnknownService   Reason = "unknown-service"
	ReasonUnauthorized     Reason = "unauthorized"
	ReasonWorkspaceLimit   Reason = "workspace-limit"
	ReasonOverload         Reason = "overload"
	ReasonRateLimit        Reason = "rate-limit"
	ReasonNeverFits        Reason = "never-fits"
	ReasonDeadline         Reason = "deadline"
	ReasonNoBackend        Reason = "no-backend"
	ReasonBackendFailed    Reason = "backend-failed"
	ReasonNoProgress       Reason = "no-progress"
	ReasonOriginGone       Reason = "origin-gone"
	ReasonStoreUnavailable Reason = "store-unavailable"
	ReasonNotReady         Reason = "not-ready"
	ReasonStopping         Reason = "stopping"
	ReasonConflict         Reason = "conflict"
	ReasonQuarantined      Reason = "quarantined"
	// ReasonPeerUnreachable means that no connection to another VM could be made. It is
	// used between VMs only and is not sent to callers.
	ReasonPeerUnreachable Reason = "peer-unreachable"
)

// Failure is the error type of every failed request.
type Failure struct {
	Verdict Verdict
	Reason  Reason
	// RetryAfter is the delay after which the caller should retry; zero when a
	// retry would not help.
	RetryAfter time.Duration
	Err        error
}

// Fail returns a Failure whose cause is formatted as by fmt.Errorf.
func Fail(v Verdict, r Reason, format string, args ...any) *Failure {
	return &Failure{Verdict: v, Reason: r, Err: fmt.Errorf(format, args...)}
}

// WithRetryAfter returns a copy of f that asks the caller to retry after d.
func (f *Failure) WithRetryAfter(d time.Duration) *Failure {
	c := *f
	c.RetryAfter = d
	return &c
}

// WithVerdict returns a copy of f with the verdict v.
func (f *Failure) WithVerdict(v Verdict) *Failure {
	c := *f
	c.Verdict = v
	return &c
}

// Error implements error.
func (f *Failure) Error() string {
	return fmt.Sprintf("%s (%s): %v", f.Reason, f.Verdict, f.Err)
}

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Err }

// AsFailure returns the Failure that err wraps. For any other error it returns a
// Failure with the verdict MayHaveRun and ReasonBackendFailed.
func AsFailure(err error) *Failure {
	var f *Failure
	if errors.As(err, &f) {
		return f
	}
	return &Failure{Verdict: MayHaveRun, Reason: ReasonBackendFailed, Err: err}
}
