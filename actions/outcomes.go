package actions

import (
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/catkinspindle/catkinspindle"
)

// outcomes stores the outcome of each key by the epoch of its origin. An epoch is
// removed when origins of that epoch are no longer accepted.
type outcomes struct {
	mu      sync.Mutex
	byEpoch map[int64]map[outcomeKey]*outcome
}

type outcomeKey struct {
	workspace string
	key       string
}

// outcome is the result of a call. reply and err are set before done is closed.
type outcome struct {
	done chan struct{}
	// callHash is the fingerprint of the call, to detect a key that is reused for a different call.
	callHash uint64
	reply    catkinspindle.PlainReply
	err      error
}

func newOutcomes() *outcomes {
	return &outcomes{byEpoch: map[int64]map[outcomeKey]*outcome{}}
}

// begin returns the outcome of the key and whether the caller must run the call. A key
// that is repeated with another epoch refers to the same call. A key that was used for
// a different call is a conflict.
func (o *outcomes) begin(a catkinspindle.Action) (*outcome, bool, error) {
	call := fingerprint(a.Call)
	key := outcomeKey{workspace: a.Workspace, key: a.Call.Key}
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, byKey := range o.byEpoch {
		old, ok := byKey[key]
		if !ok {
			continue
		}
		if old.callHash != call {
			return nil, false, catkinspindle.Fail(catkinspindle.NotRun, catkinspindle.ReasonConflict, "idempotency key %q was used for a different call", a.Call.Key)
		}
		return old, false, nil
	}
	if o.byEpoch[a.Origin.Epoch] == nil {
		o.byEpoch[a.Origin.Epoch] = map[outcomeKey]*outcome{}
	}
	fresh := &outcome{done: make(chan struct{}), callHash: call}
	o.byEpoch[a.Origin.Epoch][key] = fresh
	return fresh, true, nil
}

// end sets the outcome. A key whose call was not run is removed, so that a repeated
// call runs.
func (o *outcomes) end(a catkinspindle.Action, out *outcome, reply catkinspindle.PlainReply, err error) {
	out.reply, out.err = reply, err
	if err != nil && catkinspindle.AsFailure(err).Verdict == catkinspindle.NotRun {
		o.mu.Lock()
		delete(o.byEpoch[a.Origin.Epoch], outcomeKey{workspace: a.Workspace, key: a.Call.Key})
		o.mu.Unlock()
	}
	close(out.done)
}

// removeBefore removes the epochs before minEpoch.
func (o *outcomes) removeBefore(minEpoch int64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for epoch := range o.byEpoch {
		if epoch < minEpoch {
			delete(o.byEpoch, epoch)
		}
	}
}

// fingerprint returns a hash of the call's service, method and body.
func fingerprint(c catkinspindle.PlainCall) uint64 {
	d := xxhash.New()
	for _, part := range []string{c.Service, "\x00", c.Method, "\x00"} {
		_, _ = d.WriteString(part)
	}
	_, _ = d.Write(c.Body)
	return d.Sum64()
}
