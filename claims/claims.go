// Package claims assigns idempotency keys to origins, for callers that send a key
// without an origin. Claims are recorded in the platform's store by conditional
// updates, and concurrent claims are written in batches.
package claims

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"golang.org/x/sync/errgroup"

	"github.com/catkinspindle/catkinspindle"
)

const (
	kindClaim = "claim"
	// partitionCount is the number of objects in the store that claims are spread over.
	// It must be the same on all nodes.
	partitionCount = 64
	objectKind     = "claims"
	// maxObjectBytes is the maximum size of an object in bytes, below the platform's
	// limit of 1 MB.
	maxObjectBytes = 900 << 10
	// retention is how long a claim is kept.
	retention = 24 * time.Hour
)

// Claims implements catkinspindle.Claimer and catkinspindle.Service.
type Claims struct {
	snapshot func() *catkinspindle.Snapshot
	platform catkinspindle.Platform
	peers    catkinspindle.Peers
	timeout  time.Duration
	group    *errgroup.Group

	mu         sync.Mutex
	partitions map[int]*partition
}

// partition is one object of claims as last read or written, and the claims that wait
// for its next write.
type partition struct {
	waiting []*pendingClaim
	writing bool
	version int64
	table   table
	loaded  bool
}

// pendingClaim is a claim that waits to be written.
type pendingClaim struct {
	key    uint64
	origin catkinspindle.ActionOrigin
	done   chan result
}

type result struct {
	origin catkinspindle.ActionOrigin
	err    error
}

// table is the content of an object: claims by the hash of their key.
type table struct {
	Claims map[uint64]claim `cbor:"1,keyasint"`
}

type claim struct {
	Origin catkinspindle.ActionOrigin `cbor:"1,keyasint"`
	// At is the time of the claim in Unix seconds.
	At int64 `cbor:"2,keyasint"`
}

// claimRequest is the request to the peer that is responsible for a key's partition.
type claimRequest struct {
	Key    uint64                     `cbor:"1,keyasint"`
	Origin catkinspindle.ActionOrigin `cbor:"2,keyasint"`
}

// New returns a claimer and registers its peer handler. Each batch of claims has timeout
// to be written to the platform.
func New(snapshot func() *catkinspindle.Snapshot, platform catkinspindle.Platform, peers catkinspindle.Peers, timeout time.Duration) *Claims {
	c := &Claims{
		snapshot:   snapshot,
		platform:   platform,
		peers:      peers,
		timeout:    timeout,
		group:      &errgroup.Group{},
		partitions: map[int]*partition{},
	}
	peers.Handle(kindClaim, c.handle)
	return c
}

// Start implements catkinspindle.Service.
func (c *Claims) Start(context.Context) error { return nil }

// Stop implements catkinspindle.Service.
func (c *Claims) Stop(context.Context) error { return c.group.Wait() }

// Claim implements catkinspindle.Claimer. Failures are NotRun, because an action runs
// only after its claim has been recorded.
func (c *Claims) Claim(ctx context.Context, key string, o catkinspindle.ActionOrigin) (catkinspindle.ActionOrigin, error) {
	m := claimRequest{Key: xxhash.Sum64String(key), Origin: o}
	responsible, self := c.responsible(m.Key)
	if responsible.Origin == self.Origin {
		return c.claim(ctx, m)
	}
	var owner catkinspindle.ActionOrigin
	err := c.peers.Call(ctx, responsible.PeerAddress, kindClaim, m, &owner)
	if err == nil || catkinspindle.AsFailure(err).Reason == catkinspindle.ReasonStoreUnavailable {
		return owner, err
	}
	// The VM that is responsible for the partition may be dead. This VM can safely
	// write the claim itself, because updates are conditional.
	return c.claim(ctx, m)
}

// responsible returns the member that is responsible for the partition of key, and this
// VM's own entry.
func (c *Claims) responsible(key uint64) (member, self catkinspindle.Member) {
	snap := c.snapshot()
	name := fmt.Sprintf("claims/%d", key%partitionCount)
	best := uint64(0)
	member = snap.Self
	for _, m := range snap.Members {
		if score := catkinspindle.RendezvousScore(name, m.Origin.VM); !m.Leaving && score > best {
			best = score
			member = m
		}
	}
	return member, snap.Self
}

func (c *Claims) handle(ctx context.Context, decode func(any) error) (any, error) {
	var m claimRequest
	if err := decode(&m); err != nil {
		return nil, err
	}
	return c.claim(ctx, m)
}

func (c *Claims) claim(ctx context.Context, m claimRequest) (catkinspindle.ActionOrigin, error) {
	pending := &pendingClaim{key: m.Key, origin: m.Origin, done: make(chan result, 1)}
	c.enqueue(int(m.Key%partitionCount), pending)
	select {
	case r := <-pending.done:
		return r.origin, r.err
	case <-ctx.Done():
		return catkinspindle.ActionOrigin{}, claimFailure(ctx.Err())
	}
}

func claimFailure(err error) error {
	return catkinspindle.Fail(catkinspindle.NotRun, catkinspindle.ReasonStoreUnavailable, "cannot claim idempotency key: %w", err).WithRetryAfter(5 * time.Second)
}

// enqueue adds j to partition n and starts its writer unless it is running.
func (c *Claims) enqueue(n int, pending *pendingClaim) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.partitions[n]
	if !ok {
		p = &partition{}
		c.partitions[n] = p
	}
	p.waiting = append(p.waiting, pending)
	if p.writing {
		return
	}
	p.writing = true
	c.group.Go(func() error {
		c.writePending(n, p)
		return nil
	})
}

// writePending writes waiting claims in batches until none is left. At most one goroutine
// writes a partition.
func (c *Claims) writePending(n int, p *partition) {
	for {
		c.mu.Lock()
		batch := p.waiting
		p.waiting = nil
		if len(batch) == 0 {
			p.writing = false
			c.mu.Unlock()
			return
		}
		c.mu.Unlock()
		err := c.writeBatch(n, p, batch)
		for _, pending := range batch {
			if err != nil {
				pending.done <- result{err: claimFailure(err)}
				continue
			}
			pending.done <- result{origin: p.table.Claims[pending.key].Origin}
		}
	}
}

// maxWriteAttempts is the maximum number of conditional updates for a batch.
const maxWriteAttempts = 5

// writeBatch records the claims whose keys are not claimed yet. After a conflict or an
// unknown outcome it reads the object again, so that a write that was applied but whose
// reply was lost is found.
func (c *Claims) writeBatch(n int, p *partition, batch []*pendingClaim) error {
	ctx, cancel := context.WithTimeout(context.Background(), c.timeout)
	defer cancel()
	var last error
	for range maxWriteAttempts {
		if err := c.load(ctx, n, p); err != nil {
			return err
		}
		next, changed := p.table.withClaims(batch)
		if !changed {
			return nil
		}
		value, err := cbor.Marshal(next)
		if err != nil {
			return err
		}
		if len(value) > maxObjectBytes {
			return fmt.Errorf("claims partition %d exceeds the maximum object size", n)
		}
		o, err := c.platform.Put(ctx, objectKind, fmt.Sprint(n), p.version, value)
		if err == nil {
			p.version, p.table = o.Version, next
			return nil
		}
		last = err
		p.loaded = false
	}
	return last
}

// load reads the object of partition n, unless it is loaded. A missing object is an
// empty table of version zero.
func (c *Claims) load(ctx context.Context, n int, p *partition) error {
	if p.loaded {
		return nil
	}
	o, err := c.platform.Get(ctx, objectKind, fmt.Sprint(n))
	if err != nil && !errors.Is(err, catkinspindle.ErrNotFound) {
		return err
	}
	t := table{Claims: map[uint64]claim{}}
	if err == nil {
		if err := cbor.Unmarshal(o.Value, &t); err != nil {
			return fmt.Errorf("decode claims partition %d: %w", n, err)
		}
	}
	p.version, p.table, p.loaded = o.Version, t, true
	return nil
}

// withClaims returns a copy of the table without expired claims and with those claims of
// batch whose keys are not claimed yet, and reports whether it added any.
func (t table) withClaims(batch []*pendingClaim) (table, bool) {
	now := time.Now()
	next := table{Claims: make(map[uint64]claim, len(t.Claims)+len(batch))}
	for k, v := range t.Claims {
		if now.Sub(time.Unix(v.At, 0)) < retention {
			next.Claims[k] = v
		}
	}
	changed := false
	for _, pending := range batch {
		if _, taken := next.Claims[pending.key]; !taken {
			next.Claims[pending.key] = claim{Origin: pending.origin, At: now.Unix()}
			changed = true
		}
	}
	return next, changed
}
