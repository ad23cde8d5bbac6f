package placement_test

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

var debugPlaced = map[*caller][2]time.Duration{}

func TestDebugTrace(t *testing.T) {
	impatient(t, [3]int{1, 1, 1})
	for _, factor := range []float64{1, 1.5} {
		clear(debugPlaced)
		list := ofKind(run(queued{planner(loadReplicas)}, 0, factor), "short")
		for _, waited := range []bool{false, true} {
			var errs []time.Duration
			n, late, sure := 0, 0, 0
			for _, c := range list {
				d, ok := debugPlaced[c]
				if !ok || c.firstEvent.IsZero() || (d[0] > 0) != waited || c.attempts > 1 {
					continue
				}
				n++
				errs = append(errs, c.firstEvent.Sub(c.arrived)-d[0]-d[1])
				if d[0]+d[1] <= c.kind.objective {
					sure++
					if c.firstEvent.Sub(c.arrived) > c.kind.objective {
						late++
					}
				}
			}
			slices.Sort(errs)
			if n > 0 {
				fmt.Println(factor, "waited", waited, "n", n, "placed to be in time", sure, "late of them", late, "error p10 p50 p90", errs[n/10], errs[n/2], errs[n*9/10])
			}
		}
	}
}
