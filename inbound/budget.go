// Package inbound bounds the memory and the connections that callers take while their requests are being read.
package inbound

import (
	"container/list"
	"errors"
	"log/slog"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/catkinspindle/catkinspindle/events"
)

const (
	// memoryShare is the share of the VM's memory that requests may take, descriptorShare the share of the
	// process's descriptors that connections of callers may take.
	memoryShare     = 0.2
	descriptorShare = 0.7
	// largeShare is the share of the budget up to which holdings over smallBytes may grow, so that small
	// requests find room beside large ones.
	largeShare = 0.875
	smallBytes = 32 << 10
	// aloneBodies is the number of bodies of the largest size for which there is always room: one that is
	// copied into a larger buffer.
	aloneBodies = 2
	// sparedShare is the share of the connections at which an idle one is closed for each new one.
	sparedShare = 0.875
	// stallTime is the time without progress after which a caller gives up its memory if there is too little.
	// progressShare is what it must send meanwhile, as a share of the memory that it holds.
	stallTime     = 250 * time.Millisecond
	progressShare = 1.0 / 32
	// logInterval is the minimum interval of log lines.
	logInterval = time.Second
)

// Names of counters.
const (
	memoryEvictedCounter      = "inbound-memory-evicted"
	memoryRefusedCounter      = "inbound-memory-refused"
	connectionsEvictedCounter = "inbound-connections-evicted"
	connectionsRefusedCounter = "inbound-connections-refused"
)

// Errors of requests that were not read.
var (
	// ErrExhausted means that there is no memory or connection left.
	ErrExhausted = errors.New("memory for requests is used up")
	// ErrEvicted means that a caller without progress gave up its memory to others.
	ErrEvicted = errors.New("gave up its memory to other requests")
)

// Budget is the memory and the number of connections that callers share.
type Budget struct {
	maxBytes       int64
	maxConnections int
	log            *slog.Logger
	registry       metrics.Registry

	mu sync.Mutex
	// released is signalled when memory may be free.
	released    sync.Cond
	bytes       int64
	connections int
	// releasing counts the evicted holdings that have memory.
	releasing int
	// waiting has the holdings that wait for their callers; the first has made no progress for the longest.
	waiting list.List
	// nextLog is when a line may be logged, unlogged counts the events since the last line.
	nextLog  time.Time
	unlogged int
}

// Option configures a Budget.
type Option func(*Budget)

// WithMemory bounds the memory to a share of a VM's memory in bytes.
func WithMemory(n int64) Option {
	return func(b *Budget) { b.maxBytes = int64(memoryShare * float64(n)) }
}

// WithMaxBytes sets the number of bytes.
func WithMaxBytes(n int64) Option { return func(b *Budget) { b.maxBytes = n } }

// WithMinBytes raises the number of bytes to n if it is lower. It follows WithMemory.
func WithMinBytes(n int64) Option { return func(b *Budget) { b.maxBytes = max(b.maxBytes, n) } }

// WithDescriptors bounds the connections to a share of the process's descriptors.
func WithDescriptors(n int) Option {
	return func(b *Budget) { b.maxConnections = int(descriptorShare * float64(n)) }
}

// WithMetrics registers the budget's counters in r.
func WithMetrics(r metrics.Registry) Option { return func(b *Budget) { b.registry = r } }

// WithLog sets the log of evictions and refusals.
func WithLog(l *slog.Logger) Option { return func(b *Budget) { b.log = l } }

// New returns a Budget. Without options it has no limits.
func New(opts ...Option) *Budget {
	b := &Budget{registry: metrics.NewRegistry(), log: slog.New(slog.DiscardHandler)}
	b.released.L = &b.mu
	for _, opt := range opts {
		opt(b)
	}
	return b
}

// Bytes returns the memory in use.
func (b *Budget) Bytes() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.bytes
}

// Accept takes a connection, which waits for its caller. When few are left, evict is called for the
// connection whose caller has made no progress for the longest.
func (b *Budget) Accept(evict func()) (*Holding, error) {
	b.mu.Lock()
	if b.maxConnections > 0 && b.connections >= b.maxConnections {
		b.note(connectionsRefusedCounter)
		b.mu.Unlock()
		return nil, ErrExhausted
	}
	var victim *Holding
	if b.maxConnections > 0 && float64(b.connections) >= sparedShare*float64(b.maxConnections) {
		victim = b.evictOldest(0, connectionsEvictedCounter)
	}
	b.connections++
	h := &Holding{budget: b, evict: evict, connections: 1}
	h.wait()
	b.mu.Unlock()
	if victim != nil {
		victim.evict()
	}
	return h, nil
}

// evictOldest takes the holding without progress for the longest off the list, if that is at least stalled.
// The caller holds b.mu and calls evict of the holding without it.
func (b *Budget) evictOldest(stalled time.Duration, counter string) *Holding {
	front := b.waiting.Front()
	for front != nil && stalled > 0 && front.Value.(*Holding).bytes == 0 {
		front = front.Next() // It has no memory to give up.
	}
	if front == nil {
		return nil
	}
	h := front.Value.(*Holding)
	if time.Since(h.since) < stalled {
		return nil
	}
	h.unwait()
	h.evicted = true
	if h.bytes > 0 {
		b.releasing++
	}
	b.released.Broadcast() // The holding itself may wait for memory.
	b.note(counter)
	return h
}

// note counts an event and logs it if the last line is old enough. The caller holds b.mu.
func (b *Budget) note(counter string) {
	metrics.GetOrRegisterCounter(counter, b.registry).Inc(1)
	b.unlogged++
	now := time.Now()
	if now.Before(b.nextLog) {
		return
	}
	b.log.Warn("callers take too much", events.CallersLimited.Attr(), "reason", counter, "events", b.unlogged,
		"bytes", b.bytes, "max-bytes", b.maxBytes, "connections", b.connections, "max-connections", b.maxConnections)
	b.nextLog, b.unlogged = now.Add(logInterval), 0
}
