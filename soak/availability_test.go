package soak_test

import (
	"fmt"
	"io"
	"net/http"
	"regexp"
	"slices"
	"strconv"
	"time"

	"github.com/catkinspindle/catkinspindle/platform/standin/replica"
	"github.com/catkinspindle/catkinspindle/platform/standin/site"
)

const (
	// otherDataCentre has a replica of each service and is evacuated at times; coldReplica, which is not
	// in it, becomes cold at times.
	otherDataCentre = "dc-2"
	coldReplica     = "pool-2"
	// A cold replica may get coldTolerance times its rate and coldSlack requests more in a second.
	coldTolerance = 1.5
	coldSlack     = 5
)

func (s *schedule) moveReplicas() {
	s.site.MoveReplica("pool-1", otherDataCentre)
	s.site.MoveReplica("app-1", otherDataCentre)
}

func (s *schedule) evacuated() []*replica.Replica {
	return []*replica.Replica{s.site.Pool[1], s.site.App[1]}
}

// changeAvailability evacuates a data centre for a time, or makes a replica cold, in one of eight calls
// each.
func (s *schedule) changeAvailability() {
	duration := 100*time.Millisecond + time.Duration(s.availabilityRNG.Int64N(int64(1400*time.Millisecond)))
	switch s.availabilityRNG.IntN(8) {
	case 0:
		s.site.Evacuate(otherDataCentre, true)
		s.group.Go(func() error {
			time.Sleep(duration)
			s.site.Evacuate(otherDataCentre, false)
			return nil
		})
	case 1:
		s.site.CoolReplica(coldReplica, duration)
	}
}

// checkAvailability restarts nodes during an evacuation and while a replica is cold. Once all nodes know
// of both and the requests of before have ended, no request may reach the evacuated replicas, and the
// cold one gets its rate. The evacuated ones are used again afterwards.
func (s *schedule) checkAvailability() {
	s.site.Evacuate(otherDataCentre, true)
	s.site.CoolReplica(coldReplica, 10*time.Minute)
	for _, n := range s.nodes {
		for _, gauge := range []string{"evacuated-data-centres", "cold-replicas"} {
			s.eventually(n.name+" knows of an evacuation and a cold replica", func() error { return n.checkGauge(gauge, 1) })
		}
	}
	earlier := s.callers.allInFlight()
	s.eventually("earlier requests have ended", func() error {
		for _, id := range s.callers.allInFlight() {
			if slices.Contains(earlier, id) {
				return fmt.Errorf("request %s is still in flight", id)
			}
		}
		return nil
	})
	from := time.Now()
	s.nodes[0].disturb(func() { s.stop(s.nodes[0]); s.restart(s.nodes[0]) })
	s.nodes[1].disturb(func() { s.kill(s.nodes[1]); s.restart(s.nodes[1]) })
	s.awaitReady()
	for _, r := range s.evacuated() {
		for _, a := range r.Arrivals() {
			if a.At.After(from) {
				s.t.Errorf("request %s reached an evacuated replica %s after all nodes knew", a.ID, a.At.Sub(from))
			}
		}
	}
	most, total := s.site.Pool[2].Arrived(from, time.Now())
	if allowed := int(coldTolerance*site.ColdPerSecond + coldSlack); most > allowed {
		s.t.Errorf("a cold replica got %d requests in a second, allowed %d", most, allowed)
	}
	s.t.Logf("%d requests at a cold replica in %s", total, time.Since(from).Round(time.Millisecond))
	s.site.Evacuate(otherDataCentre, false)
	s.site.CoolReplica(coldReplica, 0)
	from = time.Now()
	for i, r := range s.evacuated() {
		s.eventually(fmt.Sprintf("replica %d of the data centre is used again", i), func() error {
			if _, n := r.Arrived(from, time.Now()); n == 0 {
				return fmt.Errorf("no requests in %s", time.Since(from))
			}
			return nil
		})
	}
}

// allInFlight returns the ids of the requests in flight.
func (c *callers) allInFlight() (ids []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id := range c.inFlight {
		ids = append(ids, id)
	}
	return ids
}

// checkGauge checks the value of a gauge in the metrics of the process.
func (n *process) checkGauge(name string, want int) error {
	resp, err := http.Get("http://" + n.metricsAddress + "/metrics")
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }() // Read to its end.
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	found := regexp.MustCompile(`gauge ` + name + `\s+value:\s+(\d+)`).FindSubmatch(text)
	if found == nil {
		return fmt.Errorf("no gauge %s", name)
	}
	if got, err := strconv.Atoi(string(found[1])); err != nil || got != want {
		return fmt.Errorf("gauge %s is %d, want %d", name, got, want)
	}
	return nil
}
