package proofs_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
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
	"github.com/catkinspindle/catkinspindle/platform/standin/store"
)

const (
	silencePoolReplicas = 5
	silenceAppReplicas  = 2
	// silenceEvents and silenceEventPause are the shape of a stream, silenceTokens its sizes.
	silenceEvents     = 33
	silenceEventPause = 60 * time.Millisecond
	silenceTokens     = "5000,1683"
	silenceObjective  = 300 * time.Millisecond
	silenceGapTarget  = 250 * time.Millisecond
	silenceTimeout    = 10 * time.Second
	// silenceGrace is the time that a node has for a planned stop.
	silenceGrace = 8 * time.Second
)

// silenceSite is a site of the users' platform whose nodes and replicas are processes of their
// own; the store runs in the test process.
type silenceSite struct {
	*processFleet
	// programs is the directory of the programs of this tree.
	programs string
	store    *store.Store
	// addresses of the callers' and the readiness ports of the nodes, in the nodes' order.
	nodes, ready []string
	// mu guards what follows; present are the replicas of the pool that the store lists.
	mu      sync.Mutex
	config  silenceConfig
	present []string
	started int
}

// silenceConfig is what the changes of the configuration change.
type silenceConfig struct {
	version              int64
	idleTimeout, timeout time.Duration
	added                int
	// spareService is the service of the route that is moved.
	spareService string
	// tenants are the tenants with their keys; the configuration has no list of them if it is nil.
	tenants []map[string]any
}

// siteTenants are the tenants of a site at its start.
var siteTenants = []map[string]any{{"name": "readers", "api-keys": []string{standinsite.Key}}}

func newSilenceSite(t *testing.T, dir, programs string) *silenceSite {
	t.Helper()
	s := &silenceSite{
		programs:     programs,
		processFleet: &processFleet{t: t, dir: dir, addresses: map[string]string{}, running: map[string]*exec.Cmd{}},
		store:        store.New(),
		config:       silenceConfig{idleTimeout: 15 * time.Second, timeout: silenceTimeout, spareService: "app", tenants: siteTenants},
	}
	server := httptest.NewServer(s.store)
	t.Cleanup(server.Close)
	t.Cleanup(s.killAll)
	s.platform = strings.TrimPrefix(server.URL, "http://")
	for range silencePoolReplicas {
		s.startPoolReplica()
	}
	for i := range silenceAppReplicas {
		s.startReplica(fmt.Sprintf("app-%d", i), "app")
	}
	s.configure(func(*silenceConfig) {})
	return s
}

// buildSitePrograms builds the programs of a site from this tree and returns their directory.
func buildSitePrograms(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	if out, err := exec.Command("go", "build", "-o", dir, "../cmd/standin", "../cmd/catkinspindle-node").CombinedOutput(); err != nil {
		t.Fatalf("build: %v: %s", err, out)
	}
	return dir
}

// nodeProgram returns the program of the nodes that was built from this tree.
func (s *silenceSite) nodeProgram() string { return filepath.Join(s.programs, "catkinspindle-node") }

// startPoolReplica starts a replica of the model service with a new id.
func (s *silenceSite) startPoolReplica() {
	name := fmt.Sprintf("pool-%d", s.started)
	s.started++
	s.startReplica(name, "pool")
	s.mu.Lock()
	defer s.mu.Unlock()
	s.present = append(s.present, name)
}

func (s *silenceSite) startReplica(name, service string) {
	s.t.Helper()
	s.addresses[name] = s.freeAddress()
	cmd := exec.Command(filepath.Join(s.programs, "standin"), "replica", "--name", name, "--listen", s.addresses[name],
		"--events", fmt.Sprint(silenceEvents), "--pause", silenceEventPause.String())
	// The kernel ends stopped processes when their process group has lost its shell.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	s.run(name, cmd)
	s.await(name, func() error { return get("http://"+s.addresses[name]+"/healthz", nil) })
	s.store.Put(platform.ReplicasKind, name, map[string]any{"service": service, "addr": s.addresses[name], "zone": "dc", "slots": 16, "state": "ready", "born": 1})
}

// removeReplica deletes the entry of a replica of the pool.
func (s *silenceSite) removeReplica(name string) {
	s.store.Delete(platform.ReplicasKind, name)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.present = slices.DeleteFunc(s.present, func(other string) bool { return other == name })
}

func (s *silenceSite) freeAddress() string {
	s.t.Helper()
	address, err := standinsite.FreeAddress()
	if err != nil {
		s.t.Fatal(err)
	}
	return address
}

// startNodes starts a node with each of the programs, one after the other. The first one coordinates.
func (s *silenceSite) startNodes(programs ...string) {
	s.t.Helper()
	for i, program := range programs {
		var listen [5]string
		for k := range listen {
			listen[k] = s.freeAddress()
		}
		s.nodes, s.ready = append(s.nodes, listen[0]), append(s.ready, listen[1])
		name := nodeName(i)
		err := standinsite.WriteSettings(filepath.Join(s.dir, name+".json"), catkinspindle.GatewaySettings{
			Name: name, DataCentre: "dc", Store: s.platform,
			Callers: listen[0], Ready: listen[1], Addresses: listen[2], Peers: listen[3], Metrics: listen[4],
			CPUShare: 1, MemoryMB: 284, Grace: silenceGrace,
			Retry: catkinspindle.RetryBudget{Ratio: 0.2, Window: 10 * time.Second, Min: 100},
		})
		if err != nil {
			s.t.Fatal(err)
		}
		s.startSiteNode(i, program)
		s.awaitReady(i)
	}
}

func nodeName(i int) string { return fmt.Sprintf("node-%d", i) }

func (s *silenceSite) startSiteNode(i int, program string) {
	name := nodeName(i)
	cmd := exec.Command(program, "run")
	cmd.Env = append(os.Environ(), platform.SettingsEnv+"="+filepath.Join(s.dir, name+".json"))
	s.run(name, cmd)
}

func (s *silenceSite) awaitReady(i int) {
	s.t.Helper()
	s.await(nodeName(i)+" to be ready", func() error { return get("http://"+s.ready[i]+platform.ReadyPath, nil) })
}

// stopNode ends a node with SIGTERM and expects it to exit cleanly.
func (s *silenceSite) stopNode(i int) {
	s.signal(nodeName(i), syscall.SIGTERM)
	if err := s.running[nodeName(i)].Wait(); err != nil {
		s.t.Errorf("%s: planned stop: %v", nodeName(i), err)
	}
}

// configure writes the next version of the configuration. /chat/ is resumable, /once/ is not,
// /act/ may run once only.
func (s *silenceSite) configure(change func(*silenceConfig)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.config)
	s.config.version++
	route := func(name, kind, service string, attempts int, more map[string]any) map[string]any {
		r := map[string]any{
			"name": name, "host": standinsite.Host, "path-prefix": "/" + name + "/", "type": kind, "service": service,
			"timeout-ms": s.config.timeout.Milliseconds(), "slo-ms": silenceObjective.Milliseconds(), "max-attempts": attempts,
		}
		maps.Copy(r, more)
		return r
	}
	gap := silenceGapTarget.Milliseconds()
	routes := []map[string]any{
		route("chat", "streaming", "pool", 2, map[string]any{"gap-target-ms": gap, "resumable": true}),
		route("once", "streaming", "pool", 1, map[string]any{"gap-target-ms": gap}),
		route("act", "non_idempotent", "app", 1, nil),
		route("spare", "idempotent", s.config.spareService, 2, nil),
	}
	for i := range s.config.added {
		routes = append(routes, route(fmt.Sprintf("added-%d", i), "idempotent", "app", 2, nil))
	}
	config := map[string]any{
		"version": s.config.version, "routes": routes,
		"services": []map[string]any{
			{"name": "pool", "max-conns": 274, "engine": map[string]any{"slots": 16, "kv-capacity": 315000, "stride": 51, "chunk": 2048, "step_ms": 0.85, "per_seq_ms": 0.004, "context_per_k": 0.003, "read_per_s": 177000, "pairs_per_m": 0.184}},
			{"name": "app", "max-conns": 110},
		},
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 1 << 20, "header-timeout-ms": 3000, "idle-timeout-ms": s.config.idleTimeout.Milliseconds()},
	}
	if s.config.tenants != nil {
		config["tenants"] = s.config.tenants
	}
	s.store.Put(platform.ConfigKind, platform.ConfigName, config)
}

// silenced returns the given share of the replicas of the pool, beginning at the given index.
func (s *silenceSite) silenced(percent, first int) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	names := slices.Concat(s.present[first%len(s.present):], s.present[:first%len(s.present)])
	return names[:(len(names)*percent+99)/100]
}

// histories returns what each request did at the replicas, by request id.
func (s *silenceSite) histories() map[string]*silenceHistory {
	s.t.Helper()
	all := map[string]*silenceHistory{}
	of := func(id string) *silenceHistory {
		if all[id] == nil {
			all[id] = &silenceHistory{}
		}
		return all[id]
	}
	var names []string
	for name := range s.addresses {
		names = append(names, name)
	}
	var mu sync.Mutex
	var group errgroup.Group
	for _, name := range names {
		group.Go(func() error {
			var h replica.History
			resp, err := http.Get("http://" + s.addresses[name] + replica.HistoryPath)
			if err != nil {
				return err
			}
			err = errors.Join(json.NewDecoder(resp.Body).Decode(&h), resp.Body.Close())
			mu.Lock()
			defer mu.Unlock()
			for _, a := range h.Arrivals {
				of(a.ID).arrivals++
			}
			for _, e := range h.Executions {
				of(e.ID).ranAt = append(of(e.ID).ranAt, name)
			}
			return err
		})
	}
	if err := group.Wait(); err != nil {
		s.t.Fatalf("history of a replica: %v", err)
	}
	return all
}

// silenceHistory is what one request did at the replicas.
type silenceHistory struct {
	arrivals int
	// ranAt are the replicas that ran the request.
	ranAt []string
}
