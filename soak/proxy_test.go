package soak_test

import (
	"net"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

// fault is a network fault that a proxy injects into its connections.
type fault int

const (
	faultNone fault = iota
	// faultDelay delays each read of data by proxyDelay.
	faultDelay
	// faultSilence withholds the data of both directions until the fault ends.
	faultSilence
	// faultMute forwards the data of clients and withholds the responses until the fault ends.
	faultMute
	// faultReset ends all connections, existing and new, with a TCP reset.
	faultReset
	faultCount
)

var faultNames = [...]string{"passes", "delays", "silences", "mutes", "resets"}

func (f fault) String() string { return faultNames[f] }

const (
	// proxyDelay is much longer than a round trip and much shorter than any timeout.
	proxyDelay = 60 * time.Millisecond
	// withholdPollInterval is the interval at which a proxy that withholds data checks
	// whether the fault has ended.
	withholdPollInterval = 5 * time.Millisecond
)

// proxy forwards TCP connections to a target on loopback.
type proxy struct {
	listener net.Listener
	target   string
	group    errgroup.Group

	mu    sync.Mutex
	fault fault
	conns map[net.Conn]bool
	// listening is closed when the listener of a proxy whose target is down is open again.
	listening chan struct{}
	closed    bool
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

func (p *proxy) setFault(f fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
	if f == faultReset {
		p.resetConns()
	}
}

func (p *proxy) currentFault() fault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault
}

// resetConns ends all connections with a TCP reset instead of a regular close. The caller
// holds p.mu.
func (p *proxy) resetConns() {
	for c := range p.conns {
		_ = c.(*net.TCPConn).SetLinger(0) // Fails only on a closed connection.
		_ = c.Close()
	}
	clear(p.conns)
}

// setUp makes the proxy refuse connections while its target is down.
func (p *proxy) setUp(up bool) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || up == (p.listening == nil) {
		return nil
	}
	if !up {
		p.listening = make(chan struct{})
		p.resetConns()
		return p.listener.Close()
	}
	l, err := net.Listen("tcp", p.listener.Addr().String())
	if err != nil {
		return err
	}
	p.listener = l
	close(p.listening)
	p.listening = nil
	return nil
}

func (p *proxy) close() error {
	p.mu.Lock()
	p.closed = true
	err := p.listener.Close()
	if p.listening != nil {
		close(p.listening)
		p.listening = nil
	}
	p.resetConns()
	p.mu.Unlock()
	_ = p.group.Wait() // The only error is that of the closed listener.
	return err
}

func (p *proxy) accept() error {
	for {
		p.mu.Lock()
		l, listening, closed := p.listener, p.listening, p.closed
		p.mu.Unlock()
		if listening != nil {
			<-listening
			continue
		}
		client, err := l.Accept()
		if err != nil && !closed {
			continue // The target is down, or the proxy is being closed.
		}
		if err != nil {
			return err
		}
		server, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = client.Close() // To the client, the target is down.
			continue
		}
		p.mu.Lock()
		p.conns[client], p.conns[server] = true, true
		if p.fault == faultReset {
			p.resetConns()
		}
		p.mu.Unlock()
		p.group.Go(func() error { return p.forward(server, client, false) })
		p.group.Go(func() error { return p.forward(client, server, true) })
	}
}

// forward forwards data from one connection to the other until either side ends. fromServer is
// true for the direction from the server to the client.
func (p *proxy) forward(to, from net.Conn, fromServer bool) error {
	defer func() {
		_, _ = to.Close(), from.Close() // Either may be closed already.
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
		if p.currentFault() == faultDelay {
			time.Sleep(proxyDelay)
		}
		for f := p.currentFault(); f == faultSilence || (f == faultMute && fromServer); f = p.currentFault() {
			time.Sleep(withholdPollInterval)
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return nil
		}
	}
}
