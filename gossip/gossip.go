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
	"github.com/catkinspindle/catkinspindle/ratelimits"
)

// The message kinds of an exchange.
const (
	kindGossip = "gossip"
	kindPush   = "gossip-push"
)

const (
	// fanout is the number of random peers to exchange tables with in each heartbeat.
	fanout = 2
	// roundsPerSeed is the number of heartbeats between exchanges with a seed. After a
	// network partition has healed, these exchanges reconnect its sides.
	roundsPerSeed = 4
)

// Gossip is the service that exchanges membership tables with peers.
type Gossip struct {
	control    *control.Control
	peers      catkinspindle.Peers
	seeds      []string
	pullConfig func(address string)
	timing     catkinspindle.Timing
	log        *slog.Logger
	rateLimits *ratelimits.Table
	group      *errgroup.Group
	ctx        context.Context
	cancel     context.CancelFunc
}

// digest is the request that begins an exchange.
type digest struct {
	Heartbeats []catkinspindle.MemberHeartbeat `cbor:"1,keyasint"`
	Marks      []catkinspindle.LeavingMark     `cbor:"2,keyasint,omitempty"`
	RateLimits []catkinspindle.RateLimitReport `cbor:"3,keyasint,omitempty"`
}

// delta carries the table entries that the receiver lacks.
type delta struct {
	Members []catkinspindle.Member      `cbor:"1,keyasint"`
	Marks   []catkinspindle.LeavingMark `cbor:"2,keyasint,omitempty"`
	// Heartbeats are the newest heartbeats in the responder's table.
	Heartbeats []catkinspindle.MemberHeartbeat `cbor:"3,keyasint,omitempty"`
	RateLimits []catkinspindle.RateLimitReport `cbor:"4,keyasint,omitempty"`
}

// Option configures a Gossip.
type Option func(*Gossip)

// WithRateLimits sets the table of the backend servers' rate limits, which the VMs share.
func WithRateLimits(t *ratelimits.Table) Option { return func(g *Gossip) { g.rateLimits = t } }

// New returns the service and registers its message handlers with peers. pullConfig fetches
// the configuration of a peer whose version is newer.
func New(c *control.Control, peers catkinspindle.Peers, seeds []string, pullConfig func(address string), timing catkinspindle.Timing, log *slog.Logger, opts ...Option) *Gossip {
	g := &Gossip{
		control:    c,
		peers:      peers,
		seeds:      seeds,
		pullConfig: pullConfig,
		timing:     timing,
		log:        log,
		rateLimits: ratelimits.New(),
		group:      &errgroup.Group{},
	}
	for _, opt := range opts {
		opt(g)
	}
	g.ctx, g.cancel = context.WithCancel(context.Background())
	peers.Handle(kindGossip, g.handleDigest)
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
		for _, address := range g.selectPeers(round) {
			g.startExchange(address)
		}
		select {
		case <-g.ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// selectPeers returns the addresses of up to fanout random live peers. In every
// roundsPerSeed-th round, or when no other member is live, it adds a random seed.
func (g *Gossip) selectPeers(round int) []string {
	snap := g.control.Snapshot()
	var addresses []string
	for _, m := range snap.Members {
		if m.Origin != snap.Self.Origin {
			addresses = append(addresses, m.PeerAddress)
		}
	}
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	addresses = addresses[:min(fanout, len(addresses))]
	if len(g.seeds) > 0 && (round%roundsPerSeed == 0 || len(addresses) == 0) {
		addresses = append(addresses, g.seeds[rand.IntN(len(g.seeds))])
	}
	return addresses
}

// startExchange starts an exchange with a peer in the background.
func (g *Gossip) startExchange(address string) {
	g.group.Go(func() error {
		ctx, cancel := context.WithTimeout(g.ctx, g.timing.CallTimeout)
		defer cancel()
		if err := g.exchange(ctx, address); err != nil {
			g.log.Debug("gossip exchange with peer failed", events.PeerUnreachable.Attr(), "peer", address, "error", err)
		}
		return nil
	})
}

func (g *Gossip) exchange(ctx context.Context, address string) error {
	heartbeats, marks := g.control.Heartbeats()
	var reply delta
	if err := g.peers.Call(ctx, address, kindGossip, digest{Heartbeats: heartbeats, Marks: marks, RateLimits: g.knownRateLimits()}, &reply); err != nil {
		return err
	}
	missing := g.control.NewerThan(reply.Heartbeats)
	g.mergeAndPull(reply)
	if len(missing) == 0 {
		return nil
	}
	return g.peers.Call(ctx, address, kindPush, delta{Members: missing}, nil)
}

// ExchangeAll starts an exchange with every live member.
func (g *Gossip) ExchangeAll() {
	snap := g.control.Snapshot()
	for _, m := range snap.Members {
		if m.Origin != snap.Self.Origin {
			g.startExchange(m.PeerAddress)
		}
	}
}

func (g *Gossip) mergeAndPull(received delta) {
	g.mergeDelta(received)
	version := g.control.Snapshot().Config.Version
	for _, m := range received.Members {
		if m.ConfigVersion > version {
			g.pullConfig(m.PeerAddress)
			return
		}
	}
}

// knownRateLimits returns all rate limits that this VM knows.
func (g *Gossip) knownRateLimits() []catkinspindle.RateLimitReport {
	list, _ := g.rateLimits.Since(time.Now(), 0, false)
	return list
}

func (g *Gossip) handleDigest(_ context.Context, decode func(any) error) (any, error) {
	var d digest
	if err := decode(&d); err != nil {
		return nil, err
	}
	g.control.Merge(nil, d.Marks)
	g.rateLimits.Apply(time.Now(), d.RateLimits)
	heartbeats, marks := g.control.Heartbeats()
	return delta{Members: g.control.NewerThan(d.Heartbeats), Marks: marks, Heartbeats: heartbeats, RateLimits: g.knownRateLimits()}, nil
}

func (g *Gossip) handlePush(_ context.Context, decode func(any) error) (any, error) {
	var received delta
	if err := decode(&received); err != nil {
		return nil, err
	}
	g.mergeDelta(received)
	return struct{}{}, nil
}

// mergeDelta merges entries of a peer's table. It logs a warning when they show for the first
// time that a newer incarnation of this VM exists.
func (g *Gossip) mergeDelta(received delta) {
	wasSuperseded := g.control.Snapshot().Superseded
	g.control.Merge(received.Members, received.Marks)
	g.rateLimits.Apply(time.Now(), received.RateLimits)
	if g.control.Snapshot().Superseded && !wasSuperseded {
		g.log.Warn("node superseded: a newer incarnation of this VM is a member", events.NodeSuperseded.Attr())
	}
}
