package main

import (
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

	"github.com/catkinspindle/catkinspindle/platform/standin/site"
)

const (
	program      = "target/catkinspindle-node"
	readyTimeout = 15 * time.Second
	// stableWindow is the stable-window-ms of the settings.
	stableWindow = 3 * time.Second
)

// running has the process ids of all nodes that run.
var running sync.Map

// node is one machine with the deploy file's program.
type node struct {
	name                    string
	front, ready, directory string
	settings, logs          string
	process                 *exec.Cmd
	exited                  chan error
	record                  *record
	startedAt               time.Time
	// disruptedAt is when the last disruption of the machine ended.
	disruptedAt time.Time
}

// fleet is a small deployment.
type fleet struct {
	record *record
	dir    string
	nodes  []*node
}

func newFleet(r *record) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return nil, err
	}
	return &fleet{record: r, dir: dir}, nil
}

// add writes the settings of another node on a machine with some memory, whose store is at an address. The
// given bounds replace those of the same key.
func (f *fleet) add(zone, store string, memoryMB int, bounds map[string]any) (*node, error) {
	var address [5]string
	for i := range address {
		var err error
		if address[i], err = site.FreeAddress(); err != nil {
			return nil, err
		}
	}
	name := fmt.Sprintf("edge-%s-%d", zone, len(f.nodes)+1)
	all := map[string]any{
		"seed-lag-s": 3, "reuse-after-s": 2, "stable-window-ms": 3000, "ack-ms": 4000, "catch-up-s": 4, "drain-ms": 2000,
		"grace-s": 8, "loss-slack-ms": 200, "config-apply-ms": 2000, "rollback-slack-ms": 250, "max-skew-ms": 5000,
		"retry-budget-ratio": 0.2, "budget-window-s": 10, "retry-budget-min": 100, "recover-s": 12, "event-latency-ms": 120,
		"stall_ms": 1500, "hold-max-ms": 20000, "free-ms": 4000, "idle-max-ms": 9000, "ttl_max_s": 5,
	}
	for key, value := range bounds {
		all[key] = value
	}
	data, err := json.MarshalIndent(map[string]any{
		"node-name": name, "role": "node", "machine-class": "edge", "serves": []string{"edge", "registry"},
		"ip": "127.0.0.1", "zone": zone, "region": "r",
		"listen":         map[string]any{"front": address[0], "ready": address[1], "directory": address[2]},
		"internal-ports": []int{port(address[3]), port(address[4])},
		"heartbeat-ms":   1200,
		"limits":         map[string]any{"cpu-share": 0.4, "cores": 1, "memory-mb": memoryMB, "max-fds": 4100, "link-mbps": 1000.0, "disk-mb": 0},
		"data-dir":       nil, "discovery": "platform", "entry": "registry", "bootstrap": false,
		"bounds":   all,
		"platform": map[string]any{"addr": store, "form": "objects", "writes-per-s": 400, "reads-per-s": 2000, "history-s": 20, "value-bytes": 1048576},
	}, "", "  ")
	if err != nil {
		return nil, err
	}
	n := &node{name: name, front: address[0], ready: address[1], directory: address[2], record: f.record}
	n.settings, n.logs = filepath.Join(f.dir, name+".json"), filepath.Join(f.dir, name+".log")
	f.nodes = append(f.nodes, n)
	return n, os.WriteFile(n.settings, data, 0o600)
}

func port(address string) int {
	a, err := net.ResolveTCPAddr("tcp", address)
	if err != nil {
		return 0
	}
	return a.Port
}

// start starts the node's process with the words of the deploy file.
func (n *node) start() error {
	logs, err := os.OpenFile(n.logs, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = logs.Close() }()
	c := exec.Command(program, "run")
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CATKINSPINDLE_CONFIG=" + n.settings}
	c.Stdout, c.Stderr = logs, logs
	if err := c.Start(); err != nil {
		return err
	}
	exited := make(chan error, 1)
	running.Store(c.Process.Pid, true)
	group.Go(func() error {
		err := c.Wait()
		running.Delete(c.Process.Pid)
		n.record.line("%s: process %d has ended: %v", n.name, c.Process.Pid, c.ProcessState)
		exited <- err
		return nil
	})
	n.process, n.exited, n.startedAt = c, exited, time.Now()
	n.disruptedAt = n.startedAt
	n.record.line("%s: process %d starts", n.name, c.Process.Pid)
	return nil
}

func (n *node) signal(s syscall.Signal) error {
	n.record.line("%s: %v to process %d", n.name, s, n.process.Process.Pid)
	return n.process.Process.Signal(s)
}

// kill ends the process at once.
func (n *node) kill() {
	_ = n.signal(syscall.SIGKILL) // It may have ended already.
	<-n.exited
	n.exited <- nil
}

func (n *node) isReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + n.ready + "/api/readyz")
	if err != nil {
		return false
	}
	return errors.Join(drain(resp.Body)) == nil && resp.StatusCode == http.StatusOK
}

func drain(body io.ReadCloser) error {
	_, err := io.Copy(io.Discard, body)
	return errors.Join(err, body.Close())
}

// awaitReady waits until all nodes are ready.
func (f *fleet) awaitReady() error {
	end := time.Now().Add(readyTimeout)
	for _, n := range f.nodes {
		for !n.isReady() {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready", n.name)
			}
			time.Sleep(20 * time.Millisecond)
		}
		f.record.line("%s is ready", n.name)
	}
	return nil
}

// stop ends all processes and removes the files.
func (f *fleet) stop() {
	for _, n := range f.nodes {
		if n.process != nil {
			n.kill()
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
		return
	}
	fmt.Println("kept", f.dir)
}
