package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	// streamPieces is the number of events of a stream, pieceLine the length in bytes of the data line of each.
	streamPieces = 8
	pieceLine    = 2048
	piecePause   = 20 * time.Millisecond
	// stoppedPiece is the event in the middle of which a replica stops, stopDelay the time until it resets the
	// channel.
	stoppedPiece = 4
	stopDelay    = 200 * time.Millisecond
	// streams is the number of streams, streamsAtATime how many run at the same time.
	streams        = 480
	streamsAtATime = 12
	// Two of four replicas (share 0.5) stop one of stopEvery of their answers (x 0.02).
	stopEvery     = 50
	streamTimeout = 10 * time.Second
)

// streamer is a replica that streams events.
type streamer struct {
	id     string
	record *record
	// stops is true if the replica stops some of its answers.
	stops bool
	begun atomic.Int64
}

// stoppedStream has replicas that stop in the middle of an event of a stream that may be resumed.
func stoppedStream(s *site, trouble bool) ([]string, error) {
	for i, id := range []string{"app-1", "app-2", "app-3", "app-4"} {
		address, err := s.serve(&streamer{id: id, record: s.record, stops: trouble && i < 2})
		if err != nil {
			return nil, err
		}
		s.register(id, address)
	}
	chat := route("chat", "streaming", streamTimeout)
	chat["resumable"], chat["gap-target-ms"] = true, 250
	s.configure([]map[string]any{chat})
	if err := s.startNodes(2); err != nil {
		return nil, err
	}
	time.Sleep(inTouch)
	var (
		mu     sync.Mutex
		broken []string
		whole  int
		group  errgroup.Group
	)
	group.SetLimit(streamsAtATime)
	for i := range streams {
		group.Go(func() error {
			id := fmt.Sprintf("stream-%d", i)
			ids, err := s.readStream(s.nodes[i%len(s.nodes)], id)
			s.record.line("requester: %s: events %v, end: %v", id, ids, err)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				return nil // A stream that does not end as complete is no fault here.
			}
			whole++
			if err := checkPieces(ids); err != nil {
				broken = append(broken, id+": "+err.Error())
			}
			return nil
		})
	}
	_ = group.Wait() // The functions return no errors.
	s.record.line("%d of %d streams ended as complete, %d of them with wrong events", whole, streams, len(broken))
	if whole == 0 {
		return nil, fmt.Errorf("%w: no stream ended as complete", errCannotRun)
	}
	return broken, nil
}

// piece returns the data of an event.
func piece(n int) string {
	text := fmt.Sprintf("piece %d ", n)
	return text + strings.Repeat("x", pieceLine-len("data: ")-len(text))
}

// ServeHTTP implements http.Handler.
func (t *streamer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", id)
	if r.URL.Path == "/healthz" || r.Header.Get("Expect-Instance") != t.id {
		w.Header().Set("Instance-Id", t.id)
		if r.URL.Path != "/healthz" {
			w.WriteHeader(http.StatusMisdirectedRequest)
		}
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	after := r.Header.Get("Last-Event-Id")
	first, _ := strconv.Atoi(after) // It is empty at the begin of a stream.
	t.record.line("%s: runs %s after event %q", t.id, id, after)
	stopsAt := 0
	if after == "" && t.stops && t.begun.Add(1)%stopEvery == 0 {
		stopsAt = stoppedPiece
	}
	w.Header().Set("Response-Seal", t.id+"."+id)
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	for n := first + 1; n <= streamPieces; n++ {
		time.Sleep(piecePause)
		text := fmt.Sprintf("id: %d\ndata: %s\n", n, piece(n))
		if n != stopsAt {
			text += "\n"
		}
		if _, err := io.WriteString(w, text); err != nil || control.Flush() != nil {
			return
		}
		if n == stopsAt {
			time.Sleep(stopDelay)
			t.record.line("%s: resets %s in the middle of event %d", t.id, id, n)
			panic(http.ErrAbortHandler)
		}
	}
}

// readStream sends a request and returns the IDs of the events whose data is that of the replicas; for any other
// event it returns the negative ID. The error says that the stream did not end as complete.
func (s *site) readStream(nd *node, id string) (ids []int, err error) {
	c, err := net.DialTimeout("tcp", nd.front, time.Second)
	if err != nil {
		return nil, err
	}
	defer func() { _ = c.Close() }()
	if err := c.SetDeadline(time.Now().Add(streamTimeout + time.Second)); err != nil {
		return nil, err
	}
	if _, err := io.WriteString(c, getRequest("/chat/"+id, id, streamTimeout)); err != nil {
		return nil, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: http.MethodGet})
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("status %d", resp.StatusCode)
	}
	reader := bufio.NewReader(resp.Body)
	event := 0
	var data []string
	for {
		line, err := reader.ReadString('\n')
		switch {
		case errors.Is(err, io.EOF) && line == "":
			return ids, nil
		case err != nil:
			return ids, err
		}
		line = strings.TrimSuffix(line, "\n")
		switch {
		case line == "" && len(data) > 0:
			if len(data) != 1 || data[0] != piece(event) {
				s.record.line("requester: %s: event %d has %d data lines", id, event, len(data))
				event = -event
			}
			ids, data = append(ids, event), nil
		case strings.HasPrefix(line, "id: "):
			if event, err = strconv.Atoi(line[len("id: "):]); err != nil {
				return ids, err
			}
		case strings.HasPrefix(line, "data: "):
			data = append(data, line[len("data: "):])
		}
	}
}

// checkPieces checks that a complete stream has every piece once and in order.
func checkPieces(ids []int) error {
	for i := range max(streamPieces, len(ids)) {
		if i >= len(ids) || ids[i] != i+1 {
			return fmt.Errorf("the stream ended as complete, and its events are %v; want 1 to %d", ids, streamPieces)
		}
	}
	return nil
}
