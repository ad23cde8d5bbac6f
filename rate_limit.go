package catkinspindle

import (
	"math"
	"strconv"
	"strings"
	"time"
)

// RateLimit is what an answer states about the rate limit of its replica: the highest rate of
// requests that the replica accepts from all nodes together. The zero value states nothing.
type RateLimit struct {
	// Stated is true when the answer states a valid limit, which is PerSecond.
	Stated    bool
	PerSecond float64
	// Malformed is the stated value, quoted, when it is not a valid limit.
	Malformed string
}

// minRatePerSecond is the lowest rate at which a limited backend server gets requests. One that
// got none could not state that its limit has ended.
const minRatePerSecond = 1.0 / 30

// WithMinimum returns a copy of l of at least one request in 30 s.
func (l RateLimit) WithMinimum() RateLimit {
	l.PerSecond = max(minRatePerSecond, l.PerSecond)
	return l
}

// ParseRateLimit parses a decimal number of requests per second.
func ParseRateLimit(s string) RateLimit {
	perSecond, err := strconv.ParseFloat(strings.TrimSpace(s), 64)
	if err != nil || !(perSecond >= 0) || math.IsInf(perSecond, 0) || strings.ContainsAny(s, "xX") {
		return RateLimit{Malformed: strconv.Quote(s)}
	}
	return RateLimit{Stated: true, PerSecond: perSecond}
}

// String returns the limit as ParseRateLimit parses it; empty when none is stated.
func (l RateLimit) String() string {
	if !l.Stated {
		return ""
	}
	return strconv.FormatFloat(l.PerSecond, 'f', -1, 64)
}

// MarshalJSON implements json.Marshaler.
func (l RateLimit) MarshalJSON() ([]byte, error) { return []byte(l.String()), nil }

// UnmarshalJSON implements json.Unmarshaler. It returns no error: a malformed limit does not
// make the rest of a message unusable.
func (l *RateLimit) UnmarshalJSON(data []byte) error {
	*l = ParseRateLimit(string(data))
	return nil
}

// RateLimitReport is the newest statement of a replica's incarnation about its rate limit, as
// it is passed between nodes.
type RateLimitReport struct {
	ID          string `cbor:"1,keyasint"`
	Incarnation int64  `cbor:"2,keyasint"`
	// Limited is false when the replica has stopped stating a limit.
	Limited   bool    `cbor:"3,keyasint,omitempty"`
	PerSecond float64 `cbor:"4,keyasint,omitempty"`
	// Age is the time since the answer with the statement.
	Age time.Duration `cbor:"5,keyasint,omitempty"`
}

// RateAuthority is the authority of a node over the rate limits of the replicas of a pool. Only
// a node with authority places jobs on limited replicas.
type RateAuthority struct {
	// Share is the fraction of each limit that the node may use; zero when it has no authority.
	Share float64
	// Since is when the node got the authority. Which requests were sent before is unknown.
	Since time.Time
}

// FullRateAuthority is the authority of a node that places all jobs.
func FullRateAuthority() RateAuthority { return RateAuthority{Share: 1} }
