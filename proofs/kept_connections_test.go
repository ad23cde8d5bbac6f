package proofs_test

import (
	"bufio"
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/sync/errgroup"

	"github.com/catkinspindle/catkinspindle/platform"
	standinsite "github.com/catkinspindle/catkinspindle/platform/standin/site"
)

var (
	keptFirst    = flag.Uint64("kept.first", 1, "first seed of the tests of kept connections")
	keptSeeds    = flag.Uint64("kept.seeds", 1, "number of seeds")
	keptPrograms = flag.String("kept.programs", "", "directory of the programs of the nodes and replicas instead of those built from this tree")
	keptOld      = flag.String("kept.old", "", "directory of the programs of older nodes that run beside those of this tree")
	keptLogs     = flag.String("kept.logs", "", "directory to keep the logs of the processes in")
)

const (
	keptNodes = 3
	// keptSites is the number of sites that run at a time.
	keptSites = 3
	// keptDelay is the delay of each direction of the link between a caller and a node.
	keptDelay = 30 * time.Millisecond
	// keptMargin is the time after the idle timeout at which a node closes a connection, and
	// keptHeaderTimeout the header timeout of the configuration.
	keptMargin        = 2 * time.Second
	keptHeaderTimeout = 3 * time.Second
	keptShortest      = time.Second
	// keptSpread is the spread of idle times around the time of a close.
	keptSpread = 100 * time.Millisecond
	// keptPatience ends the wait for an answer that never comes. Routes end requests much earlier.
	keptPatience = 3 * silenceTimeout
	// keptPeriod is the time for one kind of event alone, keptSeries that for events in series.
	keptPeriod, keptSeries = 2500 * time.Millisecond, 8 * time.Second
	keptPause              = time.Second
	// keptStops is the number of planned stops of which one begins after the other.
	keptStops = 6
	// keptHalt is the length of a halt, keptRunning the time between two.
	keptHalt, keptRunning = 100 * time.Millisecond, 20 * time.Millisecond
)

// keptKind is what a caller does with its connections.
type keptKind int

const (
	// keptStated keeps an idle connection for as long as the last answer has stated.
	keptStated keptKind = iota
	// keptLonger ignores what is stated and reuses connections around the time of their close.
	keptLonger
	// keptAhead opens connections ahead and sends the first request after the header timeout.
	keptAhead
	// keptToTheEnd uses a connection with short pauses until its process is gone.
	keptToTheEnd
	// keptOnce uses each connection once.
	keptOnce
	keptKinds
)

var (
	keptNames = [keptKinds]string{"stated", "longer", "ahead", "to the end", "once"}
	// keptCallers are the numbers of callers that keep connections, newCallers those of callers that do not.
	keptCallers = [keptKinds]int{60, 100, 100, 40, 0}
	newCallers  = [keptKinds]int{keptOnce: 200}
)

// keptEvents are what happens beside the requests.
var keptEvents = []string{"idle timeout raised", "idle timeout lowered", "route", "timeout", "planned stop", "SIGHUP", "pause"}

// Guards against requests that get neither an answer nor a refusal because they cross a close of their
// connection that the node decides.
func TestRequestsOnKeptConnectionsAreAnsweredOrRefused(t *testing.T) {
	programs := *keptPrograms
	if programs == "" {
		programs = buildSitePrograms(t)
	}
	runKept(t, programs, slices.Repeat([]string{programs}, keptNodes), nil)
}

// Guards against connections that a node has not yet accepted when it closes its listener: the kernel
// resets them.
func TestConnectionsMadeAtAPlannedStopAreAccepted(t *testing.T) {
	programs := *keptPrograms
	if programs == "" {
		programs = buildSitePrograms(t)
	}
	runKeptSeeds(t, programs, slices.Repeat([]string{programs}, keptNodes), nil, func(r *keptRun) {
		r.halting = true
		r.play(newCallers, func() {
			for range keptStops {
				r.begin("planned stop")
				r.pause(keptPeriod)
			}
		})
		lost, unaccepted := r.check()
		if diff := cmp.Diff(map[string]int{}, lost); diff != "" {
			r.t.Errorf("requests without an answer or a refusal by kind of caller (-want +got):\n%s", diff)
		}
		if unaccepted > 0 {
			r.t.Errorf("%d connections were reset before they were accepted", unaccepted)
		}
	})
}

// Guards against requests that nodes lose while callers move between them and older nodes. The
// requests that older nodes lose are counted only.
func TestRequestsOnKeptConnectionsBesideOlderNodes(t *testing.T) {
	if *keptOld == "" {
		t.Skip("needs -kept.old, the programs of another commit")
	}
	programs := buildSitePrograms(t)
	runKept(t, programs, []string{programs, *keptOld, programs}, []int{1})
}

func runKept(t *testing.T, programs string, nodes []string, counted []int) {
	t.Helper()
	runKeptSeeds(t, programs, nodes, counted, func(r *keptRun) {
		r.play(keptCallers, r.beginAll)
		lost, _ := r.check()
		if diff := cmp.Diff(map[string]int{}, lost); diff != "" {
			r.t.Errorf("requests without an answer or a refusal by kind of caller (-want +got):\n%s", diff)
		}
		if r.crossed == 0 && len(lost) == 0 {
			r.t.Error("no request crossed a close")
		}
	})
}

func runKeptSeeds(t *testing.T, programs string, nodes []string, counted []int, run func(*keptRun)) {
	t.Helper()
	for i, dir := range nodes {
		nodes[i] = filepath.Join(dir, "catkinspindle-node")
	}
	var group errgroup.Group
	defer func() { _ = group.Wait() }() // The subtests report their errors.
	group.SetLimit(keptSites)
	for n := range *keptSeeds {
		seed := *keptFirst + n
		group.Go(func() error {
			t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
				dir := t.TempDir()
				if *keptLogs != "" {
					dir = filepath.Join(*keptLogs, strings.ReplaceAll(t.Name(), "/", "-"))
					if err := os.MkdirAll(dir, 0o700); err != nil {
						t.Fatal(err)
					}
				}
				s := newSilenceSite(t, dir, programs)
				s.configure(func(c *silenceConfig) { c.idleTimeout = 2 * keptShortest })
				s.startNodes(nodes...)
				r := &keptRun{silenceSite: s, programs: nodes, counted: counted, seed: seed, rng: rand.New(rand.NewPCG(seed, 0)), stopped: make(chan int, 1), leaving: -1}
				run(r)
			})
			return nil
		})
	}
}

// keptRun is a run of callers with kept connections beside events.
type keptRun struct {
	*silenceSite
	// programs are those of the nodes; requests that the counted nodes lose are no failure.
	programs []string
	counted  []int
	seed     uint64
	rng      *rand.Rand
	// leaving is the node that stops, -1 if there is none. stopped receives it when its process is gone.
	leaving int
	stopped chan int
	stops   errgroup.Group
	// paused are replicas that are stopped until pausedUntil.
	paused      []string
	pausedUntil time.Time

	// halting is true if a process that stops is halted again and again, as on a busy machine, so that
	// connections wait to be accepted.
	halting bool
	// crossed is the number of requests that were refused with 408.
	crossed int

	mu     sync.Mutex
	events []keptEvent
	calls  []keptCall
}

// keptEvent is an event beside the requests. Node is the one concerned, -1 if there is none.
type keptEvent struct {
	name       string
	node       int
	begin, end time.Time
}

// keptCall is a request as its caller saw it.
type keptCall struct {
	id, path string
	kind     keptKind
	node     int
	// idle is how long the connection had been idle, requests the number of requests before on it.
	idle     time.Duration
	requests int
	dialedAt time.Time
	sentAt   time.Time
	// failedAt is when the end of the connection left the node.
	failedAt time.Time
	status   int
	err      error
}

// play runs callers beside events.
func (r *keptRun) play(numbers [keptKinds]int, events func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var callers errgroup.Group
	for kind := range keptKinds {
		for i := range numbers[kind] {
			callers.Go(func() error {
				r.call(ctx, kind, i)
				return nil
			})
		}
	}
	events()
	r.pause(keptPause) // Replicas that are stopped go on before the callers end.
	cancel()
	_ = callers.Wait() // Callers record their errors.
	_ = r.stops.Wait() // The stops report their errors.
}

// beginAll begins each kind of event alone, then some in series that overlap.
func (r *keptRun) beginAll() {
	r.pause(2 * keptPeriod)
	for _, i := range r.rng.Perm(len(keptEvents)) {
		r.begin(keptEvents[i])
		r.pause(keptPeriod)
	}
	for end := time.Now().Add(keptSeries); time.Now().Before(end); {
		r.begin(keptEvents[r.rng.IntN(len(keptEvents))])
		r.pause(time.Duration(r.rng.IntN(600)) * time.Millisecond)
	}
}

// pause waits and does what falls due meanwhile.
func (r *keptRun) pause(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	for {
		var resume <-chan time.Time
		if len(r.paused) > 0 {
			resume = time.After(time.Until(r.pausedUntil))
		}
		select {
		case <-timer.C:
			return
		case <-resume:
			r.endPause()
		case node := <-r.stopped:
			r.leaving = -1
			r.startSiteNode(node, r.programs[node])
		}
	}
}

func (r *keptRun) endPause() {
	for _, name := range r.paused {
		r.signal(name, syscall.SIGCONT)
	}
	r.paused = nil
}

// begin begins an event. It does nothing if the event's node is not ready or one of the kind still lasts.
func (r *keptRun) begin(name string) {
	event := keptEvent{name: name, node: -1, begin: time.Now()}
	event.end = event.begin
	switch name {
	case "idle timeout raised":
		r.configure(func(c *silenceConfig) {
			c.idleTimeout = min(c.idleTimeout+time.Duration(1+r.rng.IntN(2))*keptShortest, 4*keptShortest)
		})
	case "idle timeout lowered":
		r.configure(func(c *silenceConfig) { c.idleTimeout = keptShortest })
	case "route":
		r.configure(func(c *silenceConfig) {
			c.added++
			c.spareService = []string{"pool", "app"}[c.added%2]
		})
	case "timeout":
		r.configure(func(c *silenceConfig) { c.timeout = silenceTimeout + time.Duration(r.rng.IntN(4000))*time.Millisecond })
	case "SIGHUP":
		event.node = r.otherNode()
		if !r.isReady(event.node) {
			return // A process that has not yet begun to handle signals would end.
		}
		r.signal(nodeName(event.node), syscall.SIGHUP)
	case "pause":
		if len(r.paused) > 0 {
			return
		}
		r.paused = append(slices.Clone(r.silenced(60, r.rng.IntN(silencePoolReplicas))), fmt.Sprintf("app-%d", r.rng.IntN(silenceAppReplicas)))
		r.pausedUntil = event.begin.Add(keptPause)
		event.end = r.pausedUntil
		for _, name := range r.paused {
			r.signal(name, syscall.SIGSTOP)
		}
	case "planned stop":
		event.node = r.rng.IntN(keptNodes)
		if r.leaving >= 0 || !r.isReady(event.node) {
			return
		}
		r.stop(event)
		return
	}
	r.record(event)
}

// stop sends SIGTERM to a node and records the event when its process is gone.
func (r *keptRun) stop(event keptEvent) {
	name := nodeName(event.node)
	r.leaving = event.node
	process := r.running[name]
	r.signal(name, syscall.SIGTERM)
	if r.halting {
		r.stops.Go(func() error {
			for process.Process.Signal(syscall.SIGSTOP) == nil {
				time.Sleep(keptHalt)
				if process.Process.Signal(syscall.SIGCONT) != nil {
					break
				}
				time.Sleep(keptRunning)
			}
			return nil
		})
	}
	r.stops.Go(func() error {
		if err := process.Wait(); err != nil {
			r.t.Errorf("%s: planned stop: %v", name, err)
		}
		event.end = time.Now()
		r.record(event)
		r.stopped <- event.node
		return nil
	})
}

// otherNode returns a node that is not stopping.
func (r *keptRun) otherNode() int {
	node := r.rng.IntN(keptNodes)
	if node == r.leaving {
		node = (node + 1) % keptNodes
	}
	return node
}

func (r *keptRun) isReady(node int) bool {
	return get("http://"+r.ready[node]+platform.ReadyPath, nil) == nil
}

func (r *keptRun) record(e keptEvent) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, e)
}

// call uses one connection after the other until ctx is done.
func (r *keptRun) call(ctx context.Context, kind keptKind, caller int) {
	rng := rand.New(rand.NewPCG(r.seed, uint64(kind)<<32|uint64(caller)))
	for n := 0; ctx.Err() == nil; n++ {
		node := rng.IntN(keptNodes)
		c, err := dialKept(r.nodes[node])
		if err != nil {
			wait(ctx, keptSpread) // The node is gone; no request was sent.
			continue
		}
		for k, reuse := 0, true; reuse; k++ {
			reuse = r.use(ctx, rng, c, keptCall{id: fmt.Sprintf("kept-%d-%d-%d-%d", kind, caller, n, k), kind: kind, node: node, requests: k, dialedAt: c.dialedAt})
		}
		c.close()
	}
}

// use lets the connection idle and sends a request on it. It returns false if the connection is not to be used again.
func (r *keptRun) use(ctx context.Context, rng *rand.Rand, c *keptConn, call keptCall) bool {
	idleSince := time.Now()
	if d := r.idle(rng, c, call); d > 0 {
		select {
		case <-ctx.Done():
			return false
		case <-c.responses: // A refusal, or the end of the connection.
			return false
		case <-time.After(d):
		}
	}
	call.path = "/act/x"
	if rng.IntN(20) == 0 {
		call.path = "/chat/x"
	}
	parts := keptRequest(call)
	if rng.IntN(4) > 0 {
		parts = []string{strings.Join(parts, "")}
	}
	select {
	case <-c.responses:
		return false
	default:
	}
	call.sentAt, call.idle = time.Now(), time.Since(idleSince)
	for _, part := range parts {
		c.write(part)
		if len(parts) > 1 {
			time.Sleep(time.Duration(rng.IntN(10)) * time.Millisecond)
		}
	}
	reuse := false
	select {
	case a, ok := <-c.responses:
		if !ok {
			a.err = errors.New("the connection had ended")
		}
		call.status, call.err, call.failedAt = a.status, a.err, a.at
		c.stated, reuse = a.stated, a.err == nil && !a.last && call.kind != keptOnce
	case <-time.After(keptPatience):
		call.err, call.failedAt = errors.New("no answer"), time.Now()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls = append(r.calls, call)
	return reuse
}

// idle returns how long the caller lets its connection idle before the request.
func (r *keptRun) idle(rng *rand.Rand, c *keptConn, call keptCall) time.Duration {
	r.silenceSite.mu.Lock()
	timeout := r.config.idleTimeout
	r.silenceSite.mu.Unlock()
	around := func(d time.Duration) time.Duration {
		return d - keptSpread + time.Duration(rng.Int64N(int64(2*keptSpread)))
	}
	if call.requests == 0 && call.kind != keptAhead || call.kind == keptOnce {
		return 0
	}
	limit := timeout + keptMargin
	switch call.kind {
	case keptStated:
		if c.stated > 0 {
			limit = c.stated
		}
		if rng.IntN(2) == 0 {
			return time.Duration(rng.Int64N(int64(limit)))
		}
		if c.stated > 0 {
			return limit - time.Duration(rng.Int64N(int64(keptSpread)))
		}
		return around(limit)
	case keptAhead:
		if rng.IntN(2) == 0 {
			return around(keptHeaderTimeout)
		}
		return around(limit)
	case keptToTheEnd:
		if rng.IntN(4) == 0 {
			return time.Duration(rng.Int64N(int64(3 * keptShortest / 2)))
		}
		return time.Duration(rng.IntN(200)) * time.Millisecond
	}
	if rng.IntN(4) == 0 {
		return time.Duration(rng.Int64N(int64(limit)))
	}
	return around(limit)
}

// keptRequest returns a request in two parts.
func keptRequest(c keptCall) []string {
	tokens := ""
	if c.path == "/chat/x" {
		tokens = "Token-Counts: " + silenceTokens + "\r\n"
	}
	return []string{
		fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\n", c.path, standinsite.Host, c.id),
		fmt.Sprintf("Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\n%sContent-Length: 6\r\n\r\nprompt", silenceTimeout.Milliseconds(), standinsite.Key, tokens),
	}
}

func wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// keptConn is a caller's connection over a link on which data and ends arrive after keptDelay.
type keptConn struct {
	dialedAt time.Time
	// stated is the idle timeout of the last answer, zero if it stated none.
	stated    time.Duration
	responses chan keptResponse

	conn     net.Conn
	sent     chan keptSegment
	received chan keptSegment
	rest     []byte
	// ended is the end of the connection that Read has returned.
	ended keptSegment
	done  chan struct{}
	group errgroup.Group
}

// keptSegment is what arrives at the other side of a link. At is when it was sent.
type keptSegment struct {
	data []byte
	at   time.Time
	err  error
}

// keptResponse is a response, or the end of a connection without one.
type keptResponse struct {
	status int
	stated time.Duration
	// last is true if the response announces the close of its connection.
	last bool
	err  error
	at   time.Time
}

func dialKept(address string) (*keptConn, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	c := &keptConn{
		dialedAt: time.Now(), conn: conn, done: make(chan struct{}),
		responses: make(chan keptResponse), sent: make(chan keptSegment, 16), received: make(chan keptSegment, 256),
	}
	c.group.Go(c.send)
	c.group.Go(c.receive)
	c.group.Go(c.readResponses)
	return c, nil
}

// close closes the connection.
func (c *keptConn) close() {
	close(c.done)
	_ = c.conn.Close() // It may have ended before.
	_ = c.group.Wait() // The ends are in the responses.
}

func (c *keptConn) write(s string) { c.sent <- keptSegment{data: []byte(s), at: time.Now()} }

// send passes on what the caller writes.
func (c *keptConn) send() error {
	for {
		select {
		case <-c.done:
			return nil
		case s := <-c.sent:
			time.Sleep(time.Until(s.at.Add(keptDelay)))
			_, _ = c.conn.Write(s.data) // What arrives after a close is lost.
		}
	}
}

// receive takes what the node writes.
func (c *keptConn) receive() error {
	for {
		data := make([]byte, 4096)
		n, err := c.conn.Read(data)
		select {
		case <-c.done:
			return nil
		case c.received <- keptSegment{data[:n], time.Now(), err}:
		}
		if err != nil {
			return nil
		}
	}
}

// Read implements io.Reader.
func (c *keptConn) Read(p []byte) (int, error) {
	for len(c.rest) == 0 {
		if c.ended.err != nil {
			return 0, c.ended.err
		}
		select {
		case <-c.done:
			return 0, net.ErrClosed
		case s := <-c.received:
			time.Sleep(time.Until(s.at.Add(keptDelay)))
			c.rest = s.data
			if s.err != nil {
				c.ended = s
			}
		}
	}
	n := copy(p, c.rest)
	c.rest = c.rest[n:]
	return n, nil
}

// readResponses reads responses until the connection ends.
func (c *keptConn) readResponses() error {
	defer close(c.responses)
	reader := bufio.NewReader(c)
	for {
		a := keptResponse{}
		resp, err := http.ReadResponse(reader, nil)
		if err == nil {
			a.status, a.last, a.stated = resp.StatusCode, resp.Close, keptTimeout(resp.Header)
			_, err = io.Copy(io.Discard, resp.Body)
		}
		a.err, a.at = err, c.ended.at
		select {
		case <-c.done:
			return nil
		case c.responses <- a:
		}
		if err != nil {
			return nil
		}
	}
}

// keptTimeout returns the idle timeout that a response states, zero if it states none.
func keptTimeout(h http.Header) time.Duration {
	for field := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		if value, ok := strings.CutPrefix(strings.TrimSpace(field), "timeout="); ok {
			seconds, err := strconv.Atoi(value)
			if err == nil {
				return time.Duration(seconds) * time.Second
			}
		}
	}
	return 0
}

// check judges all requests and logs the figures. It returns the lost requests by kind of caller and the
// number of connections that were reset before the node accepted them.
func (r *keptRun) check() (lost map[string]int, unaccepted int) {
	histories := r.histories()
	r.t.Helper()
	lost = map[string]int{}
	gone, older := map[string]int{}, map[string]int{}
	var statuses [keptKinds]map[int]int
	for kind := range statuses {
		statuses[kind] = map[int]int{}
	}
	for _, c := range r.calls {
		var h silenceHistory
		if found := histories[c.id]; found != nil {
			h = *found
		}
		statuses[c.kind][c.status]++
		counted := slices.Contains(r.counted, c.node)
		if c.path == "/act/x" && (len(h.ranAt) > 1 || len(h.ranAt) > 0 && slices.Contains(silenceRefusals, c.status)) {
			r.t.Errorf("%s: ran at %v", r.describe(c), h.ranAt)
		}
		if c.err == nil {
			continue
		}
		name := keptNames[c.kind]
		switch {
		case c.status == 0 && r.processGone(c):
			gone[name]++
		case counted:
			older[name]++
		case c.unaccepted() && h.arrivals == 0:
			unaccepted++
			r.t.Logf("not accepted: %s", r.describe(c))
		default:
			lost[name]++
			r.t.Logf("lost: %s, arrivals %d, ran at %v", r.describe(c), h.arrivals, h.ranAt)
		}
	}
	for kind, name := range keptNames {
		if len(statuses[kind]) == 0 {
			continue
		}
		r.crossed += statuses[kind][http.StatusRequestTimeout]
		r.t.Logf("%s: requests by status %v, lost %d, lost by older nodes %d, not answered by a process that was gone %d", name, statuses[kind], lost[name], older[name], gone[name])
	}
	r.t.Logf("connections reset before they were accepted: %d", unaccepted)
	return lost, unaccepted
}

// unaccepted reports whether the connection was new and reset before the request reached the node. A
// node that has accepted a connection ends it without a reset if there is nothing left to read.
func (c keptCall) unaccepted() bool {
	return c.requests == 0 && errors.Is(c.err, syscall.ECONNRESET) && c.failedAt.Before(c.sentAt.Add(keptDelay))
}

// processGone reports whether the request reached its node after the node's process had ended. Such a
// process gives no refusal any more, and it has not read the request.
func (r *keptRun) processGone(c keptCall) bool {
	for _, e := range r.events {
		if e.name == "planned stop" && e.node == c.node && c.dialedAt.Before(e.end) && !c.sentAt.Add(keptDelay).Before(e.end) {
			return c.kind == keptToTheEnd
		}
	}
	return false
}

// describe describes a request with what it was crossed by: the events up to a second and a half before its end.
func (r *keptRun) describe(c keptCall) string {
	var crossed []string
	for _, e := range r.events {
		if e.begin.Before(c.failedAt) && e.end.After(c.sentAt.Add(-1500*time.Millisecond)) {
			text := fmt.Sprintf("%s (%s before the request", e.name, c.sentAt.Sub(e.begin).Round(time.Millisecond))
			if e.node >= 0 {
				text += ", " + nodeName(e.node)
			}
			if e.name == "planned stop" {
				text += fmt.Sprintf(", ended %s after the request", e.end.Sub(c.sentAt).Round(time.Millisecond))
			}
			crossed = append(crossed, text+")")
		}
	}
	return fmt.Sprintf("%s %s at %s, %s, request %d of its connection, idle for %s, end after %s, status %d, error %v, beside %v",
		c.id, c.path, nodeName(c.node), keptNames[c.kind], c.requests+1, c.idle.Round(time.Millisecond), c.failedAt.Sub(c.sentAt).Round(time.Millisecond), c.status, c.err, crossed)
}
