package wire

import (
	"context"
	"net"
	"time"
)

func dialContext(timeout time.Duration) func(context.Context, string, string) (net.Conn, error) {
	d := &net.Dialer{Timeout: timeout, KeepAlive: 15 * time.Second}
	return d.DialContext
}
