package callers

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"

	"github.com/catkinspindle/catkinspindle"
)

// failureBody is the JSON error format that chat completion clients expect, extended by
// the verdict.
type failureBody struct {
	Error failureDetail `json:"error"`
}

type failureDetail struct {
	Message string               `json:"message"`
	Type    catkinspindle.Reason `json:"type"`
	Verdict string               `json:"verdict"`
	// RetryAfter is in seconds.
	RetryAfter float64 `json:"retry-after,omitempty"`
}

func newFailureBody(f *catkinspindle.Failure) failureBody {
	return failureBody{Error: failureDetail{
		Message:    f.Err.Error(),
		Type:       f.Reason,
		Verdict:    f.Verdict.String(),
		RetryAfter: f.RetryAfter.Seconds(),
	}}
}

var statusByReason = map[catkinspindle.Reason]int{
	catkinspindle.ReasonBadRequest:     http.StatusBadRequest,
	catkinspindle.ReasonTooLarge:       http.StatusRequestEntityTooLarge,
	catkinspindle.ReasonUnknownModel:   http.StatusNotFound,
	catkinspindle.ReasonUnknownService: http.StatusNotFound,
	catkinspindle.ReasonUnauthorized:   http.StatusUnauthorized,
	catkinspindle.ReasonWorkspaceLimit: http.StatusTooManyRequests,
	catkinspindle.ReasonOverload:       http.StatusTooManyRequests,
	catkinspindle.ReasonRateLimit:      http.StatusTooManyRequests,
	catkinspindle.ReasonNeverFits:      http.StatusUnprocessableEntity,
	catkinspindle.ReasonDeadline:       http.StatusGatewayTimeout,
	catkinspindle.ReasonNoProgress:     http.StatusGatewayTimeout,
	catkinspindle.ReasonBackendFailed:  http.StatusBadGateway,
	catkinspindle.ReasonOriginGone:     http.StatusBadGateway,
	catkinspindle.ReasonConflict:       http.StatusConflict,
	reasonInternal:                     http.StatusBadGateway,
}

func writeFailure(w http.ResponseWriter, f *catkinspindle.Failure) {
	status, ok := statusByReason[f.Reason]
	if !ok {
		status = http.StatusServiceUnavailable
	}
	if f.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(f.RetryAfter.Seconds()))))
	}
	w.Header().Set(VerdictHeader, f.Verdict.String())
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(newFailureBody(f))
}
