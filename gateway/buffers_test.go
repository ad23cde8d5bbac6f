package gateway_test

import (
	"net/http"
	"runtime"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/buffers"
	"github.com/catkinspindle/catkinspindle/gateway"
)

// Guards against a node that runs out of memory because the answers of its replicas are bounded one by
// one only, and against sound answers that fail when their memory is used up.
func TestAnswersTogetherStayInTheirMemory(t *testing.T) {
	const (
		requests = 500
		budget   = 16 << 20
		// perRequest is what a request takes without its answer.
		perRequest = 64 << 10
	)
	ok := catkinspindle.AnswerHead{Status: http.StatusOK}
	tests := map[string]struct {
		replicas   faultyReplicas
		path, want string
	}{
		"bodies": {faultyReplicas{head: ok, text: strings.Repeat("x", 250<<10), unit: "x"}, "/short-once/", strings.Repeat("sound", 100<<10)},
		"events": {faultyReplicas{head: ok, text: "data: " + strings.Repeat("x", 120<<10), unit: "x"}, "/short/", "id: 1\ndata: " + strings.Repeat("x", 3<<10) + "\n\n"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := &fakeCluster{preferred: []string{"r1", "r1"}}
				tt.replicas.fakeCluster, tt.replicas.sound = w, tt.want
				g := newGateway(w, tt.replicas, 0, true, gateway.WithBuffers(buffers.New(budget)))
				var group errgroup.Group
				before := heapBytes()
				for range requests {
					group.Go(func() error {
						defer func() { _ = recover() }() // The answer is aborted: it has no end.
						g.ServeHTTP(discarder{http.Header{}}, newRequest(tt.path))
						return nil
					})
				}
				synctest.Wait()
				if held := heapBytes() - before; held > budget+requests*perRequest {
					t.Errorf("%d answers hold %d MB", requests, held>>20)
				}
				w.mu.Lock()
				w.preferred = []string{"r2"}
				w.mu.Unlock()
				answer, aborted := serveAborted(g, tt.path)
				if aborted || answer.Body.String() != tt.want {
					t.Errorf("sound answer: status %d, %d bytes, aborted: %t", answer.Code, answer.Body.Len(), aborted)
				}
				_ = group.Wait() // All return nil.
			})
		})
	}
}

// discarder is the response of a caller that keeps nothing.
type discarder struct{ header http.Header }

func (d discarder) Header() http.Header            { return d.header }
func (discarder) Write(p []byte) (int, error)      { return len(p), nil }
func (discarder) WriteHeader(int)                  {}
func (discarder) Flush()                           {}
func (discarder) SetWriteDeadline(time.Time) error { return nil }

func heapBytes() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
