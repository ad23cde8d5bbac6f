package gateway

import (
	"context"
	"time"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/silence"
)

// runningAttempt is an attempt whose request is being sent or has been sent.
type runningAttempt struct {
	ctx     context.Context
	replica catkinspindle.Replica
	jobID   string
	// dataAt is when the attempt began or data last arrived; maxGap is the expected maximum time
	// between two events.
	dataAt time.Time
	maxGap time.Duration
}

// attrs returns the log attributes that tell a replica that ended an attempt from one that was given
// up by this node, and one silent replica from many.
func (a runningAttempt) attrs(t *silence.Table) []any {
	endedBy := "replica"
	if a.ctx.Err() != nil {
		endedBy = "node: " + context.Cause(a.ctx).Error()
	}
	now := time.Now()
	silent, awaited := t.Others(now, a.replica)
	return []any{"ended-by", endedBy, "silent-for", now.Sub(a.dataAt), "others-silent", silent, "others-awaited", awaited}
}

// expectData records that an attempt that ends with ctx awaits its first data.
func (x *exchange) expectData(ctx context.Context, p catkinspindle.Placement, r catkinspindle.Replica) {
	now := time.Now()
	x.running = runningAttempt{ctx: ctx, replica: r, jobID: p.JobID, dataAt: now, maxGap: x.route.MaxEventGap}
	within := 2 * p.ExpectedFirstEvent
	if !x.route.Streaming {
		within = max(within, x.route.LatencyObjective)
	}
	x.gateway.silence.Expect(now, r, p.JobID, within)
}

// receiveData records that data has arrived for the running attempt.
func (x *exchange) receiveData() {
	a := &x.running
	a.dataAt = time.Now()
	x.gateway.silence.Receive(a.dataAt, a.replica, a.jobID, a.maxGap)
}
