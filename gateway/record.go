package gateway

import (
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/events"
)

// end writes the failure, if any, and logs the request. It aborts the connection if the
// response has already begun, so that the caller does not take it for complete.
func (x *exchange) end(r *http.Request, f *catkinspindle.Failure) {
	g := x.gateway
	g.held.Add(-x.held)
	total := time.Since(x.arrived)
	abort := f != nil && (x.started || f.Reason == reasonGone)
	if f != nil && !abort {
		x.status = writeFailure(x.w, f)
	}
	x.measure(f, total)
	attrs := []any{
		events.RequestEnded.Attr(), "request", x.envelope.ID, "route", x.route.Name, "workspace", x.workspace,
		"status", x.status, "total", total, "first", x.first, "expected-first", x.expected, "first-limit", x.limit, "longest-pause", x.pause, "helpers", x.helping, "delay", x.delay, "placing", x.placing, "placed-by", x.placedBy, "waits", x.envelope.Timeout, "spent", x.spent, "attempts", x.sent, "replica", x.replica,
		"prompt-tokens", x.envelope.PromptTokens, "version", x.version, "replicas-position", x.gateway.view.State().ReplicasAt,
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

func (x *exchange) measure(f *catkinspindle.Failure, total time.Duration) {
	m := x.gateway.metrics
	name := "requests-answered"
	if f != nil {
		name = "requests-failed-" + string(f.Reason)
	}
	metrics.GetOrRegisterCounter(name, m).Inc(1)
	if f == nil {
		metrics.GetOrRegisterTimer("request-time", m).Update(total)
		metrics.GetOrRegisterTimer("first-event-time", m).Update(x.first)
	}
}

func (x *exchange) logAttempt(p catkinspindle.Placement, outcome string, err error) {
	attrs := []any{events.ReplicaFailed.Attr(), "request", x.envelope.ID, "replica", p.Replica, "helpers", len(p.Helpers), "outcome", outcome, "expected-first", p.First}
	if err != nil {
		attrs = append(attrs, "error", err.Error())
	}
	x.gateway.log.Info("attempt failed", attrs...)
}
