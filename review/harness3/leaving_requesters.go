package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	leavingAnswer = 1 << 20
	// leavingRead is how much of its answer a requester reads before it leaves.
	leavingRead     = 128 << 10
	leavingTime     = 60 * time.Second
	leavingAtATime  = 16
	leavingReplicas = 4
	// Of each leavingPeriod, leavingOf ten requesters leave in the first leavingSpell.
	leavingPeriod, leavingSpell = 8 * time.Second, 5500 * time.Millisecond
	leavingOf                   = 3
	// acceptPause is the pause of a busy replica between two channels that it accepts.
	acceptPause = 15 * time.Millisecond
	// keptRequesters is the number of requesters that keep their channels and read whole answers.
	keptRequesters = 9
)

// busyListener is the listener of a replica whose queue of new channels is short and often full.
type busyListener struct{ net.Listener }

// Accept implements net.Listener.
func (l busyListener) Accept() (net.Conn, error) {
	time.Sleep(acceptPause)
	return l.Listener.Accept()
}

func listenBusy() (net.Listener, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	raw, err := l.(*net.TCPListener).SyscallConn()
	if err != nil {
		return nil, err
	}
	var listenErr error
	if err := raw.Control(func(fd uintptr) { listenErr = syscall.Listen(int(fd), 1) }); err != nil {
		return nil, err
	}
	return busyListener{l}, listenErr
}

// leavingRequesters has requesters that leave in the middle of a large answer, and replicas whose queue of new
// channels is often full, so that nodes reach them over other nodes.
func leavingRequesters(s *site, trouble bool) ([]string, error) {
	body := strings.Repeat("0123456789abcdef", leavingAnswer/16)
	replicas := make([]*app, leavingReplicas)
	for i := range replicas {
		l, err := listenBusy()
		if err != nil {
			return nil, err
		}
		a := newApp(s.record, fmt.Sprintf("app-%d", i+1), body)
		a.quiet = true
		replicas[i] = a
		server := &http.Server{Handler: a}
		s.servers.Go(func() error { return server.Serve(l) })
		s.register(a.id, l.Addr().String())
	}
	s.configure([]map[string]any{route("act", "non_idempotent", 10*time.Second)})
	if err := s.startNodes(3); err != nil {
		return nil, err
	}
	time.Sleep(inTouch)
	start := time.Now()
	end := start.Add(leavingTime)
	var group errgroup.Group
	for i := range leavingAtATime {
		group.Go(func() error {
			for n := 0; time.Now().Before(end); n++ {
				leaves := trouble && time.Since(start)%leavingPeriod < leavingSpell && rand.IntN(10) < leavingOf
				s.readAndLeave(s.nodes[(i+n)%len(s.nodes)], fmt.Sprintf("leaving-%d-%d", i, n), leaves)
			}
			return nil
		})
	}
	var lost lostRequests
	for i := range keptRequesters {
		group.Go(func() error {
			for n := 0; time.Now().Before(end); n++ {
				s.readOnKeptChannels(s.nodes[i%len(s.nodes)], fmt.Sprintf("kept-%d-%d", i, n), end, &lost)
			}
			return nil
		})
	}
	ends := s.restartEnded(end)
	_ = group.Wait() // The functions return no errors.
	for _, nd := range s.nodes {
		s.record.line("%s: its process has ended by itself %d times", nd.name, ends[nd.name])
	}
	var broken []string
	for _, id := range lost.ids {
		for _, a := range replicas {
			if a.hasRun(id) {
				broken = append(broken, id+": "+a.id+" has run it, and its kept channel was closed without an answer")
			}
		}
	}
	s.record.line("%d requests on kept channels were run and got no answer", len(broken))
	// The rule counts more than three.
	if len(broken) <= 3 {
		return nil, nil
	}
	return broken, nil
}

// lostRequests are requests whose kept channels were closed without a whole answer.
type lostRequests struct {
	mu  sync.Mutex
	ids []string
}

func (l *lostRequests) add(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ids = append(l.ids, id)
}

// readOnKeptChannels sends requests one after the other on one channel until that is closed, and adds the request
// that it was closed under if the channel had carried another one before.
func (s *site) readOnKeptChannels(nd *node, id string, end time.Time, lost *lostRequests) {
	c, err := net.DialTimeout("tcp", nd.front, time.Second)
	if err != nil {
		time.Sleep(100 * time.Millisecond)
		return
	}
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for n := 0; time.Now().Before(end); n++ {
		_ = c.SetDeadline(time.Now().Add(15 * time.Second))
		request := fmt.Sprintf("%s-%d", id, n)
		if _, err := io.WriteString(c, getRequest("/act/"+request, request, 10*time.Second)); err != nil {
			return
		}
		resp, err := http.ReadResponse(reader, &http.Request{Method: http.MethodGet})
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
		}
		if err != nil {
			s.record.line("requester: %s at %s: %v", request, nd.name, err)
			if n > 0 {
				lost.add(request)
			}
			return
		}
	}
}

// restartEnded starts processes again that end by themselves, as the platform does, and counts the ends.
func (s *site) restartEnded(end time.Time) map[string]int {
	ends := map[string]int{}
	for ; time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for _, nd := range s.nodes {
			if nd.runs() {
				continue
			}
			ends[nd.name]++
			if err := s.start(nd); err != nil {
				s.record.line("%s: %v", nd.name, err)
			}
		}
	}
	return ends
}

// readAndLeave sends a request, reads a part of the answer and leaves; without the disruption it reads all.
func (s *site) readAndLeave(nd *node, id string, leaves bool) {
	c, err := net.DialTimeout("tcp", nd.front, time.Second)
	if err != nil {
		time.Sleep(100 * time.Millisecond)
		return
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	if _, err := io.WriteString(c, getRequest("/act/"+id, id, 10*time.Second)); err != nil {
		return
	}
	limit := int64(leavingRead)
	if !leaves {
		limit = leavingAnswer
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(c, limit))
}
