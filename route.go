package catkinspindle

import (
	"net/http"
	"time"
)

// Repeat says how often a request may be executed.
type Repeat int

// The kinds of repetition.
const (
	// RepeatNever allows one execution at most.
	RepeatNever Repeat = iota
	// RepeatAnytime allows any number of executions.
	RepeatAnytime
	// RepeatResume allows a stream to go on at another replica after the last
	// whole event that the caller has.
	RepeatResume
)

var repeatNames = [...]string{"never", "anytime", "resume"}

// String returns the name that logs use.
func (r Repeat) String() string { return repeatNames[r] }

// Route sends the requests of a host and path prefix to backend services.
type Route struct {
	Name      string
	Host      string
	Prefix    string
	Repeat    Repeat
	Streaming bool
	// Timeout bounds how long a caller is kept waiting.
	Timeout time.Duration
	// Aim is the latency objective, up to the first event for streams.
	Aim time.Duration
	// MaxPause is the longest pause between events that is still on time.
	MaxPause time.Duration
	// Priority is the rank of the requests; 0 is the highest.
	Priority int
	// MaxAttempts bounds the replicas that one request is sent to.
	MaxAttempts int
	// Public routes need no key.
	Public  bool
	Targets []RouteTarget
}

// RouteTarget is a service and its share of a route's requests.
type RouteTarget struct {
	Service string
	Weight  int
}

// ReplicaService is a service whose replicas answer requests.
type ReplicaService struct {
	Name string
	// MaxConnections bounds the connections of all callers to one replica.
	MaxConnections int
	// Engine is nil for a service that runs no model.
	Engine *EngineModel
}

// EngineModel holds the figures of a model engine from which times are
// estimated.
type EngineModel struct {
	// Slots is the number of requests in one batch.
	Slots int
	// Memory is the KV cache of a replica in tokens.
	Memory int
	// Stride is the number of token steps in a pass with writers.
	Stride int
	// Chunk bounds the prompt tokens read in one step.
	Chunk int
	// Step, PerSequence and PerContext make up the time of a token step: a
	// constant, a part for each writing request and a part for each 1,000
	// tokens of context.
	Step        time.Duration
	PerSequence time.Duration
	PerContext  time.Duration
	// ReadRate is the number of prompt tokens read in a second.
	ReadRate float64
	// PairTime is the time for a million pairs of a token and an earlier one.
	PairTime time.Duration
}

// TrafficLimits bounds what callers may send.
type TrafficLimits struct {
	MaxHeader     int
	MaxBody       int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// KeyHolder is a workspace and its keys.
type KeyHolder struct {
	Workspace string
	Keys      []string
	// Priority takes precedence over a route's; nil when the workspace has none.
	Priority *int
}

// Routing is one version of the routing configuration.
type Routing struct {
	// Version is the operators' number; it only grows.
	Version  int64
	Routes   []Route
	Services []ReplicaService
	Limits   TrafficLimits
	// KeyHolders is nil when callers need no key.
	KeyHolders []KeyHolder
}

// Replica is a running backend server as the platform lists it.
type Replica struct {
	ID         string `cbor:"1,keyasint"`
	Service    string `cbor:"2,keyasint"`
	Address    string `cbor:"3,keyasint"`
	DataCentre string `cbor:"4,keyasint"`
	Slots      int    `cbor:"5,keyasint"`
	Leaving    bool   `cbor:"6,keyasint,omitempty"`
	// Born tells apart incarnations that share an ID.
	Born int64 `cbor:"7,keyasint"`
}

// Same reports whether r and o are one incarnation.
func (r Replica) Same(o Replica) bool {
	return r.ID == o.ID && r.Born == o.Born && r.Address == o.Address
}

// Departure names an incarnation of a replica that has said that it leaves. The
// replica's word counts whatever the store says; a later incarnation under the same
// ID is another replica.
type Departure struct {
	ID   string `cbor:"1,keyasint"`
	Born int64  `cbor:"2,keyasint"`
}

// Of reports whether r is the incarnation that leaves.
func (d Departure) Of(r Replica) bool { return d.ID == r.ID && d.Born == r.Born }

// Departure returns r's.
func (r Replica) Departure() Departure { return Departure{ID: r.ID, Born: r.Born} }

// Envelope is a request of any interface, reduced to what routing, placing and
// forwarding need. The body is read before a replica is chosen, so that a slow
// caller holds no slot and an attempt can be repeated.
type Envelope struct {
	ID     string
	Method string
	// Target is the path and query as received.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Timeout is the time that the caller waits.
	Timeout time.Duration
	// PromptTokens and AnswerTokens size a prompt; zero for plain requests.
	PromptTokens int
	AnswerTokens int
	// AfterEvent is the id of the last event that the caller already has.
	AfterEvent string
}
