package proofs_test

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/entries"
	standinsite "github.com/catkinspindle/catkinspindle/platform/standin/site"
)

const (
	crowdMemoryMB    = 128
	crowdDescriptors = 500
	// crowdDescriptorsFree must be left for replicas, the store and other nodes.
	crowdDescriptorsFree = 32
	crowdBody            = 1 << 20
	// crowdBodies is the number of callers that send bodies, crowdConnections that of those that send none.
	crowdBodies      = 160
	crowdConnections = 600
	crowdOversize    = 8 << 20
	crowdPiece       = 64 << 10
	crowdPause       = 50 * time.Millisecond
	crowdSendTimeout = 20 * time.Second
	// crowdHold is how long a crowd that has sent everything stays before the ordinary request: the node reads
	// what the sockets hold.
	crowdHold = 2 * time.Second
)

// crowd is a number of callers that send the same without an end, each over one connection at a time.
type crowd struct {
	name    string
	callers int
	// headers follow the request line and the caller's own header fields; body follows the empty line. Without
	// headers nothing is sent at all.
	headers string
	body    func(w io.Writer) error
}

func allCrowds() []crowd {
	const chunked = "Transfer-Encoding: chunked\r\n\r\n"
	write := func(data []byte) func(io.Writer) error {
		return func(w io.Writer) error { _, err := w.Write(data); return err }
	}
	chunk := fmt.Appendf(nil, "%x\r\n%s\r\n", crowdPiece, bytes.Repeat([]byte("x"), crowdPiece))
	large := bytes.Repeat(chunk, crowdBody/crowdPiece)
	small := bytes.Repeat([]byte("1\r\nx\r\n"), crowdBody)
	const cut = len("x\r\n") // All but the last byte of the body.
	return []crowd{
		{"large chunks, one byte short", crowdBodies, chunked, write(large[:len(large)-cut])},
		{"chunks of one byte, one byte short", crowdBodies, chunked, write(small[:len(small)-cut])},
		{"announced, one byte short", crowdBodies, fmt.Sprintf("Content-Length: %d\r\n\r\n", crowdBody), write(bytes.Repeat([]byte("x"), crowdBody-1))},
		{"whole bodies", crowdBodies, chunked, write(append(large[:len(large):len(large)], "0\r\n\r\n"...))},
		{"far over the limit, announced", crowdBodies, "Content-Length: 1099511627776\r\n\r\n", write(make([]byte, crowdOversize))},
		{"far over the limit, sent", crowdBodies, chunked, write(bytes.Repeat(chunk, crowdOversize/crowdPiece))},
		{"headers that trickle", crowdConnections, "Filler: " + strings.Repeat("x", 12<<10), func(w io.Writer) error {
			for {
				if _, err := io.WriteString(w, "x"); err != nil {
					return err
				}
				time.Sleep(crowdPause)
			}
		}},
		{"connections without requests", crowdConnections, "", nil},
	}
}

// run sends the crowd to an address until ctx is done. sent is called when a caller has sent everything
// once, or was refused.
func (c crowd) run(ctx context.Context, address, head string, sent func()) {
	var group errgroup.Group
	for range c.callers {
		group.Go(func() error {
			var once sync.Once
			for ctx.Err() == nil {
				c.call(ctx, address, head, func() { once.Do(sent) })
				once.Do(sent)
				time.Sleep(crowdPause)
			}
			return nil
		})
	}
	_ = group.Wait() // Callers return no errors.
}

// call sends once and leaves the connection open until the node closes it.
func (c crowd) call(ctx context.Context, address, head string, sent func()) {
	conn, err := (&net.Dialer{Timeout: crowdSendTimeout}).DialContext(ctx, "tcp", address)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	var reading errgroup.Group
	reading.Go(func() error { _, err := io.Copy(io.Discard, conn); return err })
	if c.headers != "" {
		_ = conn.SetWriteDeadline(time.Now().Add(crowdSendTimeout))
		_, err = io.WriteString(conn, head+c.headers)
		if err == nil {
			err = c.body(conn)
		}
	}
	sent()
	if err == nil {
		_ = reading.Wait()
	}
}

// crowdUsage is the peak usage of a process.
type crowdUsage struct {
	memoryMB, descriptors int
	// ended is true if the process ended, or was ended because it took more memory than its VM has.
	ended bool
}

// watchUsage measures a process until done is closed and ends it when it takes more than crowdMemoryMB.
func watchUsage(p *os.Process, done <-chan struct{}) (u crowdUsage) {
	for {
		peak, err := peakMemory(p.Pid)
		if err != nil {
			u.ended = true
			return u
		}
		u.memoryMB = int(peak >> 20)
		if u.memoryMB > crowdMemoryMB {
			_ = p.Kill() // It may have ended.
			u.ended = true
			return u
		}
		if open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.Pid)); err == nil {
			u.descriptors = max(u.descriptors, len(open))
		}
		select {
		case <-done:
			return u
		case <-time.After(memoryInterval):
		}
	}
}

// limited returns the command of a program with few descriptors.
func limited(program string, args ...string) *exec.Cmd {
	return exec.Command("sh", append([]string{"-c", fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, crowdDescriptors), program}, args...)...)
}

// check plays a crowd against a process and sends an ordinary request meanwhile.
func (c crowd) check(t *testing.T, p *os.Process, address, head string, ordinary func() error) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var group, all errgroup.Group
	var remaining sync.WaitGroup
	remaining.Add(c.callers)
	done := make(chan struct{})
	ended := make(chan struct{})
	var usage crowdUsage
	group.Go(func() error {
		if usage = watchUsage(p, done); usage.ended {
			close(ended)
		}
		return nil
	})
	all.Go(func() error { c.run(ctx, address, head, remaining.Done); return nil })
	remaining.Wait()
	err := awaitOrdinary(ended, ordinary)
	cancel()
	_ = all.Wait()
	close(done)
	_ = group.Wait()
	t.Logf("peak: %d of %d MB, %d of %d descriptors", usage.memoryMB, crowdMemoryMB, usage.descriptors, crowdDescriptors)
	if usage.ended {
		t.Errorf("the process ended, with %d MB of %d", usage.memoryMB, crowdMemoryMB)
	}
	if limit := crowdDescriptors - crowdDescriptorsFree; usage.descriptors > limit {
		t.Errorf("%d descriptors were open, want at most %d", usage.descriptors, limit)
	}
	if err != nil {
		t.Errorf("an ordinary request was not answered: %v", err)
	}
}

// awaitOrdinary sends an ordinary request until it is answered or the process has ended.
func awaitOrdinary(ended <-chan struct{}, ordinary func() error) error {
	var err error
	for pause, end := crowdHold, time.Now().Add(awaitTimeout); time.Now().Before(end); pause = crowdPause {
		select {
		case <-ended:
			return cmp.Or(err, errors.New("the process has ended"))
		case <-time.After(pause):
		}
		if err = ordinary(); err == nil {
			return nil
		}
	}
	return err
}

func skipWithoutProc(t *testing.T) {
	t.Helper()
	if runtime.GOOS != "linux" {
		t.Skip("memory and descriptors of a process are measured on Linux only")
	}
}

// Guards against crowds of the platform's callers that take all memory or descriptors of a node.
func TestCrowdsAtTheGateway(t *testing.T) {
	skipWithoutProc(t)
	programs := buildSitePrograms(t)
	for _, c := range allCrowds() {
		t.Run(c.name, func(t *testing.T) {
			s := newSilenceSite(t, t.TempDir(), programs)
			s.startCrowdedNode(cmp.Or(*endlessNode, s.nodeProgram()))
			head := fmt.Sprintf("POST /act/x HTTP/1.1\r\nHost: %s\r\nAttempt-Id: crowd\r\nDeadline-Ms: 10000\r\nAuthorization: Bearer %s\r\n", standinsite.Host, standinsite.Key)
			c.check(t, s.running[nodeName(0)].Process, s.nodes[0], head, func() error {
				client := newEndlessClient()
				defer client.CloseIdleConnections()
				req, err := standinsite.Request(context.Background(), s.nodes[0], "ordinary", http.MethodPost, "/spare/x", standinsite.Key, 0, silenceTimeout)
				if err != nil {
					return err
				}
				status, body, err := standinsite.Do(client, req)
				if err == nil && status != http.StatusOK {
					err = fmt.Errorf("status %d: %s", status, body)
				}
				return err
			})
		})
	}
}

// startCrowdedNode starts the only node of the site, on a small VM.
func (s *silenceSite) startCrowdedNode(program string) {
	s.t.Helper()
	var listen [5]string
	for k := range listen {
		listen[k] = s.freeAddress()
	}
	s.nodes, s.ready = append(s.nodes, listen[0]), append(s.ready, listen[1])
	file := filepath.Join(s.dir, nodeName(0)+".json")
	err := standinsite.WriteSettings(file, catkinspindle.GatewaySettings{
		Name: nodeName(0), DataCentre: "dc", Store: s.platform,
		Callers: listen[0], Ready: listen[1], Addresses: listen[2], Peers: listen[3], Metrics: listen[4],
		CPUShare: 1, MemoryMB: crowdMemoryMB, Grace: silenceGrace,
		Retry: catkinspindle.RetryBudget{Ratio: 0.2, Window: 10 * time.Second, Min: 100},
	})
	if err != nil {
		s.t.Fatal(err)
	}
	cmd := limited(program, "run")
	cmd.Env = append(os.Environ(), "CATKINSPINDLE_CONFIG="+file)
	s.run(nodeName(0), cmd)
	s.awaitReady(0)
}

// Guards against crowds of callers that take all memory or descriptors of a node with the own interface.
func TestCrowdsAtTheCallersInterface(t *testing.T) {
	skipWithoutProc(t)
	m := startProcesses(t)
	const name = "vm-00"
	file := filepath.Join(m.dir, name+".yaml")
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(file, fmt.Appendf(text, "limits: {max-body: %d, max-timeout: 30s}\n", crowdBody), 0o600); err != nil {
		t.Fatal(err)
	}
	url := m.callers[0]
	for _, c := range allCrowds() {
		t.Run(c.name, func(t *testing.T) {
			m.kill(name)
			cmd := limited(filepath.Join(m.dir, "catkinspindle"), "node", "--settings", file)
			cmd.Env = append(os.Environ(), fmt.Sprintf("GOMEMLIMIT=%dMiB", crowdMemoryMB))
			m.run(name, cmd)
			ordinary := func() error {
				_, err := entries.New(processKey, url).CompleteAt(context.Background(), url, processPrompt("ordinary", 1000))
				return err
			}
			m.await("an answer through "+name, ordinary)
			head := fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nCatkinspindle-Timeout: 10s\r\n", processKey)
			c.check(t, m.running[name].Process, m.address(name+"/callers"), head, ordinary)
		})
	}
}
