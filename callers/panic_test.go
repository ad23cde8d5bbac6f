package callers_test

import (
	"bytes"
	"context"
	"encoding/json"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/rcrowley/go-metrics"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/callers"
	"github.com/catkinspindle/catkinspindle/events"
	"github.com/catkinspindle/catkinspindle/limits"
)

// panicking is a prompt service, its stream and a service for calls, of which one panics: call names it.
type panicking struct {
	fakeStream
	fakeActions
	call string
}

func (p *panicking) check(call string) {
	if call == p.call {
		panic("fault in " + call)
	}
}

func (p *panicking) Open(context.Context, catkinspindle.Request) (catkinspindle.Stream, error) {
	p.check("open")
	p.n = 0
	return p, nil
}

func (p *panicking) Next() (catkinspindle.Chunk, error) {
	p.check("next")
	if p.n == 1 {
		p.check("later")
	}
	return p.fakeStream.Next()
}

func (p *panicking) Call(context.Context, catkinspindle.Action) (catkinspindle.PlainReply, error) {
	p.check("call")
	return catkinspindle.PlainReply{Status: http.StatusOK}, nil
}

// A panic while a request is served does not end it without an answer or a line, or keep its admission.
func TestPanicEndsARequestWithAFailure(t *testing.T) {
	const chat, call = "/v1/chat/completions", "/v1/services/s/m"
	whole := strings.Replace(body, `"stream":true`, `"stream":false`, 1)
	tests := map[string]struct {
		call, path, body string
		status           int
		cut              bool
	}{
		"opening a stream":          {"open", chat, body, http.StatusBadGateway, false},
		"reading the first chunk":   {"next", chat, body, http.StatusBadGateway, false},
		"reading a later chunk":     {"later", chat, body, http.StatusOK, true},
		"reading a whole answer":    {"later", chat, whole, http.StatusBadGateway, false},
		"calling the plain service": {"call", call, "", http.StatusBadGateway, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			const maxRequests = 2
			unlimited := func() *catkinspindle.Snapshot {
				s := snapshot()
				s.Config.Workspaces[0].RequestsPerSecond = 1e9
				return s
			}
			p := &panicking{call: tt.call}
			var log bytes.Buffer
			h := callers.New("", unlimited, p, p, limits.New(unlimited, maxRequests), catkinspindle.DefaultTiming(), catkinspindle.DefaultLimits(), metrics.NewRegistry(), slog.New(slog.NewJSONHandler(&log, nil))).Handler()
			send := func() (w *httptest.ResponseRecorder, cut bool) {
				w = httptest.NewRecorder()
				defer func() {
					if v := recover(); v != nil && v != http.ErrAbortHandler {
						panic(v)
					}
				}()
				r := httptest.NewRequest(http.MethodPost, tt.path, strings.NewReader(tt.body))
				r.Header.Set("Authorization", "Bearer "+key)
				r.Header.Set(callers.TimeoutHeader, "5s")
				cut = true
				h.ServeHTTP(w, r)
				return w, false
			}
			for range maxRequests + 1 {
				log.Reset()
				w, cut := send()
				if diff := cmp.Diff([]any{tt.status, tt.cut}, []any{w.Code, cut}); diff != "" {
					t.Fatalf("status and whether it was cut (-want +got):\n%s%s", diff, w.Body)
				}
				if verdict := w.Header().Get(callers.VerdictHeader); !tt.cut && verdict != "may-have-run" {
					t.Errorf("verdict %q", verdict)
				}
				var got []events.Event
				for line := range strings.Lines(log.String()) {
					var l struct{ Event events.Event }
					if err := json.Unmarshal([]byte(line), &l); err != nil {
						t.Fatal(err)
					}
					got = append(got, l.Event)
				}
				if diff := cmp.Diff([]events.Event{events.HandlerPanicked, events.RequestFailed}, got); diff != "" {
					t.Errorf("lines (-want +got):\n%s", diff)
				}
			}
			p.call = ""
			if w, cut := send(); w.Code != http.StatusOK || cut {
				t.Errorf("next request: status %d, cut %t", w.Code, cut)
			}
		})
	}
}
