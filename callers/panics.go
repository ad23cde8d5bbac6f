package callers

import (
	"fmt"
	"net/http"
	"runtime/debug"

	"github.com/rcrowley/go-metrics"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/events"
)

// reasonInternal is the reason of a request that ended with a panic.
const reasonInternal catkinspindle.Reason = "internal"

// beginRecorder records whether the response has begun.
type beginRecorder struct {
	http.ResponseWriter
	begun bool
}

// WriteHeader implements http.ResponseWriter.
func (b *beginRecorder) WriteHeader(status int) {
	b.begun = true
	b.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (b *beginRecorder) Write(p []byte) (int, error) {
	b.begun = true
	return b.ResponseWriter.Write(p)
}

// Unwrap returns the writer that http.ResponseController uses.
func (b *beginRecorder) Unwrap() http.ResponseWriter { return b.ResponseWriter }

// recoverPanics ends a request whose handler panics with a failure, or cuts its response if that has
// begun.
func (s *Server) recoverPanics(name string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		recorder := &beginRecorder{ResponseWriter: w}
		defer func() {
			v := recover()
			if v == nil {
				return
			}
			s.log.Error("handler panicked", events.HandlerPanicked.Attr(), "target", r.RequestURI, "panic", fmt.Sprint(v), "stack", string(debug.Stack()))
			metrics.GetOrRegisterCounter("callers."+name+".failed."+string(reasonInternal), s.metrics).Inc(1)
			f := catkinspindle.Fail(catkinspindle.MayHaveRun, reasonInternal, "internal error")
			if recorder.begun {
				s.log.Info("request failed", events.RequestFailed.Attr(), "reason", string(f.Reason), "verdict", f.Verdict.String(), "error", f.Err, "cut", true)
				panic(http.ErrAbortHandler)
			}
			s.encodeError(r.Context(), f, recorder)
		}()
		next.ServeHTTP(recorder, r)
	})
}
