// Package peers implements RPC between the system's processes over QUIC with mutual TLS.
// Each call uses one bidirectional QUIC stream for the request and the response.
package peers

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/quic-go/quic-go"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/events"
	"github.com/catkinspindle/catkinspindle/readbudget"
)

// ServerName is the DNS name in the certificates of nodes.
const ServerName = "catkinspindle-peer"

// Protocol is the ALPN protocol of the TLS handshake.
const Protocol = "catkinspindle/1"

const (
	// maxMessageBytes is the maximum size of a request or response in bytes.
	maxMessageBytes = 2 << 20
	// maxReading bounds the buffers of all messages that are being read, maxReadingOfPeer those of
	// one connection, both in bytes. The first is a fifth of the memory of the smallest VM; a
	// faulty peer takes no more than a quarter of it. A buffer grows to at most twice its message.
	maxReading       = 32 << 20
	maxReadingOfPeer = 8 << 20
	// idleTimeout is the idle timeout of a connection.
	idleTimeout = 5 * time.Second
	// keepAliveInterval is the interval of keep-alive packets on an idle connection.
	keepAliveInterval = 1500 * time.Millisecond
	// maxIncomingCalls is the maximum number of calls in flight on a connection from a peer.
	maxIncomingCalls = 4096

	// requestTimeout is the time in which a request must have arrived whole.
	requestTimeout = 10 * time.Second

	// closeCode is the QUIC application error code of every connection close.
	closeCode = 0
	// busyCode is the QUIC error code of streams whose request was not read for lack of memory.
	busyCode = 2
)

// Transport sends requests to peers and serves theirs. It implements catkinspindle.Peers,
// catkinspindle.Tunnels and catkinspindle.Service.
type Transport struct {
	listenAddress string
	tlsConfig     *tls.Config
	log           *slog.Logger
	handlers      map[string]catkinspindle.PeerHandler
	// tunnelHandlers has the handlers of tunnels by kind.
	tunnelHandlers map[string]catkinspindle.TunnelHandler
	group          *errgroup.Group
	socket         *net.UDPConn
	quicTransport  *quic.Transport
	listener       *quic.Listener
	cancel         context.CancelFunc
	// reading bounds the messages that are being read from all peers, readingOfPeer those of one
	// connection in bytes.
	reading       *readbudget.Budget
	readingOfPeer int
	// metrics counts what is sent; nil if nothing is counted.
	metrics metrics.Registry

	mu    sync.Mutex
	conns map[string]*callConn
	// tunnelConns has the connections for tunnels by address.
	tunnelConns map[string]*tunnelConn
}

// callConn is a connection for calls.
type callConn struct {
	*quic.Conn
	// reading bounds the responses that are being read.
	reading *readbudget.Budget
}

type request struct {
	Kind string          `cbor:"1,keyasint"`
	Body cbor.RawMessage `cbor:"2,keyasint"`
}

type response struct {
	Failure *catkinspindle.FailureReport `cbor:"1,keyasint,omitempty"`
	Body    cbor.RawMessage              `cbor:"2,keyasint,omitempty"`
}

// Option configures a Transport.
type Option func(*Transport)

// WithReadLimits sets how many bytes of messages are read at a time, from all peers and on one
// connection. The default is 32 MiB and 8 MiB.
func WithReadLimits(all, connection int) Option {
	return func(t *Transport) { t.reading, t.readingOfPeer = readbudget.New(all), connection }
}

// NewFromFiles returns a transport that listens on a UDP address and trusts peers whose
// certificate is signed by the authority. certificate, key and authority are paths of PEM files.
func NewFromFiles(listenAddress, certificate, key, authority string, log *slog.Logger, opts ...Option) (*Transport, error) {
	cert, err := tls.LoadX509KeyPair(certificate, key)
	if err != nil {
		return nil, fmt.Errorf("load key pair %s, %s: %w", certificate, key, err)
	}
	authorityPEM, err := os.ReadFile(authority)
	if err != nil {
		return nil, fmt.Errorf("read authority certificate: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authorityPEM) {
		return nil, fmt.Errorf("authority %s: file has no certificate", authority)
	}
	return NewWithTLS(listenAddress, &tls.Config{
		Certificates: []tls.Certificate{cert},
		RootCAs:      pool,
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ServerName:   ServerName,
		NextProtos:   []string{Protocol},
		MinVersion:   tls.VersionTLS13,
	}, log, opts...), nil
}

// NewWithTLS returns a transport that listens on a UDP address and uses config for both
// incoming and outgoing connections.
func NewWithTLS(listenAddress string, config *tls.Config, log *slog.Logger, opts ...Option) *Transport {
	t := &Transport{
		listenAddress: listenAddress,
		log:           log,
		tlsConfig:     config,
		handlers:      map[string]catkinspindle.PeerHandler{},

		tunnelHandlers: map[string]catkinspindle.TunnelHandler{},
		tunnelConns:    map[string]*tunnelConn{},
		conns:          map[string]*callConn{},
		reading:        readbudget.New(maxReading),
		readingOfPeer:  maxReadingOfPeer,
	}
	for _, opt := range opts {
		opt(t)
	}
	return t
}

// Handle implements catkinspindle.Peers.
func (t *Transport) Handle(kind string, h catkinspindle.PeerHandler) { t.handlers[kind] = h }

func quicConfig() *quic.Config {
	return &quic.Config{
		MaxIdleTimeout:     idleTimeout,
		KeepAlivePeriod:    keepAliveInterval,
		MaxIncomingStreams: maxIncomingCalls,

		EnableStreamResetPartialDelivery: true,
	}
}

// Start implements catkinspindle.Service.
func (t *Transport) Start(context.Context) error {
	address, err := net.ResolveUDPAddr("udp", t.listenAddress)
	if err != nil {
		return fmt.Errorf("peers: listen on %s: %w", t.listenAddress, err)
	}
	t.socket, err = net.ListenUDP("udp", address)
	if err != nil {
		return fmt.Errorf("peers: listen on %s: %w", t.listenAddress, err)
	}
	t.quicTransport = &quic.Transport{Conn: t.socket}
	t.listener, err = t.quicTransport.Listen(t.tlsConfig, quicConfig())
	if err != nil {
		return errors.Join(fmt.Errorf("peers: listen on %s: %w", t.listenAddress, err), t.socket.Close())
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.cancel = cancel
	t.group = &errgroup.Group{}
	t.group.Go(func() error {
		t.accept(ctx)
		return nil
	})
	return nil
}

// Stop implements catkinspindle.Service. The listen address is free when it returns.
func (t *Transport) Stop(context.Context) error {
	t.cancel()
	t.mu.Lock()
	for _, c := range t.conns {
		_ = c.CloseWithError(closeCode, "stopping")
	}
	for _, c := range t.tunnelConns {
		_ = c.CloseWithError(closeCode, "stopping")
	}
	t.mu.Unlock()
	// Each serve sends its peer a connection close, which must happen before the socket closes.
	return errors.Join(t.listener.Close(), t.group.Wait(), t.quicTransport.Close(), t.socket.Close())
}

func (t *Transport) accept(ctx context.Context) {
	for {
		conn, err := t.listener.Accept(ctx)
		if err != nil {
			return
		}
		t.group.Go(func() error {
			t.serve(ctx, conn)
			return nil
		})
	}
}

// serve handles the calls of one connection.
func (t *Transport) serve(ctx context.Context, conn *quic.Conn) {
	defer func() { _ = conn.CloseWithError(closeCode, "stopping") }() // The connection is not used any more.
	reading := t.reading.Share(t.readingOfPeer)
	for {
		s, err := conn.AcceptStream(ctx)
		if err != nil {
			return
		}
		t.group.Go(func() error {
			t.handleStream(conn, s, reading)
			return nil
		})
	}
}

func (t *Transport) handleStream(conn *quic.Conn, s *quic.Stream, reading *readbudget.Budget) {
	defer func() { _ = s.Close() }()
	var req request
	_ = s.SetReadDeadline(time.Now().Add(requestTimeout)) // A stream has deadlines.
	switch err := decodeMessage(s, reading, &req); {
	case errors.Is(err, readbudget.ErrExhausted):
		t.log.Warn("request from peer not read", events.PeerMalformed.Attr(), "error", err)
		s.CancelRead(busyCode)
		s.CancelWrite(busyCode)
		return
	case err != nil:
		t.log.Warn("malformed request from peer", events.PeerMalformed.Attr(), "error", err)
		s.CancelRead(0)
		return
	}
	_ = s.SetReadDeadline(time.Time{}) // Tunnels have no deadline.
	if h, ok := t.tunnelHandlers[req.Kind]; ok {
		t.serveTunnel(conn, s, req, h)
		return
	}
	data, err := cbor.Marshal(t.dispatch(s.Context(), req))
	if err != nil {
		t.log.Warn("response to peer cannot be encoded", events.PeerMalformed.Attr(), "kind", req.Kind, "error", err)
		return
	}
	if _, ok := t.handlers[req.Kind]; ok {
		t.countSent(req.Kind, len(data))
	}
	_, _ = s.Write(data)
}

// decodeMessage reads a message into v.
func decodeMessage(s *quic.Stream, reading *readbudget.Budget, v any) error {
	r := reading.Limit(s, maxMessageBytes)
	defer func() { _ = r.Close() }() // It returns no error.
	return cbor.NewDecoder(r).Decode(v)
}

func (t *Transport) dispatch(ctx context.Context, req request) response {
	h, ok := t.handlers[req.Kind]
	if !ok {
		return failureResponse(catkinspindle.Fail(catkinspindle.NotRun, catkinspindle.ReasonBadRequest, "no handler for %q", req.Kind))
	}
	v, err := h(ctx, decoder(req))
	if err != nil {
		return failureResponse(err)
	}
	body, err := cbor.Marshal(v)
	if err != nil {
		return failureResponse(err)
	}
	return response{Body: body}
}

// decoder returns a function that decodes the body of req.
func decoder(req request) func(any) error {
	return func(v any) error {
		if err := cbor.Unmarshal(req.Body, v); err != nil {
			return catkinspindle.Fail(catkinspindle.NotRun, catkinspindle.ReasonBadRequest, "message %q: %w", req.Kind, err)
		}
		return nil
	}
}

func failureResponse(err error) response {
	report := catkinspindle.AsFailure(err).Report()
	return response{Failure: &report}
}

// Call implements catkinspindle.Peers.
func (t *Transport) Call(ctx context.Context, address, kind string, req, resp any) error {
	data, err := encode(kind, req)
	if err != nil {
		return err
	}
	conn, s, err := t.openStream(ctx, address)
	if err != nil {
		return err
	}
	t.countSent(kind, len(data))
	err = roundTrip(ctx, s, conn.reading, address, data, resp)
	if err != nil && errors.Is(ctx.Err(), context.DeadlineExceeded) {
		// A peer that has restarted at the same address has no state of this connection.
		// Only a new connection shows whether the peer is alive.
		t.dropConnection(address, conn)
	}
	return err
}

// openStream opens a stream on the connection to address.
func (t *Transport) openStream(ctx context.Context, address string) (*callConn, *quic.Stream, error) {
	conn, err := t.connect(ctx, address)
	if err != nil {
		return nil, nil, catkinspindle.Fail(catkinspindle.NotRun, catkinspindle.ReasonPeerUnreachable, "peers: connect to %s: %w", address, err)
	}
	s, err := conn.OpenStreamSync(ctx)
	if err != nil {
		if !errors.Is(ctx.Err(), context.Canceled) {
			t.dropConnection(address, conn)
		}
		return nil, nil, catkinspindle.Fail(catkinspindle.NotRun, catkinspindle.ReasonPeerUnreachable, "peers: call %s: %w", address, err)
	}
	return conn, s, nil
}

// dropConnection closes a connection on which a call failed and removes it from the pool.
func (t *Transport) dropConnection(address string, conn *callConn) {
	t.mu.Lock()
	if t.conns[address] == conn {
		delete(t.conns, address)
	}
	t.mu.Unlock()
	_ = conn.CloseWithError(closeCode, "no answer") // The connection is dropped either way.
}

// roundTrip writes a request and reads its response into resp unless resp is nil.
func roundTrip(ctx context.Context, s *quic.Stream, reading *readbudget.Budget, address string, data []byte, resp any) error {
	failed := func(err error) error {
		s.CancelRead(0)
		s.CancelWrite(0)
		if refused := new(quic.StreamError); errors.As(err, &refused) && refused.Remote && refused.ErrorCode == busyCode {
			return catkinspindle.Fail(catkinspindle.NotRun, catkinspindle.ReasonOverload, "peers: call %s: %w", address, err)
		}
		return catkinspindle.Fail(catkinspindle.MayHaveRun, catkinspindle.ReasonBackendFailed, "peers: call %s: %w", address, err)
	}
	stop := context.AfterFunc(ctx, func() { _ = s.SetDeadline(time.Now()) })
	defer stop()
	if _, err := s.Write(data); err != nil {
		return failed(err)
	}
	if err := s.Close(); err != nil {
		return failed(err)
	}
	var r response
	if err := decodeMessage(s, reading, &r); err != nil {
		return failed(err)
	}
	if r.Failure != nil {
		return r.Failure.Failure()
	}
	if resp == nil {
		return nil
	}
	if err := cbor.Unmarshal(r.Body, resp); err != nil {
		return failed(err)
	}
	return nil
}

// connect returns the open connection to address, or dials a new one.
func (t *Transport) connect(ctx context.Context, address string) (*callConn, error) {
	t.mu.Lock()
	pooled, ok := t.conns[address]
	t.mu.Unlock()
	if ok && pooled.Context().Err() == nil {
		return pooled, nil
	}
	conn, err := quic.DialAddr(ctx, address, t.tlsConfig, quicConfig())
	if err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if existing, ok := t.conns[address]; ok && existing.Context().Err() == nil {
		_ = conn.CloseWithError(closeCode, "duplicate")
		return existing, nil
	}
	opened := &callConn{Conn: conn, reading: t.reading.Share(t.readingOfPeer)}
	t.conns[address] = opened
	return opened, nil
}
