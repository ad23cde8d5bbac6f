package fleet

import (
	"context"
	"time"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/events"
	"github.com/catkinspindle/catkinspindle/view"
)

// beatMessage is the heartbeat of a node to a hub. It carries the versions that the node has,
// so that the hub answers with what is newer.
type beatMessage struct {
	From          catkinspindle.Node     `cbor:"1,keyasint"`
	ConfigVersion int64                  `cbor:"2,keyasint"`
	ReplicasAt    catkinspindle.Position `cbor:"3,keyasint"`
	// LiveHash is the hash of the sender's list of live nodes. WantsLive requests changes to
	// it and is set only towards the coordinator, whose list is authoritative.
	LiveHash  uint64 `cbor:"4,keyasint"`
	WantsLive bool   `cbor:"5,keyasint,omitempty"`
	// Departures are the departures of replicas reported to the sender and not yet sent to
	// the hub. DeparturesSeen is the sender's position in the departure log of the hub's
	// incarnation Exchanged.
	Departures     []catkinspindle.Departure `cbor:"6,keyasint,omitempty"`
	DeparturesSeen uint64                    `cbor:"7,keyasint,omitempty"`
	Exchanged      int64                     `cbor:"8,keyasint,omitempty"`
	// Watches is true when the sender watches the store because all hubs have lost it.
	Watches bool `cbor:"9,keyasint,omitempty"`
}

func (m beatMessage) toHub(coordinates bool) beatMessage {
	m.WantsLive = coordinates
	return m
}

// news carries what is newer on a node than on the hub that receives it.
type news struct {
	Routing  *archive `cbor:"1,keyasint,omitempty"`
	Replicas *archive `cbor:"2,keyasint,omitempty"`
	From     string   `cbor:"4,keyasint"`
}

// beatAnswer is a hub's response to a heartbeat.
type beatAnswer struct {
	// Changes lead from the position in the heartbeat to ReplicasAt. If the hub no longer
	// has them, the node fetches the whole list.
	Changes       []view.Change          `cbor:"2,keyasint,omitempty"`
	ReplicasAt    catkinspindle.Position `cbor:"3,keyasint"`
	Live          *liveChange            `cbor:"4,keyasint,omitempty"`
	From          catkinspindle.Node     `cbor:"5,keyasint"`
	ConfigVersion int64                  `cbor:"6,keyasint"`
	// Known is true when Changes is complete.
	Known bool `cbor:"9,keyasint,omitempty"`
	// Blind is true when the hub does not watch the store or has lost it.
	Blind bool `cbor:"7,keyasint,omitempty"`
	// Departures are the entries of the hub's departure log from DeparturesSeen up to
	// DeparturesAt.
	Departures   []catkinspindle.Departure `cbor:"8,keyasint,omitempty"`
	DeparturesAt uint64                    `cbor:"10,keyasint,omitempty"`
	// Watchers counts the nodes that have recently reported to the hub that they watch the
	// store in place of the hubs.
	Watchers int `cbor:"11,keyasint,omitempty"`
	// Unregistered is true when the store does not list the node that sent the
	// heartbeat.
	Unregistered bool `cbor:"12,keyasint,omitempty"`
}

// beat sends a heartbeat to a hub, records the result and exchanges what either side lacks.
func (f *Fleet) beat(ctx context.Context, to catkinspindle.Node, m beatMessage) {
	told := f.addDepartures(to, &m)
	a, err := f.sendBeat(ctx, to, m)
	f.mu.Lock()
	known, ok := f.known[to.Name]
	if err != nil {
		if ok {
			known.watchers = 0
			if known.missed++; known.missed >= missedBeats {
				known.shunned = time.Now().Add(shun)
				known.missed = 0
			}
		}
		f.mu.Unlock()
		f.log.Debug("heartbeat failed", events.PeerUnreachable.Attr(), "node", to.Name, "error", err)
		return
	}
	if ok {
		known.missed = 0
		known.blind, known.watchers = a.Blind, a.Watchers
		fresh := known.answered.IsZero()
		known.answered = time.Now()
		if fresh {
			f.judge(known.answered, f.hubs(known.answered), false)
		}
		if a.From.Incarnation > known.Incarnation {
			f.replaced = append(f.replaced, known.Node)
			rank := known.Rank
			known.Node = a.From
			known.Rank = max(rank, a.From.Rank)
		}
		known.Leaving = known.Leaving || a.From.Leaving
		known.told, known.seen, known.exchanged = told, a.DeparturesAt, a.From.Incarnation
		if m.Exchanged != a.From.Incarnation {
			// The departures were sent relative to another incarnation's log: send all again.
			known.told = 0
		}
	}
	if a.Live != nil && to.Name == f.home.Name {
		f.adoptLive(*a.Live)
	}
	f.mu.Unlock()
	if a.Unregistered {
		f.registrationLost("hub", to.Name)
	}
	f.noteDepartures(a.Departures, to.Name)
	f.catchUp(ctx, to, a)
	f.tell(ctx, to, a)
}

// catchUp brings this node up to the hub's list of replicas and configuration, from the
// changes in the response or by a fetch.
func (f *Fleet) catchUp(ctx context.Context, hub catkinspindle.Node, a beatAnswer) {
	if a.Known {
		// Changes that another hub's response has already brought are applied again, which
		// is harmless.
		f.view.ChangeReplicas(a.Changes, a.ReplicasAt, time.Time{})
	}
	if a.ReplicasAt.After(f.view.State().ReplicasAt) {
		f.fetch(ctx, &f.fetchingReplicas, hub, replicasKind, f.adoptReplicas)
	}
	if a.ConfigVersion > f.view.State().Version() {
		f.fetch(ctx, &f.fetchingRouting, hub, routingKind, f.adoptRouting)
	}
}

func (f *Fleet) sendBeat(ctx context.Context, to catkinspindle.Node, m beatMessage) (a beatAnswer, err error) {
	ctx, cancel := context.WithTimeout(ctx, beatTimeout)
	defer cancel()
	err = f.peers.Call(ctx, to.PeerAddress, beatKind, m, &a)
	return a, err
}

// tell sends a hub the configuration or list of replicas if this node's is newer.
func (f *Fleet) tell(ctx context.Context, to catkinspindle.Node, a beatAnswer) {
	state := f.view.State()
	n := news{From: f.self.Name}
	if state.Version() > a.ConfigVersion {
		n.Routing = f.packed(f.routing())
	}
	if state.ReplicasAt.After(a.ReplicasAt) && len(state.Replicas) > 0 {
		n.Replicas = f.packed(f.replicas())
	}
	if n.Routing == nil && n.Replicas == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	if err := f.peers.Call(ctx, to.PeerAddress, newsKind, n, nil); err != nil {
		f.log.Debug("sending newer state to hub failed", events.PeerUnreachable.Attr(), "node", to.Name, "error", err)
	}
}

// packed returns p, or nil if compressing it failed.
func (f *Fleet) packed(p archive, err error) *archive {
	if err != nil {
		f.log.Error("encoding state for hub failed", events.PeerMalformed.Attr(), "error", err)
		return nil
	}
	return &p
}

// handleNews adopts newer state that another node has sent.
func (f *Fleet) handleNews(_ context.Context, decode func(any) error) (any, error) {
	var n news
	if err := decode(&n); err != nil {
		return nil, err
	}
	if n.Routing != nil {
		f.adoptRouting(*n.Routing, n.From)
	}
	if n.Replicas != nil {
		f.adoptReplicas(*n.Replicas, n.From)
	}
	return nil, nil
}

// answer handles a heartbeat.
func (f *Fleet) answer(_ context.Context, decode func(any) error) (any, error) {
	var m beatMessage
	if err := decode(&m); err != nil {
		return nil, err
	}
	f.noteDepartures(m.Departures, m.From.Name)
	state := f.view.State()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.learn(m.From)
	if known, ok := f.known[m.From.Name]; ok && m.From.Name != f.self.Name && m.From.Incarnation == known.Incarnation {
		known.lastBeat = time.Now()
		known.shunned = time.Time{}
		if m.Watches {
			known.watched = known.lastBeat
		}
	}
	a := beatAnswer{From: f.self, ReplicasAt: state.ReplicasAt, ConfigVersion: state.Version(), Blind: f.watching == nil || f.blind()}
	a.Unregistered = f.lacksRegistration(m.From)
	for _, n := range f.known {
		if time.Since(n.watched) < silence {
			a.Watchers++
		}
	}
	if m.WantsLive && m.LiveHash != f.live.hash {
		a.Live = f.liveSince(m.LiveHash)
	}
	seen := m.DeparturesSeen
	if m.Exchanged != f.self.Incarnation {
		seen = 0
	}
	a.Departures, a.DeparturesAt = f.view.Departures(seen, false)
	if state.ReplicasAt.After(m.ReplicasAt) {
		if changes, upTo, ok := f.view.Since(m.ReplicasAt); ok {
			a.Changes, a.ReplicasAt, a.Known = changes, upTo, true
		}
	}
	return a, nil
}

// addDepartures adds to a heartbeat the departures that have not been sent to the hub, and
// returns the position in this node's log that the hub has once it has received them.
func (f *Fleet) addDepartures(to catkinspindle.Node, m *beatMessage) (told uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if known, ok := f.known[to.Name]; ok {
		told, m.DeparturesSeen, m.Exchanged = known.told, known.seen, known.exchanged
	}
	m.Departures, told = f.view.Departures(told, true)
	return told
}

// noteDepartures marks replicas as leaving whose departures another node has sent.
func (f *Fleet) noteDepartures(list []catkinspindle.Departure, source string) {
	for _, d := range list {
		if f.view.Leave(d, false) {
			f.log.Info("replica leaves", events.ReplicaChanged.Attr(), "replica", d.ID, "born", d.Born, "source", source)
		}
	}
}
