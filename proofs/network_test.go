package proofs_test

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"golang.org/x/sync/errgroup"

	"github.com/catkinspindle/catkinspindle"
)

// network is a fake network that delivers messages between nodes and injects faults.
type network struct {
	mu      sync.Mutex
	sites   map[string]*site
	blocked map[[2]string]bool
	// jitter is the maximum random delay added to a message between VMs.
	jitter time.Duration
	group  errgroup.Group
	// sentBytes is the number of bytes of requests and responses by message kind.
	sentBytes map[string]int
}

// packetOverhead is the size in bytes of the IP, UDP and QUIC headers of the
// packets that carry a short message one way.
const packetOverhead = 28 + 30

func (n *network) countBytes(kind string, size int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sentBytes[kind] += size + packetOverhead
}

// spawn runs f in a goroutine that may outlive the call that started it.
func (n *network) spawn(f func()) {
	n.group.Go(func() error {
		f()
		return nil
	})
}

// One-way latencies within and between data centres, and the delay before a
// message over a blocked link fails.
const (
	sameCentreLatency  = 500 * time.Microsecond
	crossCentreLatency = 1500 * time.Microsecond
	blockedTimeout     = 2 * time.Second
)

var errTimedOut = errors.New("connection timed out")

func newNetwork() *network {
	return &network{sites: map[string]*site{}, blocked: map[[2]string]bool{}, sentBytes: map[string]int{}}
}

// site is one incarnation of a VM as the network sees it.
type site struct {
	net        *network
	name       string
	dataCentre string
	handlers   map[string]catkinspindle.PeerHandler
	dead       context.Context
	kill       context.CancelFunc

	mu       sync.Mutex
	thawed   *sync.Cond
	frozen   bool
	frozenAt time.Time
}

func (n *network) newSite(name, dataCentre string) *site {
	s := &site{net: n, name: name, dataCentre: dataCentre, handlers: map[string]catkinspindle.PeerHandler{}}
	s.thawed = sync.NewCond(&s.mu)
	s.dead, s.kill = context.WithCancel(context.Background())
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sites[name] = s
	return s
}

func (n *network) site(name string) *site {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.sites[name]
}

// setBlocked blocks or unblocks messages from a to b. Each may be a node, a back
// end or the platform.
func (n *network) setBlocked(a, b string, blocked bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.blocked[[2]string{a, b}] = blocked
}

func (n *network) isBlocked(a, b string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.blocked[[2]string{a, b}]
}

// setJitter adds random delays, so that messages between VMs are reordered.
func (n *network) setJitter(d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.jitter = d
}

func (n *network) delay() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.jitter == 0 {
		return 0
	}
	return rand.N(n.jitter)
}

func (n *network) heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.blocked = map[[2]string]bool{}
	for _, s := range n.sites {
		s.setFrozen(false)
	}
}

// setFrozen freezes or thaws a VM. A frozen VM neither sends nor receives messages.
func (s *site) setFrozen(frozen bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.frozen = frozen
	if frozen {
		s.frozenAt = time.Now()
	}
	s.thawed.Broadcast()
}

// failedSince reports whether the VM is dead or frozen, or froze after since.
func (s *site) failedSince(since time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dead.Err() != nil || s.frozen || s.frozenAt.After(since)
}

// awaitThawed waits while the VM is frozen and fails if the VM is dead or ctx has ended.
func (s *site) awaitThawed(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.thawed.Broadcast()
	})
	defer stop()
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.frozen && ctx.Err() == nil && s.dead.Err() == nil {
		s.thawed.Wait()
	}
	if s.dead.Err() != nil {
		return errDead
	}
	return ctx.Err()
}

var errDead = catkinspindle.Fail(catkinspindle.MayHaveRun, catkinspindle.ReasonBackendFailed, "connection reset")

// callerContext returns a context that ends when the VM dies, or a minute after the
// deadline, so that a final answer after the deadline is recorded as late.
func (s *site) callerContext(deadline time.Time) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithDeadline(context.Background(), deadline.Add(time.Minute))
	stop := context.AfterFunc(s.dead, cancel)
	return ctx, func() { stop(); cancel() }
}

// deliver sends a message from s to a node, back end or platform and fails if it is lost.
func (s *site) deliver(ctx context.Context, to string, latency time.Duration) error {
	if err := s.awaitThawed(ctx); err != nil {
		return err
	}
	return s.net.deliver(ctx, s.name, to, latency)
}

func (n *network) deliver(ctx context.Context, from, to string, latency time.Duration) error {
	if n.isBlocked(from, to) {
		latency = blockedTimeout
	}
	select {
	case <-time.After(latency):
	case <-ctx.Done():
		return ctx.Err()
	}
	if n.isBlocked(from, to) {
		return errTimedOut
	}
	return nil
}

// Handle implements catkinspindle.Peers.
func (s *site) Handle(kind string, h catkinspindle.PeerHandler) { s.handlers[kind] = h }

// Call implements catkinspindle.Peers.
func (s *site) Call(ctx context.Context, address, kind string, req, resp any) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(s.dead, cancel)()
	data, err := cbor.Marshal(req)
	if err != nil {
		return err
	}
	to := s.net.site(address)
	if to == nil || to.dead.Err() != nil {
		return catkinspindle.Fail(catkinspindle.NotRun, catkinspindle.ReasonPeerUnreachable, "no process at %s", address)
	}
	latency := sameCentreLatency
	if to.dataCentre != s.dataCentre {
		latency = crossCentreLatency
	}
	if err := s.deliver(ctx, address, latency+s.net.delay()); err != nil {
		return unreachable(err)
	}
	defer context.AfterFunc(to.dead, cancel)()
	s.net.countBytes(kind, len(data))
	answer, err := to.handle(ctx, kind, data)
	s.net.countBytes(kind, len(answer))
	if lost := s.net.deliver(ctx, address, s.name, latency); lost != nil {
		return lostReply(lost)
	}
	if thawErr := s.awaitThawed(ctx); thawErr != nil {
		return lostReply(thawErr)
	}
	if err != nil {
		return catkinspindle.AsFailure(err).Report().Failure()
	}
	if resp == nil {
		return nil
	}
	return cbor.Unmarshal(answer, resp)
}

func unreachable(err error) error {
	return catkinspindle.Fail(catkinspindle.NotRun, catkinspindle.ReasonPeerUnreachable, "%w", err)
}

func lostReply(err error) error {
	return catkinspindle.Fail(catkinspindle.MayHaveRun, catkinspindle.ReasonBackendFailed, "%w", err)
}

func (s *site) handle(ctx context.Context, kind string, data []byte) ([]byte, error) {
	if err := s.awaitThawed(ctx); err != nil {
		return nil, lostReply(err)
	}
	v, err := s.handlers[kind](ctx, func(v any) error { return cbor.Unmarshal(data, v) })
	if err != nil {
		return nil, err
	}
	if err := s.awaitThawed(ctx); err != nil {
		return nil, lostReply(err)
	}
	return cbor.Marshal(v)
}
