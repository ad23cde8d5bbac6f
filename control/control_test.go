package control_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/control"
)

// fleetSize is the size of a fleet as one node sees it.
type fleetSize struct{ members, engines, workspaces int }

func (s fleetSize) String() string {
	return fmt.Sprintf("members=%d/engines=%d/workspaces=%d", s.members, s.engines, s.workspaces)
}

var fleetSizes = []fleetSize{
	{8, 25, 10},
	{30, 25, 10},
	{105, 25, 10},
	{8, 120, 10},
	{8, 400, 10},
	{8, 25, 890},
	{30, 120, 890},
}

// newControl starts the control state of one node in a fleet of size s, and returns it with
// the other members.
func newControl(tb testing.TB, s fleetSize) (*control.Control, []catkinspindle.Member) {
	tb.Helper()
	self := catkinspindle.Member{Origin: catkinspindle.Origin{VM: "vm-0", Incarnation: 1}, DataCentre: "dc"}
	c := control.New(self, catkinspindle.DefaultTiming(), catkinspindle.DefaultPolicy())
	if err := c.Start(context.Background()); err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { _ = c.Stop(context.Background()) })
	var vms []catkinspindle.VM
	for i := range s.engines {
		vms = append(vms, catkinspindle.VM{Name: fmt.Sprint("engine-", i), Kind: catkinspindle.KindEngine, DataCentre: "dc", Deployment: "gpu"})
	}
	config := catkinspindle.FleetConfig{
		Version:  1,
		Models:   []catkinspindle.ModelSpec{{Name: "m", Version: "1"}},
		Services: []catkinspindle.ServiceSpec{{Name: "s", Kind: catkinspindle.ServiceModel, Model: "m", Deployment: "gpu", Replicas: s.engines}},
	}
	for i := range s.workspaces {
		config.Workspaces = append(config.Workspaces, catkinspindle.WorkspaceSpec{Name: fmt.Sprint("w", i)})
	}
	c.AdoptConfig(config, nil)
	c.SetVMs(vms, time.Now())
	var members []catkinspindle.Member
	for i := range s.members - 1 {
		m := catkinspindle.Member{Origin: catkinspindle.Origin{VM: fmt.Sprint("vm-", i+1), Incarnation: 1}, DataCentre: "dc", HeartbeatCount: 1}
		for j := range max(1, s.engines/s.members) {
			m.Homes = append(m.Homes, catkinspindle.HomeLoad{Engine: fmt.Sprint("engine-", (i+j)%s.engines)})
		}
		members = append(members, m)
	}
	c.Merge(members, nil)
	return c, members
}

// BenchmarkMerge measures one exchange with a peer: merging its members, computing the
// homes and publishing a snapshot.
func BenchmarkMerge(b *testing.B) {
	for _, s := range fleetSizes {
		b.Run(s.String(), func(b *testing.B) {
			c, members := newControl(b, s)
			b.ReportAllocs()
			for b.Loop() {
				for i := range members {
					members[i].HeartbeatCount++
				}
				c.Merge(members, nil)
			}
		})
	}
}

// BenchmarkReserve measures a reservation and its release at the engine's home.
func BenchmarkReserve(b *testing.B) {
	for _, held := range []int{0, 100, 1000} {
		for _, s := range []fleetSize{{8, 25, 10}, {30, 120, 890}} {
			b.Run(fmt.Sprintf("held=%d/%s", held, s), func(b *testing.B) { benchmarkReserve(b, s, held) })
		}
	}
}

func benchmarkReserve(b *testing.B, s fleetSize, held int) {
	c, _ := newControl(b, s)
	engine := c.HomeEngines()[0].Name
	c.UpdateStatus(engine, catkinspindle.EngineStatus{
		Capacity: 1 << 30, PrefillRate: 400_000, MaxStreams: 1 << 20,
		State: catkinspindle.EngineState{Model: "m", Version: "1"},
	})
	reserve := func(seq int) catkinspindle.StreamID {
		id := catkinspindle.StreamID{Owner: catkinspindle.Origin{VM: "vm-0", Incarnation: 1}, Seq: uint64(seq)}
		t := catkinspindle.Ticket{ID: id, Engine: engine, Workspace: "w1", MemoryTokens: 1000, PrefillTokens: 900, Arrived: time.Now(), Deadline: time.Now().Add(time.Hour)}
		if _, err := c.Reserve(context.Background(), t); err != nil {
			b.Fatalf("reservation %d: %v", seq, err)
		}
		return id
	}
	for i := range held {
		reserve(i)
	}
	seq := held
	b.ReportAllocs()
	for b.Loop() {
		seq++
		c.Release(engine, []catkinspindle.StreamID{reserve(seq)})
	}
}
