package gateway_test

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rcrowley/go-metrics"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/gateway"
	"github.com/catkinspindle/catkinspindle/view"
)

// The last check before a request is sent keeps it from a replica that was evacuated or became cold
// after the placement.
func TestReplicaBecomesUnavailableWhileTheRequestWaits(t *testing.T) {
	evacuate := func(v *view.View) { v.SetEvacuations(catkinspindle.NewEvacuations(at(3), "x")) }
	cool := func(v *view.View) {
		v.ChangeReplicas([]view.Change{{Replica: catkinspindle.Replica{ID: "r1", Service: "s", DataCentre: "x", ColdLeft: time.Minute}}}, at(3), time.Time{})
	}
	tests := map[string]struct {
		change  func(*view.View)
		delay   time.Duration
		reserve time.Duration
		permit  bool
		want    string
	}{
		"evacuated during the delay":                  {evacuate, 200 * time.Millisecond, 0, true, "r2"},
		"evacuated during the reservation":            {evacuate, 0, 200 * time.Millisecond, true, "r2"},
		"cold during the delay":                       {cool, 200 * time.Millisecond, 0, false, "r2"},
		"cold during the reservation":                 {cool, 0, 200 * time.Millisecond, false, "r2"},
		"cold, with a permit":                         {cool, 200 * time.Millisecond, 0, true, "r1"},
		"cold, with a permit that ended":              {cool, 0, time.Second, true, "r2"},
		"neither":                                     {func(*view.View) {}, 200 * time.Millisecond, 0, false, "r1"},
		"another data centre is evacuated":            {func(v *view.View) { v.SetEvacuations(catkinspindle.NewEvacuations(at(3), "y")) }, 200 * time.Millisecond, 0, false, "r1"},
		"evacuated and taken back, cold, no permit":   {func(v *view.View) { evacuate(v); v.SetEvacuations(catkinspindle.NewEvacuations(at(4))) }, 200 * time.Millisecond, 0, false, "r2"},
		"evacuated and taken back, cold, with permit": {func(v *view.View) { evacuate(v); v.SetEvacuations(catkinspindle.NewEvacuations(at(4))) }, 200 * time.Millisecond, 0, true, "r1"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := &fakeCluster{steps: []scriptedAnswer{okAnswer}, delays: []time.Duration{tt.delay, 0}, permits: tt.permit, reserveTime: tt.reserve}
				registry := metrics.NewRegistry()
				g := newGateway(w, w, 9, true, gateway.WithMetrics(registry))
				config := routing()
				config.Version, config.Services = 2, []catkinspindle.ReplicaService{{Name: "s", ColdTime: time.Minute, ColdPerSecond: 1}}
				w.view.SetRouting(config)
				w.view.ChangeReplicas([]view.Change{{Replica: catkinspindle.Replica{ID: "r1", Service: "s", DataCentre: "x"}}}, at(2), time.Time{})
				time.AfterFunc(100*time.Millisecond, func() { tt.change(w.view) })
				if answer := serveRequest(g, "/any/"); answer.Code != 200 {
					t.Errorf("status %d", answer.Code)
				}
				kept := int64(0)
				if strings.Contains(name, "cold") && tt.want != "r1" {
					kept = 1
				}
				if diff := cmp.Diff(kept, metrics.GetOrRegisterCounter("requests-kept-from-cold-replicas", registry).Count()); diff != "" {
					t.Errorf("requests kept from cold replicas (-want +got):\n%s", diff)
				}
				if diff := cmp.Diff([]string{tt.want}, w.sentTo()); diff != "" {
					t.Errorf("replicas (-want +got):\n%s", diff)
				}
			})
		})
	}
}
