package callers

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/events"
)

// defaultMaxTokens is the limit for requests without max_tokens.
const defaultMaxTokens = 256

// chatBody is the JSON body of a chat completion request.
type chatBody struct {
	Model     string        `json:"model"`
	Adapter   string        `json:"adapter"`
	Messages  []chatMessage `json:"messages"`
	MaxTokens *int          `json:"max_tokens"`
	Stream    bool          `json:"stream"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type chatRequest struct {
	workspace catkinspindle.WorkspaceSpec
	request   catkinspindle.Request
	stream    bool
}

type chatResponse struct {
	request chatRequest
	stream  catkinspindle.Stream
	release func()
}

// decodeChat implements kithttp.DecodeRequestFunc.
func (s *Server) decodeChat(_ context.Context, r *http.Request) (any, error) {
	workspace, deadline, err := s.authenticate(r)
	if err != nil {
		return nil, err
	}
	data, err := s.readBody(r, s.limits.MaxBody, decodedPromptCopies)
	if err != nil {
		return nil, err
	}
	var b chatBody
	if err := json.Unmarshal(data, &b); err != nil {
		return nil, badRequest("body: %w", err)
	}
	maxTokens := defaultMaxTokens
	if b.MaxTokens != nil {
		maxTokens = *b.MaxTokens
	}
	switch {
	case b.Model == "":
		return nil, badRequest("body: model is needed")
	case len(b.Messages) == 0:
		return nil, badRequest("body: messages are needed")
	case maxTokens < 1 || maxTokens > s.limits.MaxTokens:
		return nil, badRequest("body: max_tokens must be from 1 to %d", s.limits.MaxTokens)
	}
	req := catkinspindle.Request{
		Workspace: workspace.Name,
		Model:     b.Model,
		Adapter:   b.Adapter,
		Prompt:    joinMessages(b.Messages),
		MaxTokens: maxTokens,
		Deadline:  deadline,
	}
	return chatRequest{workspace: workspace, request: req, stream: b.Stream}, nil
}

// joinMessages joins the messages in the prompt format of the engines: the content alone for
// a single message, one "role: content" line per message otherwise.
func joinMessages(messages []chatMessage) string {
	if len(messages) == 1 {
		return messages[0].Content
	}
	var b strings.Builder
	for _, m := range messages {
		b.WriteString(m.Role)
		b.WriteString(": ")
		b.WriteString(m.Content)
		b.WriteString("\n")
	}
	return b.String()
}

// chat is the endpoint for chat completions. It admits the request and opens its stream.
func (s *Server) chat(ctx context.Context, request any) (any, error) {
	req := request.(chatRequest)
	model, ok := s.snapshot().Config.Model(req.request.Model)
	if !ok {
		return nil, catkinspindle.Fail(catkinspindle.NotRun, catkinspindle.ReasonUnknownModel, "no model %q", req.request.Model)
	}
	if err := checkAdapter(model, req.request.Adapter); err != nil {
		return nil, err
	}
	release, err := s.admission.Admit(ctx, req.workspace, req.request.PromptTokens(), req.request.Deadline)
	if err != nil {
		return nil, err
	}
	opened := false
	defer func() {
		if !opened {
			release()
		}
	}()
	stream, err := s.prompts.Open(ctx, req.request)
	if err != nil {
		return nil, err
	}
	opened = true
	return chatResponse{request: req, stream: stream, release: release}, nil
}

func checkAdapter(m catkinspindle.ModelSpec, adapter string) error {
	if adapter == "" {
		return nil
	}
	for _, a := range m.Adapters {
		if a == adapter {
			return nil
		}
	}
	return catkinspindle.Fail(catkinspindle.NotRun, catkinspindle.ReasonUnknownModel, "model %q has no adapter %q", m.Name, adapter)
}

// chunkBody is the JSON of one server-sent event of a streamed completion.
type chunkBody struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Created int64         `json:"created"`
	Model   string        `json:"model"`
	Choices []chunkChoice `json:"choices"`
}

type chunkChoice struct {
	Index        int         `json:"index"`
	Delta        chatMessage `json:"delta"`
	FinishReason *string     `json:"finish_reason"`
}

// completionBody is the JSON body of a completion that is not streamed.
type completionBody struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
}

type completionChoice struct {
	Index        int         `json:"index"`
	Message      chatMessage `json:"message"`
	FinishReason string      `json:"finish_reason"`
}

const finishStop = "stop"

// writeGrace is how long after the request deadline the response may still be written.
const writeGrace = time.Second

// encodeChat implements kithttp.EncodeResponseFunc.
func (s *Server) encodeChat(_ context.Context, w http.ResponseWriter, response any) error {
	resp := response.(chatResponse)
	defer resp.release()
	defer resp.stream.Close()
	if !resp.request.stream {
		return encodeCompletion(w, resp)
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-cache")
	controller := http.NewResponseController(w)
	// A caller that stops reading must not keep the request open past its deadline.
	_ = controller.SetWriteDeadline(resp.request.request.Deadline.Add(writeGrace))
	for {
		c, err := resp.stream.Next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			s.endFailedStream(w, err)
			return nil
		}
		if err := writeChunk(w, resp, c); err != nil {
			return nil
		}
		if err := controller.Flush(); err != nil {
			return nil
		}
	}
	_, _ = io.WriteString(w, "data: [DONE]\n\n")
	return nil
}

// endFailedStream logs the failure and sends it as the last event of the stream, without the
// [DONE] marker.
func (s *Server) endFailedStream(w io.Writer, err error) {
	f := catkinspindle.AsFailure(err)
	s.log.Info("stream failed", events.RequestFailed.Attr(), "reason", string(f.Reason), "verdict", f.Verdict.String(), "error", f.Err)
	_ = writeEvent(w, newFailureBody(f))
}

func writeChunk(w io.Writer, resp chatResponse, c catkinspindle.Chunk) error {
	choice := chunkChoice{Delta: chatMessage{Role: "assistant", Content: strings.Join(c.Tokens, "")}}
	if c.End {
		reason := finishStop
		choice.FinishReason = &reason
	}
	return writeEvent(w, chunkBody{
		ID:      "chat",
		Object:  "chat.completion.chunk",
		Created: time.Now().Unix(),
		Model:   resp.request.request.Model,
		Choices: []chunkChoice{choice},
	})
}

func writeEvent(w io.Writer, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(w, "data: %s\n\n", data)
	return err
}

func encodeCompletion(w http.ResponseWriter, resp chatResponse) error {
	var text strings.Builder
	for {
		c, err := resp.stream.Next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			writeFailure(w, catkinspindle.AsFailure(err))
			return nil
		}
		text.WriteString(strings.Join(c.Tokens, ""))
	}
	w.Header().Set("Content-Type", "application/json")
	return json.NewEncoder(w).Encode(completionBody{
		ID:      "chat",
		Object:  "chat.completion",
		Created: time.Now().Unix(),
		Model:   resp.request.request.Model,
		Choices: []completionChoice{{Message: chatMessage{Role: "assistant", Content: text.String()}, FinishReason: finishStop}},
	})
}
