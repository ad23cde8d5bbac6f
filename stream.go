package catkinspindle

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Origin identifies a process by its VM and incarnation. A restarted process
// has the same VM name and a higher incarnation.
type Origin struct {
	VM          string `json:"vm" cbor:"1,keyasint"`
	Incarnation int64  `json:"incarnation" cbor:"2,keyasint"`
}

// String returns the origin as vm.incarnation.
func (o Origin) String() string {
	return o.VM + "." + strconv.FormatInt(o.Incarnation, 10)
}

// ParseOrigin parses the format of Origin.String.
func ParseOrigin(s string) (Origin, error) {
	vm, inc, ok := cutLast(s, ".")
	if !ok || vm == "" {
		return Origin{}, fmt.Errorf("origin %q: want vm.incarnation", s)
	}
	n, err := strconv.ParseInt(inc, 10, 64)
	if err != nil {
		return Origin{}, fmt.Errorf("origin %q: %w", s, err)
	}
	return Origin{VM: vm, Incarnation: n}, nil
}

func cutLast(s, sep string) (before, after string, found bool) {
	i := strings.LastIndex(s, sep)
	if i < 0 {
		return s, "", false
	}
	return s[:i], s[i+len(sep):], true
}

// StreamID identifies a stream on an engine. It contains the stream's owner, so
// that any VM can determine which process a stream belongs to.
type StreamID struct {
	Owner Origin `cbor:"1,keyasint"`
	Seq   uint64 `cbor:"2,keyasint"`
}

// String returns the ID as vm.incarnation.seq.
func (id StreamID) String() string {
	return id.Owner.String() + "." + strconv.FormatUint(id.Seq, 10)
}

// MarshalText implements encoding.TextMarshaler.
func (id StreamID) MarshalText() ([]byte, error) { return []byte(id.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (id *StreamID) UnmarshalText(b []byte) error {
	parsed, err := ParseStreamID(string(b))
	if err != nil {
		return err
	}
	*id = parsed
	return nil
}

// ParseStreamID parses the format of StreamID.String.
func ParseStreamID(s string) (StreamID, error) {
	head, seq, ok := cutLast(s, ".")
	if !ok {
		return StreamID{}, fmt.Errorf("stream id %q: want vm.incarnation.seq", s)
	}
	owner, err := ParseOrigin(head)
	if err != nil {
		return StreamID{}, err
	}
	n, err := strconv.ParseUint(seq, 10, 64)
	if err != nil {
		return StreamID{}, fmt.Errorf("stream id %q: %w", s, err)
	}
	return StreamID{Owner: owner, Seq: n}, nil
}

// BytesPerToken is the assumed average length of a token of prompt text.
const BytesPerToken = 4

// CountTokens estimates the number of tokens in text.
func CountTokens(text string) int {
	return (len(text) + BytesPerToken - 1) / BytesPerToken
}

// Request is a prompt sent by a caller. Values are immutable; the With methods
// return modified copies.
type Request struct {
	Workspace string
	Model     string
	Adapter   string
	Prompt    string
	MaxTokens int
	Deadline  time.Time
}

// WithDeadline returns a copy of r with the deadline t.
func (r Request) WithDeadline(t time.Time) Request {
	r.Deadline = t
	return r
}

// WithPrompt returns a copy of r with another prompt.
func (r Request) WithPrompt(prompt string) Request {
	r.Prompt = prompt
	return r
}

// PromptTokens returns the estimated length of the prompt in tokens.
func (r Request) PromptTokens() int { return CountTokens(r.Prompt) }

// Chunk is a part of a streamed answer.
type Chunk struct {
	// Offset is the index of the chunk's first token in the answer.
	Offset int `json:"offset"`
	// Tokens are the texts of the tokens; empty in a progress report.
	Tokens []string `json:"tokens,omitempty"`
	// End is true in the last chunk of a complete answer.
	End bool `json:"end,omitempty"`
	// Export is the handle of the exported KV cache if the stream requested one.
	Export string `json:"export,omitempty"`
}

// Stream is an answer in progress.
type Stream interface {
	// Next returns the next chunk. After the chunk with the end marker it
	// returns io.EOF; io.ErrUnexpectedEOF means that the answer is truncated.
	Next() (Chunk, error)
	// Close ends the stream without waiting for the engine to confirm.
	Close()
}
