package proofs_test

import (
	"fmt"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/catkinspindle/catkinspindle/standin/platform"
)

// TestCapacitySlopes prints the bytes per second between VMs and the platform
// calls per second, both per node, for growing fleets and request rates. It runs
// only when CAPACITY is set.
func TestCapacitySlopes(t *testing.T) {
	if os.Getenv("CAPACITY") == "" {
		t.Skip("CAPACITY is not set")
	}
	const window = 60 * time.Second
	sizes := []struct{ nodes, engines, perSecond int }{
		{3, 12, 0},
		{6, 24, 0},
		{12, 48, 0},
		{24, 96, 0},
		{30, 120, 0},
		{6, 24, 20},
		{6, 24, 40},
		{6, 24, 80},
		{30, 120, 80},
	}
	for _, size := range sizes {
		t.Run(fmt.Sprintf("%d nodes %d engines %d reads a second", size.nodes, size.engines, size.perSecond), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := smallFleet()
				s.nodes, s.engines = size.nodes, size.engines
				f := newFleet(t, s)
				time.Sleep(time.Minute)
				f.net.sentBytes = map[string]int{}
				before := f.platform.Calls()
				for i := range int(window.Seconds()) * size.perSecond {
					f.spawn(func() {
						time.Sleep(time.Duration(i) * time.Second / time.Duration(size.perSecond))
						f.sendPrompt(fmt.Sprint("r", i), f.nodeName(i%size.nodes), 2000, 20*time.Second)
					})
				}
				time.Sleep(window)
				f.logRates(size.nodes, window, before)
				_ = f.group.Wait()
			})
		})
	}
}

func (f *fleet) logRates(nodes int, window time.Duration, before platform.Calls) {
	perNode := func(n int) float64 { return float64(n) / float64(nodes) / window.Seconds() }
	f.net.mu.Lock()
	total := 0
	for kind, bytes := range f.net.sentBytes {
		total += bytes
		f.t.Logf("%s: %.0f bytes/s a node", kind, perNode(bytes))
	}
	f.net.mu.Unlock()
	calls := f.platform.Calls()
	f.t.Logf("all messages: %.0f bytes/s a node", perNode(total))
	f.t.Logf("platform: %.2f reads, %.3f writes, %.3f watches a second a node",
		perNode(calls.Reads-before.Reads), perNode(calls.Writes-before.Writes), perNode(calls.Watches-before.Watches))
}
