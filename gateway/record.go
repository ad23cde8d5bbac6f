package gateway

import (
	"errors"
	"net/http"
	"os"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/events"
)

// finish writes the failure, if any, and logs the request. If the response has already begun,
// it aborts the connection, so that a truncated answer does not look complete to the caller.
func (x *exchange) finish(r *http.Request, f *catkinspindle.Failure) {
	g := x.gateway
	x.body.Close()
	total := time.Since(x.arrivedAt)
	abort := f != nil && (x.responseBegun || f.Reason == reasonCallerGone)
	if f != nil && !abort {
		if r.ContentLength != 0 && !x.bodyRead && !errors.Is(f, os.ErrDeadlineExceeded) {
			_ = http.NewResponseController(x.w).SetReadDeadline(time.Now().Add(unreadBodyTimeout)) // It fails on closed connections only.
		}
		g.announceClose(x.w.Header())
		_ = http.NewResponseController(x.w).SetWriteDeadline(time.Now().Add(callerWriteTimeout)) // It fails on closed connections only.
		x.status = writeFailure(x.w, f)
	}
	x.updateMetrics(f, total)
	attrs := []any{
		events.RequestEnded.Attr(), "request", x.envelope.ID, "route", x.route.Name, "workspace", x.workspace,
		"status", x.status, "total", total, "first", x.timeToFirstEvent, "expected-first", x.expectedFirstEvent, "expected-wait", x.expectedWait, "slowdown", x.slowdown, "first-limit", x.firstEventLimit, "longest-pause", x.longestEventGap, "helpers", x.helperCount, "delay", x.delay, "placing", x.placingTime, "placed-by", x.placedBy, "waits", x.envelope.Timeout, "attempts", x.sent, "replica", x.replica,
		"prompt-tokens", x.envelope.PromptTokens, "version", x.configVersion, "replicas-position", x.gateway.view.State().ReplicasAt,
	}
	if f == nil {
		g.log.Info("request answered", attrs...)
		return
	}
	attrs = append(attrs, "reason", string(f.Reason), "verdict", f.Verdict.String(), "check", string(x.check), "retry-after", f.RetryAfter, "cause", f.Err.Error(), "cut", abort)
	if x.envelope.ID == "" {
		attrs = append(attrs, "host", r.Host, "target", r.RequestURI)
	}
	g.log.Info("request failed", attrs...)
	if abort {
		panic(http.ErrAbortHandler)
	}
}

func (x *exchange) updateMetrics(f *catkinspindle.Failure, total time.Duration) {
	m := x.gateway.metrics
	name := "requests-answered"
	if f != nil {
		name = "requests-failed-" + string(f.Reason)
	}
	metrics.GetOrRegisterCounter(name, m).Inc(1)
	if f == nil {
		x.gateway.answerTimes.record(x.route.Name, total)
		metrics.GetOrRegisterTimer("request-time", m).Update(total)
		metrics.GetOrRegisterTimer("first-event-time", m).Update(x.timeToFirstEvent)
	}
}

func (x *exchange) logFailedAttempt(a *attempt, outcome string, err error) {
	p := a.placement
	attrs := []any{events.ReplicaFailed.Attr(), "request", x.envelope.ID, "replica", p.Replica, "helpers", len(p.Helpers), "outcome", outcome, "standby", x.standby, "expected-first", p.ExpectedFirstEvent, "parts", x.envelope.SharedParts, "key", x.keys[len(x.keys)-1].String()}
	if err != nil {
		attrs = append(attrs, "error", err.Error())
	}
	x.gateway.log.Info("attempt failed", append(attrs, a.attrs(x.gateway.silence)...)...)
}
