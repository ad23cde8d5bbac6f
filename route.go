package catkinspindle

import (
	"net/http"
	"time"
)

// RetryMode says whether a request may be executed again after a failed attempt.
type RetryMode int

// The retry modes.
const (
	// RetryNever allows at most one execution.
	RetryNever RetryMode = iota
	// RetryAlways allows any number of executions.
	RetryAlways
	// RetryResume allows a stream to continue on another replica after the last
	// complete event that the caller has received.
	RetryResume
)

var retryModeNames = [...]string{"never", "anytime", "resume"}

// String returns the name of r as it appears in logs.
func (r RetryMode) String() string { return retryModeNames[r] }

// Route sends requests for a host and path prefix to backend services.
type Route struct {
	Name      string
	Host      string
	Prefix    string
	RetryMode RetryMode `cbor:"Repeat"`
	Streaming bool
	// Timeout bounds the duration of a request.
	Timeout time.Duration
	// LatencyObjective is the objective for the time to the first event of a stream, or to
	// the end of an answer that is not a stream.
	LatencyObjective time.Duration `cbor:"Aim"`
	// MaxEventGap is the objective for the longest gap between two events.
	MaxEventGap time.Duration `cbor:"MaxPause"`
	// Patience is the time without an event after which callers leave a stream, also before its first
	// event; zero if it is unknown.
	Patience time.Duration
	// Priority is the rank of the requests; 0 is the highest.
	Priority int
	// MaxAttempts bounds the number of replicas that one request is sent to.
	MaxAttempts int
	// Public routes require no API key.
	Public  bool
	Targets []RouteTarget
}

// RouteTarget is a service and its weight in the split of a route's requests.
type RouteTarget struct {
	Service string
	Weight  int
}

// ReplicaService is a service whose replicas answer requests.
type ReplicaService struct {
	Name string
	// MaxConnections bounds the connections of all clients to one replica.
	MaxConnections int
	// Engine is nil for a service that runs no model.
	Engine *EngineModel
	// ColdTime is how long a replica stays cold after its start, ColdPerSecond the rate of requests
	// from all nodes together that a cold replica tolerates; zero if it tolerates any.
	ColdTime      time.Duration
	ColdPerSecond float64
}

// EngineModel holds the parameters of a model engine from which prefill and decode
// times are estimated.
type EngineModel struct {
	// Slots is the maximum number of requests in a batch.
	Slots int
	// KVCacheTokens is the size of a replica's KV cache in tokens.
	KVCacheTokens int `cbor:"Memory"`
	// Stride is the number of decode steps in a pass while requests are decoding.
	Stride int
	// Chunk bounds the prompt tokens that are prefilled in one step.
	Chunk int
	// Step, PerSequence and PerContext make up the time of a decode step: a
	// constant, a part for each decoding request and a part for each 1,000
	// tokens of context.
	Step        time.Duration
	PerSequence time.Duration
	PerContext  time.Duration
	// PrefillRate is the prefill rate in tokens per second.
	PrefillRate float64 `cbor:"ReadRate"`
	// AttentionTime is the attention time of prefill for a million pairs of a token and
	// an earlier token.
	AttentionTime time.Duration `cbor:"PairTime"`
}

// TrafficLimits bounds the requests and connections of callers.
type TrafficLimits struct {
	MaxHeader     int
	MaxBody       int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// WorkspaceKeys is a workspace and its API keys.
type WorkspaceKeys struct {
	Workspace string
	Keys      []string
	// Priority overrides the priority of a route; nil when the workspace has none.
	Priority *int
}

// KeyPolicy says whether requests on routes that are not public must carry an API key.
type KeyPolicy int

// The key policies. A policy that is not stated requires a key.
const (
	KeyPolicyUnstated KeyPolicy = iota
	KeyPolicyRequired
	KeyPolicyNone
)

// Routing is one version of the routing configuration.
type Routing struct {
	// Version is assigned by the operators and only increases.
	Version  int64
	Routes   []Route
	Services []ReplicaService
	Limits   TrafficLimits
	// KeyPolicy is unstated in messages from nodes of earlier builds.
	KeyPolicy KeyPolicy `cbor:",omitempty"`
	// WorkspaceKeys has the keys in use. It is never nil if a key is required, because earlier builds
	// take nil for KeyPolicyNone.
	WorkspaceKeys []WorkspaceKeys `cbor:"KeyHolders"`
}

// Replica is a running backend server as listed in the platform's store.
type Replica struct {
	ID         string `cbor:"1,keyasint"`
	Service    string `cbor:"2,keyasint"`
	Address    string `cbor:"3,keyasint"`
	DataCentre string `cbor:"4,keyasint"`
	Slots      int    `cbor:"5,keyasint"`
	Leaving    bool   `cbor:"6,keyasint,omitempty"`
	// Incarnation distinguishes processes that share an ID and increases with each restart.
	Incarnation int64 `cbor:"7,keyasint"`
	// ColdLeft is how much longer the replica stays cold, as its entry states.
	ColdLeft time.Duration `cbor:"8,keyasint,omitempty"`
	// The fields below are this node's own and are not sent to others. ColdUntil is when the replica is
	// no longer cold, ColdPerSecond the ColdPerSecond of its service. Evacuated is true while its data
	// centre is evacuated.
	ColdUntil     time.Time `cbor:"-" json:"-"`
	ColdPerSecond float64   `cbor:"-" json:"-"`
	Evacuated     bool      `cbor:"-" json:"-"`
}

// Accepts reports whether r may be sent further requests: it is neither leaving nor evacuated.
func (r Replica) Accepts() bool { return !r.Leaving && !r.Evacuated }

// ColdLimit returns the rate of requests that r tolerates while it is cold. ok is false when it is
// not cold or tolerates any rate.
func (r Replica) ColdLimit(now time.Time) (perSecond float64, ok bool) {
	if r.ColdPerSecond <= 0 || !now.Before(r.ColdUntil) {
		return 0, false
	}
	return r.ColdPerSecond, true
}

// SameIncarnation reports whether r and o are the same incarnation of a replica.
func (r Replica) SameIncarnation(o Replica) bool {
	return r.ID == o.ID && r.Incarnation == o.Incarnation && r.Address == o.Address
}

// Departure identifies an incarnation of a replica that has announced that it is
// leaving. The announcement overrides the store's entry; it doesn't apply to a later
// incarnation with the same ID.
type Departure struct {
	ID          string `cbor:"1,keyasint"`
	Incarnation int64  `cbor:"2,keyasint"`
}

// Matches reports whether r is the incarnation that d identifies.
func (d Departure) Matches(r Replica) bool { return d.ID == r.ID && d.Incarnation == r.Incarnation }

// Departure returns the departure of r's incarnation.
func (r Replica) Departure() Departure { return Departure{ID: r.ID, Incarnation: r.Incarnation} }

// Envelope is a request of any protocol, reduced to the data that routing, placement
// and forwarding need. The body is read in full before a replica is chosen, so that a
// slow caller occupies no slot and an attempt can be retried.
type Envelope struct {
	ID     string
	Method string
	// Target is the request target, path and query, as received.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Timeout is the caller's timeout; zero when not stated.
	Timeout time.Duration
	// PromptTokens and AnswerTokens are the length of the prompt and the estimated
	// length of its answer; zero for plain requests.
	PromptTokens int
	AnswerTokens int
	// SharedParts are the IDs of the parts of the prompt that other requests may share.
	SharedParts []string
	// AfterEvent is the ID of the last event that the caller has received.
	AfterEvent string
}
