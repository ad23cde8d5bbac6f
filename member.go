package catkinspindle

import "time"

// Member is the entry of one VM in the gossiped membership table.
type Member struct {
	Origin      Origin `json:"origin" cbor:"1,keyasint"`
	PeerAddress string `json:"peer-address" cbor:"2,keyasint"`
	CallersURL  string `json:"callers-url" cbor:"3,keyasint"`
	DataCentre  string `json:"data-centre" cbor:"4,keyasint"`
	// HeartbeatCount is the heartbeat counter of the incarnation.
	HeartbeatCount uint64 `json:"beat" cbor:"5,keyasint"`
	// Leaving means that the VM becomes home to no further engines and is
	// omitted from address answers.
	Leaving       bool       `json:"leaving,omitempty" cbor:"6,keyasint,omitempty"`
	ConfigVersion int64      `json:"config-version" cbor:"7,keyasint"`
	Homes         []HomeLoad `json:"homes,omitempty" cbor:"8,keyasint,omitempty"`
}

// WithNextHeartbeat returns a copy of m whose heartbeat counter is one higher.
func (m Member) WithNextHeartbeat() Member {
	m.HeartbeatCount++
	return m
}

// MemberHeartbeat is the highest heartbeat counter that a VM has seen from a member.
type MemberHeartbeat struct {
	Origin         Origin `cbor:"1,keyasint"`
	HeartbeatCount uint64 `cbor:"2,keyasint"`
}

// LeavingMark says that a backend server is leaving. The VM that detected this
// renews the mark; other VMs forward it unchanged.
type LeavingMark struct {
	Backend string    `cbor:"1,keyasint"`
	Until   time.Time `cbor:"2,keyasint"`
}

// BacklogClasses are the inclusive upper bounds of the prompt length classes by
// which a backlog is reported, in tokens. One further class has no bound.
var BacklogClasses = [...]int{4 << 10, 16 << 10, 64 << 10, 256 << 10}

// HomeLoad is the state of the reservation ledger of one engine, as reported by
// the engine's home.
type HomeLoad struct {
	Engine string `json:"engine" cbor:"1,keyasint"`
	// Free is the unreserved memory in tokens.
	Free int `json:"free" cbor:"2,keyasint"`
	// Capacity is the engine's memory in tokens.
	Capacity int `json:"capacity" cbor:"3,keyasint"`
	// Backlog is the prefill work queued ahead of a prompt of each class of
	// BacklogClasses, in tokens.
	Backlog [len(BacklogClasses) + 1]int `json:"backlog" cbor:"4,keyasint"`
	// Rate is the measured prefill rate in tokens per second.
	Rate int `json:"rate" cbor:"5,keyasint"`
	// Streams is the number of granted reservations, Long the number of those
	// for long prompts.
	Streams int `json:"streams" cbor:"6,keyasint,omitempty"`
	Long    int `json:"long" cbor:"7,keyasint,omitempty"`
	// Queued is the number of waiting tickets.
	Queued int `json:"queued" cbor:"8,keyasint,omitempty"`
	// Ready means that the engine answers, is in the desired state, is not
	// leaving and is not being drained.
	Ready bool `json:"ready" cbor:"9,keyasint,omitempty"`
	// Version is the version of the model that the engine serves.
	Version string `json:"version" cbor:"11,keyasint"`
	// StateHash is the hash of the state that the engine reports.
	StateHash uint64 `json:"state-hash" cbor:"12,keyasint"`
	// Leaving means that the engine itself reports that it is leaving.
	Leaving bool `json:"leaving,omitempty" cbor:"10,keyasint,omitempty"`
}

// BacklogClass returns the index of the backlog class of a prompt that is
// tokens long.
func BacklogClass(tokens int) int {
	for i, bound := range BacklogClasses {
		if tokens <= bound {
			return i
		}
	}
	return len(BacklogClasses)
}
