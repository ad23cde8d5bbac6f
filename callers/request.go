package callers

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/inbound"
)

const (
	// memoryRetryAfter is the Retry-After of requests for which there is no memory.
	memoryRetryAfter = time.Second
	// decodedPromptCopies is how often the bytes of a prompt are held beside the body: in its messages and
	// joined.
	decodedPromptCopies = 2
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

type bodyKey struct{}

// requestBody is the body of a request and the memory that it takes until the request has been answered.
type requestBody struct {
	w       http.ResponseWriter
	holding *inbound.Holding
}

// withBody releases the memory of the request's body after the request.
func (s *Server) withBody(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body := &requestBody{w: w}
		defer func() { body.holding.Close() }()
		h.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), bodyKey{}, body)))
	})
}

// readBody reads the request body. A body longer than limit bytes is a ReasonTooLarge failure. copies is how
// often its bytes are held once they are decoded.
func (s *Server) readBody(r *http.Request, limit, copies int64) ([]byte, error) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	body := r.Context().Value(bodyKey{}).(*requestBody)
	data, holding, err := s.inbound.Read(body.w, r, limit)
	body.holding = holding
	if err == nil && copies > 0 {
		err = holding.Grow(copies * int64(len(data)))
	}
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return data, nil
	case errors.Is(err, inbound.ErrExhausted), errors.Is(err, inbound.ErrEvicted):
		return nil, catkinspindle.Fail(catkinspindle.NotRun, catkinspindle.ReasonOverload, "body: %w", err).WithRetryAfter(memoryRetryAfter)
	case errors.As(err, &tooLarge):
		return nil, catkinspindle.Fail(catkinspindle.NotRun, catkinspindle.ReasonTooLarge, "body is over %d bytes", limit)
	}
	return nil, badRequest("body: %w", err)
}
