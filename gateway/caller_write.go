package gateway

import (
	"errors"
	"net/http"
	"os"
	"slices"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/events"
)

// writeChunk is the number of bytes of which the write to a caller is one step of progress.
const writeChunk = 16 << 10

// reasonCallerSlow is logged when the connection of a caller was aborted because it did not read; it is never
// sent.
const reasonCallerSlow catkinspindle.Reason = "caller-slow"

// The reasons for which a peer is cut off.
const (
	cutOffMemory  = "memory"
	cutOffTimeout = "timeout"
)

var errCutOff = errors.New("cut off")

// write writes p, a part of the answer of a, to the caller within callerWriteTimeout. If it fails, the answer has
// no complete end.
func (x *exchange) write(a *attempt, p []byte, flush bool) *catkinspindle.Failure {
	// Setting deadlines fails on closed connections only, as the write does.
	if x.control == nil {
		x.control = http.NewResponseController(x.w)
		x.endWrite = func() { _ = x.control.SetWriteDeadline(time.Now()) }
	}
	holder := a.metered.holder
	holder.BeginWrite(x.endWrite)
	progressAt := time.Now()
	_ = x.control.SetWriteDeadline(progressAt.Add(callerWriteTimeout))
	var err error
	for piece := range slices.Chunk(p, writeChunk) {
		if !holder.Progress() {
			err = errCutOff
			break
		}
		if _, err = x.w.Write(piece); err != nil {
			break
		}
		progressAt = time.Now()
	}
	if flush && err == nil {
		err = x.control.Flush()
	}
	uncut := holder.EndWrite()
	switch {
	case err == nil:
		return nil
	case !uncut:
		return x.callerCutOff(cutOffMemory, len(p), time.Since(progressAt))
	case errors.Is(err, os.ErrDeadlineExceeded):
		return x.callerCutOff(cutOffTimeout, len(p), time.Since(progressAt))
	}
	return x.fail(reasonCallerGone, "client disconnected")
}

// callerCutOff records that the caller was cut off while size bytes were written to it.
func (x *exchange) callerCutOff(reason string, size int, stalledFor time.Duration) *catkinspindle.Failure {
	x.gateway.countCutOff("callers", reason)
	x.gateway.log.Info("caller cut off", events.CallerCutOff.Attr(), "request", x.envelope.ID, "route", x.route.Name, "reason", reason, "bytes", size, "stalled-for", stalledFor)
	return x.fail(reasonCallerSlow, "client did not read its answer")
}

// countCutOff counts a cut-off of peers, which are callers or replicas.
func (g *Gateway) countCutOff(peers, reason string) {
	metrics.GetOrRegisterCounter(peers+"-cut-off-"+reason, g.metrics).Inc(1)
}
