package placement_test

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkPlace places jobs on services as large as those of 30, 100 and 300 VMs, with a
// third of the slots taken.
func BenchmarkPlace(b *testing.B) {
	for _, replicas := range []int{70, 300, 1000, 1600} {
		for _, tokens := range []int{5000, 45_000, 154_000} {
			b.Run(fmt.Sprintf("replicas=%d/tokens=%d", replicas, tokens), func(b *testing.B) {
				p := planner(replicas)
				now := start
				for i := range replicas * 5 {
					p.Place(now, short(i))
				}
				job := long(0, tokens)
				if tokens == 5000 {
					job = short(0)
				}
				b.ResetTimer()
				for i := range b.N {
					job.Pool = p.Pool(service, uint64(i))
					job.ID = fmt.Sprintf("n/2/%d", i)
					p.Place(now, job)
					p.DropJobs(job.ID)
					now = now.Add(time.Millisecond)
				}
			})
		}
	}
}
