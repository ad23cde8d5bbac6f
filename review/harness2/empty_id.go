package main

import (
	"fmt"
	"strings"
	"time"
)

// playEmptyID kills all nodes of a deployment at once and starts them again. The store loses the answer to one of the
// first three writes meanwhile.
func playEmptyID(r *record) (bool, error) {
	const (
		perSecond = 46
		recoverS  = 12 * time.Second
	)
	s, err := newStore(r)
	if err != nil {
		return false, err
	}
	var servers []*modelServer
	for i := range 3 {
		m := &modelServer{id: fmt.Sprintf("i-%d", i+1), record: r, events: 4, first: 80 * time.Millisecond, gap: 45 * time.Millisecond, capacity: 315000, slots: 16}
		if m.address, err = serve(m); err != nil {
			return false, err
		}
		servers = append(servers, m)
		s.register(m)
	}
	s.Put("config", "main", smallConfig())
	f, err := newFleet(r)
	if err != nil {
		return false, err
	}
	defer f.stop()
	for range 3 {
		if _, err := f.add("a", s.address, 284, nil); err != nil {
			return false, err
		}
	}
	for _, n := range f.nodes {
		if err := n.start(); err != nil {
			return false, err
		}
	}
	if err := f.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(stableWindow)
	begun := time.Now()
	t := startTraffic(f, perSecond, request{method: "POST", path: "/long/1", key: "k1", prompt: 1460, output: 14000, deadline: 15 * time.Second, body: "prompt"})
	time.Sleep(10 * time.Second)
	fault := time.Now()
	for _, n := range f.nodes {
		n.kill()
	}
	if r.trouble {
		first := f.nodes[0].name
		s.setLose(func(_, path string) bool { return strings.HasSuffix(path, "/"+first) && s.lost == 0 })
	}
	time.Sleep(500 * time.Millisecond)
	for _, n := range f.nodes {
		if err := n.start(); err != nil {
			return false, err
		}
	}
	back := time.Now()
	time.Sleep(4500 * time.Millisecond)
	written, lost := s.writes()
	r.printf("the store lost the answers of %d of %d writes", lost, written)
	s.setLose(nil)
	time.Sleep(time.Until(back.Add(recoverS + 20*time.Second)))
	end := time.Now()
	list := t.end()
	before, sentBefore := served(list, begun, fault.Add(-2*time.Second))
	after, sentAfter := served(list, back.Add(recoverS), end)
	r.printf("served before the fault: %.3f of %d; sent later than recover-s after the machines are back: %.3f of %d", before, sentBefore, after, sentAfter)
	for _, m := range servers {
		r.printf("%s: ran %d, refused %d, most tokens of prompts at once %d", m.id, m.ran, m.refused, m.peakTokens)
	}
	if before < 0.25 {
		return false, fmt.Errorf("%.3f served before the fault", before)
	}
	return after < 0.25, nil
}
