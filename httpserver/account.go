package httpserver

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/catkinspindle/catkinspindle/events"
)

// reason says why a connection was closed.
type reason string

const (
	// reasonCaller means that the caller closed the connection or that it broke.
	reasonCaller reason = "caller"
	// reasonAnswered means that the last answer announced the close.
	reasonAnswered reason = "answered"
	// reasonAborted means that the handler gave up a request without a complete answer.
	reasonAborted       reason = "aborted"
	reasonMalformed     reason = "malformed"
	reasonIdle          reason = "idle-timeout"
	reasonHeaderTimeout reason = "header-timeout"
	reasonHeaderSize    reason = "header-size"
	reasonStop          reason = "stop"
	// reasonEvicted means that the connection had to make room for others, reasonMemory that there was no
	// memory left for a header.
	reasonEvicted reason = "evicted"
	reasonMemory  reason = "memory"
)

// Names of counters. Requests that are neither ended nor in flight have got lost.
const (
	closedCounter  = "caller-connections-closed-"
	begunCounter   = "caller-requests-begun"
	endedCounter   = "caller-requests-ended"
	abortedCounter = "caller-requests-aborted"
	refusedCounter = "caller-requests-refused-at-close"
)

// account counts requests and their ends, logs panics of the handler and states the idle timeout in
// each response.
type account struct {
	handler http.Handler
	// keepAlive returns the value of the Keep-Alive field; empty if the connection is to be closed.
	keepAlive             func() string
	begun, ended, aborted metrics.Counter
	registry              metrics.Registry
	log                   *slog.Logger
}

func newAccount(h http.Handler, keepAlive func() string, registry metrics.Registry, log *slog.Logger) *account {
	return &account{
		handler:   h,
		keepAlive: keepAlive,
		begun:     metrics.GetOrRegisterCounter(begunCounter, registry),
		ended:     metrics.GetOrRegisterCounter(endedCounter, registry),
		aborted:   metrics.GetOrRegisterCounter(abortedCounter, registry),
		registry:  registry,
		log:       log,
	}
}

type connKey struct{}

// ServeHTTP implements http.Handler.
func (a *account) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	a.begun.Inc(1)
	defer func() {
		v := recover()
		if v == nil {
			a.ended.Inc(1)
			return
		}
		a.aborted.Inc(1)
		if c, ok := r.Context().Value(connKey{}).(*conn); ok {
			c.abort()
		}
		if err, ok := v.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
			a.log.Error("handler panicked", events.HandlerPanicked.Attr(), "host", r.Host, "target", r.RequestURI, "panic", v)
		}
		panic(v)
	}()
	if value := a.keepAlive(); value != "" {
		w.Header().Set("Connection", "keep-alive")
		w.Header().Set("Keep-Alive", value)
	} else {
		w.Header().Set("Connection", "close")
	}
	a.handler.ServeHTTP(w, r)
}

// connectionClosed records the end of a connection.
func (a *account) connectionClosed(c *conn, why reason, since time.Duration, headerBytes, requests int) {
	metrics.GetOrRegisterCounter(closedCounter+string(why), a.registry).Inc(1)
	level := slog.LevelInfo
	if why == reasonCaller || why == reasonAnswered {
		level = slog.LevelDebug
	}
	a.log.Log(context.Background(), level, "caller's connection closed", events.ConnectionClosed.Attr(), "reason", string(why),
		"caller", c.RemoteAddr().String(), "since", since, "header-bytes", headerBytes, "requests", requests)
}

// requestRefused records that n bytes of a request arrived after the refusal with which the server closes
// a connection.
func (a *account) requestRefused(c *conn, n int64) {
	metrics.GetOrRegisterCounter(refusedCounter, a.registry).Inc(1)
	a.log.Info("request crossed the close of its connection", events.RequestCrossedClose.Attr(), "caller", c.RemoteAddr().String(), "bytes", n)
}
