package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/catkinspindle/catkinspindle/platform/standin/store"
)

const (
	host        = "site.example"
	key         = "site-key"
	startupTime = 15 * time.Second
	stopTime    = 10 * time.Second
	// inTouch is longer than stable-window-ms, after which a machine that has started is in touch.
	inTouch = 4 * time.Second
	// maxDescriptors is max-fds in the settings of the nodes.
	maxDescriptors = 4200
)

var errCannotRun = errors.New("the case cannot run")

// node is a process of the program that the deploy file starts.
type node struct {
	name                    string
	front, ready, directory string
	settings                string
	cmd                     *exec.Cmd
	ended                   chan struct{}
}

// site is a store, replicas and nodes on loopback addresses.
type site struct {
	folder  string
	program string
	record  *record
	store   *store.Store
	// storeAddress is the address of the store that the nodes are given.
	storeAddress string
	nodes        []*node
	app          *app
	// servers has the servers of the stand-ins, processes what waits for the ends of processes.
	servers, processes errgroup.Group
	version            int
}

// record is what record.txt holds.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

func newSite(program string, r *record) (*site, error) {
	folder, err := os.MkdirTemp("", "review-case-")
	if err != nil {
		return nil, err
	}
	s := &site{folder: folder, program: program, record: r, store: store.New()}
	s.storeAddress, err = s.serve(s.store)
	return s, err
}

// freePorts returns free TCP ports, all of which were open at the same time.
func freePorts(n int) ([]int, error) {
	ports := make([]int, n)
	for i := range ports {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = l.Close() }()
		ports[i] = l.Addr().(*net.TCPAddr).Port
	}
	return ports, nil
}

// configure writes the next version of the configuration.
func (s *site) configure(routes []map[string]any) {
	s.version++
	s.store.Put("config", "main", map[string]any{
		"version": s.version,
		"routes":  routes,
		"services": []map[string]any{
			{"name": "app", "health-path": "/healthz", "max-conns": 100},
		},
		"limits":  map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants": []map[string]any{{"name": "readers", "api-keys": []string{key}}},
	})
}

// route returns a route of the service app.
func route(name, kind string, timeout time.Duration) map[string]any {
	return map[string]any{
		"name": name, "host": host, "path-prefix": "/" + name + "/", "type": kind, "service": "app",
		"timeout-ms": timeout.Milliseconds(), "slo-ms": 1000, "max-attempts": 2, "priority": 1,
	}
}

// startNodes starts nodes and waits until all are ready.
func (s *site) startNodes(n int) error {
	for i := range n {
		if err := s.addNode(fmt.Sprintf("edge-z1-%d", i+1)); err != nil {
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

func (s *site) addNode(name string) error {
	ports, err := freePorts(5)
	if err != nil {
		return err
	}
	address := func(i int) string { return fmt.Sprintf("127.0.0.1:%d", ports[i]) }
	nd := &node{name: name, front: address(0), ready: address(1), directory: address(2)}
	settings := map[string]any{
		"node-name": name, "role": "node", "machine-class": "edge", "serves": []string{"edge", "registry"},
		"ip": "127.0.0.1", "zone": "z1", "region": "r1", "zones": map[string]string{"z1": "r1"},
		"listen":         map[string]string{"front": nd.front, "ready": nd.ready, "directory": nd.directory},
		"internal-ports": []int{ports[3], ports[4]},
		"seeds":          []string{}, "bootstrap": true, "loss-counts": false,
		"limits":   map[string]any{"cpu-share": 0.4, "cores": 1, "memory-mb": 284, "max-fds": maxDescriptors, "link-mbps": 1000.0, "disk-mb": 0},
		"data-dir": nil, "discovery": "platform", "entry": "registry", "heartbeat-ms": 1200,
		"contracts":       []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform", "spans"},
		"fault-tolerance": map[string]int{"machines": 1, "zones": 0, "regions": 0},
		"bounds": map[string]any{
			"seed-lag-s": 3, "reuse-after-s": 2, "stable-window-ms": 3000, "ack-ms": 4000, "catch-up-s": 4, "drain-ms": 2000,
			"grace-s": 8, "loss-slack-ms": 200, "config-apply-ms": 2000, "rollback-slack-ms": 250, "max-skew-ms": 5000,
			"strict-revoke": false, "revoke-ms": 5000, "retry-budget-ratio": 0.2, "budget-window-s": 10, "retry-budget-min": 100,
			"recover-s": 12, "event-latency-ms": 120, "retry-after-s": 0, "stall_ms": 1500, "hold-max-ms": 20000,
			"free-ms": 4000, "idle-max-ms": 9000, "ttl_max_s": 5,
		},
		"platform": map[string]any{"addr": s.storeAddress, "form": "objects", "writes-per-s": 400, "reads-per-s": 2000, "history-s": 20, "value-bytes": 1048576, "ttl-min-ms": 1000},
	}
	data, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return err
	}
	nd.settings = filepath.Join(s.folder, name+".json")
	if err := os.WriteFile(nd.settings, data, 0o600); err != nil {
		return err
	}
	s.nodes = append(s.nodes, nd)
	return s.start(nd)
}

// start starts the process of a node.
func (s *site) start(nd *node) error {
	log, err := os.OpenFile(filepath.Join(s.folder, nd.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	nd.cmd = exec.Command(s.program, "run")
	nd.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CATKINSPINDLE_CONFIG=" + nd.settings}
	nd.cmd.Stdout, nd.cmd.Stderr = log, log
	if err := nd.cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	nd.ended = ended
	cmd := nd.cmd
	s.processes.Go(func() error {
		err := cmd.Wait()
		s.record.line("%s: process %d ended: %v", nd.name, cmd.Process.Pid, err)
		close(ended)
		return nil
	})
	s.record.line("%s: process %d started, front %s", nd.name, cmd.Process.Pid, nd.front)
	return nil
}

// runs reports whether the process of the node runs.
func (nd *node) runs() bool {
	select {
	case <-nd.ended:
		return false
	default:
		return true
	}
}

func (s *site) awaitReady(nd *node) error {
	for end := time.Now().Add(startupTime); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if isReady(nd) {
			s.record.line("%s: ready", nd.name)
			return nil
		}
	}
	return fmt.Errorf("%w: %s is not ready after %v", errCannotRun, nd.name, startupTime)
}

func isReady(nd *node) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+nd.ready+"/api/readyz", nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.Body.Close() == nil && resp.StatusCode == http.StatusOK
}

// close ends all processes and removes the folder.
func (s *site) close() {
	for _, nd := range s.nodes {
		if nd.cmd == nil || nd.cmd.Process == nil {
			continue
		}
		_ = nd.cmd.Process.Signal(syscall.SIGCONT)
		_ = nd.cmd.Process.Kill()
		select {
		case <-nd.ended:
		case <-time.After(stopTime):
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.folder)
	}
}
