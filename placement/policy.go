package placement

import "time"

// Policy holds the weights and limits by which a Planner places and admits jobs. Its
// shares are fractions between 0 and 1.
type Policy struct {
	// PoolSize bounds the average number of replicas in a pool of a service: many times
	// the number that prefill one prompt, and few enough for a placement to take half a
	// millisecond at most (BenchmarkPlace).
	PoolSize int
	// PackedShare is the fraction of a replica's slots that short jobs fill before they are
	// placed on the next replica while long prompts are queued; SpreadShare when none are.
	PackedShare float64
	SpreadShare float64
	// ShortShare is the largest fraction of the replicas that is reserved for short jobs.
	ShortShare float64
	// ShortMaxGap is the largest MaxEventGap with which a job counts as short: it must not
	// share a replica with long prefills. A job whose prefill takes longer than LongPrefill
	// is placed as a long one regardless of its MaxEventGap.
	ShortMaxGap time.Duration
	LongPrefill time.Duration
	// GapShare is the fraction of a job's MaxEventGap that one engine iteration may take.
	GapShare float64
	// SplitPrefill is the prefill time above which the prefill of a short job is split
	// between helpers, so that it does not stall the jobs that decode on its replica.
	SplitPrefill time.Duration
	// PauseWeight is the number of decoding jobs whose excess pause counts as much as the
	// waiting time of the new job.
	PauseWeight float64
	// MaxHelpers bounds the replicas that help to prefill a prompt; MinSegment is the
	// shortest prefill time that is worth a helper.
	MaxHelpers int
	MinSegment time.Duration
	// NoReplicaRetry is the RetryAfter when no replica is available: two heartbeats, in which a
	// replica that another node knows becomes known to all.
	NoReplicaRetry time.Duration
	// OtherDataCentre is the cost of a replica in another data centre, in requests in
	// flight.
	OtherDataCentre float64
	// MemoryShare is the fraction of a replica's memory that may be allocated.
	MemoryShare float64
	// HostMemoryShare is the fraction of its host's free memory that a prompt takes when it
	// does not fit there completely; MinReservation is the smallest reservation on a helper,
	// in tokens.
	HostMemoryShare float64
	MinReservation  int
	// AloneHelpers bounds the helpers of a job that is placed without the coordinator.
	AloneHelpers int
	// HoldCost is the cost of a host with too little memory for the prompt, OpenCost that
	// of a host that does not decode long answers yet; both as waiting time.
	HoldCost time.Duration
	OpenCost time.Duration
	// WriterCost is the cost of a helper that is decoding, as waiting time.
	WriterCost time.Duration
	// BypassSegment is the longest prefill segment that is sent ahead of the queue; BypassWait
	// bounds the time that it is then expected to wait.
	BypassSegment time.Duration
	BypassWait    time.Duration
	// Lead is how long before the prefilling replicas are free a request is sent: the
	// network latency to the replica plus half of an engine iteration.
	Lead time.Duration
}

// DefaultPolicy returns the policy that docs/POLICY.md reports on.
func DefaultPolicy() Policy {
	return Policy{
		PoolSize:        300,
		PackedShare:     0.875,
		SpreadShare:     0.6875,
		LongPrefill:     400 * time.Millisecond,
		ShortShare:      0.8,
		ShortMaxGap:     400 * time.Millisecond,
		GapShare:        0.8,
		SplitPrefill:    30 * time.Millisecond,
		PauseWeight:     8,
		MaxHelpers:      15,
		MinSegment:      20 * time.Millisecond,
		NoReplicaRetry:  500 * time.Millisecond,
		OtherDataCentre: 0.5,
		MemoryShare:     0.95,
		HostMemoryShare: 0.9,
		MinReservation:  2000,
		AloneHelpers:    15,
		HoldCost:        time.Second,
		OpenCost:        150 * time.Millisecond,
		WriterCost:      150 * time.Millisecond,
		BypassSegment:   100 * time.Millisecond,
		BypassWait:      150 * time.Millisecond,
		Lead:            25 * time.Millisecond,
	}
}
