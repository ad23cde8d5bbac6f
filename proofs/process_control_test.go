package proofs_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// killAll ends the processes that still run.
func (m *processFleet) killAll() {
	for _, cmd := range m.running {
		_ = cmd.Process.Signal(syscall.SIGCONT)
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	}
}

func (m *processFleet) start(name, program string, args ...string) {
	m.t.Helper()
	m.run(name, exec.Command(filepath.Join(m.dir, program), args...))
}

// run starts cmd under the given name, with its output in a log file of that name.
func (m *processFleet) run(name string, cmd *exec.Cmd) {
	m.t.Helper()
	log, err := os.OpenFile(filepath.Join(m.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		m.t.Fatal(err)
	}
	defer func() { _ = log.Close() }()
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		m.t.Fatal(err)
	}
	m.running[name] = cmd
}

func (m *processFleet) signal(name string, s syscall.Signal) {
	if err := m.running[name].Process.Signal(s); err != nil {
		m.t.Error(err)
	}
}

// kill sends SIGKILL to a process and reaps it.
func (m *processFleet) kill(name string) {
	m.signal(name, syscall.SIGKILL)
	_ = m.running[name].Wait()
}

// await polls check until it succeeds and fails the test after the timeout.
func (m *processFleet) await(what string, check func() error) {
	m.t.Helper()
	var err error
	for end := time.Now().Add(awaitTimeout); time.Now().Before(end); {
		if err = check(); err == nil {
			return
		}
		<-time.After(100 * time.Millisecond)
	}
	m.t.Fatalf("timed out waiting for %s: %v", what, err)
}
