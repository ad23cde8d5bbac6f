package soak_test

import (
	"net"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

// fault is what a proxy does to its connections.
type fault int

const (
	passes fault = iota
	// delays holds each piece of data back.
	delays
	// silences keeps what both sides send until the fault ends.
	silences
	// mutes passes on what clients send and keeps what comes back.
	mutes
	// resets ends all connections, old and new.
	resets
	faults
)

var faultNames = [...]string{"passes", "delays", "silences", "mutes", "resets"}

func (f fault) String() string { return faultNames[f] }

const (
	// proxyDelay is long against a round trip and short against every timeout.
	proxyDelay = 60 * time.Millisecond
	// holdPoll is how often a proxy that keeps data looks whether it may pass.
	holdPoll = 5 * time.Millisecond
)

// proxy passes TCP connections on to a target on loopback.
type proxy struct {
	listener net.Listener
	target   string
	group    errgroup.Group

	mu    sync.Mutex
	fault fault
	conns map[net.Conn]bool
}

func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, conns: map[net.Conn]bool{}}
	p.group.Go(p.accept)
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) set(f fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
	if f == resets {
		p.reset()
	}
}

func (p *proxy) current() fault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault
}

// reset ends all connections with a reset instead of a close.
func (p *proxy) reset() {
	for c := range p.conns {
		_ = c.(*net.TCPConn).SetLinger(0) // One that is closed already needs none.
		_ = c.Close()
	}
	clear(p.conns)
}

func (p *proxy) close() error {
	err := p.listener.Close()
	p.mu.Lock()
	p.reset()
	p.mu.Unlock()
	_ = p.group.Wait() // The end of the listener is the only error.
	return err
}

func (p *proxy) accept() error {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return err
		}
		server, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = client.Close() // The target is down, and the client sees it as such.
			continue
		}
		p.mu.Lock()
		p.conns[client], p.conns[server] = true, true
		if p.fault == resets {
			p.reset()
		}
		p.mu.Unlock()
		p.group.Go(func() error { return p.carry(server, client, false) })
		p.group.Go(func() error { return p.carry(client, server, true) })
	}
}

// carry passes data on until one side ends.
func (p *proxy) carry(to, from net.Conn, back bool) error {
	defer func() {
		_, _ = to.Close(), from.Close() // Either side may have closed them before.
		p.mu.Lock()
		delete(p.conns, to)
		delete(p.conns, from)
		p.mu.Unlock()
	}()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return nil
		}
		if p.current() == delays {
			time.Sleep(proxyDelay)
		}
		for f := p.current(); f == silences || (f == mutes && back); f = p.current() {
			time.Sleep(holdPoll)
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return nil
		}
	}
}
