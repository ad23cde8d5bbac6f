package catkinspindle

import "time"

// Policy configures engine selection, queueing and admission for prompts of
// different lengths.
type Policy struct {
	// Order is the order of an engine's queue.
	Order QueueOrder `yaml:"order" json:"order"`
	// Stretch bounds how far short prompts overtake a long one. In OrderStretch
	// the queue is sorted by arrival time plus Stretch times the prompt's own
	// service time.
	Stretch float64 `yaml:"stretch" json:"stretch"`
	// EnginePriority passes the queue order to the engine as stream priorities.
	EnginePriority bool `yaml:"engine-priority" json:"engine-priority"`
	// LongTokens is the length in tokens from which a prompt counts as long.
	LongTokens int `yaml:"long-tokens" json:"long-tokens"`
	// LongShare is the share of a service's engines that accept long prompts.
	LongShare float64 `yaml:"long-share" json:"long-share"`
	// MaxLong bounds the concurrent long prompts on an engine; zero means
	// unlimited.
	MaxLong int `yaml:"max-long" json:"max-long"`
	// Estimate selects engines by estimated time to first token instead of by
	// least load.
	Estimate bool `yaml:"estimate" json:"estimate"`
	// Interference is the fraction by which decoding slows down while an engine
	// prefills. The estimate adds it to the cost of engines with a backlog.
	Interference float64 `yaml:"interference" json:"interference"`
	// PreferShortOnly is the additional time to first token that a short prompt
	// accepts to run on an engine that accepts no long prompts.
	PreferShortOnly time.Duration `yaml:"prefer-closed" json:"prefer-closed"`
	// Spread is the difference in cost below which engines count as equal. One
	// of them is chosen at random, so that entries that work from the same stale
	// load reports do not all choose the same engine.
	Spread time.Duration `yaml:"spread" json:"spread"`
	// Affinity takes cached prefixes into account in the estimate.
	Affinity bool `yaml:"affinity" json:"affinity"`
	// Admission refuses requests at once that are not expected to finish before
	// their deadline.
	Admission bool `yaml:"admission" json:"admission"`
	// FairShare orders workspaces by the amount that they have in flight.
	FairShare bool `yaml:"fair-share" json:"fair-share"`
}

// QueueOrder is the order in which an engine's queue is served.
type QueueOrder string

// The queue orders.
const (
	OrderFIFO    QueueOrder = "fifo"
	OrderStretch QueueOrder = "stretch"
)

// BaselinePolicy returns a policy of least-loaded selection and FIFO queues.
func BaselinePolicy() Policy {
	return Policy{Order: OrderFIFO, LongTokens: DefaultLongTokens, LongShare: 1}
}

// DefaultLongTokens is the default of Policy.LongTokens.
const DefaultLongTokens = 16 << 10

// DefaultPolicy returns the policy of a node without policy settings.
func DefaultPolicy() Policy {
	return Policy{
		Order:           OrderStretch,
		Stretch:         8,
		EnginePriority:  true,
		LongTokens:      DefaultLongTokens,
		LongShare:       0.5,
		Estimate:        true,
		Interference:    0.6,
		PreferShortOnly: 200 * time.Millisecond,
		Spread:          100 * time.Millisecond,
		Affinity:        true,
		Admission:       true,
	}
}
