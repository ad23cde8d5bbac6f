package replicas

import (
	"bufio"
	"context"
	"errors"
	"io"
	"math"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/catkinspindle/catkinspindle"
)

const (
	// dialTimeout bounds the time to connect. A replica accepts connections within
	// milliseconds; one that does not is given up early, so that another one can
	// be tried.
	dialTimeout = 300 * time.Millisecond
	// probeIdle, probeInterval and probeCount configure the TCP keep-alive that
	// detects an unresponsive peer. The runtime rounds the times up to whole
	// seconds.
	probeIdle     = time.Second
	probeInterval = time.Second
	probeCount    = 2
	// SilenceLimit is the time after which TCP keep-alive closes the connection to
	// a replica that no longer responds. Memory that a request has reserved on
	// other replicas must be free 4 s after the request's end, and releasing it
	// takes up to two calls.
	SilenceLimit = probeIdle + probeCount*probeInterval
	// defaultLifetime is the assumed idle timeout of a replica that does not
	// announce one.
	defaultLifetime = 4 * time.Second
	// lifetimeMargin is the fraction of the replica's idle timeout after which a
	// connection is not reused, so that no request is sent while the replica
	// closes it.
	lifetimeMargin = 0.7
	// defaultIdle is the default maximum of idle connections to one replica.
	defaultIdle = 8

	// maxHead bounds the status line and headers of a response in bytes.
	maxHead = 64 << 10
	// noLimit disables the limit on the bytes that are read.
	noLimit = math.MaxInt
)

// conn is a connection to one incarnation of a replica.
type conn struct {
	net     net.Conn
	reader  *bufio.Reader
	left    int
	replica catkinspindle.Replica
	until   time.Time
	once    sync.Once
	// used is true when the connection has carried an earlier request.
	used bool
}

// Read implements io.Reader. It fails when the limit set by allow is exceeded.
func (c *conn) Read(p []byte) (int, error) {
	if c.left <= 0 {
		return 0, errors.New("response headers are too large")
	}
	if len(p) > c.left {
		p = p[:c.left]
	}
	n, err := c.net.Read(p)
	if c.left != noLimit {
		c.left -= n
	}
	return n, err
}

// allow limits the bytes that are read from now on to n.
func (c *conn) allow(n int) { c.left = n }

func (c *conn) close() {
	c.once.Do(func() { _ = c.net.Close() }) // An error has no consequence.
}

// clean reports whether the peer has neither sent data on an idle connection nor
// closed it.
func (c *conn) clean() bool {
	sc, ok := c.net.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	clean := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		clean = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && clean
}

var _ io.Reader = (*conn)(nil)

// pool keeps idle connections by replica ID.
type pool struct {
	dialer net.Dialer

	mu   sync.Mutex
	idle map[string][]*conn
	max  int
}

// Dialer returns the dialer for connections to replicas.
func Dialer() net.Dialer {
	return net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount},
	}
}

func newPool() *pool {
	return &pool{
		dialer: Dialer(),
		idle:   map[string][]*conn{},
		max:    defaultIdle,
	}
}

// take removes an idle connection to the incarnation r from the pool and returns it.
// It returns nil when there is none or when fresh is true.
func (p *pool) take(r catkinspindle.Replica, fresh bool) *conn {
	if fresh {
		return nil
	}
	for {
		c := p.pop(r)
		if c == nil {
			return nil
		}
		if c.replica.Same(r) && time.Now().Before(c.until) && c.clean() {
			c.used = true
			return c
		}
		c.close()
	}
}

func (p *pool) pop(r catkinspindle.Replica) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[r.ID]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[r.ID] = list[:len(list)-1]
	return c
}

func (p *pool) dial(ctx context.Context, r catkinspindle.Replica) (*conn, error) {
	n, err := p.dialer.DialContext(ctx, "tcp", r.Address)
	if err != nil {
		return nil, err
	}
	c := &conn{net: n, replica: r, left: noLimit}
	c.reader = bufio.NewReaderSize(c, 4<<10)
	return c, nil
}

func (p *pool) put(c *conn, lifetime time.Duration) {
	if lifetime <= 0 {
		lifetime = defaultLifetime
	}
	c.until = time.Now().Add(time.Duration(lifetimeMargin * float64(lifetime)))
	p.mu.Lock()
	list := p.idle[c.replica.ID]
	full := len(list) >= p.max
	if !full {
		p.idle[c.replica.ID] = append(list, c)
	}
	p.mu.Unlock()
	if full {
		c.close()
	}
}

func (p *pool) retain(replicas map[string]catkinspindle.Replica) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, list := range p.idle {
		r, ok := replicas[id]
		kept := list[:0]
		for _, c := range list {
			if ok && c.replica.Same(r) && !r.Leaving {
				kept = append(kept, c)
				continue
			}
			c.close()
		}
		if len(kept) == 0 {
			delete(p.idle, id)
			continue
		}
		p.idle[id] = kept
	}
}

func (p *pool) setIdle(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.max = max(1, n)
}
