package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/catkinspindle/catkinspindle/platform/standin/store"
)

// Names and figures of the small deployment, as the users' pages have them.
const (
	host         = "review.example"
	knownKey     = "key-of-the-tenant"
	stableWindow = 3 * time.Second
	configApply  = 2 * time.Second
	maxFDs       = 4100
	memoryMB     = 284
	maxBodyBytes = 4194304
	readyTimeout = 25 * time.Second
)

// lab is one run of a case: the store, the replicas, the nodes and the record.
type lab struct {
	dir    string
	record *os.File
	begun  time.Time
	store  *store.Store
	addr   string
	group  errgroup.Group

	mu      sync.Mutex
	servers []*http.Server
	nodes   []*node
	version int64
	// headerBytes is max-header-bytes of the next configuration.
	headerBytes int
	// engine is true if the replicas belong to a service with an engine.
	engine bool
}

// node is a process of the project's node.
type node struct {
	lab                     *lab
	name, ip                string
	front, ready, directory string
	peers, metrics          int
	file                    string
	grace                   float64
	maxFDs                  int
	cmd                     *exec.Cmd
	done                    chan struct{}
}

func newLab(_ context.Context, folder string) (*lab, error) {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, errors.Join(err, record.Close())
	}
	l := &lab{dir: dir, record: record, begun: time.Now(), store: store.New(), headerBytes: 16384}
	l.addr, err = l.serve("127.0.0.1", withoutEra(l.store))
	return l, err
}

// withoutEra removes a header of the project's store stand-in that the pages do not have.
func withoutEra(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { h.ServeHTTP(&eraFilter{w}, r) })
}

type eraFilter struct{ http.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (f *eraFilter) WriteHeader(status int) {
	f.Header().Del("Store-Era")
	f.ResponseWriter.WriteHeader(status)
}

func (l *lab) note(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, _ = fmt.Fprintf(l.record, "%8.3f %s\n", time.Since(l.begun).Seconds(), fmt.Sprintf(format, args...))
}

// serve serves h on a free port of ip and returns the address.
func (l *lab) serve(ip string, h http.Handler) (string, error) {
	ln, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	l.mu.Lock()
	l.servers = append(l.servers, s)
	l.mu.Unlock()
	l.group.Go(func() error { return s.Serve(ln) })
	return ln.Addr().String(), nil
}

// configure writes the next version of the configuration, as the operator does.
func (l *lab) configure(routes []map[string]any, tenants any) time.Time {
	l.version += 3
	l.store.Put("config", "main", map[string]any{
		"version": l.version,
		"routes":  routes,
		"services": []map[string]any{
			{"name": "app", "health-path": "/healthz", "max-conns": 1000, "protocol": "h1", "tls": false},
			{"name": "pool", "health-path": "/healthz", "max-conns": 274, "protocol": "h1", "tls": false, "engine": map[string]any{
				"slots": slotsOfShed, "kv-capacity": 315000, "kv-bytes": 163840, "link-mbps": 400000.0, "stride": 51, "models": []map[string]string{{"name": "m"}},
				"step_ms": 0.85, "per_seq_ms": 0.00425, "context_per_k": 0.00285, "read_per_s": 177000.0, "pairs_per_m": 0.184, "chunk": 2048, "report_lag_ms": 200.0,
				"delays": []any{}, "usual": map[string]int{"prompt": 11104, "answer": 1622}, "hop-ms": 0.05,
			}},
		},
		"limits":  map[string]any{"max-header-bytes": l.headerBytes, "max-body-bytes": maxBodyBytes, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants": tenants,
	})
	l.note("operator: config %d acknowledged, tenants %v", l.version, tenants)
	return time.Now()
}

// service returns the name of the service of the streams and of the replicas.
func (l *lab) service() string {
	if l.engine {
		return "pool"
	}
	return "app"
}

// routesOfApp returns the routes of all cases. The streams of a service with an engine have the
// bounds of face-describe, the others those of archive-audit.
func (l *lab) routesOfApp() []map[string]any {
	objective, gap := 3000, 1000
	if l.engine {
		objective, gap = 300, 250
	}
	return []map[string]any{
		{"name": "read", "host": host, "path-prefix": "/read/", "type": "idempotent", "timeout-ms": 3000, "slo-ms": 300, "priority": 2, "service": "app", "max-attempts": 2, "public": false},
		{"name": "large", "host": host, "path-prefix": "/large/", "type": "idempotent", "timeout-ms": 3000, "slo-ms": 300, "priority": 2, "service": "app", "max-attempts": 2, "public": false},
		{"name": "upload", "host": host, "path-prefix": "/upload/", "type": "idempotent", "timeout-ms": 15000, "slo-ms": 3000, "priority": 2, "service": "app", "max-attempts": 2, "public": false},
		{"name": "act", "host": host, "path-prefix": "/act/", "type": "non_idempotent", "timeout-ms": 15000, "slo-ms": 300, "priority": 2, "service": "app", "max-attempts": 1, "public": false},
		{"name": "chat", "host": host, "path-prefix": "/chat/", "type": "streaming", "timeout-ms": 15000, "slo-ms": objective, "gap-target-ms": gap, "priority": 1, "service": l.service(), "max-attempts": 2, "public": false, "sticky": true, "resumable": true},
	}
}

func oneTenant() any {
	return []map[string]any{{"name": "tenant-a", "api-keys": []string{knownKey}, "priority": 1}}
}

// Ports are taken below those that the system gives to outgoing connections, so that none of these
// takes a port between the choice and the start of a node.
const (
	lowestPort   = 20000
	portRange    = 12000
	maxPortTries = 200
)

var errNoPort = errors.New("no free port")

// freePort returns a port of ip that is free for TCP and UDP.
func freePort(ip string) (int, error) {
	for range maxPortTries {
		port := lowestPort + rand.IntN(portRange)
		address := net.JoinHostPort(ip, strconv.Itoa(port))
		ln, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		packets, err := net.ListenPacket("udp", address)
		if err != nil {
			_ = ln.Close() // Another port is tried.
			continue
		}
		return port, errors.Join(ln.Close(), packets.Close())
	}
	return 0, errNoPort
}

// addNode prepares node i with an address of its own on loopback.
func (l *lab) addNode(i int) (*node, error) {
	n := &node{lab: l, name: fmt.Sprintf("edge-%d", i), ip: fmt.Sprintf("127.0.0.%d", 20+i), grace: 8}
	n.file = filepath.Join(l.dir, n.name+".json")
	for _, target := range []*string{&n.front, &n.ready, &n.directory} {
		port, err := freePort(n.ip)
		if err != nil {
			return nil, err
		}
		*target = net.JoinHostPort(n.ip, strconv.Itoa(port))
	}
	var err error
	if n.peers, err = freePort(n.ip); err != nil {
		return nil, err
	}
	if n.metrics, err = freePort(n.ip); err != nil {
		return nil, err
	}
	l.nodes = append(l.nodes, n)
	return n, n.writeSettings()
}

// startNodes starts nodes with at most the given number of descriptors, 0 for no limit, and waits
// until they have been ready for longer than the stable window.
func (l *lab) startNodes(ctx context.Context, count, descriptors int) error {
	for i := range count {
		n, err := l.addNode(i)
		if err != nil {
			return err
		}
		n.maxFDs = descriptors
		if err := n.start(); err != nil {
			return err
		}
	}
	if err := awaitReady(ctx, readyTimeout, l.nodes...); err != nil {
		return err
	}
	return sleep(ctx, stableWindow+time.Second)
}

// writeSettings writes the settings file in one step.
func (n *node) writeSettings() error {
	data, err := json.MarshalIndent(map[string]any{
		"node-name": n.name, "role": "node", "machine-class": "edge", "serves": []string{"edge", "registry"},
		"ip": n.ip, "zone": "zone-a", "region": "region", "zones": map[string]string{"zone-a": "region"},
		"listen":         map[string]string{"front": n.front, "ready": n.ready, "directory": n.directory},
		"internal-ports": []int{n.peers, n.metrics},
		"seeds":          []string{}, "bootstrap": true, "loss-counts": false,
		"limits":   map[string]any{"cpu-share": 0.4, "cores": 1, "memory-mb": memoryMB, "max-fds": maxFDs, "link-mbps": 1000.0, "disk-mb": 0},
		"data-dir": nil, "discovery": "platform", "entry": "registry", "heartbeat-ms": 1200,
		"contracts":       []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform", "spans"},
		"fault-tolerance": map[string]int{"machines": 1, "zones": 0, "regions": 0},
		"bounds":          map[string]any{"seed-lag-s": 3, "reuse-after-s": 2, "stable-window-ms": 3000, "ack-ms": 4000, "catch-up-s": 4, "drain-ms": 2000, "grace-s": n.grace, "loss-slack-ms": 200, "config-apply-ms": 2000, "rollback-slack-ms": 250, "max-skew-ms": 5000, "strict-revoke": false, "revoke-ms": 5000, "retry-budget-ratio": 0.2, "budget-window-s": 10, "retry-budget-min": 104, "recover-s": 12, "event-latency-ms": 120, "retry-after-s": 0, "stall_ms": 1500, "hold-max-ms": 20000, "free-ms": 4000, "idle-max-ms": 9000, "ttl_max_s": 5},
		"platform":        map[string]any{"addr": n.lab.addr, "form": "objects", "writes-per-s": 400, "reads-per-s": 2000, "history-s": 20, "value-bytes": 1048576, "ttl-min-ms": 1000},
	}, "", "  ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(n.file+".next", data, 0o600); err != nil {
		return err
	}
	return os.Rename(n.file+".next", n.file)
}

// start starts the process with the command of the deploy file.
func (n *node) start() error {
	log, err := os.OpenFile(filepath.Join(n.lab.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command("target/catkinspindle-node", "run")
	if n.maxFDs > 0 {
		// The platform limits the descriptors of each process.
		cmd = exec.Command("/bin/sh", "-c", fmt.Sprintf("ulimit -n %d 2>/dev/null; exec target/catkinspindle-node run", n.maxFDs))
	}
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CATKINSPINDLE_CONFIG=" + n.file}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	n.cmd, n.done = cmd, done
	n.lab.group.Go(func() error {
		err := cmd.Wait()
		n.lab.note("%s: process %d ended: %v", n.name, cmd.Process.Pid, err)
		close(done)
		return log.Close()
	})
	n.lab.note("%s: process %d started, callers at %s", n.name, cmd.Process.Pid, n.front)
	return nil
}

func (n *node) signal(s syscall.Signal) {
	n.lab.note("%s: sending %v", n.name, s)
	_ = n.cmd.Process.Signal(s) // The process may have ended.
}

func (n *node) running() bool {
	select {
	case <-n.done:
		return false
	default:
		return true
	}
}

// isReady asks the node as the platform does.
func (n *node) isReady() bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + n.ready + "/api/readyz")
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, resp.Body) // It is empty.
	return resp.Body.Close() == nil && resp.StatusCode == http.StatusOK
}

// awaitReady waits until the nodes are ready.
func awaitReady(ctx context.Context, timeout time.Duration, nodes ...*node) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for _, n := range nodes {
		for !n.isReady() {
			if err := sleep(ctx, 50*time.Millisecond); err != nil {
				return fmt.Errorf("%s is not ready", n.name)
			}
		}
	}
	return nil
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

// noteLogs copies the last lines of the nodes' logs into the record.
func (l *lab) noteLogs() {
	const lines = 8
	for _, n := range l.nodes {
		data, err := os.ReadFile(filepath.Join(l.dir, n.name+".log"))
		if err != nil {
			l.note("%s: no log: %v", n.name, err)
			continue
		}
		list := strings.Split(strings.TrimSpace(string(data)), "\n")
		for _, line := range list[max(0, len(list)-lines):] {
			l.note("%s: log: %s", n.name, line)
		}
	}
}

// close ends all that the case started.
func (l *lab) close() {
	for _, n := range l.nodes {
		if n.cmd != nil && n.running() {
			n.signal(syscall.SIGKILL)
			<-n.done
		}
	}
	for _, s := range l.servers {
		_ = s.Close() // The case is over.
	}
	_ = l.group.Wait() // The servers report that they are closed.
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(l.dir) // A left-over folder harms nothing.
	}
}

// resolve asks the registry at one address where to connect.
func resolve(directory string) ([]string, error) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + directory + "/api/resolve?name=" + host + "&region=region&zone=zone-a")
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }() // Read to its end.
	var answer struct {
		Addresses []string `json:"addrs"`
	}
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, err
	}
	if err := json.NewDecoder(bytes.NewReader(data)).Decode(&answer); err != nil {
		return nil, fmt.Errorf("status %d: %w", resp.StatusCode, err)
	}
	if len(answer.Addresses) == 0 {
		return nil, errors.New("no address")
	}
	return answer.Addresses, nil
}

// newRequest returns a request of a requester to the node at address.
func newRequest(ctx context.Context, address, method, path, id, key string, deadline time.Duration, body io.Reader) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, body)
	if err != nil {
		return nil, err
	}
	req.Host = host
	req.Header.Set("Attempt-Id", id)
	req.Header.Set("Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	req.Header.Set("Authorization", "Bearer "+key)
	if strings.HasPrefix(path, "/chat/") {
		req.Header.Set("Model", "m")
		req.Header.Set("Token-Counts", "5000,800")
		req.Header.Set("Prefix-Hash", "5c1e07a2:40,"+id[len(id)-4:]+":4960")
	}
	return req, nil
}
