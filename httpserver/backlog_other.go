//go:build !linux

package httpserver

import (
	"errors"
	"net"
)

// acceptWaiting is not available on this system.
func acceptWaiting(net.Listener) (net.Conn, error) { return nil, errors.ErrUnsupported }
