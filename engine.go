package catkinspindle

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Engine is a client of one model engine.
type Engine interface {
	// Start opens a stream. A Failure with NotRun means that the engine
	// refused the stream before execution or could not be reached.
	Start(ctx context.Context, s StreamStart) (Stream, error)
	// Cancel ends a stream. It returns nil only when the engine confirms that
	// the stream's memory is free or that it holds no such stream.
	Cancel(ctx context.Context, id StreamID) error
	// Status returns the streams and exports that the engine currently holds,
	// and its load report, which may be stale.
	Status(ctx context.Context) (EngineStatus, error)
	// Order asks the engine to change to the desired state.
	Order(ctx context.Context, o Order) error
}

// StreamStart asks an engine for a stream.
type StreamStart struct {
	ID    StreamID `json:"id"`
	Model string   `json:"model"`
	// Version is the version of the model that must answer.
	Version   string `json:"version"`
	Adapter   string `json:"adapter,omitempty"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max-tokens"`
	// Priority orders prefill; higher values go first.
	Priority int `json:"priority"`
	// Resume is the number of tokens that the caller has already received.
	Resume int `json:"resume,omitempty"`
	// Imports are KV caches on other engines that cover the text before Prompt.
	Imports []KVExport `json:"imports,omitempty"`
	// Export prefills the prompt and keeps the KV cache for another engine;
	// no tokens are generated.
	Export   bool      `json:"export,omitempty"`
	Deadline time.Time `json:"deadline"`
}

// KVExport names a KV cache that an engine holds for other engines.
type KVExport struct {
	Handle string `json:"handle"`
	Tokens int    `json:"tokens"`
}

// EngineStatus is an engine's report of its capacity, state and streams.
type EngineStatus struct {
	Capacity    int              `json:"capacity"`
	PrefillRate int              `json:"prefill-rate"`
	MaxStreams  int              `json:"max-streams"`
	Leaving     bool             `json:"leaving"`
	State       EngineState      `json:"state"`
	Streams     []StreamStatus   `json:"streams"`
	CachedPaths []string         `json:"cached-paths,omitempty"`
	Load        EngineLoadReport `json:"load"`
	Checks      FencingBehavior  `json:"fencing"`
	// RateLimit is the rate of stream starts that the engine accepts from all VMs together.
	RateLimit RateLimit `json:"rate-limit,omitzero"`
}

// FencingBehavior says whether an engine rejects orders that carry an outdated
// fencing token.
type FencingBehavior string

// The behaviours of engines towards fencing tokens.
const (
	FencingChecked FencingBehavior = "checked"
	FencingIgnored FencingBehavior = "ignored"
)

// EngineLoadReport is an engine's load report and the age of the report.
type EngineLoadReport struct {
	QueuedTokens int           `json:"queued-tokens"`
	Age          time.Duration `json:"age"`
}

// StreamStatus describes one stream or export that holds memory on an engine.
type StreamStatus struct {
	ID      StreamID      `json:"id"`
	Tokens  int           `json:"tokens"`
	Export  bool          `json:"export,omitempty"`
	Running time.Duration `json:"running"`
}

// EngineState is the model, version, adapters and role that an engine serves.
type EngineState struct {
	Model    string   `json:"model" yaml:"model" cbor:"1,keyasint"`
	Version  string   `json:"version" yaml:"version" cbor:"2,keyasint"`
	Adapters []string `json:"adapters,omitempty" yaml:"adapters,omitempty" cbor:"3,keyasint"`
	Role     string   `json:"role" yaml:"role" cbor:"4,keyasint"`
}

// Hash returns a hash of the state that is independent of the order of the
// adapters.
func (s EngineState) Hash() uint64 {
	adapters := slices.Sorted(slices.Values(s.Adapters))
	return xxhash.Sum64String(strings.Join(append([]string{s.Model, s.Version, s.Role}, adapters...), "\x00"))
}

// Order is an idempotent request to change an engine to the state Want.
type Order struct {
	Fencing int64       `json:"fencing"`
	Want    EngineState `json:"want"`
}
