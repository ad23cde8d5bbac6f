package catkinspindle

import (
	"crypto/sha256"
	"encoding/hex"
	"io"
	"time"
)

// RequestKey identifies something that requests have in common and that may crash the replicas
// that run them. It is the same on all nodes.
type RequestKey [16]byte

// PartKey returns the key of a part of a prompt.
func PartKey(part string) RequestKey { return newRequestKey("part", part) }

// WholeRequestKey returns the key of a request that its caller, the workspace, may repeat.
func WholeRequestKey(e Envelope, workspace string) RequestKey {
	return newRequestKey("request", []byte(e.Method), []byte(e.Host), []byte(e.Target), []byte(workspace), e.Body)
}

// newRequestKey hashes values under a kind, so that no value can be chosen to get the key of
// another one.
func newRequestKey[V string | []byte](kind string, values ...V) RequestKey {
	h := sha256.New()
	_, _ = io.WriteString(h, kind) // Writes to a hash do not fail.
	for _, v := range values {
		sum := sha256.Sum256([]byte(v))
		_, _ = h.Write(sum[:])
	}
	return RequestKey(h.Sum(nil)[:len(RequestKey{})])
}

// String returns the key in hexadecimal.
func (k RequestKey) String() string { return hex.EncodeToString(k[:]) }

// Suspect is a key of a request under which a replica has crashed.
type Suspect struct {
	Key RequestKey `cbor:"1,keyasint"`
	// Depth is the position of the key among those of its request, which are ordered from the
	// one that most requests share to the most specific one.
	Depth int `cbor:"2,keyasint,omitempty"`
}

// CrashReport names the suspects of the crash of a replica: the keys of requests that it was
// running and whose answers had not begun.
type CrashReport struct {
	Replica     string    `cbor:"1,keyasint"`
	Incarnation int64     `cbor:"2,keyasint"`
	Suspects    []Suspect `cbor:"3,keyasint"`
	// Age is the time since the crash.
	Age time.Duration `cbor:"4,keyasint,omitempty"`
}

// BegunReport clears a suspect: an answer to a request with the key has begun.
type BegunReport struct {
	Key RequestKey `cbor:"1,keyasint"`
	// Age is the time since an answer last began.
	Age time.Duration `cbor:"2,keyasint,omitempty"`
}

// HoldReport is a key whose requests are not sent to replicas.
type HoldReport struct {
	Key RequestKey `cbor:"1,keyasint"`
	// FirstCrash is the time since the first crash under the key, Age the time since the hold
	// began, LastSeen the time since a request with the key was last refused.
	FirstCrash time.Duration `cbor:"2,keyasint,omitempty"`
	Age        time.Duration `cbor:"3,keyasint,omitempty"`
	LastSeen   time.Duration `cbor:"4,keyasint,omitempty"`
	// Trials counts the requests that were sent despite the hold, the last one LastTrial ago.
	Trials    int           `cbor:"5,keyasint,omitempty"`
	LastTrial time.Duration `cbor:"6,keyasint,omitempty"`
}

// QuarantineReport is what a node tells another one about requests that crash replicas.
type QuarantineReport struct {
	Crashes []CrashReport `cbor:"1,keyasint,omitempty"`
	Begun   []BegunReport `cbor:"2,keyasint,omitempty"`
	Holds   []HoldReport  `cbor:"3,keyasint,omitempty"`
}

// Empty reports whether r reports nothing.
func (r QuarantineReport) Empty() bool { return len(r.Crashes)+len(r.Begun)+len(r.Holds) == 0 }
