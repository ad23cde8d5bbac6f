package httpserver_test

import (
	"log/slog"
	"net"
	"net/http"
	"os"
	"syscall"
	"testing"
	"testing/synctest"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/sync/errgroup"

	"github.com/catkinspindle/catkinspindle/httpserver"
)

// exhausted is a listener that runs out of descriptors a number of times.
type exhausted struct {
	*pipes
	failures int
}

// Accept implements net.Listener.
func (e *exhausted) Accept() (net.Conn, error) {
	if e.failures > 0 {
		e.failures--
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	}
	return e.pipes.Accept()
}

func TestServerAcceptsAgainAfterDescriptorsRanOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := httpserver.New(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), slog.New(slog.DiscardHandler))
		p := &pipes{accepted: make(chan net.Conn), closed: make(chan struct{})}
		var group errgroup.Group
		group.Go(func() error { return s.Serve(&exhausted{p, 5}) })
		served, client := net.Pipe()
		p.accepted <- served
		if _, err := client.Write([]byte(request)); err != nil {
			t.Fatal(err)
		}
		head := make([]byte, len("HTTP/1.1 200"))
		if _, err := client.Read(head); err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff("HTTP/1.1 200", string(head)); diff != "" {
			t.Errorf("answer (-want +got):\n%s", diff)
		}
		if err := s.Close(); err != nil {
			t.Error(err)
		}
		if err := group.Wait(); err != http.ErrServerClosed {
			t.Errorf("Serve returned %v", err)
		}
	})
}
