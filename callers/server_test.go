package callers_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rcrowley/go-metrics"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/callers"
	"github.com/catkinspindle/catkinspindle/limits"
)

const key = "secret"

func snapshot() *catkinspindle.Snapshot {
	sum := sha256.Sum256([]byte(key))
	return &catkinspindle.Snapshot{Text: catkinspindle.Text{
		Version: 1,
		Models:  []catkinspindle.ModelSpec{{Name: "m", Version: "1", Adapters: []string{"thai"}}},
		Workspaces: []catkinspindle.WorkspaceSpec{
			{Name: "w", KeySHA256: hex.EncodeToString(sum[:]), RequestsPerSecond: 1000},
		},
	}}
}

// reads streams the tokens "a " and "b ", or fails with err after the first.
type reads struct{ err error }

func (r reads) Open(context.Context, catkinspindle.Request) (catkinspindle.Stream, error) {
	return &stream{err: r.err}, nil
}

type stream struct {
	n   int
	err error
}

func (s *stream) Next() (catkinspindle.Chunk, error) {
	s.n++
	switch {
	case s.n == 1:
		return catkinspindle.Chunk{Tokens: []string{"a "}}, nil
	case s.err != nil:
		return catkinspindle.Chunk{}, s.err
	case s.n == 2:
		return catkinspindle.Chunk{Offset: 1, Tokens: []string{"b "}, End: true}, nil
	}
	return catkinspindle.Chunk{}, io.EOF
}

func (s *stream) Close() {}

type noActions struct{}

func (noActions) Call(context.Context, catkinspindle.Action) (catkinspindle.PlainReply, error) {
	return catkinspindle.PlainReply{}, catkinspindle.Fail(catkinspindle.MayHaveRun, catkinspindle.ReasonOriginGone, "gone")
}

func (noActions) Origin() catkinspindle.ActionOrigin { return catkinspindle.ActionOrigin{} }

func handler(r catkinspindle.Reads) http.Handler {
	bounds := catkinspindle.DefaultLimits()
	bounds.MaxBody = 1000
	s := callers.New("", snapshot, r, noActions{}, limits.New(snapshot, 10), catkinspindle.DefaultTiming(), bounds,
		metrics.NewRegistry(), slog.New(slog.DiscardHandler))
	return s.Handler()
}

const body = `{"model":"m","messages":[{"role":"user","content":"hi"}],"stream":true}`

func post(h http.Handler, path, body string, change func(http.Header)) *httptest.ResponseRecorder {
	req := httptest.NewRequest(http.MethodPost, path, strings.NewReader(body))
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set(callers.TimeoutHeader, "5s")
	change(req.Header)
	w := httptest.NewRecorder()
	h.ServeHTTP(w, req)
	return w
}

func unchanged(http.Header) {}

func TestBadInputGetsAClearRefusal(t *testing.T) {
	set := func(k, v string) func(http.Header) { return func(h http.Header) { h.Set(k, v) } }
	tests := []struct {
		name, path, body string
		change           func(http.Header)
		status           int
		reason, verdict  string
	}{
		{"no key", "/v1/chat/completions", body, func(h http.Header) { h.Del("Authorization") }, 401, "unauthorized", "not-run"},
		{"wrong key", "/v1/chat/completions", body, set("Authorization", "Bearer x"), 401, "unauthorized", "not-run"},
		{"broken JSON", "/v1/chat/completions", `{"model":`, unchanged, 400, "bad-request", "not-run"},
		{"too large", "/v1/chat/completions", strings.Repeat("x", 1001), unchanged, 413, "too-large", "not-run"},
		{"unknown model", "/v1/chat/completions", strings.Replace(body, `"m"`, `"n"`, 1), unchanged, 404, "unknown-model", "not-run"},
		{"unknown adapter", "/v1/chat/completions", strings.Replace(body, `"m"`, `"m","adapter":"x"`, 1), unchanged, 404, "unknown-model", "not-run"},
		{"no messages", "/v1/chat/completions", `{"model":"m"}`, unchanged, 400, "bad-request", "not-run"},
		{"max tokens", "/v1/chat/completions", strings.Replace(body, `"m"`, `"m","max_tokens":-1`, 1), unchanged, 400, "bad-request", "not-run"},
		{"no timeout", "/v1/chat/completions", body, func(h http.Header) { h.Del(callers.TimeoutHeader) }, 400, "bad-request", "not-run"},
		{"negative timeout", "/v1/chat/completions", body, set(callers.TimeoutHeader, "-1s"), 400, "bad-request", "not-run"},
		{"endless timeout", "/v1/chat/completions", body, set(callers.TimeoutHeader, "900h"), 400, "bad-request", "not-run"},
		{"bad origin", "/v1/services/s/m", "", set(callers.OriginHeader, "x"), 400, "bad-request", "not-run"},
		{"long key", "/v1/services/s/m", "", set(callers.KeyHeader, strings.Repeat("k", 300)), 400, "bad-request", "not-run"},
		{"origin gone", "/v1/services/s/m", "", unchanged, 502, "origin-gone", "may-have-run"},
	}
	h := handler(reads{})
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := post(h, tt.path, tt.body, tt.change)
			var got struct {
				Error struct{ Type, Verdict, Message string }
			}
			if err := json.Unmarshal(w.Body.Bytes(), &got); err != nil {
				t.Fatalf("%v: %s", err, w.Body)
			}
			want := []any{tt.status, tt.reason, tt.verdict, tt.verdict}
			if diff := cmp.Diff(want, []any{w.Code, got.Error.Type, got.Error.Verdict, w.Header().Get(callers.VerdictHeader)}); diff != "" {
				t.Error(diff, got.Error.Message)
			}
		})
	}
}

func TestStreamEndsWithItsMarkerOnlyWhenWhole(t *testing.T) {
	whole := post(handler(reads{}), "/v1/chat/completions", body, unchanged).Body.String()
	if !strings.HasSuffix(whole, "data: [DONE]\n\n") || strings.Count(whole, "data: {") != 2 {
		t.Errorf("complete stream: %s", whole)
	}
	failure := catkinspindle.Fail(catkinspindle.MayHaveRun, catkinspindle.ReasonDeadline, "late").WithRetryAfter(2 * time.Second)
	cut := post(handler(reads{err: failure}), "/v1/chat/completions", body, unchanged).Body.String()
	if strings.Contains(cut, "[DONE]") || !strings.Contains(cut, `"verdict":"may-have-run","retry-after":2`) {
		t.Errorf("failed stream: %s", cut)
	}
	inOnePiece := post(handler(reads{err: failure}), "/v1/chat/completions", strings.Replace(body, "true", "false", 1), unchanged)
	if diff := cmp.Diff([]any{504, "2"}, []any{inOnePiece.Code, inOnePiece.Header().Get("Retry-After")}); diff != "" {
		t.Error(diff)
	}
}

func FuzzChat(f *testing.F) {
	f.Add(body, "5s")
	f.Add(`{"model":"m","messages":[{}],"max_tokens":1e9}`, "1h1m")
	f.Add("[]", "")
	h := handler(reads{})
	f.Fuzz(func(t *testing.T, body, timeout string) {
		w := post(h, "/v1/chat/completions", body, func(h http.Header) { h.Set(callers.TimeoutHeader, timeout) })
		if w.Code == http.StatusInternalServerError {
			t.Error(w.Body)
		}
	})
}
