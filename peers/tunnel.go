package peers

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/quic-go/quic-go"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/events"
)

const (
	// closedCode and abortedCode are the QUIC error codes of streams whose end is not used any
	// more, and of those that broke.
	closedCode  = 0
	abortedCode = 1
	// tunnelLinger is how long a connection without tunnels is kept.
	tunnelLinger = 5 * time.Second
	// maxTunnelAnswerBytes is the maximum size of the response to the request for a tunnel, with
	// what is read together with it. The response has no body.
	maxTunnelAnswerBytes = 64 << 10
)

// tunnelConn is a connection for tunnels. Tunnels do not share the connections of calls, which
// are closed when a call gets no answer in time.
type tunnelConn struct {
	*quic.Conn
	address string
	// open counts the tunnels. dropped is true if no further ones are opened; the connection
	// closes with the last one. Both are guarded by Transport.mu.
	open    int
	dropped bool
}

// tunnel is a QUIC stream after its request has been accepted.
type tunnel struct {
	*quic.Stream
	// reader returns what was read together with the response, then the stream.
	reader        io.Reader
	local, remote net.Addr
	// release is called once when the tunnel is closed or aborted.
	release func()
	// countSent counts a write of so many bytes.
	countSent func(bytes int)
}

// Write implements net.Conn.
func (t *tunnel) Write(p []byte) (int, error) {
	n, err := t.Stream.Write(p)
	t.countSent(n)
	return n, err
}

// Read implements net.Conn.
func (t *tunnel) Read(p []byte) (int, error) { return t.reader.Read(p) }

// Close implements net.Conn. What has been written is still sent.
func (t *tunnel) Close() error {
	defer t.release()
	t.CancelRead(closedCode)
	return t.Stream.Close()
}

// Abort implements catkinspindle.Tunnel. What has been written is still sent if the peer supports
// stream resets with partial delivery.
func (t *tunnel) Abort() {
	defer t.release()
	t.CancelRead(abortedCode)
	t.SetReliableBoundary()
	t.CancelWrite(abortedCode)
}

// LocalAddr implements net.Conn.
func (t *tunnel) LocalAddr() net.Addr { return t.local }

// RemoteAddr implements net.Conn.
func (t *tunnel) RemoteAddr() net.Addr { return t.remote }

// HandleTunnel implements catkinspindle.Tunnels.
func (t *Transport) HandleTunnel(kind string, h catkinspindle.TunnelHandler) {
	t.tunnelHandlers[kind] = h
}

// serveTunnel answers the request for a tunnel and serves it if it is accepted.
func (t *Transport) serveTunnel(conn *quic.Conn, s *quic.Stream, req request, h catkinspindle.TunnelHandler) {
	serve, err := h(s.Context(), decoder(req))
	answer := response{}
	if err != nil {
		answer = failureResponse(err)
	}
	data, err := cbor.Marshal(answer)
	if err != nil {
		t.log.Warn("response to peer cannot be encoded", events.PeerMalformed.Attr(), "kind", req.Kind, "error", err)
		s.CancelWrite(abortedCode)
	}
	tun := &tunnel{Stream: s, reader: s, local: conn.LocalAddr(), remote: conn.RemoteAddr(), release: func() {}, countSent: t.countTunnel}
	if _, err := s.Write(data); err != nil && serve != nil {
		tun.Abort() // serve ends at the first read or write.
	}
	if serve != nil {
		serve(tun)
	}
}

// OpenTunnel implements catkinspindle.Tunnels.
func (t *Transport) OpenTunnel(ctx context.Context, address, kind string, req any) (catkinspindle.Tunnel, error) {
	data, err := encode(kind, req)
	if err != nil {
		return nil, err
	}
	conn, err := t.connectTunnels(ctx, address)
	if err != nil {
		return nil, catkinspindle.Fail(catkinspindle.NotRun, catkinspindle.ReasonPeerUnreachable, "peers: connect to %s: %w", address, err)
	}
	release := sync.OnceFunc(func() { t.releaseTunnel(conn) })
	s, err := conn.OpenStreamSync(ctx)
	if err != nil {
		t.dropTunnels(conn)
		release()
		return nil, catkinspindle.Fail(catkinspindle.NotRun, catkinspindle.ReasonPeerUnreachable, "peers: tunnel to %s: %w", address, err)
	}
	tun := &tunnel{Stream: s, local: conn.LocalAddr(), remote: conn.RemoteAddr(), release: release, countSent: t.countTunnel}
	if err := tun.open(ctx, address, data); err != nil {
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			t.dropTunnels(conn)
		}
		tun.Abort()
		return nil, err
	}
	return tun, nil
}

// connectTunnels returns the connection for tunnels to address, or dials a new one. Each call must
// be followed by one of releaseTunnel.
func (t *Transport) connectTunnels(ctx context.Context, address string) (*tunnelConn, error) {
	if c := t.pooledTunnels(address); c != nil {
		return c, nil
	}
	conn, err := quic.DialAddr(ctx, address, t.tlsConfig, quicConfig())
	if err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	c := &tunnelConn{Conn: conn, address: address, open: 1}
	if existing := t.tunnelConns[address]; existing != nil {
		existing.dropped = true
	}
	t.tunnelConns[address] = c
	return c, nil
}

// pooledTunnels returns the open connection for tunnels to address, or nil.
func (t *Transport) pooledTunnels(address string) *tunnelConn {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.tunnelConns[address]
	if c == nil || c.Context().Err() != nil {
		return nil
	}
	c.open++
	return c
}

// dropTunnels makes later tunnels use another connection.
func (t *Transport) dropTunnels(c *tunnelConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c.dropped = true
	if t.tunnelConns[c.address] == c {
		delete(t.tunnelConns, c.address)
	}
}

// releaseTunnel records the end of a tunnel. A connection without tunnels is closed after
// tunnelLinger, a dropped one at once.
func (t *Transport) releaseTunnel(c *tunnelConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c.open--
	switch {
	case c.open > 0:
	case c.dropped:
		_ = c.CloseWithError(closeCode, "dropped") // Nothing uses the connection any more.
	default:
		time.AfterFunc(tunnelLinger, func() { t.closeIdleTunnels(c) })
	}
}

func (t *Transport) closeIdleTunnels(c *tunnelConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c.open > 0 {
		return
	}
	if t.tunnelConns[c.address] == c {
		delete(t.tunnelConns, c.address)
	}
	_ = c.CloseWithError(closeCode, "idle") // Nothing uses the connection any more.
}

// open sends the encoded request and reads the response.
func (t *tunnel) open(ctx context.Context, address string, data []byte) error {
	failed := func(err error) error {
		return catkinspindle.Fail(catkinspindle.NotRun, catkinspindle.ReasonPeerUnreachable, "peers: tunnel to %s: %w", address, err)
	}
	stop := context.AfterFunc(ctx, func() { _ = t.SetDeadline(time.Now()) })
	defer stop()
	if _, err := t.Write(data); err != nil {
		return failed(err)
	}
	decoder := cbor.NewDecoder(io.LimitReader(t.Stream, maxTunnelAnswerBytes))
	var r response
	if err := decoder.Decode(&r); err != nil {
		return failed(err)
	}
	if r.Failure != nil {
		return r.Failure.Failure()
	}
	if !stop() {
		return failed(ctx.Err())
	}
	t.reader = io.MultiReader(decoder.Buffered(), t.Stream)
	return nil
}

// encode returns the encoded request of a kind.
func encode(kind string, req any) ([]byte, error) {
	body, err := cbor.Marshal(req)
	if err != nil {
		return nil, fmt.Errorf("peers: encode %q: %w", kind, err)
	}
	data, err := cbor.Marshal(request{Kind: kind, Body: body})
	if err != nil {
		return nil, fmt.Errorf("peers: encode %q: %w", kind, err)
	}
	return data, nil
}
