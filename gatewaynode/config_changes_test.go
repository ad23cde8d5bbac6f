package gatewaynode_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/sync/errgroup"

	"github.com/catkinspindle/catkinspindle/platform/standin/replica"
	"github.com/catkinspindle/catkinspindle/platform/standin/site"
)

// configChanges are the kinds of changes of a configuration, each applied to the routes /chat/,
// /read/ and /act/ or to all that they use.
var configChanges = map[string]func(config map[string]any){
	"nothing but a route added": func(map[string]any) {},
	"idle timeout lowered":      limitChange("idle-timeout-ms", 100),
	"idle timeout raised":       limitChange("idle-timeout-ms", 60_000),
	"header timeout lowered":    limitChange("header-timeout-ms", 100),
	"max-header-bytes lowered":  limitChange("max-header-bytes", 1<<10),
	"max-body-bytes lowered":    limitChange("max-body-bytes", 1),
	"route timeout lowered":     routeChange("timeout-ms", 500),
	"objective and gap lowered": func(config map[string]any) {
		routeChange("slo-ms", 10)(config)
		routeChange("gap-target-ms", 10)(config)
	},
	"attempts lowered":  routeChange("max-attempts", 1),
	"type changed":      routeChange("type", "non_idempotent"),
	"resuming withheld": routeChange("resumable", false),
	"routes moved to a service without replicas": func(config map[string]any) {
		config["services"] = append(config["services"].([]any), map[string]any{"name": "empty", "max-conns": 100})
		routeChange("service", "empty")(config)
	},
	"routes moved to the other service": func(config map[string]any) {
		other := map[string]string{"pool": "app", "app": "pool"}
		for _, r := range config["routes"].([]any) {
			route := r.(map[string]any)
			route["service"] = other[route["service"].(string)]
		}
	},
	"routes dropped": func(config map[string]any) { config["routes"] = []any{} },
	"key revoked": func(config map[string]any) {
		config["tenants"] = []any{map[string]any{"name": "others", "api-keys": []string{"other-key"}}}
	},
}

func limitChange(name string, value any) func(config map[string]any) {
	return func(config map[string]any) { config["limits"].(map[string]any)[name] = value }
}

func routeChange(name string, value any) func(config map[string]any) {
	return func(config map[string]any) {
		for _, r := range config["routes"].([]any) {
			r.(map[string]any)[name] = value
		}
	}
}

// executor returns the replica that executes the request.
func executor(t *testing.T, replicas []*replica.Replica, id string) *replica.Replica {
	t.Helper()
	var found *replica.Replica
	await(t, "a replica executes "+id, func() bool {
		for _, r := range replicas {
			if slices.ContainsFunc(r.Executions(), func(e replica.Execution) bool { return e.ID == id }) {
				found = r
				return true
			}
		}
		return false
	})
	return found
}

// A stream whose replica is silent when the configuration changes must go on: after a second at the
// same replica, or without it at another one.
func TestStreamOutlastsConfigChangeInSilence(t *testing.T) {
	t.Parallel()
	const eventPause = 100 * time.Millisecond
	for name, change := range configChanges {
		for silent, silence := range map[string]time.Duration{"all": time.Second, "its replica": 6 * time.Second} {
			t.Run(fmt.Sprintf("%s, %s silent", name, silent), func(t *testing.T) {
				t.Parallel()
				s := start(t, 1)
				changeConfig(t, s, func(config map[string]any) {
					routeChange("slo-ms", 300)(config)
					limitChange("idle-timeout-ms", 5000)(config)
				})
				setPause := func(d time.Duration, replicas ...*replica.Replica) {
					for _, r := range replicas {
						r.SetFaults(replica.Faults{ExtraPause: d})
					}
				}
				setPause(eventPause, s.Pool...)
				req, err := site.Request(context.Background(), s.CallersAddress(0), "stream", http.MethodPost, "/chat/x", site.Key, 900, 9*time.Second)
				if err != nil {
					t.Fatal(err)
				}
				resp, err := http.DefaultClient.Do(req)
				if err != nil {
					t.Fatal(err)
				}
				defer func() { _ = resp.Body.Close() }() // Read to its end, or cut off.
				reader := bufio.NewReader(resp.Body)
				first, err := reader.ReadString('\n')
				if err != nil {
					t.Fatal(err)
				}
				running := executor(t, s.Pool, "stream")
				began := time.Now()
				if silent == "all" {
					setPause(silence, s.Pool...)
				} else {
					setPause(silence, running)
				}
				time.Sleep(2 * eventPause) // The next event comes before the silence.
				changeConfig(t, s, change)
				setPause(0, s.Pool...)
				rest, err := io.ReadAll(reader)
				took := time.Since(began)
				if diff := cmp.Diff(wantStream(), first+string(rest)); diff != "" || err != nil {
					t.Errorf("error %v, stream (-want +got):\n%s", err, diff)
				}
				if isMoved := took < silence; isMoved != (silent != "all") {
					t.Errorf("the stream took %v, want it to wait for its replica only if all are silent", took)
				}
			})
		}
	}
}

// A plain request that runs when the configuration changes must get its answer.
func TestPlainRequestOutlastsConfigChange(t *testing.T) {
	t.Parallel()
	const answerTime = 2 * time.Second
	for name, change := range configChanges {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := start(t, 1)
			for _, r := range s.App {
				r.SetFaults(replica.Faults{PlainPause: answerTime})
			}
			targets := map[string]string{"read": http.MethodGet, "act": http.MethodPost}
			var group errgroup.Group
			for id, method := range targets {
				group.Go(func() error {
					status, body, err := s.Send(context.Background(), s.CallersAddress(0), id, method, "/"+id+"/x", site.Key, 0)
					if err != nil || status != http.StatusOK {
						return fmt.Errorf("%s: status %d, body %q, error %w", id, status, body, err)
					}
					return nil
				})
			}
			for id := range targets {
				executor(t, s.App, id)
			}
			changeConfig(t, s, change)
			if err := group.Wait(); err != nil {
				t.Error(err)
			}
		})
	}
}
