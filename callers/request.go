package callers

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/catkinspindle/catkinspindle"
)

func badRequest(format string, args ...any) error {
	return catkinspindle.Fail(catkinspindle.NotRun, catkinspindle.ReasonBadRequest, format, args...)
}

// authenticate checks the workspace key of the request and returns its workspace and deadline.
func (s *Server) authenticate(r *http.Request) (catkinspindle.WorkspaceSpec, time.Time, error) {
	workspace, err := s.workspace(r)
	if err != nil {
		return workspace, time.Time{}, err
	}
	deadline, err := s.deadline(r, workspace)
	return workspace, deadline, err
}

// workspace returns the workspace that the bearer key of the request belongs to.
func (s *Server) workspace(r *http.Request) (catkinspindle.WorkspaceSpec, error) {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return catkinspindle.WorkspaceSpec{}, catkinspindle.Fail(catkinspindle.NotRun, catkinspindle.ReasonUnauthorized, "header Authorization: want a bearer key of a workspace")
	}
	snap := s.snapshot()
	if !snap.Ready() {
		return catkinspindle.WorkspaceSpec{}, catkinspindle.Fail(catkinspindle.NotRun, catkinspindle.ReasonNotReady, "this VM does not know the operators' text yet").WithRetryAfter(time.Second)
	}
	sum := sha256.Sum256([]byte(key))
	workspace, ok := snap.Config.WorkspaceByKey(hex.EncodeToString(sum[:]))
	if !ok {
		return workspace, catkinspindle.Fail(catkinspindle.NotRun, catkinspindle.ReasonUnauthorized, "no workspace has this key")
	}
	return workspace, nil
}

// deadline returns the deadline from the timeout header, or from the default timeout of
// the workspace if the header is missing.
func (s *Server) deadline(r *http.Request, workspace catkinspindle.WorkspaceSpec) (time.Time, error) {
	raw := r.Header.Get(TimeoutHeader)
	if raw == "" {
		if workspace.DefaultTimeout == 0 {
			return time.Time{}, badRequest("header %s: a timeout such as 30s is needed; workspace %q has no default", TimeoutHeader, workspace.Name)
		}
		return time.Now().Add(workspace.DefaultTimeout), nil
	}
	d, err := time.ParseDuration(raw)
	if err != nil {
		return time.Time{}, badRequest("header %s: %w", TimeoutHeader, err)
	}
	if d <= 0 {
		return time.Time{}, badRequest("header %s: %v is not positive", TimeoutHeader, d)
	}
	if d > s.limits.MaxTimeout {
		return time.Time{}, badRequest("header %s: %v is over the limit of %v", TimeoutHeader, d, s.limits.MaxTimeout)
	}
	return time.Now().Add(d), nil
}

// readBody reads the request body. A body longer than limit bytes is a ReasonTooLarge
// failure.
func readBody(r *http.Request, limit int64) ([]byte, error) {
	data, err := io.ReadAll(http.MaxBytesReader(nil, r.Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, catkinspindle.Fail(catkinspindle.NotRun, catkinspindle.ReasonTooLarge, "body is over %d bytes", limit)
	}
	if err != nil {
		return nil, badRequest("body: %w", err)
	}
	return data, nil
}
