package callers

import (
	"context"
	"net/http"

	"github.com/catkinspindle/catkinspindle"
)

// Size limits of calls to plain services, in bytes.
const (
	maxPlainBody = 512 << 10
	maxKeyLength = 256
)

type plainRequest struct {
	workspace catkinspindle.WorkspaceSpec
	action    catkinspindle.Action
}

// decodePlain implements kithttp.DecodeRequestFunc.
func (s *Server) decodePlain(_ context.Context, r *http.Request) (any, error) {
	workspace, deadline, err := s.authenticate(r)
	if err != nil {
		return nil, err
	}
	key := r.Header.Get(IdempotencyKeyHeader)
	if len(key) > maxKeyLength {
		return nil, badRequest("header %s: over %d bytes", IdempotencyKeyHeader, maxKeyLength)
	}
	data, err := s.readBody(r, maxPlainBody, 0)
	if err != nil {
		return nil, err
	}
	action := catkinspindle.Action{
		Workspace: workspace.Name,
		Call: catkinspindle.PlainCall{
			Service:  r.PathValue("service"),
			Method:   r.PathValue("method"),
			Key:      key,
			Body:     data,
			Deadline: deadline,
		},
	}
	if raw := r.Header.Get(OriginHeader); raw != "" {
		o, err := catkinspindle.ParseActionOrigin(raw)
		if err != nil {
			return nil, badRequest("header %s: %w", OriginHeader, err)
		}
		action = action.WithOrigin(o)
	}
	return plainRequest{workspace: workspace, action: action}, nil
}

// callPlain is the endpoint for calls to plain services.
func (s *Server) callPlain(ctx context.Context, request any) (any, error) {
	req := request.(plainRequest)
	release, err := s.admission.Admit(ctx, req.workspace, 0, req.action.Call.Deadline)
	if err != nil {
		return nil, err
	}
	defer release()
	ctx, cancel := context.WithDeadline(ctx, req.action.Call.Deadline)
	defer cancel()
	return s.actions.Call(ctx, req.action)
}

// encodePlain implements kithttp.EncodeResponseFunc.
func encodePlain(_ context.Context, w http.ResponseWriter, response any) error {
	reply := response.(catkinspindle.PlainReply)
	w.Header().Set(VerdictHeader, catkinspindle.Ran.String())
	w.WriteHeader(reply.Status)
	_, err := w.Write(reply.Body)
	return err
}
