package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"syscall"
	"time"
)

const (
	// maxStaleAnswers is the number of answers that rule DRAIN excuses, staleAfter the time after which a
	// machine that is gone must not be named any more.
	maxStaleAnswers = 3
	staleAfter      = stableWindow + 3*time.Second
	grace           = 8 * time.Second
)

// directoryAnswer returns the addresses that the directory of a node names.
func directoryAnswer(n *node) ([]string, error) {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + n.directory + "/api/resolve?name=" + host + "&region=r&zone=a")
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }() // It has been read.
	var answer struct {
		Addresses []string `json:"addrs"`
	}
	err = json.NewDecoder(resp.Body).Decode(&answer)
	return answer.Addresses, err
}

// playGhost removes one of four machines for good, and ten seconds later restarts the others in turn, with
// SIGTERM. Clients ask all of them for addresses meanwhile.
func playGhost(r *record) (bool, error) {
	s, err := newStore(r)
	if err != nil {
		return false, err
	}
	m := &modelServer{id: "i-1", record: r, events: 8, first: 150 * time.Millisecond, gap: 45 * time.Millisecond, capacity: 315000, slots: 16}
	if m.address, err = serve(m); err != nil {
		return false, err
	}
	s.register(m)
	s.Put("config", "main", smallConfig())
	f, err := newFleet(r)
	if err != nil {
		return false, err
	}
	defer f.stop()
	for range 4 {
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
	gone, others := f.nodes[0], f.nodes[1:]
	goneAt := time.Now()
	if r.trouble {
		gone.kill()
	} else {
		gone.record.line("%s stays", gone.name)
	}
	r.line("machines: %s is removed for good", gone.name)
	stale, asked := 0, 0
	ask := func(until time.Time) {
		for time.Now().Before(until) {
			for _, n := range others {
				at := time.Now()
				list, err := directoryAnswer(n)
				if err != nil {
					continue
				}
				asked++
				inTouch := at.Sub(n.disruptedAt) > stableWindow
				named := r.trouble && slices.Contains(list, gone.front)
				r.line("directory of %s, in touch: %t: %v, names the machine that is gone: %t", n.name, inTouch, list, named)
				if named && inTouch && len(list) > 1 && at.Sub(goneAt) > staleAfter {
					stale++
				}
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	ask(goneAt.Add(10 * time.Second))
	calm := stale
	for _, n := range others {
		n.disruptedAt = time.Now().Add(grace) // Until it has started again.
		if err := n.signal(syscall.SIGTERM); err != nil {
			return false, err
		}
		ask(time.Now().Add(100 * time.Millisecond))
		select {
		case <-n.exited:
			n.exited <- nil
		case <-time.After(grace):
			n.kill()
		}
		if err := n.start(); err != nil {
			return false, err
		}
		n.disruptedAt = time.Now()
		ask(time.Now().Add(2 * time.Second))
	}
	ask(time.Now().Add(6 * time.Second))
	r.printf("answers of the directory: %d; by machines in touch, with a machine that was gone for over %v: %d before the restarts, %d in all", asked, staleAfter, calm, stale)
	if asked < 100 {
		return false, fmt.Errorf("%d answers of the directory only", asked)
	}
	return stale > maxStaleAnswers, nil
}
