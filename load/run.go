package load

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/catkinspindle/catkinspindle/arrivals"
)

// Sender sends one request and returns its result as measured by the caller.
type Sender func(ctx context.Context, a arrivals.Arrival) Sample

// Run sends the arrivals at their scheduled times, whether or not earlier ones have been
// answered (open loop), and returns the samples when all have ended. When ctx ends, it
// sends no more.
func Run(ctx context.Context, list []arrivals.Arrival, send Sender) []Sample {
	var mu sync.Mutex
	var samples []Sample
	group := &errgroup.Group{}
	start := time.Now()
	for _, a := range list {
		select {
		case <-time.After(time.Until(start.Add(a.At))):
		case <-ctx.Done():
			_ = group.Wait()
			return samples
		}
		group.Go(func() error {
			s := send(ctx, a)
			mu.Lock()
			defer mu.Unlock()
			samples = append(samples, s)
			return nil
		})
	}
	_ = group.Wait()
	return samples
}
