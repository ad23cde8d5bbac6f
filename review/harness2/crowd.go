package main

import (
	"fmt"
	"net"
	"os"
	"strings"
	"time"
)

const (
	// memoryMB is the memory of the smallest machines of the pages' sheets.
	memoryMB = 184
	// maxHeaderBytes is the max-header-bytes of the configuration.
	maxHeaderBytes = 16384
	crowdSize      = 1800
	// maxUnanswered is the number of requests that rule LOST excuses.
	maxUnanswered = 3
)

// memory returns the memory that a process uses and the most that it has used, in kB.
func memory(pid int) (now, most int) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, 0
	}
	for line := range strings.Lines(string(data)) {
		_, _ = fmt.Sscanf(line, "VmRSS: %d kB", &now)  // Most lines are others.
		_, _ = fmt.Sscanf(line, "VmHWM: %d kB", &most) // Most lines are others.
	}
	return now, most
}

// limitMemory kills the node's process when it exceeds the memory of its machine, as the platform does, and
// starts it again. It returns the number of kills once done is closed.
func limitMemory(n *node, done <-chan struct{}) (kills, most int, err error) {
	for {
		select {
		case <-done:
			return kills, most, nil
		case <-time.After(20 * time.Millisecond):
		}
		used, peak := memory(n.process.Process.Pid)
		most = max(most, peak)
		if used <= memoryMB<<10 {
			continue
		}
		n.record.line("%s uses %d kB, more than the %d MB of its machine", n.name, used, memoryMB)
		n.kill()
		kills++
		time.Sleep(500 * time.Millisecond)
		if err := n.start(); err != nil {
			return kills, most, err
		}
	}
}

// crowdHeader returns the head of a request that is within max-header-bytes: its fields are short.
func crowdHeader(i int) string {
	var h strings.Builder
	_, _ = fmt.Fprintf(&h, "POST /read/1 HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %016x\r\nDeadline-Ms: 15000\r\nAuthorization: Bearer k1\r\nContent-Length: 200\r\n", host, i)
	for k := 0; h.Len() < maxHeaderBytes-200; k++ {
		_, _ = fmt.Fprintf(&h, "H%d: 1\r\n", k)
	}
	_, _ = h.WriteString("\r\n")
	return h.String()
}

// playCrowd lets many clients send requests whose bodies stop just short of their end, beside ordinary ones.
func playCrowd(r *record) (bool, error) {
	s, err := newStore(r)
	if err != nil {
		return false, err
	}
	for i := range 3 {
		m := &modelServer{id: fmt.Sprintf("i-%d", i+1), record: r, events: 8, first: 150 * time.Millisecond, gap: 45 * time.Millisecond, capacity: 315000, slots: 16}
		if m.address, err = serve(m); err != nil {
			return false, err
		}
		s.register(m)
	}
	s.Put("config", "main", smallConfig())
	f, err := newFleet(r)
	if err != nil {
		return false, err
	}
	defer f.stop()
	n, err := f.add("a", s.address, memoryMB, nil)
	if err != nil {
		return false, err
	}
	if err := n.start(); err != nil {
		return false, err
	}
	if err := f.awaitReady(); err != nil {
		return false, err
	}
	t := startTraffic(f, 80, request{method: "POST", path: "/chat/1", key: "k1", prompt: 4960, output: 408, deadline: 10 * time.Second, body: "prompt"})
	time.Sleep(2 * stableWindow)
	done := make(chan struct{})
	type outcome struct {
		kills, most int
		err         error
	}
	watched := make(chan outcome, 1)
	group.Go(func() error {
		kills, most, err := limitMemory(n, done)
		watched <- outcome{kills, most, err}
		return nil
	})
	crowdAt := time.Now()
	if r.trouble {
		conns := make([]net.Conn, 0, crowdSize)
		for i := range crowdSize {
			c, err := net.DialTimeout("tcp", n.front, time.Second)
			if err != nil {
				r.line("crowd: client %d cannot connect: %v", i, err)
				continue
			}
			conns = append(conns, c)
			_ = c.SetWriteDeadline(time.Now().Add(time.Second))                       // The write fails as well.
			_, err = fmt.Fprintf(c, "%s%s", crowdHeader(i), strings.Repeat("b", 199)) // One byte is missing.
			if err != nil {
				r.line("crowd: client %d cannot send: %v", i, err)
			}
		}
		r.printf("crowd: %d clients, header of %d bytes each, after %v", len(conns), len(crowdHeader(0)), time.Since(crowdAt).Round(time.Millisecond))
		defer func() {
			for _, c := range conns {
				_ = c.Close()
			}
		}()
	}
	time.Sleep(8 * time.Second)
	close(done)
	o := <-watched
	if o.err != nil {
		return false, o.err
	}
	list := t.end()
	unanswered := 0
	for _, a := range list {
		if a.kept && a.status == 0 && a.err != nil && s.hasRun(a.id) {
			unanswered++
			r.line("%s was sent on a kept channel and run, and its channel ended without an answer: %v", a.id, a.err)
		}
	}
	before, sent := served(list, time.Time{}, crowdAt)
	r.printf("served before the crowd: %.3f of %d; most memory of the process: %d kB of %d; killed %d times; requests on kept channels that were run and not answered: %d",
		before, sent, o.most, memoryMB<<10, o.kills, unanswered)
	if before < 0.9 {
		return false, fmt.Errorf("%.3f served before the crowd", before)
	}
	return unanswered > maxUnanswered, nil
}

// smallConfig is the configuration of a small deployment.
func smallConfig() map[string]any {
	return map[string]any{
		"version": 3,
		"routes": []map[string]any{
			{"name": "chat", "host": host, "path-prefix": "/chat/", "type": "streaming", "service": "pool", "timeout-ms": 10000, "slo-ms": 1000, "gap-target-ms": 250, "max-attempts": 2, "resumable": true, "sticky": true, "priority": 1},
			{"name": "long", "host": host, "path-prefix": "/long/", "type": "streaming", "service": "pool", "timeout-ms": 15000, "slo-ms": 1000, "gap-target-ms": 250, "max-attempts": 2, "resumable": true, "sticky": true, "priority": 1},
			{"name": "read", "host": host, "path-prefix": "/read/", "type": "idempotent", "service": "pool", "timeout-ms": 15000, "slo-ms": 1000, "max-attempts": 2, "priority": 2},
		},
		"services": []map[string]any{
			{"name": "pool", "max-conns": 274, "health-path": "/healthz", "engine": map[string]any{"slots": 16, "kv-capacity": 315000, "stride": 51, "chunk": 2048, "step_ms": 0.85, "per_seq_ms": 0.00425, "context_per_k": 0.00285, "read_per_s": 177000, "pairs_per_m": 0.184}},
		},
		"limits":  map[string]any{"max-header-bytes": maxHeaderBytes, "max-body-bytes": 4 << 20, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants": []map[string]any{{"name": "readers", "api-keys": []string{"k1"}}},
	}
}
