package fleet

import (
	"context"
	"time"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/events"
)

type beatMessage struct {
	From             catkinspindle.Fellow `cbor:"1,keyasint"`
	ConfigVersion    int64                `cbor:"2,keyasint"`
	ReplicasRevision int64                `cbor:"3,keyasint"`
	// LiveHash is of the list that the hub sent last; it sends only changes.
	LiveHash uint64 `cbor:"4,keyasint"`
}

func (m beatMessage) withLiveHash(h uint64) beatMessage {
	m.LiveHash = h
	return m
}

// news is what a node knows and a hub does not.
type news struct {
	Routing          *catkinspindle.Routing           `cbor:"1,keyasint,omitempty"`
	Replicas         map[string]catkinspindle.Replica `cbor:"2,keyasint,omitempty"`
	ReplicasRevision int64                            `cbor:"3,keyasint"`
	From             string                           `cbor:"4,keyasint"`
	Wait             time.Duration                    `cbor:"5,keyasint,omitempty"`
}

type beatAnswer struct {
	Routing          *catkinspindle.Routing           `cbor:"1,keyasint,omitempty"`
	Replicas         map[string]catkinspindle.Replica `cbor:"2,keyasint,omitempty"`
	ReplicasRevision int64                            `cbor:"3,keyasint"`
	Live             []catkinspindle.Fellow           `cbor:"4,keyasint,omitempty"`
	LiveHash         uint64                           `cbor:"8,keyasint"`
	From             catkinspindle.Fellow             `cbor:"5,keyasint"`
	ConfigVersion    int64                            `cbor:"6,keyasint"`
	// Wait is how long replicas that Replicas lacks may still come back.
	Wait time.Duration `cbor:"9,keyasint,omitempty"`
	// Blind is true when the hub has lost the store.
	Blind bool `cbor:"7,keyasint,omitempty"`
}

func (f *Fleet) beat(ctx context.Context, to catkinspindle.Fellow, m beatMessage) {
	ctx, cancel := context.WithTimeout(ctx, beatTimeout)
	defer cancel()
	var a beatAnswer
	err := f.peers.Call(ctx, to.PeerAddress, beatKind, m, &a)
	f.mu.Lock()
	known, ok := f.known[to.Name]
	if err != nil {
		if ok {
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
		known.blind = a.Blind
		fresh := known.answered.IsZero()
		known.answered = time.Now()
		if fresh {
			f.judge(known.answered, f.hubs(known.answered), false)
		}
		if a.From.Incarnation > known.Incarnation {
			f.buried = append(f.buried, known.Fellow)
			rank := known.Rank
			known.Fellow = a.From
			known.Rank = max(rank, a.From.Rank)
		}
		known.Leaving = known.Leaving || a.From.Leaving
	}
	for _, n := range a.Live {
		f.learn(n)
	}
	if ok {
		if a.Live != nil {
			known.lastLive = a.Live
		}
		known.liveHash = a.LiveHash
		if to.Name == f.home.Name {
			f.setLive(known.lastLive)
		}
	}
	f.mu.Unlock()
	f.adopt(a)
	f.tell(ctx, to, a)
}

// tell tells a hub what it does not know yet.
func (f *Fleet) tell(ctx context.Context, to catkinspindle.Fellow, a beatAnswer) {
	state := f.view.State()
	n := news{From: f.self.Name, ReplicasRevision: state.ReplicasRevision}
	if state.Version() > a.ConfigVersion {
		r := state.Table.Routing()
		n.Routing = &r
	}
	if state.ReplicasRevision > a.ReplicasRevision && len(state.Replicas) > 0 {
		n.Replicas, n.ReplicasRevision, n.Wait = f.view.Confirmed()
	}
	if n.Routing == nil && n.Replicas == nil {
		return
	}
	if err := f.peers.Call(ctx, to.PeerAddress, newsKind, n, nil); err != nil {
		f.log.Debug("hub not told", events.PeerUnreachable.Attr(), "node", to.Name, "error", err)
	}
}

func (f *Fleet) hearNews(_ context.Context, decode func(any) error) (any, error) {
	var n news
	if err := decode(&n); err != nil {
		return nil, err
	}
	f.adopt(beatAnswer{Routing: n.Routing, Replicas: n.Replicas, ReplicasRevision: n.ReplicasRevision, Wait: n.Wait, From: catkinspindle.Fellow{Name: n.From}})
	return nil, nil
}

func (f *Fleet) adopt(a beatAnswer) {
	if a.Routing != nil && f.view.SetRouting(*a.Routing) {
		f.log.Info("configuration adopted", events.ConfigAdopted.Attr(), "version", a.Routing.Version, "source", a.From.Name)
	}
	if a.Replicas != nil {
		var mayReturn time.Time
		if a.Wait > 0 {
			mayReturn = time.Now().Add(a.Wait)
		}
		f.view.SetReplicas(a.Replicas, a.ReplicasRevision, mayReturn)
	}
}

// answer answers a heartbeat.
func (f *Fleet) answer(_ context.Context, decode func(any) error) (any, error) {
	var m beatMessage
	if err := decode(&m); err != nil {
		return nil, err
	}
	state := f.view.State()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.learn(m.From)
	if known, ok := f.known[m.From.Name]; ok && m.From.Name != f.self.Name && m.From.Incarnation == known.Incarnation {
		known.heard = time.Now()
		known.shunned = time.Time{}
	}
	a := beatAnswer{LiveHash: f.liveHash, From: f.self, ReplicasRevision: state.ReplicasRevision, ConfigVersion: state.Version(), Blind: f.watching == nil || f.blind()}
	if m.LiveHash != f.liveHash {
		a.Live = f.live
	}
	if state.Version() > m.ConfigVersion {
		r := state.Table.Routing()
		a.Routing = &r
	}
	if state.ReplicasRevision > m.ReplicasRevision {
		a.Replicas, a.ReplicasRevision, a.Wait = f.view.Confirmed()
	}
	return a, nil
}
