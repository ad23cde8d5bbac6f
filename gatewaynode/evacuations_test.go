package gatewaynode_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/catkinspindle/catkinspindle/platform"
	"github.com/catkinspindle/catkinspindle/platform/standin/replica"
	"github.com/catkinspindle/catkinspindle/platform/standin/site"
	"github.com/catkinspindle/catkinspindle/platform/standin/store"
)

const evacuationNodes = 4

// evacuationSite starts a site with a replica of each service in a data centre of its own.
func evacuationSite(t *testing.T) (s *site.Site, evacuated []*replica.Replica) {
	t.Helper()
	s = start(t, evacuationNodes, site.WithEvacuations(5*time.Second))
	s.MoveReplica("pool-0", "evacuated")
	s.MoveReplica("app-0", "evacuated")
	return s, []*replica.Replica{s.Pool[0], s.App[0]}
}

// arrivalsDuring sends requests of all kinds to all nodes and returns how many of them reached the
// given replicas. It fails if one is not answered.
func arrivalsDuring(t *testing.T, s *site.Site, label string, replicas []*replica.Replica) int {
	t.Helper()
	before := 0
	for _, r := range replicas {
		before -= len(r.Arrivals())
	}
	for i := range 10 * evacuationNodes {
		for _, kind := range requestKinds {
			id := fmt.Sprintf("%s-%s-%d", label, kind.target[1:4], i)
			status, _, err := s.Send(context.Background(), s.CallersAddress(i%evacuationNodes), id, kind.method, kind.target, site.Key, kind.tokens)
			if err != nil || status != http.StatusOK {
				t.Fatalf("request %s: status %d, error %v", id, status, err)
			}
		}
	}
	for _, r := range replicas {
		before += len(r.Arrivals())
	}
	return before
}

// An evacuated data centre gets no requests through any node, while the store serves all nodes, only
// some or none, and is used again after the evacuation.
func TestEvacuatedDataCentreGetsNoRequests(t *testing.T) {
	tests := map[string]func(*site.Site){
		"store reachable": func(*site.Site) {},
		"store refuses half of the nodes": func(s *site.Site) {
			for i := range evacuationNodes / 2 {
				s.SetStoreBlocked(i, true)
			}
		},
		"odd entries beside it": func(s *site.Site) {
			s.Store.Put(platform.EvacuationsKind, "nowhere", json.RawMessage(`"text"`))
			s.Store.Put(platform.EvacuationsKind, "deep", deep)
		},
	}
	for name, disrupt := range tests {
		t.Run(name, func(t *testing.T) {
			s, evacuated := evacuationSite(t)
			disrupt(s)
			s.Evacuate("evacuated", true)
			round := 0
			await(t, "no request reaches the evacuated data centre", func() bool {
				round++
				return arrivalsDuring(t, s, fmt.Sprintf("before-%d", round), evacuated) == 0
			})
			s.Store.SetFaults(store.Faults{Down: true})
			if n := arrivalsDuring(t, s, "store-down", evacuated); n > 0 {
				t.Errorf("%d requests reached the evacuated data centre while the store was down", n)
			}
			s.Store.SetFaults(store.Faults{})
			s.Evacuate("evacuated", false)
			await(t, "requests reach the data centre again", func() bool {
				round++
				return arrivalsDuring(t, s, fmt.Sprintf("after-%d", round), evacuated) > 0
			})
		})
	}
}
