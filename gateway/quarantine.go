package gateway

import (
	"context"
	"errors"
	"io"
	"syscall"
	"time"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/events"
	"github.com/catkinspindle/catkinspindle/quarantine"
)

// harmlessEvents is the number of events of one attempt from which the replica has survived the
// begin of its answer.
const harmlessEvents = 2

// WithQuarantine sets the table of the requests that crash replicas. trial reports whether a
// request with a held key may be sent despite the hold, to see whether it still does harm.
func WithQuarantine(t *quarantine.Table, trial func(context.Context, catkinspindle.RequestKey) bool) Option {
	return func(g *Gateway) { g.quarantine, g.allowTrial = t, trial }
}

// requestKeys returns the keys under which crashes of replicas are recorded, from the one that
// most requests share to the most specific one.
func (x *exchange) requestKeys() []catkinspindle.RequestKey {
	keys := make([]catkinspindle.RequestKey, 0, len(x.envelope.SharedParts)+1)
	for _, part := range x.envelope.SharedParts {
		keys = append(keys, catkinspindle.PartKey(part))
	}
	return append(keys, catkinspindle.WholeRequestKey(x.envelope, x.workspace))
}

// checkTrial makes the request a trial if one of its keys is held and a trial is due.
func (x *exchange) checkTrial(ctx context.Context) {
	g := x.gateway
	key, held := g.quarantine.Held(time.Now(), x.keys)
	x.isTrial = held && g.quarantine.TrialDue(time.Now(), key) && g.allowTrial(ctx, key)
}

// heldFailure returns a failure if a key of the request is held. It has no Retry-After: a
// retry would be refused as well.
func (x *exchange) heldFailure() *catkinspindle.Failure {
	key, held := x.gateway.quarantine.Held(time.Now(), x.keys)
	if !held || (x.isTrial && x.arrivals() == 0) {
		return nil
	}
	return catkinspindle.Fail(x.verdict, catkinspindle.ReasonQuarantined, "replicas have crashed under requests with the key %s", key)
}

// recordBegun records that an answer to the request has begun without harm to its replica.
func (x *exchange) recordBegun() { x.gateway.quarantine.Begun(time.Now(), x.keys) }

// connectionBroke reports whether err means that the peer closed or reset the connection.
func connectionBroke(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// recordCrash records the keys of the request as suspects if r, whose connection broke at that
// time, has crashed.
func (x *exchange) recordCrash(at time.Time, r catkinspindle.Replica, p probeResult) {
	g := x.gateway
	if !g.hasCrashed(r, p) {
		return
	}
	g.log.Info("replica crashed under a request", events.ReplicaCrashed.Attr(), "request", x.envelope.ID, "replica", r.ID, "born", r.Incarnation, "parts", x.envelope.SharedParts, "key", x.keys[len(x.keys)-1].String())
	g.quarantine.Crashed(time.Now(), at, r, x.keys)
}

// hasCrashed reports whether r, whose connection broke, has crashed: it has a later incarnation,
// or refuses connections, also those of another node, without having announced that it leaves.
func (g *Gateway) hasCrashed(r catkinspindle.Replica, p probeResult) bool {
	listed, ok := g.view.State().Replicas[r.ID]
	switch {
	case !ok || (listed.SameIncarnation(r) && listed.Leaving):
		return false
	case !listed.SameIncarnation(r):
		return listed.Incarnation > r.Incarnation
	}
	return p.refused
}
