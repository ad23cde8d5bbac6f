// Package gossip reconciles the membership table with those of other VMs. An exchange
// begins with a digest of heartbeat counters; each side then sends only the entries that
// are newer than the other's (Scuttlebutt, van Renesse et al., 2008).
package gossip

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/control"
	"github.com/catkinspindle/catkinspindle/events"
)

// The message kinds of an exchange.
const (
	kindGossip = "gossip"
	kindPush   = "gossip-push"
)

const (
	// fanout is the number of random peers to exchange tables with in each heartbeat.
	fanout = 2
	// seedEvery is the number of heartbeats between exchanges with a seed. After a
	// network partition has healed, these exchanges join its sides again.
	seedEvery = 4
)

// Gossip is the service that exchanges membership tables with peers.
type Gossip struct {
	control *control.Control
	peers   catkinspindle.Peers
	seeds   []string
	pull    func(address string)
	timing  catkinspindle.Timing
	log     *slog.Logger
	group   *errgroup.Group
	ctx     context.Context
	cancel  context.CancelFunc
}

// digest is the request that begins an exchange.
type digest struct {
	Beats []catkinspindle.MemberBeat  `cbor:"1,keyasint"`
	Marks []catkinspindle.LeavingMark `cbor:"2,keyasint,omitempty"`
}

// entries carries the table entries that the receiver lacks.
type entries struct {
	Members []catkinspindle.Member      `cbor:"1,keyasint"`
	Marks   []catkinspindle.LeavingMark `cbor:"2,keyasint,omitempty"`
	// Beats are the newest heartbeats that the responding side knows.
	Beats []catkinspindle.MemberBeat `cbor:"3,keyasint,omitempty"`
}

// New returns the service and registers its message handlers with peers. pull fetches the
// configuration of a peer whose version is newer.
func New(c *control.Control, peers catkinspindle.Peers, seeds []string, pull func(address string), timing catkinspindle.Timing, log *slog.Logger) *Gossip {
	g := &Gossip{
		control: c,
		peers:   peers,
		seeds:   seeds,
		pull:    pull,
		timing:  timing,
		log:     log,
		group:   &errgroup.Group{},
	}
	g.ctx, g.cancel = context.WithCancel(context.Background())
	peers.Handle(kindGossip, g.handle)
	peers.Handle(kindPush, g.handlePush)
	return g
}

// Start implements catkinspindle.Service.
func (g *Gossip) Start(context.Context) error {
	g.group.Go(func() error {
		g.run()
		return nil
	})
	return nil
}

// Stop implements catkinspindle.Service.
func (g *Gossip) Stop(context.Context) error {
	g.cancel()
	return g.group.Wait()
}

func (g *Gossip) run() {
	ticker := time.NewTicker(g.timing.Heartbeat)
	defer ticker.Stop()
	for round := 0; ; round++ {
		for _, address := range g.targets(round) {
			g.send(address)
		}
		select {
		case <-g.ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// targets returns up to fanout random live peers. In every seedEvery-th round, or when no
// other member is live, it adds a random seed.
func (g *Gossip) targets(round int) []string {
	snap := g.control.Snapshot()
	var others []string
	for _, m := range snap.Members {
		if m.Origin != snap.Self.Origin {
			others = append(others, m.PeerAddress)
		}
	}
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	others = others[:min(fanout, len(others))]
	if len(g.seeds) > 0 && (round%seedEvery == 0 || len(others) == 0) {
		others = append(others, g.seeds[rand.IntN(len(g.seeds))])
	}
	return others
}

// send starts an exchange with a peer in the background.
func (g *Gossip) send(address string) {
	g.group.Go(func() error {
		ctx, cancel := context.WithTimeout(g.ctx, g.timing.Call)
		defer cancel()
		if err := g.exchange(ctx, address); err != nil {
			g.log.Debug("gossip exchange with peer failed", events.PeerUnreachable.Attr(), "peer", address, "error", err)
		}
		return nil
	})
}

func (g *Gossip) exchange(ctx context.Context, address string) error {
	beats, marks := g.control.Beats()
	var answer entries
	if err := g.peers.Call(ctx, address, kindGossip, digest{Beats: beats, Marks: marks}, &answer); err != nil {
		return err
	}
	missing := g.control.Newer(answer.Beats)
	g.merge(answer)
	if len(missing) == 0 {
		return nil
	}
	return g.peers.Call(ctx, address, kindPush, entries{Members: missing}, nil)
}

// Spread starts an exchange with every live member.
func (g *Gossip) Spread() {
	snap := g.control.Snapshot()
	for _, m := range snap.Members {
		if m.Origin != snap.Self.Origin {
			g.send(m.PeerAddress)
		}
	}
}

func (g *Gossip) merge(e entries) {
	g.take(e)
	version := g.control.Snapshot().Text.Version
	for _, m := range e.Members {
		if m.ConfigVersion > version {
			g.pull(m.PeerAddress)
			return
		}
	}
}

func (g *Gossip) handle(_ context.Context, decode func(any) error) (any, error) {
	var d digest
	if err := decode(&d); err != nil {
		return nil, err
	}
	g.control.Merge(nil, d.Marks)
	beats, marks := g.control.Beats()
	return entries{Members: g.control.Newer(d.Beats), Marks: marks, Beats: beats}, nil
}

func (g *Gossip) handlePush(_ context.Context, decode func(any) error) (any, error) {
	var e entries
	if err := decode(&e); err != nil {
		return nil, err
	}
	g.take(e)
	return struct{}{}, nil
}

// take merges entries of a peer's table. It logs a warning when they show for the first
// time that a newer incarnation of this VM exists.
func (g *Gossip) take(e entries) {
	before := g.control.Snapshot().Superseded
	g.control.Merge(e.Members, e.Marks)
	if g.control.Snapshot().Superseded && !before {
		g.log.Warn("node superseded: a newer incarnation of this VM is a member", events.NodeSuperseded.Attr())
	}
}
