package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	slowAnswer  = 13 << 19
	slowTimeout = 60 * time.Second
	// slowRate is how many bytes a second a slow requester reads, one part each readInterval.
	slowRate     = 160 << 10
	readInterval = 50 * time.Millisecond
	slowReaders  = 8
)

// slowReader has requesters that read a large answer slowly and steadily on a kept channel.
func slowReader(s *site, trouble bool) ([]string, error) {
	if err := s.addApp("app-1", strings.Repeat("0123456789abcdef", slowAnswer/16)); err != nil {
		return nil, err
	}
	s.configure([]map[string]any{route("read", "idempotent", slowTimeout)})
	if err := s.startNodes(2); err != nil {
		return nil, err
	}
	time.Sleep(inTouch)
	var (
		mu     sync.Mutex
		group  errgroup.Group
		broken []string
	)
	for i := range slowReaders {
		group.Go(func() error {
			id := fmt.Sprintf("slow-%d", i)
			n, err := s.readOnKeptChannel(s.nodes[i%len(s.nodes)], id, trouble)
			s.record.line("requester: %s has %d of %d bytes: %v", id, n, slowAnswer, err)
			if err != nil && s.app.hasRun(id) {
				mu.Lock()
				defer mu.Unlock()
				broken = append(broken, fmt.Sprintf("%s: the channel ended after %d of %d bytes of the answer: %v", id, n, slowAnswer, err))
			}
			return nil
		})
	}
	_ = group.Wait() // The functions return no errors.
	// The rule counts more than three such requests.
	if len(broken) <= 3 {
		return nil, nil
	}
	return broken, nil
}

// readOnKeptChannel sends a request on a channel that has carried another one and reads the answer. It returns how
// much of the body it has read.
func (s *site) readOnKeptChannel(nd *node, id string, slowly bool) (int, error) {
	c, err := net.DialTimeout("tcp", nd.front, time.Second)
	if err != nil {
		return 0, err
	}
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for _, request := range []string{"first-" + id, id} {
		if _, err := io.WriteString(c, getRequest("/read/"+request, request, slowTimeout)); err != nil {
			return 0, err
		}
		resp, err := http.ReadResponse(reader, &http.Request{Method: http.MethodGet})
		if err != nil {
			return 0, err
		}
		if resp.StatusCode != http.StatusOK {
			return 0, fmt.Errorf("status %d", resp.StatusCode)
		}
		if request == id {
			return readBody(resp.Body, slowly)
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return 0, err
		}
	}
	return 0, nil
}

// readBody reads a body and returns how much it has read.
func readBody(body io.Reader, slowly bool) (int, error) {
	part := make([]byte, slowRate/int(time.Second/readInterval))
	start := time.Now()
	for total := 0; ; {
		n, err := io.ReadFull(body, part[:min(len(part), slowAnswer-total)])
		if total += n; total == slowAnswer {
			return total, nil
		}
		if err != nil {
			return total, fmt.Errorf("after %.1f s: %w", time.Since(start).Seconds(), err)
		}
		if slowly {
			time.Sleep(readInterval)
		}
	}
}
