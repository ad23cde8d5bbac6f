package soak_test

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/platform"
	"github.com/catkinspindle/catkinspindle/platform/standin/site"
)

const (
	// nodeCount is one more than the number of hubs of a fleet, so that one node is not a
	// hub.
	nodeCount = 5
	// stateTimeout limits the wait for an expected state. It is generous, because no check
	// depends on how fast the state is reached.
	stateTimeout = 90 * time.Second
	// grace is the time that a node has for a planned stop. Requests in flight get 0.92 of it,
	// which is longer than their deadline, so that none is cut even on a slow machine.
	grace = 8 * time.Second
	// evacuationTime is the time within which an evacuation must take effect. No check depends on it.
	evacuationTime = 5 * time.Second
)

// process is a node: a process of the real program with its own settings file.
type process struct {
	name         string
	settingsFile string
	// storeProxy is the proxy to the store, callersProxy the one in front of the callers' port.
	storeProxy, callersProxy *proxy
	readyAddress             string
	metricsAddress           string
	cmd                      *exec.Cmd
	// incarnation is the number of starts so far.
	incarnation atomic.Int64
	// faultLock is held while a fault is applied to the process.
	faultLock sync.Mutex
	// disturbedUntil is when the process was last subject to a fault.
	disturbanceLock sync.Mutex
	disturbedUntil  time.Time
}

// disturb records that the process is subject to a fault while f runs.
func (n *process) disturb(f func()) {
	f()
	n.disturbanceLock.Lock()
	defer n.disturbanceLock.Unlock()
	n.disturbedUntil = time.Now()
}

// undisturbed reports whether the process has been subject to no fault since a time.
func (n *process) undisturbed(since time.Time) bool {
	n.disturbanceLock.Lock()
	defer n.disturbanceLock.Unlock()
	return n.disturbedUntil.Before(since)
}

// fleet is a set of node processes and a stand-in for the platform in the test process.
type fleet struct {
	t              *testing.T
	program        string
	dir            string
	site           *site.Site
	replicaProxies []*proxy
	nodes          []*process
}

func newFleet(t *testing.T, program, dir string) *fleet {
	f := &fleet{t: t, program: program, dir: dir}
	var err error
	f.site, err = site.Start(context.Background(), 0, slog.New(slog.DiscardHandler), site.WithReplicasThrough(f.startReplicaProxy), site.WithOnCrash(f.replicaCrashed))
	if f.site != nil {
		t.Cleanup(func() {
			for _, p := range f.replicaProxies {
				_ = p.close() // The test has ended, and its result does not depend on this.
			}
			_ = f.site.Close()
		})
	}
	if err != nil {
		t.Fatal(err)
	}
	for i := range nodeCount {
		f.addNode(fmt.Sprintf("node-%d", i))
	}
	t.Cleanup(f.close)
	for _, n := range f.nodes {
		f.start(n)
	}
	return f
}

func (f *fleet) startReplicaProxy(address string) (string, error) {
	p, err := newProxy(address)
	if err != nil {
		return "", err
	}
	f.replicaProxies = append(f.replicaProxies, p)
	return p.address(), nil
}

// replicaCrashed makes the proxy of a crashed replica refuse connections until it is up again.
func (f *fleet) replicaCrashed(id string, up bool) {
	kind, number, _ := strings.Cut(id, "-")
	i, err := strconv.Atoi(number)
	if err == nil {
		if kind == "app" {
			i += len(f.site.Pool)
		}
		err = f.replicaProxies[i].setUp(up)
	}
	if err != nil {
		f.t.Errorf("proxy of replica %s: %v", id, err)
	}
}

// Ports of nodes lie below the ephemeral range of the kernel, so that no outgoing connection
// takes the port of a node while it restarts. Each test process starts at a different port,
// because several may run at the same time.
const (
	firstPort = 20000
	lastPort  = 32000
)

var nextPort atomic.Int64

func init() { nextPort.Store(int64(os.Getpid()) * 250 % (lastPort - firstPort)) }

// freePort returns a port that is free for both TCP and UDP.
func (f *fleet) freePort() int {
	for {
		port := firstPort + int(nextPort.Add(1))%(lastPort-firstPort)
		ip := net.IPv4(127, 0, 0, 1)
		tcp, err := net.ListenTCP("tcp", &net.TCPAddr{IP: ip, Port: port})
		if err != nil {
			continue // The port is in use.
		}
		udp, err := net.ListenUDP("udp", &net.UDPAddr{IP: ip, Port: port})
		if err := tcp.Close(); err != nil {
			f.t.Fatal(err)
		}
		if err != nil {
			continue // The port is in use.
		}
		if err := udp.Close(); err != nil {
			f.t.Fatal(err)
		}
		return port
	}
}

// addNode writes the settings of a node and starts its proxies.
func (f *fleet) addNode(name string) {
	var ports [5]int
	for i := range ports {
		ports[i] = f.freePort()
	}
	address := func(port int) string { return net.JoinHostPort("127.0.0.1", strconv.Itoa(port)) }
	n := &process{name: name, settingsFile: filepath.Join(f.dir, name+".json"), readyAddress: address(ports[1]), metricsAddress: address(ports[4])}
	var err error
	if n.storeProxy, err = newProxy(f.site.StoreAddress()); err != nil {
		f.t.Fatal(err)
	}
	if n.callersProxy, err = newProxy(address(ports[0])); err != nil {
		f.t.Fatal(err)
	}
	err = site.WriteSettings(n.settingsFile, catkinspindle.GatewaySettings{
		Name: name, DataCentre: "dc", Store: n.storeProxy.address(),
		Callers: address(ports[0]), Ready: n.readyAddress, Addresses: address(ports[2]), Peers: address(ports[3]), Metrics: n.metricsAddress,
		CPUShare: 1, MemoryMB: 256, Grace: grace, EvacuationTime: evacuationTime,
		Retry: catkinspindle.RetryBudget{Ratio: 0.2, Window: 10 * time.Second, Min: 100},
	})
	if err != nil {
		f.t.Fatal(err)
	}
	f.nodes = append(f.nodes, n)
}

func (f *fleet) start(n *process) {
	log, err := os.OpenFile(filepath.Join(f.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		f.t.Error(err)
		return
	}
	defer func() { _ = log.Close() }() // The process has its own descriptor.
	n.cmd = exec.Command(f.program, "run")
	n.cmd.Env = append(os.Environ(), platform.SettingsEnv+"="+n.settingsFile)
	n.cmd.Stdout, n.cmd.Stderr = log, log
	n.incarnation.Add(1)
	if err := n.cmd.Start(); err != nil {
		f.t.Error(err)
	}
}

// restart starts a node again and waits until it listens. Before that, the process has no
// signal handler, and a signal would end it by its default action.
func (f *fleet) restart(n *process) {
	f.start(n)
	f.eventually(n.name+" listens", func() error {
		c, err := net.Dial("tcp", n.readyAddress)
		if err != nil {
			return err
		}
		return c.Close()
	})
}

func (f *fleet) signal(n *process, s syscall.Signal) {
	if err := n.cmd.Process.Signal(s); err != nil {
		f.t.Errorf("%s: %v: %v", n.name, s, err)
	}
}

// kill ends a node with SIGKILL.
func (f *fleet) kill(n *process) {
	f.signal(n, syscall.SIGKILL)
	_ = n.cmd.Wait() // The error only reports the signal.
}

// stop ends a node with SIGTERM, as a planned stop does, and expects it to exit cleanly.
func (f *fleet) stop(n *process) {
	f.signal(n, syscall.SIGTERM)
	if err := n.cmd.Wait(); err != nil {
		f.t.Errorf("%s: planned stop: %v", n.name, err)
	}
}

func (f *fleet) close() {
	for _, n := range f.nodes {
		if n.cmd != nil && n.cmd.ProcessState == nil {
			_ = n.cmd.Process.Signal(syscall.SIGCONT)
			_ = n.cmd.Process.Kill()
			_ = n.cmd.Wait()
		}
		_, _ = n.storeProxy.close(), n.callersProxy.close()
	}
}

// awaitReady waits until every node is ready.
func (f *fleet) awaitReady() {
	f.t.Helper()
	for _, n := range f.nodes {
		f.eventually(n.name+" is ready", func() error {
			resp, err := http.Get("http://" + n.readyAddress + platform.ReadyPath)
			if err != nil {
				return err
			}
			if err := resp.Body.Close(); err != nil || resp.StatusCode != http.StatusOK {
				return errors.Join(err, fmt.Errorf("status %d", resp.StatusCode))
			}
			return nil
		})
	}
}

// eventually polls check until it returns nil, and fails the test if it does not within
// stateTimeout.
func (f *fleet) eventually(description string, check func() error) {
	f.t.Helper()
	var err error
	for end := time.Now().Add(stateTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if err = check(); err == nil {
			return
		}
	}
	f.t.Errorf("%s: condition not met within %s: %v", description, stateTimeout, err)
}
