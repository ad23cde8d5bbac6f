package proofs_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/entries"
	"github.com/catkinspindle/catkinspindle/keys"
	"github.com/catkinspindle/catkinspindle/standin/answer"
	"github.com/catkinspindle/catkinspindle/standin/engine"
	"github.com/catkinspindle/catkinspindle/standin/plain"
)

// processFleet is a fleet of separate processes that communicate over the loopback interface.
type processFleet struct {
	t         *testing.T
	dir       string
	platform  string
	addresses map[string]string
	callers   []string
	running   map[string]*exec.Cmd
}

const (
	processNodes   = 3
	processEngines = 3
	processPlains  = 2
	// awaitTimeout limits the wait for an expected state. It only ends a test that
	// would hang: no check depends on how fast the state is reached.
	awaitTimeout = 90 * time.Second
)

func startProcesses(t *testing.T) *processFleet {
	t.Helper()
	m := &processFleet{t: t, dir: t.TempDir(), addresses: map[string]string{}, running: map[string]*exec.Cmd{}}
	build := exec.Command("go", "build", "-o", m.dir, "../cmd/catkinspindle", "../cmd/standin")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build: %v: %s", err, out)
	}
	t.Cleanup(m.killAll)
	m.platform = "http://" + m.address("platform")
	m.start("platform", "standin", "platform", "--lag", "200ms", "--listen", m.address("platform"))
	m.await("platform", func() error { return get(m.platform+"/vms", nil) })
	for i := range processEngines {
		m.startEngine(fmt.Sprintf("engine-%02d", i))
	}
	for i := range processPlains {
		name := fmt.Sprintf("plain-%02d", i)
		m.start(name, "standin", "plain", "--name", name, "--listen", m.address(name))
		m.register(catkinspindle.VM{Name: name, Kind: catkinspindle.KindPlain, Address: m.address(name), DataCentre: "dc-0", Deployment: "app"})
	}
	m.writeSettings()
	for i := range processNodes {
		m.startNode(fmt.Sprintf("vm-%02d", i))
	}
	m.applyConfig()
	return m
}

// address returns the loopback address of a process; the first call picks a free port.
func (m *processFleet) address(name string) string {
	if a, ok := m.addresses[name]; ok {
		return a
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		m.t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	m.addresses[name] = l.Addr().String()
	return m.addresses[name]
}

func (m *processFleet) startEngine(name string) {
	m.start(name, "standin", "engine", "--name", name, "--listen", m.address(name))
	m.register(catkinspindle.VM{Name: name, Kind: catkinspindle.KindEngine, Address: m.address(name), DataCentre: "dc-0", Deployment: "gpu"})
}

func (m *processFleet) startNode(name string) {
	m.start(name, "catkinspindle", "node", "--settings", filepath.Join(m.dir, name+".yaml"))
}

func (m *processFleet) register(vm catkinspindle.VM) {
	data, err := json.Marshal(vm)
	if err != nil {
		m.t.Fatal(err)
	}
	req, err := http.NewRequest(http.MethodPut, m.platform+"/vms", strings.NewReader(string(data)))
	if err != nil {
		m.t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		m.t.Fatal(err)
	}
	_ = resp.Body.Close()
}

func (m *processFleet) writeSettings() {
	authority, err := keys.OpenOrCreateAuthority(m.dir)
	if err != nil {
		m.t.Fatal(err)
	}
	for i := range processNodes {
		name := fmt.Sprintf("vm-%02d", i)
		if err := authority.Issue(name); err != nil {
			m.t.Fatal(err)
		}
		m.callers = append(m.callers, "http://"+m.address(name+"/callers"))
		text := fmt.Sprintf(`
name: %s
data-centre: dc-0
callers: %s
peers: %s
operators: %s
platform: %s
seeds: [%s, %s]
keys: {certificate: %s, key: %s, authority: %s}
timing: {lease: 4s, renew: 1s, address-lifetime: 1s}
`, name, m.address(name+"/callers"), m.address(name+"/peers"), m.address(name+"/operators"), m.platform,
			m.address("vm-00/peers"), m.address("vm-01/peers"),
			filepath.Join(m.dir, name+".pem"), filepath.Join(m.dir, name+"-key.pem"), filepath.Join(m.dir, "authority.pem"))
		if err := os.WriteFile(filepath.Join(m.dir, name+".yaml"), []byte(text), 0o600); err != nil {
			m.t.Fatal(err)
		}
	}
}

const processKey = "process-key"

func (m *processFleet) applyConfig() {
	m.t.Helper()
	text := strings.Replace(baseConfig(processEngines, processPlains), strings.Repeat("0", 64), hashKey(processKey), 1)
	file := filepath.Join(m.dir, "services.yaml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		m.t.Fatal(err)
	}
	operators := "http://" + m.address("vm-00/operators")
	m.await("operators", func() error { return get(operators+"/text", nil) })
	apply := exec.Command(filepath.Join(m.dir, "catkinspindle"), "services", "apply", "--operators", operators, file)
	if out, err := apply.CombinedOutput(); err != nil {
		m.t.Fatalf("apply: %v: %s", err, out)
	}
	for _, url := range m.callers {
		m.await("an answer through "+url, func() error {
			_, err := entries.New(processKey, url).CompleteAt(context.Background(), url, processPrompt("ready", 1000))
			return err
		})
	}
}

func hashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

func processPrompt(name string, tokens int) catkinspindle.Request {
	return catkinspindle.Request{Model: "m", Prompt: promptText(name, tokens), MaxTokens: 64, Deadline: time.Now().Add(20 * time.Second)}
}

func get(url string, v any) error {
	resp, err := http.Get(url)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return errors.New(resp.Status)
	}
	if v == nil {
		return nil
	}
	return json.NewDecoder(resp.Body).Decode(v)
}

// resultLog records the results of all callers.
type resultLog struct {
	mu      sync.Mutex
	results []result
}

func (l *resultLog) add(r result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.results = append(l.results, r)
}

// sendPromptsUntil sends prompts through all nodes in turn until ctx ends.
func (m *processFleet) sendPromptsUntil(ctx context.Context, id int, log *resultLog) {
	for i := 0; ctx.Err() == nil; i++ {
		name := fmt.Sprintf("p%d-%d", id, i)
		tokens := promptLengths[(id+i)%len(promptLengths)]
		url := m.callers[(id+i)%len(m.callers)]
		req := processPrompt(name, tokens)
		a, err := entries.New(processKey, url).CompleteAt(context.Background(), url, req)
		log.add(result{name: name, via: url, tokens: tokens, text: a.Text, err: err})
	}
}

// runActionsUntil runs one action after another until ctx ends. It sends each up to
// four times, each time through the next node, until it succeeds.
func (m *processFleet) runActionsUntil(ctx context.Context, id int, log *resultLog) {
	for i := 0; ctx.Err() == nil; i++ {
		name := fmt.Sprintf("b%d-%d", id, i)
		client := entries.New(processKey, m.callers...)
		_, origin, err := client.Addresses(ctx)
		if err != nil {
			continue
		}
		for try := range 4 {
			call := catkinspindle.PlainCall{Service: "archive", Method: "buy", Key: name, Body: []byte(name), Deadline: time.Now().Add(2 * time.Second)}
			url := m.callers[(id+i+try)%len(m.callers)]
			_, err := client.CallAt(context.Background(), url, call, origin)
			log.add(result{name: name, via: url, err: err})
			if err == nil {
				break
			}
		}
	}
}

// checkNoStreams returns an error if an engine still has streams.
func (m *processFleet) checkNoStreams() error {
	for i := range processEngines {
		var st catkinspindle.EngineStatus
		if err := get("http://"+m.address(fmt.Sprintf("engine-%02d", i))+"/status", &st); err != nil {
			return err
		}
		if len(st.Streams) > 0 {
			return fmt.Errorf("engine-%02d holds %d streams", i, len(st.Streams))
		}
	}
	return nil
}

// readExecutions returns the names of the executed prompts and the number of runs of each action.
func (m *processFleet) readExecutions() (prompts map[string]bool, actions map[string]int) {
	prompts, actions = map[string]bool{}, map[string]int{}
	for i := range processEngines {
		var events []engine.Event
		if err := get("http://"+m.address(fmt.Sprintf("engine-%02d", i))+"/history", &events); err != nil {
			m.t.Error(err)
		}
		for _, ev := range events {
			name, _, _ := strings.Cut(ev.PromptPrefix, ": ")
			prompts[name] = true
		}
	}
	for i := range processPlains {
		var executions []plain.Execution
		if err := get("http://"+m.address(fmt.Sprintf("plain-%02d", i))+"/history", &executions); err != nil {
			m.t.Error(err)
		}
		for _, ev := range executions {
			actions[ev.Body]++
		}
	}
	return prompts, actions
}

// TestSeparateProcesses kills and freezes real processes under load. It checks
// the recorded history and depends on no timing.
func TestSeparateProcesses(t *testing.T) {
	m := startProcesses(t)
	log := &resultLog{}
	ctx, cancel := context.WithCancel(context.Background())
	group := &errgroup.Group{}
	for id := range 6 {
		group.Go(func() error { m.sendPromptsUntil(ctx, id, log); return nil })
		group.Go(func() error { m.runActionsUntil(ctx, id, log); return nil })
	}
	pause := func(d time.Duration) { <-time.After(d) }
	pause(2 * time.Second)
	m.signal("vm-01", syscall.SIGSTOP)
	pause(8 * time.Second)
	m.signal("vm-01", syscall.SIGCONT)
	pause(3 * time.Second)
	m.kill("vm-02")
	pause(time.Second)
	m.startNode("vm-02")
	pause(3 * time.Second)
	m.signal("engine-00", syscall.SIGSTOP)
	pause(5 * time.Second)
	m.signal("engine-00", syscall.SIGCONT)
	pause(2 * time.Second)
	m.signal("plain-00", syscall.SIGSTOP)
	pause(3 * time.Second)
	m.signal("plain-00", syscall.SIGCONT)
	m.signal("platform", syscall.SIGSTOP)
	pause(3 * time.Second)
	m.signal("platform", syscall.SIGCONT)
	pause(2 * time.Second)
	cancel()
	_ = group.Wait()
	m.await("engines to release their memory", m.checkNoStreams)
	m.checkHistory(log)
}

// checkHistory compares the results of the callers with what the back ends executed.
func (m *processFleet) checkHistory(log *resultLog) {
	m.t.Helper()
	prompts, actions := m.readExecutions()
	answered, acknowledged := 0, 0
	mayHaveRun := map[string]bool{}
	for _, r := range log.results {
		mayHaveRun[r.name] = mayHaveRun[r.name] || r.verdict() != catkinspindle.NotRun
	}
	for _, r := range log.results {
		switch {
		case r.err != nil && r.verdict() == catkinspindle.NotRun && !mayHaveRun[r.name] && (prompts[r.name] || actions[r.name] > 0):
			m.t.Errorf("false verdict: %s via %s was reported as not-run but had run: %v", r.name, r.via, r.err)
		case r.err == nil && r.tokens > 0:
			answered++
			if want := answer.New("m@1", "").Append(promptText(r.name, r.tokens)).Text(64); r.text != want {
				m.t.Errorf("wrong answer: %s via %s got %q", r.name, r.via, r.text)
			}
		case r.err == nil:
			acknowledged++
		}
	}
	for name, n := range actions {
		if n > 1 {
			m.t.Errorf("repeated: %s ran %d times", name, n)
		}
	}
	if answered == 0 || acknowledged == 0 {
		m.t.Error("no prompt or no action succeeded")
	}
	m.t.Logf("history: %d requests, %d complete answers, %d actions acknowledged, %d executed", len(log.results), answered, acknowledged, len(actions))
}
