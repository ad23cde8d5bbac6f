package proofs_test

import (
	"cmp"
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/platform"
	"github.com/catkinspindle/catkinspindle/platform/standin/replica"
	standinsite "github.com/catkinspindle/catkinspindle/platform/standin/site"
)

var (
	endlessAll     = flag.Bool("endless.all", false, "run all cases of endless answers instead of a few")
	endlessSeed    = flag.Uint64("endless.seed", 1, "seed that selects the cases")
	endlessMatch   = flag.String("endless.match", "", "run the cases whose name contains this text")
	endlessNode    = flag.String("endless.node", "", "program of the node instead of the one built from this tree")
	endlessCallers = flag.Int("endless.callers", 1200, "number of callers of the service with the faulty replicas")
	endlessSites   = flag.Int("endless.sites", 1, "number of sites that run at a time")
	endlessLength  = flag.Duration("endless.length", 4*time.Second, "time of traffic of a case")
)

const (
	// endlessCases is the number of cases without the flag that runs all.
	endlessCases = 4
	// soundCallers call a service that has no faulty replicas.
	soundCallers   = 20
	endlessApps    = 4
	endlessTimeout = 4 * time.Second
	memoryInterval = 10 * time.Millisecond
)

// endlessCase is a kind of endless answer and the memory of the node that receives it.
type endlessCase struct {
	position, pace string
	// faulty is the number of faulty replicas of the service.
	faulty   int
	memoryMB int
}

func (c endlessCase) String() string {
	return fmt.Sprintf("%s, %s, %d faulty, %d MB", c.position, c.pace, c.faulty, c.memoryMB)
}

// streamed reports whether the endless bytes are in an event stream.
func (c endlessCase) streamed() bool { return c.position == "event" || c.position == "comments" }

// burst returns the bytes that a replica sends before it becomes slow, somewhat fewer than the
// maximum in that position.
func (c endlessCase) burst() int {
	switch c.position {
	case "event":
		return 112 << 10
	case "body", "failure", "rejection", "chunk extensions":
		return 240 << 10
	}
	return 48 << 10
}

// heldBytes returns what one answer may hold for long, for each byte of the node's memory and each
// faulty replica.
func (c endlessCase) heldBytes() float64 {
	if c.pace != "burst" || c.position == "rejection" || c.position == "chunk extensions" {
		return 0
	}
	return float64(c.burst()*c.faulty) / float64(c.memoryMB)
}

func (c endlessCase) query() url.Values {
	q := url.Values{"position": {c.position}}
	if c.pace != "fast" {
		q.Set("pause", "1s")
	}
	if c.pace == "burst" {
		q.Set("burst", strconv.Itoa(c.burst()))
	}
	return q
}

func allEndlessCases() []endlessCase {
	var all []endlessCase
	for _, memoryMB := range []int{160, 284} {
		for _, position := range []string{
			"status line", "header line", "header lines", "interim responses", "body", "failure", "rejection",
			"chunk size", "chunk extensions", "trailers", "event", "comments",
		} {
			for _, pace := range []string{"fast", "slow", "burst"} {
				for _, faulty := range []int{1, endlessApps / 2} {
					all = append(all, endlessCase{position, pace, faulty, memoryMB})
				}
			}
		}
	}
	return all
}

// endlessResult is what a case has shown.
type endlessResult struct {
	peakMB int
	killed bool
	// answered and lost count the requests to sound services, served and failed those to the service
	// with the faulty replicas.
	answered, lost, served, failed int
	firstLoss                      string
}

// Guards against a node that runs out of memory, and loses the requests of others with it, because of
// replicas that answer without an end.
func TestEndlessAnswersLeaveTheNodeItsMemory(t *testing.T) {
	if runtime.GOOS != "linux" {
		t.Skip("the memory of a process is measured on Linux only")
	}
	cases := allEndlessCases()
	switch {
	case *endlessMatch != "":
		cases = slices.DeleteFunc(cases, func(c endlessCase) bool { return !strings.Contains(c.String(), *endlessMatch) })
	case !*endlessAll:
		selected := make([]endlessCase, endlessCases-1)
		rng := rand.New(rand.NewPCG(*endlessSeed, 0))
		rng.Shuffle(len(cases), func(i, j int) { cases[i], cases[j] = cases[j], cases[i] })
		copy(selected, cases)
		// The most memory is held by answers that are nearly as large as they may be.
		slices.SortStableFunc(cases, func(a, b endlessCase) int { return cmp.Compare(b.heldBytes(), a.heldBytes()) })
		cases = append(cases[:1], selected...)
	}
	programs := buildSitePrograms(t)
	results := make([]endlessResult, len(cases))
	var group errgroup.Group
	group.SetLimit(*endlessSites)
	for i, c := range cases {
		group.Go(func() error {
			t.Run(c.String(), func(t *testing.T) {
				r := runEndless(t, programs, c)
				results[i] = r
				if r.killed || r.peakMB > c.memoryMB {
					t.Errorf("the node took %d MB of %d", r.peakMB, c.memoryMB)
				}
				if r.lost > 0 || r.answered == 0 {
					t.Errorf("of the requests to sound replicas %d were answered and %d lost, the first with %s", r.answered, r.lost, r.firstLoss)
				}
			})
			return nil
		})
	}
	_ = group.Wait() // The subtests report their errors.
	var table strings.Builder
	for i, c := range cases {
		r := results[i]
		fmt.Fprintf(&table, "| %d | %s | %s | %d of %d | %d | %t | %d / %d | %d / %d |\n", c.memoryMB, c.position, c.pace, c.faulty, endlessTotal(c), r.peakMB, r.killed, r.answered, r.lost, r.served, r.failed)
	}
	t.Logf("memory-mb, position, pace, faulty, peak MB, over, others answered / lost, same service served / failed\n%s", &table)
}

func endlessTotal(c endlessCase) int {
	if c.streamed() {
		return silencePoolReplicas
	}
	return endlessApps
}

func runEndless(t *testing.T, programs string, c endlessCase) endlessResult {
	s := newSilenceSite(t, t.TempDir(), programs)
	for i := silenceAppReplicas; i < endlessApps; i++ {
		s.startReplica(fmt.Sprintf("app-%d", i), "app")
	}
	for i := range 2 {
		s.startReplica(fmt.Sprintf("sound-%d", i), "sound")
	}
	s.configureEndless()
	prefix := "app"
	if c.streamed() {
		prefix = "pool"
	}
	for i := range c.faulty {
		resp, err := http.Post("http://"+s.addresses[fmt.Sprintf("%s-%d", prefix, i)]+replica.EndlessPath+"?"+c.query().Encode(), "", nil)
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			t.Fatal(resp.Status)
		}
	}
	s.startNodeWithMemory(*endlessNode, c.memoryMB)
	callers := endlessCallersOf{site: s, streamed: c.streamed()}
	ctx, cancel := context.WithTimeout(context.Background(), *endlessLength)
	defer cancel()
	watched := make(chan struct{})
	var (
		group, watch errgroup.Group
		peakMB       int
		over         bool
	)
	watch.Go(func() error {
		peakMB, over = s.watchMemory(watched, c.memoryMB)
		return nil
	})
	for i := range *endlessCallers {
		group.Go(func() error { callers.callFaulty(ctx, i); return nil })
	}
	for i := range soundCallers {
		group.Go(func() error { callers.callSound(ctx, i); return nil })
	}
	_ = group.Wait() // Callers record their errors.
	close(watched)
	_ = watch.Wait()
	r := callers.result
	r.peakMB, r.killed = peakMB, over
	if !over {
		if err := s.running[nodeName(0)].Process.Signal(syscall.Signal(0)); err != nil {
			t.Errorf("the node has ended: %v", err)
		}
	}
	return r
}

// configureEndless writes a configuration with a service of sound replicas, beside the two
// that may have faulty ones.
func (s *silenceSite) configureEndless() {
	// Each replica has enough slots for all callers.
	slots := *endlessCallers
	for name := range s.addresses {
		service, _, _ := strings.Cut(name, "-")
		s.store.Put(platform.ReplicasKind, name, map[string]any{"service": service, "addr": s.addresses[name], "zone": "dc", "slots": slots, "state": "ready", "born": 1})
	}
	route := func(name, kind, service string, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": standinsite.Host, "path-prefix": "/" + name + "/", "type": kind, "service": service,
			"timeout-ms": endlessTimeout.Milliseconds(), "slo-ms": silenceObjective.Milliseconds(), "max-attempts": attempts,
		}
	}
	chat, once := route("chat", "streaming", "pool", 2), route("once", "streaming", "pool", 1)
	chat["resumable"] = true
	for _, r := range []map[string]any{chat, once} {
		r["gap-target-ms"] = silenceGapTarget.Milliseconds()
	}
	s.store.Put(platform.ConfigKind, platform.ConfigName, map[string]any{
		"version": s.config.version + 1,
		"routes":  []map[string]any{chat, once, route("act", "non_idempotent", "app", 1), route("read", "idempotent", "app", 2), route("sound", "idempotent", "sound", 2)},
		"services": []map[string]any{
			{"name": "pool", "max-conns": 2 * slots, "engine": map[string]any{"slots": slots, "kv-capacity": 3150000, "stride": 51, "chunk": 2048, "step_ms": 0.85, "per_seq_ms": 0.004, "context_per_k": 0.003, "read_per_s": 177000, "pairs_per_m": 0.184}},
			{"name": "app", "max-conns": 2 * slots},
			{"name": "sound", "max-conns": 2 * slots},
		},
		"limits":  map[string]any{"max-header-bytes": 16384, "max-body-bytes": 1 << 20, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants": []map[string]any{{"name": "readers", "api-keys": []string{standinsite.Key}}},
	})
}

// startNodeWithMemory starts the only node of the site.
func (s *silenceSite) startNodeWithMemory(program string, memoryMB int) {
	s.t.Helper()
	var listen [5]string
	for k := range listen {
		listen[k] = s.freeAddress()
	}
	s.nodes, s.ready = append(s.nodes, listen[0]), append(s.ready, listen[1])
	err := standinsite.WriteSettings(filepath.Join(s.dir, nodeName(0)+".json"), catkinspindle.GatewaySettings{
		Name: nodeName(0), DataCentre: "dc", Store: s.platform,
		Callers: listen[0], Ready: listen[1], Addresses: listen[2], Peers: listen[3], Metrics: listen[4],
		CPUShare: 1, MemoryMB: memoryMB, Grace: silenceGrace,
		Retry: catkinspindle.RetryBudget{Ratio: 0.2, Window: 10 * time.Second, Min: 100},
	})
	if err != nil {
		s.t.Fatal(err)
	}
	s.startSiteNode(0, cmp.Or(program, s.nodeProgram()))
	s.awaitReady(0)
}

// watchMemory measures the node's memory until done is closed. If it exceeds memoryMB, it ends the
// node and returns true.
func (s *silenceSite) watchMemory(done <-chan struct{}, memoryMB int) (peakMB int, over bool) {
	process := s.running[nodeName(0)].Process
	for {
		peak, err := peakMemory(process.Pid)
		if err != nil {
			s.t.Errorf("memory of the node: %v", err)
			return peakMB, false
		}
		peakMB = int(peak >> 20)
		if peak > int64(memoryMB)<<20 {
			_ = process.Kill() // It may have ended.
			return peakMB, true
		}
		select {
		case <-done:
			return peakMB, false
		case <-time.After(memoryInterval):
		}
	}
}

// peakMemory returns the peak of the resident memory of a process in bytes.
func peakMemory(pid int) (int64, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(status)) {
		if text, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, err := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(text), "kB")), 10, 64)
			return kb << 10, err
		}
	}
	return 0, errors.New("the process has ended")
}

// endlessCallersOf are the callers of a node while replicas answer without an end.
type endlessCallersOf struct {
	site     *silenceSite
	streamed bool

	mu     sync.Mutex
	result endlessResult
}

// callFaulty sends requests to the service with the faulty replicas. Every second caller does not read
// the bodies of its answers.
func (c *endlessCallersOf) callFaulty(ctx context.Context, caller int) {
	paths, tokens := []string{"/read/x", "/act/x"}, 0
	if c.streamed {
		paths, tokens = []string{"/chat/x", "/once/x"}, 500
	}
	client := newEndlessClient()
	defer client.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		ok := func() bool {
			ctx, cancel := context.WithTimeout(context.Background(), endlessTimeout)
			defer cancel()
			req, err := standinsite.Request(ctx, c.site.nodes[0], fmt.Sprintf("faulty-%d-%d", caller, n), http.MethodPost, paths[caller/2%2], standinsite.Key, tokens, endlessTimeout)
			if err != nil {
				return false
			}
			resp, err := client.Do(req)
			if err != nil {
				return false
			}
			defer func() { _ = resp.Body.Close() }() // Read to its end, or given up.
			if caller%2 == 0 && resp.ContentLength < 0 && !c.streamed {
				<-ctx.Done()
				return false
			}
			_, err = io.Copy(io.Discard, resp.Body)
			return err == nil && resp.StatusCode == http.StatusOK
		}()
		c.mu.Lock()
		if ok {
			c.result.served++
		} else {
			c.result.failed++
		}
		c.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// callSound sends requests to sound replicas, each of which must be answered.
func (c *endlessCallersOf) callSound(ctx context.Context, caller int) {
	client := newEndlessClient()
	defer client.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		var (
			status int
			body   string
		)
		req, err := standinsite.Request(context.Background(), c.site.nodes[0], fmt.Sprintf("sound-%d-%d", caller, n), http.MethodPost, "/sound/x", standinsite.Key, 0, silenceTimeout)
		if err == nil {
			status, body, err = standinsite.Do(client, req)
		}
		c.mu.Lock()
		if err == nil && status == http.StatusOK && body == "POST /sound/x 6" {
			c.result.answered++
		} else {
			c.result.lost++
			c.result.firstLoss = cmp.Or(c.result.firstLoss, fmt.Sprintf("status %d, body %.80q, error %v", status, body, err))
		}
		c.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-time.After(20 * time.Millisecond):
		}
	}
}

func newEndlessClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2, DialContext: (&net.Dialer{Timeout: awaitTimeout}).DialContext}}
}
