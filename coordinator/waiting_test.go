package coordinator_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/sync/errgroup"

	"github.com/catkinspindle/catkinspindle"
)

// patientJob returns a job that may wait for several seconds.
func patientJob() catkinspindle.Job {
	j := newJob()
	j.LatencyObjective = 5 * time.Second
	return j
}

// fill places jobs until all slots of the replicas are taken.
func fill(t *testing.T, p *testNodes) (placed []catkinspindle.Placement) {
	t.Helper()
	for range 16 {
		got := p.node.Place(context.Background(), patientJob())
		if got.Refused() {
			t.Fatalf("job %d is refused: %+v", len(placed), got)
		}
		placed = append(placed, got)
		time.Sleep(100 * time.Millisecond)
	}
	return placed
}

// A job for which there is no slot waits at the coordinator and gets the first one that is reported
// free.
func TestJobWaitsForRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := start(t)
		defer p.stop()
		placed := fill(t, p)
		var (
			group errgroup.Group
			got   catkinspindle.Placement
		)
		group.Go(func() error {
			got = p.node.Place(context.Background(), patientJob())
			return nil
		})
		time.Sleep(time.Second)
		if diff := cmp.Diff(1, p.coordinatorPlanner.WaitingJobs()); diff != "" {
			t.Errorf("waiting jobs (-want +got):\n%s", diff)
		}
		p.node.ReportResult(catkinspindle.AttemptResult{JobID: placed[0].JobID, Replica: placed[0].Replica})
		freed := time.Now()
		if err := group.Wait(); err != nil {
			t.Fatal(err)
		}
		if got.Replica != placed[0].Replica || got.PlacedBy != "n0" || time.Since(freed) > 50*time.Millisecond {
			t.Errorf("placement %+v after %s, want one on %s at once", got, time.Since(freed), placed[0].Replica)
		}
	})
}

// A node that loses its coordinator places the jobs that wait there itself, soon after.
func TestWaitingJobOutlivesCoordinator(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := start(t)
		defer p.stop()
		fill(t, p)
		var (
			group errgroup.Group
			got   catkinspindle.Placement
			after time.Duration
		)
		var lost time.Time
		group.Go(func() error {
			got = p.node.Place(context.Background(), patientJob())
			after = time.Since(lost)
			return nil
		})
		time.Sleep(time.Second)
		lost = time.Now()
		p.link.setUnresponsive(true)
		if err := group.Wait(); err != nil {
			t.Fatal(err)
		}
		if got.Refused() || got.PlacedBy != "" || after > time.Second {
			t.Errorf("placement %+v %s after the coordinator is lost", got, after)
		}
		p.link.setUnresponsive(false)
		time.Sleep(2 * time.Second)
		if diff := cmp.Diff(0, p.coordinatorPlanner.WaitingJobs()); diff != "" {
			t.Errorf("jobs that wait at the coordinator (-want +got):\n%s", diff)
		}
	})
}

// A caller who leaves gives up its place.
func TestWaitingCallerLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := start(t)
		defer p.stop()
		fill(t, p)
		ctx, cancel := context.WithTimeout(context.Background(), 700*time.Millisecond)
		defer cancel()
		if got := p.node.Place(ctx, patientJob()); !got.Refused() {
			t.Errorf("placement %+v of a job that is no longer wanted", got)
		}
		time.Sleep(time.Second)
		if diff := cmp.Diff(0, p.coordinatorPlanner.WaitingJobs()); diff != "" {
			t.Errorf("waiting jobs (-want +got):\n%s", diff)
		}
	})
}
