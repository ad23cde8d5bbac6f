package catkinspindle

import "time"

// Timing holds the intervals and timeouts of a node.
type Timing struct {
	// Heartbeat is the interval between gossip exchanges with a peer.
	Heartbeat time.Duration `yaml:"heartbeat"`
	// FailureTimeout is the time without heartbeats after which a member counts
	// as dead.
	FailureTimeout time.Duration `yaml:"failure-timeout"`
	// Lease is the time after which a reservation expires without renewal.
	Lease time.Duration `yaml:"lease"`
	// RenewInterval is the interval at which reservations are renewed.
	RenewInterval time.Duration `yaml:"renew"`
	// StatusInterval is the interval at which a home polls the status of its engines.
	StatusInterval time.Duration `yaml:"status"`
	// VMsInterval is the interval at which the platform's list of VMs is read.
	VMsInterval time.Duration `yaml:"vms"`
	// AddressLifetime is how long callers may cache an address answer.
	AddressLifetime time.Duration `yaml:"address-lifetime"`
	// ProgressTimeout is the time without a message after which a stream counts as
	// failed.
	ProgressTimeout time.Duration `yaml:"progress"`
	// HoldLimit bounds how long a partial reservation over several engines is held.
	HoldLimit time.Duration `yaml:"hold"`
	// CallTimeout is the timeout of a call to a peer, the platform or an engine's control
	// interface.
	CallTimeout time.Duration `yaml:"call"`
	// KeyRetention is how long the outcome of an action is kept for its
	// idempotency key.
	KeyRetention time.Duration `yaml:"key-retention"`
	// ReconcileLease is the time after which a reconciler loses leadership without
	// renewal.
	ReconcileLease time.Duration `yaml:"reconcile-lease"`
	// LongestOrder bounds the time that an engine takes to execute an order.
	LongestOrder time.Duration `yaml:"longest-order"`
}

// DefaultTiming returns the timing of a node without timing settings.
func DefaultTiming() Timing {
	return Timing{
		Heartbeat:       500 * time.Millisecond,
		FailureTimeout:  3 * time.Second,
		Lease:           15 * time.Second,
		RenewInterval:   5 * time.Second,
		StatusInterval:  time.Second,
		VMsInterval:     time.Second,
		AddressLifetime: 10 * time.Second,
		ProgressTimeout: 2 * time.Second,
		HoldLimit:       5 * time.Second,
		CallTimeout:     2 * time.Second,
		KeyRetention:    time.Hour,
		ReconcileLease:  10 * time.Second,
		LongestOrder:    5 * time.Second,
	}
}

// Limits bounds the requests that a node accepts.
type Limits struct {
	// MaxBody is the largest request body in bytes.
	MaxBody int64 `yaml:"max-body"`
	// BodyMemory bounds the bytes of the requests of all callers together; zero for a share of the VM's
	// memory.
	BodyMemory int64 `yaml:"body-memory"`
	// MaxTimeout is the longest timeout that a caller may request.
	MaxTimeout time.Duration `yaml:"max-timeout"`
	// MaxRequests bounds the requests in flight on a node.
	MaxRequests int `yaml:"max-requests"`
	// MaxTokens bounds the tokens that a request may generate.
	MaxTokens int `yaml:"max-tokens"`
	// Attempts bounds the consecutive engines that a prompt is sent to without
	// receiving a token.
	Attempts int `yaml:"attempts"`
}

// minBodies is the number of bodies of the largest size for which there is memory: one that is decoded.
const minBodies = 4

// MinBodyMemory returns the fewest bytes that BodyMemory may be.
func (l Limits) MinBodyMemory() int64 { return minBodies * l.MaxBody }

// DefaultLimits returns the limits of a node without limit settings.
func DefaultLimits() Limits {
	return Limits{
		MaxBody:     32 << 20,
		MaxTimeout:  10 * time.Minute,
		MaxRequests: 4096,
		MaxTokens:   8192,
		Attempts:    5,
	}
}
