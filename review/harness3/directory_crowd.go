package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	// crowdSize is the number of clients of the crowd at each node: seven tenths of max-fds, and some more.
	crowdSize    = maxDescriptors*7/10 + 300
	crowdDialers = 2
	// crowdPause is the pause of a dialer between two clients.
	crowdPause = 6 * time.Millisecond
	// lateCrowdPause is the pause between two clients that arrive later.
	lateCrowdPause = 50 * time.Millisecond
	// beforeTime is the time of the requests before the fault, recoverTime the bound recover-s and some more.
	beforeTime  = 4 * time.Second
	recoverTime = 20 * time.Second
	// ordinaryRequesters is the number of requesters that try at the same time.
	ordinaryRequesters = 10
	ordinaryTime       = 15 * time.Second
	tryInterval        = 500 * time.Millisecond
)

// directoryCrowd has clients that ask the directories with a chunked body which stops short of its end, and
// that stay open. It then lets ordinary requesters ask for addresses and send requests.
func directoryCrowd(s *site, trouble bool) ([]string, error) {
	if err := s.addApp("app-1", "answer"); err != nil {
		return nil, err
	}
	s.configure([]map[string]any{route("read", "idempotent", 5*time.Second)})
	if err := s.startNodes(2); err != nil {
		return nil, err
	}
	time.Sleep(inTouch)
	triesBefore, servedBefore := s.tryOrdinaryRequesters(beforeTime)
	if 4*servedBefore < triesBefore || triesBefore == 0 {
		return nil, fmt.Errorf("%w: %d of %d requests served before the fault", errCannotRun, servedBefore, triesBefore)
	}
	if err := s.killAll(); err != nil {
		return nil, err
	}
	back := time.Now()
	var (
		group  errgroup.Group
		crowds = make([][]net.Conn, len(s.nodes))
	)
	for i, nd := range s.nodes {
		group.Go(func() error {
			crowds[i] = s.openCrowd(nd, crowdSize, crowdDialers, crowdPause, trouble)
			return nil
		})
	}
	_ = group.Wait() // The functions return no errors.
	defer func() {
		for _, c := range slices.Concat(crowds...) {
			_ = c.Close()
		}
	}()
	// Further clients arrive meanwhile, since channels of the crowd that were not yet read may have made room.
	for i, nd := range s.nodes {
		group.Go(func() error {
			crowds[i] = append(crowds[i], s.openCrowd(nd, int((recoverTime+ordinaryTime)/2/lateCrowdPause), 1, lateCrowdPause, trouble)...)
			return nil
		})
	}
	time.Sleep(time.Until(back.Add(recoverTime)))
	tries, served := s.tryOrdinaryRequesters(ordinaryTime)
	_ = group.Wait() // The functions return no errors.
	for _, nd := range s.nodes {
		s.record.line("%s: ready: %t, process runs: %t", nd.name, isReady(nd), nd.runs())
	}
	s.record.line("%d ordinary requesters tried %d times in %v, %d requests were served", ordinaryRequesters, tries, ordinaryTime, served)
	if 4*served < tries {
		return []string{fmt.Sprintf("of the requests sent later than recover-s after the machines are back %d of %d are served; before the fault %d of %d", served, tries, servedBefore, triesBefore)}, nil
	}
	return nil, nil
}

// killAll kills all processes and starts them again.
func (s *site) killAll() error {
	for _, nd := range s.nodes {
		_ = nd.cmd.Process.Kill()
	}
	for _, nd := range s.nodes {
		<-nd.ended
	}
	time.Sleep(time.Second)
	for _, nd := range s.nodes {
		if err := s.start(nd); err != nil {
			return err
		}
	}
	for _, nd := range s.nodes {
		if err := s.awaitReady(nd); err != nil {
			return err
		}
	}
	return nil
}

// openCrowd opens the crowd of a node. Without the disruption the bodies are complete.
func (s *site) openCrowd(nd *node, size, dialers int, pause time.Duration, trouble bool) []net.Conn {
	request := fmt.Sprintf("GET /api/resolve?name=%s&region=r1&zone=z1 HTTP/1.1\r\nHost: %s\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n", host, nd.directory)
	if !trouble {
		request += "0\r\n\r\n"
	}
	var (
		mu    sync.Mutex
		group errgroup.Group
		crowd []net.Conn
	)
	for range dialers {
		group.Go(func() error {
			for range size / dialers {
				c, err := net.DialTimeout("tcp", nd.directory, time.Second)
				if err == nil {
					_, err = io.WriteString(c, request)
				}
				if err == nil {
					mu.Lock()
					crowd = append(crowd, c)
					mu.Unlock()
				}
				time.Sleep(pause)
			}
			return nil
		})
	}
	_ = group.Wait() // The functions return no errors.
	s.record.line("%s: %d clients have connected to the directory, their bodies are complete: %t", nd.name, len(crowd), !trouble)
	return crowd
}

// tryOrdinaryRequesters lets requesters ask for addresses and send requests, and returns the numbers of tries
// and of requests that were served.
func (s *site) tryOrdinaryRequesters(d time.Duration) (tries, served int) {
	var (
		mu    sync.Mutex
		group errgroup.Group
	)
	end := time.Now().Add(d)
	for i := range ordinaryRequesters {
		group.Go(func() error {
			for n := 0; time.Now().Before(end); n++ {
				nd := s.nodes[(i+n)%len(s.nodes)]
				id := fmt.Sprintf("r%d-%d", i, n)
				what, ok := s.tryOnce(nd, id)
				mu.Lock()
				tries++
				if ok {
					served++
				}
				mu.Unlock()
				s.record.line("requester: %s at %s: %s", id, nd.name, what)
				time.Sleep(tryInterval)
			}
			return nil
		})
	}
	_ = group.Wait() // The functions return no errors.
	return tries, served
}

// tryOnce asks a node for addresses and sends it a request, also if it has not told any. It reports what came of
// the request and whether it was served.
func (s *site) tryOnce(nd *node, id string) (what string, served bool) {
	resolved := "addresses told"
	if _, err := exchange(nd.directory, "GET /api/resolve?name="+host+"&region=r1&zone=z1 HTTP/1.1\r\nHost: "+nd.directory+"\r\n\r\n"); err != nil {
		resolved = "no addresses: " + err.Error()
	}
	status, err := exchange(nd.front, getRequest("/read/"+id, id, 2*time.Second))
	if err != nil {
		return resolved + "; no answer: " + err.Error(), false
	}
	return fmt.Sprintf("%s; status %d", resolved, status), status == http.StatusOK
}

// exchange sends a request on a new channel and reads the answer.
func exchange(address, request string) (status int, err error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0, err
	}
	defer func() { _ = c.Close() }()
	if err := c.SetDeadline(time.Now().Add(2 * time.Second)); err != nil {
		return 0, err
	}
	if _, err := io.WriteString(c, request); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: http.MethodGet})
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}
