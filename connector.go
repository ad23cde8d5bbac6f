package catkinspindle

import (
	"context"
	"net"
)

// Connector opens connections to replicas.
type Connector interface {
	// Connect connects to the replica at address, which is a host and port.
	Connect(ctx context.Context, address string) (net.Conn, error)
}
