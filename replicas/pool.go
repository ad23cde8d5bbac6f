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
	"github.com/catkinspindle/catkinspindle/buffers"
	"github.com/catkinspindle/catkinspindle/http1"
)

const (
	// dialTimeout bounds the time to connect. A replica accepts connections within
	// milliseconds; one that does not is given up early, so that another one can
	// be tried.
	dialTimeout = 300 * time.Millisecond
	// keepAliveIdle, keepAliveInterval and keepAliveCount configure the TCP
	// keep-alive that detects an unresponsive peer. The runtime rounds the times up
	// to whole seconds.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// DetectionTime is the time after which TCP keep-alive closes the connection to
	// a replica that no longer responds. Memory that a request has reserved on
	// other replicas must be free 4 s after the request's end, and releasing it
	// takes up to two calls.
	DetectionTime = keepAliveIdle + keepAliveCount*keepAliveInterval
	// defaultIdleTimeout is the assumed idle timeout of a replica that does not
	// announce one.
	defaultIdleTimeout = 4 * time.Second
	// idleTimeoutFraction is the fraction of the replica's idle timeout after which a
	// connection is not reused, so that no request is sent while the replica
	// closes it.
	idleTimeoutFraction = 0.7
	// defaultMaxIdle is the default maximum of idle connections to one replica.
	defaultMaxIdle = 8

	// maxHeadBytes bounds the status line and headers of a response in bytes.
	maxHeadBytes = 64 << 10
	// headMemory is the memory in bytes that a byte of a head may take: a short header line takes
	// several times its length. The first read of a head is not counted.
	headMemory = 8
	// noLimit disables the limit on the bytes that are read.
	noLimit = math.MaxInt
)

var errHeadMemory = errors.New("memory for response headers is used up")

// conn is a connection to one incarnation of a replica.
type conn struct {
	net       *http1.Conn
	reader    *bufio.Reader
	readLimit int
	// buffers is the budget of response heads. reads counts the reads of the current head, held
	// the bytes that the heads have taken.
	buffers       *buffers.Budget
	reads         int
	held          int64
	replica       catkinspindle.Replica
	reusableUntil time.Time
	once          sync.Once
	// reused is true when the connection has carried an earlier request.
	reused bool
	// lastRead is when data last arrived.
	lastRead time.Time
}

// Read implements io.Reader. It fails when the limit of setReadLimit is exceeded.
func (c *conn) Read(p []byte) (int, error) {
	if c.readLimit <= 0 {
		return 0, errors.New("response headers are too large")
	}
	if len(p) > c.readLimit {
		p = p[:c.readLimit]
	}
	if c.readLimit != noLimit {
		if c.reads++; c.reads > 1 && !c.take(int64(len(p))*headMemory) {
			return 0, errHeadMemory
		}
	}
	n, err := c.net.Read(p)
	if n > 0 {
		c.lastRead = time.Now()
	}
	if c.readLimit != noLimit {
		c.readLimit -= n
	}
	return n, err
}

// nextResponse begins the check of another response. Its first bytes may be in the reader.
func (c *conn) nextResponse() error {
	buffered, err := c.reader.Peek(c.reader.Buffered())
	if err != nil {
		return err
	}
	return c.net.NextResponse(buffered)
}

// setReadLimit limits the bytes that are read from now on to n.
func (c *conn) setReadLimit(n int) { c.readLimit, c.reads = n, 0 }

// take takes n bytes from the budget until releaseHead.
func (c *conn) take(n int64) bool {
	if !c.buffers.Grow(c.held, n) {
		return false
	}
	c.held += n
	return true
}

// releaseHead returns what the heads of the responses have taken.
func (c *conn) releaseHead() {
	c.buffers.Release(c.held)
	c.held = 0
}

func (c *conn) close() {
	c.once.Do(func() { _ = c.net.Close() }) // An error has no consequence.
}

// relayed reports whether the connection goes through another node. Such a connection carries one
// request only, so that the next one can use this node's own path again.
func (c *conn) relayed() bool {
	_, ok := c.net.Conn.(catkinspindle.Tunnel)
	return ok
}

// isIdle reports whether the peer has neither sent data on the unused connection nor
// closed it.
func (c *conn) isIdle() bool {
	sc, ok := c.net.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	noData := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		noData = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && noData
}

var _ io.Reader = (*conn)(nil)

// pool keeps idle connections by replica ID.
type pool struct {
	connector catkinspindle.Connector
	mayReuse  func(address string, lastRead time.Time) bool
	buffers   *buffers.Budget

	mu      sync.Mutex
	idle    map[string][]*conn
	maxIdle int
}

// Dialer connects to replicas over TCP. It implements catkinspindle.Connector.
type Dialer struct{ dialer net.Dialer }

// NewDialer returns a Dialer with the given connect timeout, 300 ms if it is zero.
func NewDialer(timeout time.Duration) Dialer {
	if timeout <= 0 {
		timeout = dialTimeout
	}
	return Dialer{net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount},
	}}
}

// Connect implements catkinspindle.Connector.
func (d Dialer) Connect(ctx context.Context, address string) (net.Conn, error) {
	return d.dialer.DialContext(ctx, "tcp", address)
}

func newPool() *pool {
	return &pool{
		connector: NewDialer(0),
		mayReuse:  func(string, time.Time) bool { return true },
		idle:      map[string][]*conn{},
		maxIdle:   defaultMaxIdle,
	}
}

// get removes an idle connection to the incarnation r from the pool and returns it.
// It returns nil when there is none or when newConn is true.
func (p *pool) get(r catkinspindle.Replica, newConn bool) *conn {
	if newConn {
		return nil
	}
	for {
		c := p.pop(r)
		if c == nil {
			return nil
		}
		if c.replica.SameIncarnation(r) && time.Now().Before(c.reusableUntil) && p.mayReuse(r.Address, c.lastRead) && c.isIdle() {
			c.reused = true
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
	n, err := p.connector.Connect(ctx, r.Address)
	if err != nil {
		return nil, err
	}
	c := &conn{net: http1.New(n, http1.WithHeadCheck()), replica: r, readLimit: noLimit, buffers: p.buffers, lastRead: time.Now()}
	c.reader = bufio.NewReaderSize(c, 4<<10)
	return c, nil
}

func (p *pool) put(c *conn, idleTimeout time.Duration) {
	if idleTimeout <= 0 {
		idleTimeout = defaultIdleTimeout
	}
	c.reusableUntil = time.Now().Add(time.Duration(idleTimeoutFraction * float64(idleTimeout)))
	p.mu.Lock()
	list := p.idle[c.replica.ID]
	full := len(list) >= p.maxIdle
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
			if ok && c.replica.SameIncarnation(r) && !r.Leaving {
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

func (p *pool) setMaxIdle(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maxIdle = max(1, n)
}
