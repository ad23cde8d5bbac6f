// Package proofs_test injects faults into a fleet under concurrent load and
// checks the recorded history against the guarantees of the system. Nodes run
// their real code in virtual time; network, platform and back ends are fakes.
package proofs_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/node"
	"github.com/catkinspindle/catkinspindle/settings"
	"github.com/catkinspindle/catkinspindle/standin/engine"
	"github.com/catkinspindle/catkinspindle/standin/plain"
	"github.com/catkinspindle/catkinspindle/standin/platform"
)

// fleetSpec describes a fleet: its size, its policy and changes of the defaults.
type fleetSpec struct {
	dataCentres, nodes, engines, plains int
	policy                              catkinspindle.Policy
	configureEngine                     func(*engine.Config)
	configureTiming                     func(*catkinspindle.Timing)
	config                              string
}

func smallFleet() fleetSpec {
	return fleetSpec{dataCentres: 1, nodes: 3, engines: 3, plains: 2, policy: catkinspindle.DefaultPolicy()}
}

// fleet is a running fleet of nodes over fake back ends and a fake platform.
type fleet struct {
	t        *testing.T
	spec     fleetSpec
	net      *network
	platform *platform.Platform
	engines  map[string]*engine.Engine
	plains   map[string]*plain.Service
	group    *errgroup.Group

	mu       sync.Mutex
	nodes    map[string]*node.Node
	stopped  []*node.Node
	results  []result
	versions []versionSample
	accepted []acceptedEdit
}

// result is one request as its caller observed it.
type result struct {
	name             string
	via              string
	tokens           int
	sent             time.Time
	deadline         time.Time
	ended            time.Time
	timeToFirstToken time.Duration
	text             string
	err              error
	// entryFailed means that the entry VM died or froze during the request, so
	// that it could not answer.
	entryFailed bool
	// withoutOrigin marks an action that was sent with a key but no origin.
	withoutOrigin bool
}

func (r result) verdict() catkinspindle.Verdict {
	if r.err == nil {
		return catkinspindle.Ran
	}
	return catkinspindle.AsFailure(r.err).Verdict
}

const readyTimeout = time.Minute

func baseConfig(engines, plains int) string {
	return fmt.Sprintf(`
models: [{name: m, version: "1"}]
deployments: [{name: gpu, kind: engine, checks-fencing: true}, {name: app, kind: plain}]
services:
- {name: archive, kind: plain, deployment: app, replicas: %d, methods: [{name: read, idempotent: true}, {name: buy}]}
- {name: assistant, kind: model, model: m, role: serve, deployment: gpu, replicas: %d, depends-on: [archive]}
workspaces: [{name: w, key-sha256: "%s"}]
loads-per-second: 50
`, plains, engines, strings.Repeat("0", 64))
}

// newFleet starts a fleet and waits until all of it is ready.
func newFleet(t *testing.T, s fleetSpec) *fleet {
	t.Helper()
	f := &fleet{
		t:        t,
		spec:     s,
		net:      newNetwork(),
		platform: platform.New(time.Second),
		engines:  map[string]*engine.Engine{},
		plains:   map[string]*plain.Service{},
		nodes:    map[string]*node.Node{},
		group:    &errgroup.Group{},
	}
	for i := range s.engines {
		f.addEngine(fmt.Sprintf("engine-%02d", i), f.dataCentre(i))
	}
	for i := range s.plains {
		name := fmt.Sprintf("plain-%02d", i)
		f.plains[name] = plain.New(name)
		f.platform.SetVM(catkinspindle.VM{Name: name, Kind: catkinspindle.KindPlain, Address: name, DataCentre: f.dataCentre(i), Deployment: "app"})
	}
	for i := range s.nodes {
		f.startNode(f.nodeName(i), f.dataCentre(i))
	}
	t.Cleanup(f.close)
	text := s.config
	if text == "" {
		text = baseConfig(s.engines, s.plains)
	}
	if _, err := f.node("vm-00").Config().Apply(context.Background(), 0, "first", []byte(text)); err != nil {
		t.Fatal(err)
	}
	f.awaitReady()
	return f
}

// awaitReady waits until every node sees all nodes as members and all backend
// servers as ready.
func (f *fleet) awaitReady() {
	f.t.Helper()
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := true
		for _, n := range f.nodes {
			ready = ready && f.allReady(n.Snapshot())
		}
		if ready {
			return
		}
	}
	f.t.Fatalf("fleet is not ready after %v", readyTimeout)
}

func (f *fleet) allReady(s *catkinspindle.Snapshot) bool {
	ready := 0
	for _, l := range s.Loads() {
		if l.Ready {
			ready++
		}
	}
	return s.Ready() && len(s.Members) == f.spec.nodes && ready == f.spec.engines && len(s.Replicas("archive")) == f.spec.plains
}

func (f *fleet) dataCentre(i int) string  { return fmt.Sprintf("dc-%d", i%f.spec.dataCentres) }
func (f *fleet) nodeName(i int) string    { return fmt.Sprintf("vm-%02d", i) }
func (f *fleet) node(n string) *node.Node { f.mu.Lock(); defer f.mu.Unlock(); return f.nodes[n] }

func (f *fleet) addEngine(name, dataCentre string) {
	cfg := engine.DefaultConfig(name)
	if f.spec.configureEngine != nil {
		f.spec.configureEngine(&cfg)
	}
	f.engines[name] = engine.New(cfg)
	f.platform.SetVM(catkinspindle.VM{Name: name, Kind: catkinspindle.KindEngine, Address: name, DataCentre: dataCentre, Deployment: "gpu"})
}

func logger() *slog.Logger {
	if os.Getenv("PROOF_LOG") == "" {
		return slog.New(slog.DiscardHandler)
	}
	return slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelDebug}))
}

// startNode starts a node, or a new incarnation of a node that was killed or is frozen.
func (f *fleet) startNode(name, dataCentre string) {
	cfg := settings.Default()
	cfg.Name, cfg.DataCentre = name, dataCentre
	cfg.PeerAddress, cfg.CallersURL = name, name
	cfg.Policy = f.spec.policy
	cfg.Seeds = []string{"vm-00", "vm-01"}
	if f.spec.configureTiming != nil {
		f.spec.configureTiming(&cfg.Timing)
	}
	site := f.net.newSite(name, dataCentre)
	n, err := node.New(cfg, logger(),
		node.WithPeers(site), node.WithoutListeners(), node.WithSeed(1),
		node.WithPlatform(&platformLink{site: site, to: f.platform}),
		node.WithDialer(&dialer{fleet: f, site: site}))
	if err != nil {
		f.t.Fatal(err)
	}
	if err := n.Start(context.Background()); err != nil {
		f.t.Fatal(err)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if old, ok := f.nodes[name]; ok {
		f.stopped = append(f.stopped, old)
	}
	f.nodes[name] = n
}

// kill stops a node abruptly, without a drain.
func (f *fleet) kill(name string) { f.net.site(name).kill() }

// close waits for the callers, clears all faults and stops the engines and nodes.
func (f *fleet) close() {
	_ = f.group.Wait()
	f.net.heal()
	f.platform.SetFaults(platform.Faults{})
	for _, e := range f.engines {
		e.Close()
	}
	for _, p := range f.plains {
		p.SetFaults(plain.Faults{})
	}
	done, cancel := context.WithCancel(context.Background())
	cancel()
	for _, n := range f.nodes {
		f.stopped = append(f.stopped, n)
	}
	for _, n := range f.stopped {
		_ = n.Stop(done)
	}
}

// spawn starts a goroutine that the end of the test waits for.
func (f *fleet) spawn(run func()) {
	f.group.Go(func() error {
		run()
		return nil
	})
}

// sendPrompt sends a prompt through a node and records the result.
func (f *fleet) sendPrompt(name, via string, tokens int, timeout time.Duration) result {
	req := catkinspindle.Request{
		Workspace: "w",
		Model:     "m",
		Prompt:    promptText(name, tokens),
		MaxTokens: 64,
		Deadline:  time.Now().Add(timeout),
	}
	r := result{name: name, via: via, tokens: tokens, sent: time.Now(), deadline: req.Deadline}
	site, n := f.net.site(via), f.node(via)
	ctx, cancel := site.callerContext(req.Deadline)
	defer cancel()
	r.text, r.timeToFirstToken, r.err = readAnswer(ctx, site, n.PromptService(), req)
	r.ended = time.Now()
	r.entryFailed = site.failedSince(r.sent)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.results = append(f.results, r)
	return r
}

func readAnswer(ctx context.Context, site *site, prompts catkinspindle.PromptService, req catkinspindle.Request) (string, time.Duration, error) {
	sent := time.Now()
	var timeToFirstToken time.Duration
	s, err := prompts.Open(ctx, req)
	if err != nil {
		return "", 0, err
	}
	defer s.Close()
	var text strings.Builder
	for {
		c, err := s.Next()
		if thawErr := site.awaitThawed(ctx); thawErr != nil {
			return text.String(), timeToFirstToken, thawErr
		}
		if err == io.EOF {
			return text.String(), timeToFirstToken, nil
		}
		if err != nil {
			return text.String(), timeToFirstToken, err
		}
		if timeToFirstToken == 0 {
			timeToFirstToken = time.Since(sent)
		}
		text.WriteString(strings.Join(c.Tokens, ""))
	}
}

var promptFiller = strings.Repeat("the quick brown fox jumps over the lazy dog and ", 90_000)

func promptText(name string, tokens int) string {
	title := name + ": "
	return title + promptFiller[:max(0, tokens*catkinspindle.BytesPerToken-len(title))]
}

var staleVMList = platform.Faults{FreezeVMs: true}

func (f *fleet) setPlatformDown(down bool) { f.platform.SetFaults(platform.Faults{Down: down}) }
