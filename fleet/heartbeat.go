package fleet

import (
	"context"
	"time"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/events"
	"github.com/catkinspindle/catkinspindle/view"
)

// heartbeatRequest is the heartbeat of a node to a hub. It carries the versions that the
// node has, so that the hub responds with what is newer.
type heartbeatRequest struct {
	From          catkinspindle.Node     `cbor:"1,keyasint"`
	ConfigVersion int64                  `cbor:"2,keyasint"`
	ReplicasAt    catkinspindle.Position `cbor:"3,keyasint"`
	// LiveHash is the hash of the sender's list of live nodes. WantsLive requests changes to
	// it and is set only towards the coordinator, whose list is authoritative.
	LiveHash  uint64 `cbor:"4,keyasint"`
	WantsLive bool   `cbor:"5,keyasint,omitempty"`
	// Departures are the departures of replicas reported to the sender and not yet sent to
	// the hub. DeparturesSince is the sender's position in the departure log of the hub's
	// incarnation HubIncarnation.
	Departures      []catkinspindle.Departure `cbor:"6,keyasint,omitempty"`
	DeparturesSince uint64                    `cbor:"7,keyasint,omitempty"`
	HubIncarnation  int64                     `cbor:"8,keyasint,omitempty"`
	// SubstituteWatcher is true when the sender watches the store because all hubs have lost it.
	SubstituteWatcher bool `cbor:"9,keyasint,omitempty"`
	// RateLimits and RateLimitsSince are the same as Departures and DeparturesSince for the
	// rate limits of replicas.
	RateLimits      []catkinspindle.RateLimitReport `cbor:"10,keyasint,omitempty"`
	RateLimitsSince uint64                          `cbor:"11,keyasint,omitempty"`
	// Quarantine and QuarantineSince are the same for the requests that crash replicas.
	Quarantine      *catkinspindle.QuarantineReport `cbor:"12,keyasint,omitempty"`
	QuarantineSince uint64                          `cbor:"13,keyasint,omitempty"`
	// EvacuationsAt is the position of the evacuations that the sender knows.
	EvacuationsAt catkinspindle.Position `cbor:"14,keyasint,omitzero"`
	// ReplicasHash is the hash of the sender's list of replicas if it was read from the store without
	// a position, otherwise zero.
	ReplicasHash uint64 `cbor:"15,keyasint,omitempty"`
	// SkipChanges is true when the sender gets the changes of replicas from another hub.
	SkipChanges bool `cbor:"16,keyasint,omitempty"`
	// WantsHandover requests the whole list of live nodes, for a hub that has no recent one.
	WantsHandover bool `cbor:"17,keyasint,omitempty"`
}

func (m heartbeatRequest) forHub(isCoordinator, skipChanges bool) heartbeatRequest {
	m.WantsLive, m.SkipChanges = isCoordinator, skipChanges
	return m
}

// stateUpdate carries what is newer on a node than on the hub that receives it.
type stateUpdate struct {
	Routing  *snapshot `cbor:"1,keyasint,omitempty"`
	Replicas *snapshot `cbor:"2,keyasint,omitempty"`
	From     string    `cbor:"4,keyasint"`
	// Evacuations are the evacuated data centres.
	Evacuations *catkinspindle.Evacuations `cbor:"5,keyasint,omitempty"`
}

// heartbeatResponse is a hub's response to a heartbeat.
type heartbeatResponse struct {
	// Changes lead from the position in the heartbeat to ReplicasAt. If the hub no longer
	// has them, the node fetches the whole list.
	Changes       []view.Change          `cbor:"2,keyasint,omitempty"`
	ReplicasAt    catkinspindle.Position `cbor:"3,keyasint"`
	Live          *liveChange            `cbor:"4,keyasint,omitempty"`
	From          catkinspindle.Node     `cbor:"5,keyasint"`
	ConfigVersion int64                  `cbor:"6,keyasint"`
	// ChangesComplete is true when Changes is complete.
	ChangesComplete bool `cbor:"9,keyasint,omitempty"`
	// StoreLost is true when the hub does not watch the store or has lost it.
	StoreLost bool `cbor:"7,keyasint,omitempty"`
	// Departures are the entries of the hub's departure log from the position in the
	// heartbeat up to DeparturesAt.
	Departures   []catkinspindle.Departure `cbor:"8,keyasint,omitempty"`
	DeparturesAt uint64                    `cbor:"10,keyasint,omitempty"`
	// SubstituteWatchers counts the nodes that have recently reported to the hub that they
	// watch the store in place of the hubs.
	SubstituteWatchers int `cbor:"11,keyasint,omitempty"`
	// Unregistered is true when the store does not list the node that sent the
	// heartbeat.
	Unregistered bool `cbor:"12,keyasint,omitempty"`
	// RateLimits are the rate limits that have changed since the position in the heartbeat,
	// up to RateLimitsAt.
	RateLimits   []catkinspindle.RateLimitReport `cbor:"13,keyasint,omitempty"`
	RateLimitsAt uint64                          `cbor:"14,keyasint,omitempty"`
	// Quarantine is the same for the requests that crash replicas.
	Quarantine   *catkinspindle.QuarantineReport `cbor:"15,keyasint,omitempty"`
	QuarantineAt uint64                          `cbor:"16,keyasint,omitempty"`
	// EvacuationsAt is the position of the evacuations that the hub knows, Evacuations those if they
	// are newer than the sender's.
	EvacuationsAt catkinspindle.Position     `cbor:"17,keyasint,omitzero"`
	Evacuations   *catkinspindle.Evacuations `cbor:"18,keyasint,omitempty"`
	// SameReplicas is true when the list with the hash in the heartbeat is the hub's list at
	// ReplicasAt. Removed is then what a snapshot of that list has.
	SameReplicas bool                      `cbor:"19,keyasint,omitempty"`
	Removed      []catkinspindle.Departure `cbor:"20,keyasint,omitempty"`
	// Handover is the hub's list of live nodes if the heartbeat has requested it.
	Handover *handover `cbor:"21,keyasint,omitempty"`
	// MemberCount is the number of members that the hub knows.
	MemberCount int `cbor:"22,keyasint,omitempty"`
}

// Wake sends the next heartbeat at once.
func (f *Fleet) Wake() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// exchangeHeartbeat sends a heartbeat to a hub, records the result and exchanges what either
// side lacks.
func (f *Fleet) exchangeHeartbeat(ctx context.Context, to catkinspindle.Node, m heartbeatRequest) {
	sent := f.addReplicaStates(to, &m)
	a, err := f.sendHeartbeat(ctx, to, m)
	f.mu.Lock()
	peer, ok := f.members[to.Name]
	if err != nil {
		if ok {
			peer.substituteWatchers = 0
			if peer.missedHeartbeats++; peer.missedHeartbeats >= maxMissedHeartbeats {
				doublings := 0
				if !f.live.contains(to.Name) {
					doublings = peer.cooldowns
				}
				peer.startCooldown(time.Now(), doublings)
			}
		}
		f.mu.Unlock()
		f.log.Debug("heartbeat failed", events.PeerUnreachable.Attr(), "node", to.Name, "error", err)
		return
	}
	if ok {
		peer.endSilence()
		peer.storeLost, peer.substituteWatchers = a.StoreLost, a.SubstituteWatchers
		firstResponse := peer.lastResponse.IsZero()
		peer.lastResponse = time.Now()
		if firstResponse {
			f.updateHubs(peer.lastResponse)
		}
		if a.From.Incarnation > peer.Incarnation {
			f.replaced = append(f.replaced, peer.Node)
			revision := peer.RegistrationRevision
			peer.Node = a.From
			peer.RegistrationRevision = max(revision, a.From.RegistrationRevision)
		}
		peer.Leaving = peer.Leaving || a.From.Leaving
		peer.sent, peer.statesIncarnation = sent, a.From.Incarnation
		peer.received = positions{a.DeparturesAt, a.RateLimitsAt, a.QuarantineAt}
		if m.HubIncarnation != a.From.Incarnation {
			// Earlier states went to another incarnation of the hub: send all again.
			peer.sent = positions{}
		}
	}
	f.endIsolation(time.Now())
	if a.Handover != nil {
		f.adoptHandover(time.Now(), *a.Handover, to.Name)
	}
	if to.Name == f.coordinator.Name {
		f.reportedMembers = a.MemberCount
		if a.Live != nil {
			f.adoptLive(*a.Live)
		}
	}
	f.mu.Unlock()
	if a.Unregistered {
		f.registerAgain("hub", to.Name)
	}
	f.recordDepartures(a.Departures, to.Name)
	f.recordRateLimits(a.RateLimits, to.Name)
	f.recordQuarantine(a.Quarantine)
	f.recordEvacuations(a.Evacuations, to.Name)
	f.catchUp(ctx, to, m, a)
	f.pushState(ctx, to, a)
}

// catchUp brings this node up to the hub's list of replicas and configuration, from the
// changes in the response or by a fetch.
func (f *Fleet) catchUp(ctx context.Context, hub catkinspindle.Node, m heartbeatRequest, a heartbeatResponse) {
	if a.SameReplicas {
		f.confirmReplicas(m, a)
	}
	if a.ChangesComplete {
		// Changes that another hub's response has already brought are applied again, which
		// is harmless.
		f.view.ChangeReplicas(a.Changes, a.ReplicasAt, time.Time{})
	}
	if at := f.view.State().ReplicasAt; a.ReplicasAt.After(at) && f.mustFetch(at, a.ReplicasAt) {
		f.fetch(ctx, &f.fetchingReplicas, hub, replicasKind, f.adoptReplicas)
	}
	// A node without replicas refuses the requests for which its configuration has routes.
	lacksReplicas := f.view.State().ReplicasAt == catkinspindle.Position{} && a.ReplicasAt != catkinspindle.Position{}
	if a.ConfigVersion > f.view.State().Version() && !lacksReplicas {
		f.fetch(ctx, &f.fetchingRouting, hub, routingKind, f.adoptRouting)
	}
}

func (f *Fleet) sendHeartbeat(ctx context.Context, to catkinspindle.Node, m heartbeatRequest) (a heartbeatResponse, err error) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	err = f.peers.Call(ctx, to.PeerAddress, heartbeatKind, m, &a)
	return a, err
}

// pushState sends a hub the configuration or list of replicas if this node's is newer.
func (f *Fleet) pushState(ctx context.Context, to catkinspindle.Node, response heartbeatResponse) {
	state := f.view.State()
	update := stateUpdate{From: f.self.Name}
	if state.Version() > response.ConfigVersion {
		update.Routing = f.snapshotOrNil(f.routing())
	}
	if state.ReplicasAt.After(response.ReplicasAt) && len(state.Replicas) > 0 {
		update.Replicas = f.snapshotOrNil(f.replicas())
	}
	// Nodes of earlier versions never state the position.
	stated := response.EvacuationsAt != catkinspindle.Position{}
	if (stated || len(state.Evacuations.DataCentres) > 0) && state.Evacuations.At.After(response.EvacuationsAt) {
		update.Evacuations = &state.Evacuations
	}
	if update.Routing == nil && update.Replicas == nil && update.Evacuations == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	if err := f.peers.Call(ctx, to.PeerAddress, stateUpdateKind, update, nil); err != nil {
		f.log.Debug("sending newer state to hub failed", events.PeerUnreachable.Attr(), "node", to.Name, "error", err)
	}
}

// snapshotOrNil returns p, or nil if compressing it failed.
func (f *Fleet) snapshotOrNil(p snapshot, err error) *snapshot {
	if err != nil {
		f.log.Error("encoding state for hub failed", events.PeerMalformed.Attr(), "error", err)
		return nil
	}
	return &p
}

// handleStateUpdate adopts newer state that another node has sent.
func (f *Fleet) handleStateUpdate(_ context.Context, decode func(any) error) (any, error) {
	var update stateUpdate
	if err := decode(&update); err != nil {
		return nil, err
	}
	if update.Routing != nil {
		f.adoptRouting(*update.Routing, update.From)
	}
	if update.Replicas != nil {
		f.adoptReplicas(*update.Replicas, update.From)
	}
	f.recordEvacuations(update.Evacuations, update.From)
	return nil, nil
}

// handleHeartbeat handles a heartbeat.
func (f *Fleet) handleHeartbeat(_ context.Context, decode func(any) error) (any, error) {
	var m heartbeatRequest
	if err := decode(&m); err != nil {
		return nil, err
	}
	f.recordDepartures(m.Departures, m.From.Name)
	f.recordRateLimits(m.RateLimits, m.From.Name)
	f.recordQuarantine(m.Quarantine)
	state := f.view.State()
	removed, sameReplicas := f.sameReplicas(state.ReplicasAt, m.ReplicasHash)
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	f.updateMember(m.From, now.Add(livenessTimeout))
	f.endIsolation(now)
	if peer, ok := f.members[m.From.Name]; ok && m.From.Name != f.self.Name && m.From.Incarnation == peer.Incarnation {
		peer.lastHeartbeat = now
		peer.reregistrations = 0
		peer.PathsLost = m.From.PathsLost
		peer.endSilence()
		if m.WantsLive {
			peer.followedAt = peer.lastHeartbeat
		} else {
			peer.followedAt = time.Time{}
		}
		if m.SubstituteWatcher {
			peer.lastWatchReport = peer.lastHeartbeat
		}
	}
	a := heartbeatResponse{From: f.self, ReplicasAt: state.ReplicasAt, ConfigVersion: state.Version(), StoreLost: f.stopWatch == nil || f.storeLost(), MemberCount: len(f.members)}
	a.EvacuationsAt = state.Evacuations.At
	if state.Evacuations.At.After(m.EvacuationsAt) {
		a.Evacuations = &state.Evacuations
	}
	a.Unregistered = f.lacksRegistration(m.From)
	for _, n := range f.members {
		if time.Since(n.lastWatchReport) < livenessTimeout {
			a.SubstituteWatchers++
		}
	}
	if m.WantsLive && m.LiveHash != f.live.hash && len(f.live.nodes) > 0 && !f.awaitsHandover(now) {
		a.Live = f.liveSince(m.LiveHash)
	}
	if m.WantsHandover && !f.receivingSince.IsZero() && !f.awaitsHandover(now) {
		a.Handover = f.handover(now)
	}
	if m.HubIncarnation != f.self.Incarnation {
		m.DeparturesSince, m.RateLimitsSince, m.QuarantineSince = 0, 0, 0
	}
	a.Departures, a.DeparturesAt = f.view.Departures(m.DeparturesSince, false)
	a.RateLimits, a.RateLimitsAt = f.rateLimits.Since(time.Now(), m.RateLimitsSince, false)
	a.Quarantine, a.QuarantineAt = f.quarantineSince(m.QuarantineSince, false)
	a.Removed, a.SameReplicas = removed, sameReplicas
	if state.ReplicasAt.After(m.ReplicasAt) && !sameReplicas && !m.SkipChanges {
		if changes, upTo, ok := f.view.Since(m.ReplicasAt); ok {
			a.Changes, a.ReplicasAt, a.ChangesComplete = changes, upTo, true
		}
	}
	return a, nil
}

// addReplicaStates adds to a heartbeat the departures, rate limits and quarantine records that
// have not been sent to the hub. It returns the positions up to which the hub has them once it
// has received those.
func (f *Fleet) addReplicaStates(to catkinspindle.Node, m *heartbeatRequest) positions {
	f.mu.Lock()
	defer f.mu.Unlock()
	var sent positions
	if peer, ok := f.members[to.Name]; ok {
		sent, m.HubIncarnation = peer.sent, peer.statesIncarnation
		m.DeparturesSince, m.RateLimitsSince, m.QuarantineSince = peer.received.departures, peer.received.rateLimits, peer.received.quarantine
	}
	m.Departures, sent.departures = f.view.Departures(sent.departures, true)
	m.RateLimits, sent.rateLimits = f.rateLimits.Since(time.Now(), sent.rateLimits, true)
	m.Quarantine, sent.quarantine = f.quarantineSince(sent.quarantine, true)
	return sent
}

// recordEvacuations adopts the evacuations that another node has sent, if any.
func (f *Fleet) recordEvacuations(e *catkinspindle.Evacuations, source string) {
	if e != nil && f.view.SetEvacuations(catkinspindle.NewEvacuations(e.At, e.DataCentres...)) {
		f.log.Info("evacuated data centres changed", events.EvacuationChanged.Attr(), "data-centres", e.DataCentres, "position", e.At, "source", source)
	}
}

// recordDepartures marks replicas as leaving whose departures another node has sent.
func (f *Fleet) recordDepartures(list []catkinspindle.Departure, source string) {
	for _, d := range list {
		if f.view.AddDeparture(d, false) {
			f.log.Info("replica leaves", events.ReplicaChanged.Attr(), "replica", d.ID, "born", d.Incarnation, "source", source)
		}
	}
}
