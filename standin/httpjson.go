// Package standin holds the JSON helpers that the stand-ins for external systems share.
package standin

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"

	"github.com/catkinspindle/catkinspindle"
)

// ReadJSON decodes the body of r into v and reports whether it succeeded. On an error it
// responds with status 400.
func ReadJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(r.Body).Decode(v); err != nil {
		http.Error(w, fmt.Sprintf("body: %v", err), http.StatusBadRequest)
		return false
	}
	return true
}

// WriteJSON responds with v as JSON and status 200.
func WriteJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// WriteFailure responds with the FailureReport of err and status 503. An error that is not
// a Failure aborts the connection, as the exit of the process would.
func WriteFailure(w http.ResponseWriter, err error) {
	var f *catkinspindle.Failure
	if !errors.As(err, &f) {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusServiceUnavailable)
	_ = json.NewEncoder(w).Encode(f.Report())
}
