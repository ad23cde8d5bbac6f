// Package brokenhttp is a server that answers with given bytes and ends its connections in a given
// way, for tests of what reads answers.
package brokenhttp

import (
	"bufio"
	"cmp"
	"errors"
	"io"
	"net"
	"net/http"

	"golang.org/x/sync/errgroup"
)

// receiveBuffer is the size in bytes of the receive buffer of a connection whose upload is not read,
// so that a long one does not fit.
const receiveBuffer = 16 << 10

// Server answers the first request of each connection with Bytes as soon as its head has arrived,
// and then ends the connection.
type Server struct {
	// Bytes are sent as they are.
	Bytes string
	// Later is sent instead of Bytes on all connections but the first, unless it is empty.
	Later string
	// HalfClose ends the server's direction of the connection after Bytes.
	HalfClose bool
	// ReadUpload reads the request's body before the connection ends.
	ReadUpload bool
	// Reset resets the connection at its end, also after the whole body has been read.
	Reset bool
}

// Start listens on a free port of the loopback address until stop is called.
func (s Server) Start() (address string, stop func() error, err error) {
	l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return "", nil, err
	}
	var group errgroup.Group
	group.Go(func() error {
		for answer := s.Bytes; ; answer = cmp.Or(s.Later, s.Bytes) {
			c, err := l.AcceptTCP()
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			if err != nil {
				return err
			}
			group.Go(func() error {
				s.serve(c, answer)
				return nil
			})
		}
	})
	return l.Addr().String(), func() error { return errors.Join(l.Close(), group.Wait()) }, nil
}

// serve serves one connection. Its errors show at the client.
func (s Server) serve(c *net.TCPConn, answer string) {
	defer func() { _ = c.Close() }()
	if !s.ReadUpload {
		_ = c.SetReadBuffer(receiveBuffer)
	}
	req, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	_, _ = io.WriteString(c, answer)
	if s.HalfClose {
		_ = c.CloseWrite()
	}
	if s.ReadUpload {
		_, _ = io.Copy(io.Discard, req.Body)
	}
	if s.Reset {
		_ = c.SetLinger(0)
	}
}
