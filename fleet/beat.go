package fleet

import (
	"context"
	"time"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/events"
	"github.com/catkinspindle/catkinspindle/view"
)

type beatMessage struct {
	From          catkinspindle.Node     `cbor:"1,keyasint"`
	ConfigVersion int64                  `cbor:"2,keyasint"`
	ReplicasAt    catkinspindle.Position `cbor:"3,keyasint"`
	// LiveHash is of the list of live nodes that this node has, and WantsLive true
	// when the hub is the coordinator: only its list counts.
	LiveHash  uint64 `cbor:"4,keyasint"`
	WantsLive bool   `cbor:"5,keyasint,omitempty"`
	// Departures are those that replicas have told this node and the hub does not
	// know; DeparturesSeen is this node's position in the log of the hub's incarnation
	// Exchanged.
	Departures     []catkinspindle.Departure `cbor:"6,keyasint,omitempty"`
	DeparturesSeen uint64                    `cbor:"7,keyasint,omitempty"`
	Exchanged      int64                     `cbor:"8,keyasint,omitempty"`
	// Watches is true when the node follows the store in place of the hubs.
	Watches bool `cbor:"9,keyasint,omitempty"`
}

func (m beatMessage) toHub(coordinates bool) beatMessage {
	m.WantsLive = coordinates
	return m
}

// news is what a node knows and a hub does not.
type news struct {
	Routing  *archive `cbor:"1,keyasint,omitempty"`
	Replicas *archive `cbor:"2,keyasint,omitempty"`
	From     string   `cbor:"4,keyasint"`
}

type beatAnswer struct {
	// Changes lead from the position in the heartbeat to ReplicasAt. When the hub does
	// not know them any more the node fetches the whole list.
	Changes       []view.Change          `cbor:"2,keyasint,omitempty"`
	ReplicasAt    catkinspindle.Position `cbor:"3,keyasint"`
	Live          *liveChange            `cbor:"4,keyasint,omitempty"`
	From          catkinspindle.Node     `cbor:"5,keyasint"`
	ConfigVersion int64                  `cbor:"6,keyasint"`
	// Known is true when Changes are complete.
	Known bool `cbor:"9,keyasint,omitempty"`
	// Blind is true when the hub has lost the store.
	Blind bool `cbor:"7,keyasint,omitempty"`
	// Departures lead this node's knowledge of the hub's log to DeparturesAt.
	Departures   []catkinspindle.Departure `cbor:"8,keyasint,omitempty"`
	DeparturesAt uint64                    `cbor:"10,keyasint,omitempty"`
	// Watchers is how many nodes have told the hub that they watch in place of the hubs.
	Watchers int `cbor:"11,keyasint,omitempty"`
	// Unregistered is true when the store does not list the node that sent the
	// heartbeat.
	Unregistered bool `cbor:"12,keyasint,omitempty"`
}

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
			// What was told before has gone to another incarnation.
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

// catchUp adopts what a hub knows and this node does not.
func (f *Fleet) catchUp(ctx context.Context, hub catkinspindle.Node, a beatAnswer) {
	if a.Known {
		// What another hub's answer has brought meanwhile is applied again.
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

// tell tells a hub what it does not know yet.
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
		f.log.Debug("hub not told", events.PeerUnreachable.Attr(), "node", to.Name, "error", err)
	}
}

// packed returns what could be packed, or nil.
func (f *Fleet) packed(p archive, err error) *archive {
	if err != nil {
		f.log.Error("what a hub lacks cannot be packed", events.PeerMalformed.Attr(), "error", err)
		return nil
	}
	return &p
}

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

// answer answers a heartbeat.
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

// addDepartures adds to a heartbeat what the hub does not know of the replicas that
// leave, and returns the position in this node's log that the hub has then.
func (f *Fleet) addDepartures(to catkinspindle.Node, m *beatMessage) (told uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if known, ok := f.known[to.Name]; ok {
		told, m.DeparturesSeen, m.Exchanged = known.told, known.seen, known.exchanged
	}
	m.Departures, told = f.view.Departures(told, true)
	return told
}

// noteDepartures notes which replicas have told another node that they leave.
func (f *Fleet) noteDepartures(list []catkinspindle.Departure, source string) {
	for _, d := range list {
		if f.view.Leave(d, false) {
			f.log.Info("replica leaves", events.ReplicaChanged.Attr(), "replica", d.ID, "born", d.Born, "source", source)
		}
	}
}
