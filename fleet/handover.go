package fleet

import (
	"time"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/events"
)

// handover is a hub's list of live nodes for a hub that has no recent one. A registration in the
// store does not show that a node is alive; without the list the receiver would have to assume it.
type handover struct {
	Live []catkinspindle.Node `cbor:"1,keyasint"`
	// Unheard has the nodes in Live that the sender has not heard from itself, with the remaining
	// time for which it assumes that they are alive. The receiver must not extend it.
	Unheard map[string]time.Duration `cbor:"2,keyasint,omitempty"`
}

// awaitsHandover reports whether this node needs the list of another hub and waits for it.
// Meanwhile it gives no list to other nodes.
func (f *Fleet) awaitsHandover(now time.Time) bool {
	return !f.lacksListSince.IsZero() && now.Sub(f.lacksListSince) < firstResponseTimeout
}

// unconfirmedUntil returns the time until which a registration alone counts as a sign of life. It
// is in the past once this node has received a list of live nodes.
func (f *Fleet) unconfirmedUntil() time.Time {
	if f.lacksListSince.IsZero() || f.lacksListSince != f.started {
		return time.Time{}
	}
	return f.started.Add(unconfirmedTimeout)
}

// handover returns this node's list of live nodes.
func (f *Fleet) handover(now time.Time) *handover {
	h := &handover{Live: f.live.nodes, Unheard: map[string]time.Duration{}}
	for _, n := range f.live.nodes {
		if m, ok := f.members[n.Name]; ok && n.Name != f.self.Name && !m.heardSince(now.Add(-livenessTimeout)) {
			h.Unheard[n.Name] = max(0, m.presumedAliveUntil.Sub(now))
		}
	}
	return h
}

// adoptHandover takes over another hub's list of live nodes if this node needs one. The nodes in it
// have firstHeartbeatTimeout to send a heartbeat to this node; others are alive only if this node
// has heard from them itself.
func (f *Fleet) adoptHandover(now time.Time, h handover, source string) {
	if f.lacksListSince.IsZero() || len(h.Live) == 0 {
		return
	}
	f.log.Info("list of live nodes taken over", events.HubChanged.Attr(), "source", source, "nodes", len(h.Live), "unheard", len(h.Unheard))
	listed := make(map[string]bool, len(h.Live))
	for _, n := range h.Live {
		listed[n.Name] = true
		f.updateMember(n, now)
		limit := firstHeartbeatTimeout
		if remaining, ok := h.Unheard[n.Name]; ok {
			limit = min(limit, remaining)
		}
		f.members[n.Name].presumedAliveUntil = now.Add(limit)
	}
	for name, n := range f.members {
		if listed[name] {
			continue
		}
		n.presumedAliveUntil = time.Time{}
		if n.lastHeartbeat.Before(f.lacksListSince) {
			n.lastHeartbeat = time.Time{}
		}
		if n.lastResponse.Before(f.lacksListSince) {
			n.lastResponse = time.Time{}
		}
	}
	f.lacksListSince, f.receivingSince = time.Time{}, now
	f.updateHubs(now)
}

// endIsolation requests a list of live nodes when this node hears from another one again after it
// has heard from none: it has missed who is alive.
func (f *Fleet) endIsolation(now time.Time) {
	if f.isolated {
		f.isolated, f.lacksListSince = false, now
	}
}
