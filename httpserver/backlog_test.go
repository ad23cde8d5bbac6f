package httpserver_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/catkinspindle/catkinspindle/httpserver"
)

// gated is a TCP listener that accepts nothing before it is opened.
type gated struct {
	*net.TCPListener
	open chan struct{}
}

// Accept implements net.Listener.
func (g *gated) Accept() (net.Conn, error) {
	<-g.open
	return g.TCPListener.Accept()
}

func listenTCP(t *testing.T) *net.TCPListener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l.(*net.TCPListener)
}

// requestOn sends a request on a connection and returns the status of the response.
func requestOn(c net.Conn) (int, error) {
	defer func() { _ = c.Close() }() // The response has been read, or the connection has failed.
	if _, err := io.WriteString(c, request); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err
	}
	return resp.StatusCode, nil
}

// Connections that wait to be accepted when the server stops are not reset.
func TestStopAnswersConnectionsThatWaitToBeAccepted(t *testing.T) {
	const waiting = 50
	l := &gated{listenTCP(t), make(chan struct{})}
	s := httpserver.New(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), slog.New(slog.DiscardHandler))
	var serving, callers, stopping errgroup.Group
	serving.Go(func() error { return s.Serve(l) })
	for range waiting {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		callers.Go(func() error {
			status, err := requestOn(c)
			if err == nil && status != http.StatusOK && status != http.StatusRequestTimeout {
				t.Errorf("status %d", status)
			}
			return err
		})
	}
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	stopping.Go(func() error { return s.Stop(ctx) })
	time.Sleep(20 * time.Millisecond) // Stop is under way.
	close(l.open)
	if err := errors.Join(callers.Wait(), stopping.Wait()); err != nil {
		t.Error(err)
	}
	if err := serving.Wait(); !errors.Is(err, http.ErrServerClosed) {
		t.Error(err)
	}
}
