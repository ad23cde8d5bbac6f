package gatewaynode_test

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"os"
	"path/filepath"
	"strings"
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

// evacuate evacuates the data centre of evacuationSite and waits until no node sends requests there.
func evacuate(t *testing.T, s *site.Site, evacuated []*replica.Replica) {
	t.Helper()
	s.Evacuate("evacuated", true)
	round := 0
	await(t, "no request reaches the evacuated data centre", func() bool {
		round++
		return arrivalsDuring(t, s, fmt.Sprintf("evacuate-%d-%d", len(evacuated[0].Arrivals()), round), evacuated) == 0
	})
}

// A node that restarts during an evacuation sends nothing to the evacuated data centre, also when the
// store refuses it at first.
func TestNodeRestartsDuringEvacuation(t *testing.T) {
	for name, refused := range map[string]bool{"store reachable": false, "store refuses the node": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, evacuated := evacuationSite(t)
			evacuate(t, s, evacuated)
			ctx := context.Background()
			const restarted = 1
			s.SetStoreBlocked(restarted, refused)
			if err := s.RestartNode(ctx, restarted, slog.New(slog.DiscardHandler)); err != nil {
				t.Fatal(err)
			}
			before := len(evacuated[0].Arrivals()) + len(evacuated[1].Arrivals())
			requests := 0
			early := func() {
				requests++
				kind := requestKinds[requests%len(requestKinds)]
				// The node may have nothing to serve it with yet.
				_, _, _ = s.Send(ctx, s.CallersAddress(restarted), fmt.Sprintf("early-%d", requests), kind.method, kind.target, site.Key, kind.tokens)
			}
			if refused {
				for range 10 {
					early()
				}
				s.SetStoreBlocked(restarted, false)
			}
			await(t, "the restarted node is ready", func() bool {
				early()
				return s.Ready(restarted)
			})
			if n := len(evacuated[0].Arrivals()) + len(evacuated[1].Arrivals()) - before; n > 0 {
				t.Errorf("%d requests reached the evacuated data centre from the node before it was ready", n)
			}
			if n := arrivalsDuring(t, s, "restarted", evacuated); n > 0 {
				t.Errorf("%d requests reached the evacuated data centre after the restart", n)
			}
		})
	}
}

// After the store is restored, the evacuations are those in its list, in force on all nodes: one that
// the backup has stays in force, one that it lacks ends and begins again with a new entry.
func TestStoreRestoredDuringEvacuation(t *testing.T) {
	for name, inBackup := range map[string]bool{"backup from during the evacuation": true, "backup from before": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, evacuated := evacuationSite(t)
			backup := s.Store.Backup()
			evacuate(t, s, evacuated)
			if inBackup {
				backup = s.Store.Backup()
				s.Store.Put("other", "object", 1)
			}
			s.RestoreStore(backup, outageDuration)
			if !inBackup {
				round := 0
				await(t, "requests reach the data centre after the restore", func() bool {
					round++
					return arrivalsDuring(t, s, fmt.Sprintf("restored-%d", round), evacuated) > 0
				})
				evacuate(t, s, evacuated)
			}
			for end, round := time.Now().Add(2500*time.Millisecond), 0; time.Now().Before(end); round++ {
				if n := arrivalsDuring(t, s, fmt.Sprintf("kept-%d", round), evacuated); n > 0 {
					t.Fatalf("%d requests reached the evacuated data centre", n)
				}
			}
			s.Evacuate("evacuated", false)
			round := 0
			await(t, "requests reach the data centre again", func() bool {
				round++
				return arrivalsDuring(t, s, fmt.Sprintf("after-%d", round), evacuated) > 0
			})
		})
	}
}

// When the replicas of another data centre are lost during an evacuation, the remaining ones serve all
// requests and the evacuated ones still get none.
func TestDataCentreIsLostDuringEvacuation(t *testing.T) {
	t.Parallel()
	s, evacuated := evacuationSite(t)
	evacuate(t, s, evacuated)
	s.CrashReplica("pool-1", 3*time.Second)
	s.RemoveReplica("pool-1")
	before := len(evacuated[0].Arrivals()) + len(evacuated[1].Arrivals())
	requests := 0
	await(t, "all nodes serve all kinds of requests", func() bool {
		for i := range evacuationNodes {
			for _, kind := range requestKinds {
				requests++
				status, _, err := s.Send(context.Background(), s.CallersAddress(i), fmt.Sprintf("lost-%d", requests), kind.method, kind.target, site.Key, kind.tokens)
				if err != nil || status != http.StatusOK {
					return false
				}
			}
		}
		return true
	})
	if n := len(evacuated[0].Arrivals()) + len(evacuated[1].Arrivals()) - before; n > 0 {
		t.Errorf("%d requests reached the evacuated data centre", n)
	}
}

// Odd values are logged with the name of their entry, and what they are beside is in force.
func TestOddAvailabilityEntriesAreLogged(t *testing.T) {
	t.Parallel()
	file, err := os.Create(filepath.Join(t.TempDir(), "log"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = file.Close() }() // Only read below.
	s, err := site.Start(context.Background(), 1, slog.New(slog.NewTextHandler(file, nil)), site.WithEvacuations(5*time.Second))
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		if err := s.StopNode(context.Background(), 0); err != nil {
			t.Log(err)
		}
		if err := s.Close(); err != nil {
			t.Log(err)
		}
	}()
	s.Evacuate("nowhere", true)
	entry := func(coldLeft string) json.RawMessage {
		return json.RawMessage(`{"service":"pool","addr":"127.0.0.1:9","zone":"dc","slots":8,"state":"draining","born":1,"cold-left-ms":` + coldLeft + `}`)
	}
	s.Store.Put(platform.ReplicasKind, "negative", entry("-5"))
	s.Store.Put(platform.ReplicasKind, "huge", entry("1e300"))
	s.Store.Put(platform.ReplicasKind, "text", entry(`"soon"`))
	s.Store.Put(platform.ConfigKind, platform.ConfigName, json.RawMessage(`{"version":9,"services":[{"name":"odd-service","cold-per-s":-1}]}`))
	wants := []string{"data-centre=nowhere", "entry=negative", "entry=huge", "entry=text", "service=odd-service", "configuration adopted", "version=9"}
	await(t, "the log names the entries", func() bool {
		text, err := os.ReadFile(file.Name())
		if err != nil {
			t.Fatal(err)
		}
		for _, want := range wants {
			if !strings.Contains(string(text), want) {
				return false
			}
		}
		return true
	})
}
