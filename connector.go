package catkinspindle

import (
	"context"
	"net"
)

// Connector opens connections to replicas.
type Connector interface {
	// Connect connects to the replica at address, which is a host and port. An error that is a
	// *ConnectFailure says whether it is evidence against the replica.
	Connect(ctx context.Context, address string) (net.Conn, error)
}

// ConnectFailure is a failure to connect to a replica.
type ConnectFailure struct {
	// Confirmed is true when a node whose own paths work could not connect to the replica
	// either. Otherwise the failure says something about this node's path only.
	Confirmed bool
	// Refused is true when the replica refused the connection.
	Refused bool
	Err     error
}

// Error implements error.
func (f *ConnectFailure) Error() string { return f.Err.Error() }

// Unwrap returns the cause.
func (f *ConnectFailure) Unwrap() error { return f.Err }

// Tunnel is a byte stream to another node.
type Tunnel interface {
	net.Conn
	// Abort closes the tunnel so that the other end sees an error instead of the end of the
	// data, after the data that has been written.
	Abort()
}

// TunnelHandler accepts a tunnel, or refuses it with an error. decode decodes the request into its
// argument; serve is called with the accepted tunnel. ctx is done when nothing more can be written
// to the tunnel.
type TunnelHandler func(ctx context.Context, decode func(any) error) (serve func(Tunnel), err error)

// Tunnels opens tunnels to other nodes.
type Tunnels interface {
	// OpenTunnel opens a tunnel to the node at address and sends req. A Failure with which the
	// remote handler refuses keeps its reason.
	OpenTunnel(ctx context.Context, address, kind string, req any) (Tunnel, error)
	// HandleTunnel registers the handler for tunnels of a kind. It must be called before the
	// transport starts.
	HandleTunnel(kind string, h TunnelHandler)
}
