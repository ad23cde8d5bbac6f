package gateway

import (
	"fmt"
	"log/slog"
	"net/http"
	"runtime/debug"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/events"
)

// reasonInternal is the reason of a request that ended with a panic.
const reasonInternal catkinspindle.Reason = "internal"

// run admits and serves the request.
func (x *exchange) run(r *http.Request) (f *catkinspindle.Failure) {
	defer func() {
		if v := recover(); v != nil {
			f = x.recovered(v)
		}
	}()
	if f := x.admit(r); f != nil {
		return f
	}
	return x.serve(r.Context())
}

// recovered logs a panic and returns the failure of the request that it ended. A request that was being
// sent may have run.
func (x *exchange) recovered(v any) *catkinspindle.Failure {
	x.gateway.logPanic(v, "request", x.envelope.ID, "route", x.route.Name)
	if x.sending {
		x.sending = false
		x.sent++
		x.verdict = max(x.verdict, catkinspindle.MayHaveRun)
	}
	return x.fail(reasonInternal, "panic: "+fmt.Sprint(v))
}

// endRecovered ends an attempt in which a panic was recovered. The panic says nothing about the replica.
func (x *exchange) endRecovered(a *attempt, v any) *catkinspindle.Failure {
	a.result.Outcome = catkinspindle.OutcomeGivenUp
	f := x.recovered(v)
	x.end(a)
	return f
}

// trySend is send, which may panic.
func (x *exchange) trySend(a *attempt, helpers []catkinspindle.Helper, probe bool) (answered bool) {
	x.sending = true
	defer func() {
		if x.sending && probe {
			x.gateway.cooldown.EndProbe(a.replica)
		}
	}()
	answered = x.send(a, helpers, probe)
	x.sending = false
	return answered
}

func (g *Gateway) logPanic(v any, attrs ...any) {
	g.log.Error("handler panicked", append(attrs, events.HandlerPanicked.Attr(), "panic", fmt.Sprint(v), slog.String("stack", string(debug.Stack())))...)
}

// reportLater reports the result of an attempt after judge has completed it, in the background.
func (g *Gateway) reportLater(result catkinspindle.AttemptResult, judge func(*catkinspindle.AttemptResult)) {
	g.group.Go(func() error {
		defer func() {
			if v := recover(); v != nil {
				g.logPanic(v, "replica", result.Replica)
			}
		}()
		g.judge(&result, judge)
		g.placer.ReportResult(result)
		return nil
	})
}

// judge completes result with judge. After a panic the result says nothing about the replica.
func (g *Gateway) judge(result *catkinspindle.AttemptResult, judge func(*catkinspindle.AttemptResult)) {
	defer func() {
		if v := recover(); v != nil {
			g.logPanic(v, "replica", result.Replica)
			result.Outcome, result.FaultyReplica = catkinspindle.OutcomeGivenUp, ""
		}
	}()
	judge(result)
}
