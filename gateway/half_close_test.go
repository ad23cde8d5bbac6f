package gateway_test

import (
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/sync/errgroup"
)

// A caller that closes its writing side after a whole request counts as gone, as net/http cannot tell it
// from one that has left: its request ends with a line, and without an answer if that has not begun.
func TestHalfClosedCallersCountAsGone(t *testing.T) {
	w := &panickingCluster{fakeCluster: &fakeCluster{steps: []scriptedAnswer{{status: 200, silent: true}}}, calls: map[string]int{}}
	s := newServed(w, 9, true)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var serving errgroup.Group
	serving.Go(func() error { return s.server.Serve(l) })
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(c, requestText("/once/", "1.1", "Content-Length: 0\r\n", "")); err != nil {
		t.Fatal(err)
	}
	for s.gateway.InFlight() == 0 {
		time.Sleep(time.Millisecond)
	}
	if err := c.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	answers := readAnswers(c)
	if err := errors.Join(c.Close(), s.server.Stop(t.Context())); err != nil {
		t.Error(err)
	}
	if err := serving.Wait(); !errors.Is(err, http.ErrServerClosed) {
		t.Error(err)
	}
	ends, _ := s.lines(t)
	if diff := cmp.Diff([]any{[]string(nil), []string{"caller-gone"}, 1, 1}, []any{answers, ends, s.count("begun"), s.count("aborted")}); diff != "" {
		t.Errorf("answers, lines, requests begun and aborted (-want +got):\n%s", diff)
	}
}
