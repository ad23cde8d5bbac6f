package httpserver_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/catkinspindle/catkinspindle"
)

const (
	// linkDelay is the delay of each direction of a link.
	linkDelay = 50 * time.Millisecond
	// ownIdleLimit is how long a caller keeps an idle connection of a server that states no timeout.
	ownIdleLimit = 25 * time.Second
)

// newLink returns both ends of a connection on which data and closes arrive after linkDelay.
func newLink(group *errgroup.Group) (client, server net.Conn) {
	type segment struct {
		data []byte
		at   time.Time
	}
	clientEnd, clientWire := net.Pipe()
	serverEnd, serverWire := net.Pipe()
	pass := func(from, to net.Conn) {
		queue := make(chan segment, 100)
		group.Go(func() error {
			defer close(queue)
			for {
				data := make([]byte, 4096)
				n, err := from.Read(data)
				queue <- segment{data[:n], time.Now().Add(linkDelay)}
				if err != nil {
					return nil
				}
			}
		})
		group.Go(func() error {
			for s := range queue {
				time.Sleep(time.Until(s.at))
				_, _ = to.Write(s.data) // What arrives after a close is lost.
			}
			return to.Close()
		})
	}
	pass(clientWire, serverWire)
	pass(serverWire, clientWire)
	return clientEnd, serverEnd
}

// statedTimeout returns the idle timeout that a response states.
func statedTimeout(h http.Header) (time.Duration, bool) {
	for field := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		if value, ok := strings.CutPrefix(strings.TrimSpace(field), "timeout="); ok {
			seconds, err := strconv.Atoi(value)
			return time.Duration(seconds) * time.Second, err == nil
		}
	}
	return 0, false
}

// reuse sends two requests on c, the second one after the given share of the time for which the caller
// keeps an idle connection. It sends none if it has seen the connection closed.
func reuse(c net.Conn, share float64) error {
	responses := make(chan *http.Response)
	reader := bufio.NewReader(c)
	var group errgroup.Group
	group.Go(func() error {
		defer close(responses)
		for {
			resp, err := http.ReadResponse(reader, nil)
			if err != nil {
				return nil
			}
			responses <- resp
		}
	})
	defer func() {
		_ = c.Close()    // A pipe returns no error.
		_ = group.Wait() // The function returns no error.
	}()
	if _, err := io.WriteString(c, request); err != nil {
		return err
	}
	resp, ok := <-responses
	if !ok {
		return errors.New("no response on a new connection")
	}
	limit, ok := statedTimeout(resp.Header)
	if !ok {
		limit = ownIdleLimit
	}
	idle := time.Duration(share * float64(limit))
	select {
	case <-responses:
		return nil
	case <-time.After(idle):
	}
	if _, err := io.WriteString(c, request); err != nil {
		return nil
	}
	if resp, ok := <-responses; !ok || resp.StatusCode != http.StatusOK {
		return fmt.Errorf("a request that was sent after %v of %v got no answer", idle, limit)
	}
	return nil
}

// Callers that keep idle connections for as long as the server states lose no request to its close.
func TestStatedIdleTimeoutLosesNoRequests(t *testing.T) {
	const callers = 300
	for _, timeout := range []time.Duration{0, 500 * time.Millisecond, 1500 * time.Millisecond, 15 * time.Second} {
		t.Run(timeout.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				_, p := serve(t, 0, catkinspindle.TrafficLimits{IdleTimeout: timeout})
				var links, group errgroup.Group
				for n := range callers {
					client, server := newLink(&links)
					p.accepted <- server
					group.Go(func() error { return reuse(client, float64(n+1)/callers) })
				}
				if err := group.Wait(); err != nil {
					t.Error(err)
				}
				if err := links.Wait(); err != nil {
					t.Error(err)
				}
			})
		})
	}
}
