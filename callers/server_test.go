package callers_test

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/callers"
	"github.com/catkinspindle/catkinspindle/limits"
)

const key = "secret"

func snapshot() *catkinspindle.Snapshot {
	sum := sha256.Sum256([]byte(key))
	return &catkinspindle.Snapshot{Config: catkinspindle.FleetConfig{
		Version: 1,
		Models:  []catkinspindle.ModelSpec{{Name: "m", Version: "1", Adapters: []string{"thai"}}},
		Workspaces: []catkinspindle.WorkspaceSpec{
			{Name: "w", KeySHA256: hex.EncodeToString(sum[:]), RequestsPerSecond: 1000},
		},
	}}
}

// fakePrompts streams the tokens "a " and "b ", or fails with err after the first.
type fakePrompts struct{ err error }

func (r fakePrompts) Open(context.Context, catkinspindle.Request) (catkinspindle.Stream, error) {
	return &fakeStream{err: r.err}, nil
}

type fakeStream struct {
	n   int
	err error
}

func (s *fakeStream) Next() (catkinspindle.Chunk, error) {
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

func (s *fakeStream) Close() {}

type fakeActions struct{}

func (fakeActions) Call(context.Context, catkinspindle.Action) (catkinspindle.PlainReply, error) {
	return catkinspindle.PlainReply{}, catkinspindle.Fail(catkinspindle.MayHaveRun, catkinspindle.ReasonOriginGone, "gone")
}

func (fakeActions) Origin() catkinspindle.ActionOrigin { return catkinspindle.ActionOrigin{} }

func newHandler(r catkinspindle.PromptService) http.Handler { return newServer("", r).Handler() }

func newServer(address string, r catkinspindle.PromptService) *callers.Server {
	return newServerWithActions(address, r, fakeActions{}, catkinspindle.DefaultLimits().MaxTimeout)
}

func newServerWithActions(address string, r catkinspindle.PromptService, a catkinspindle.Actions, maxTimeout time.Duration) *callers.Server {
	requestLimits := catkinspindle.DefaultLimits()
	requestLimits.MaxBody = 1000
	requestLimits.MaxTimeout = maxTimeout
	return callers.New(address, snapshot, r, a, limits.New(snapshot, 10), catkinspindle.DefaultTiming(), requestLimits,
		metrics.NewRegistry(), slog.New(slog.DiscardHandler))
}

const body = `{"model":"m","messages":[{"role":"user","content":"hi"}],"stream":true}`

func post(h http.Handler, path, body string, editHeaders func(http.Header)) *httptest.ResponseRecorder {
	req := httptest.NewRequest(http.MethodPost, path, strings.NewReader(body))
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set(callers.TimeoutHeader, "5s")
	editHeaders(req.Header)
	w := httptest.NewRecorder()
	h.ServeHTTP(w, req)
	return w
}

func keepHeaders(http.Header) {}

func TestBadInputIsRejectedWithReason(t *testing.T) {
	withHeader := func(k, v string) func(http.Header) { return func(h http.Header) { h.Set(k, v) } }
	tests := []struct {
		name, path, body string
		editHeaders      func(http.Header)
		status           int
		reason, verdict  string
	}{
		{"no key", "/v1/chat/completions", body, func(h http.Header) { h.Del("Authorization") }, 401, "unauthorized", "not-run"},
		{"wrong key", "/v1/chat/completions", body, withHeader("Authorization", "Bearer x"), 401, "unauthorized", "not-run"},
		{"broken JSON", "/v1/chat/completions", `{"model":`, keepHeaders, 400, "bad-request", "not-run"},
		{"too large", "/v1/chat/completions", strings.Repeat("x", 1001), keepHeaders, 413, "too-large", "not-run"},
		{"unknown model", "/v1/chat/completions", strings.Replace(body, `"m"`, `"n"`, 1), keepHeaders, 404, "unknown-model", "not-run"},
		{"unknown adapter", "/v1/chat/completions", strings.Replace(body, `"m"`, `"m","adapter":"x"`, 1), keepHeaders, 404, "unknown-model", "not-run"},
		{"no messages", "/v1/chat/completions", `{"model":"m"}`, keepHeaders, 400, "bad-request", "not-run"},
		{"max tokens", "/v1/chat/completions", strings.Replace(body, `"m"`, `"m","max_tokens":-1`, 1), keepHeaders, 400, "bad-request", "not-run"},
		{"no timeout", "/v1/chat/completions", body, func(h http.Header) { h.Del(callers.TimeoutHeader) }, 400, "bad-request", "not-run"},
		{"negative timeout", "/v1/chat/completions", body, withHeader(callers.TimeoutHeader, "-1s"), 400, "bad-request", "not-run"},
		{"timeout over the limit", "/v1/chat/completions", body, withHeader(callers.TimeoutHeader, "900h"), 400, "bad-request", "not-run"},
		{"bad origin", "/v1/services/s/m", "", withHeader(callers.OriginHeader, "x"), 400, "bad-request", "not-run"},
		{"long key", "/v1/services/s/m", "", withHeader(callers.IdempotencyKeyHeader, strings.Repeat("k", 300)), 400, "bad-request", "not-run"},
		{"origin gone", "/v1/services/s/m", "", keepHeaders, 502, "origin-gone", "may-have-run"},
	}
	h := newHandler(fakePrompts{})
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := post(h, tt.path, tt.body, tt.editHeaders)
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

func TestOnlyCompleteStreamEndsWithDone(t *testing.T) {
	complete := post(newHandler(fakePrompts{}), "/v1/chat/completions", body, keepHeaders).Body.String()
	if !strings.HasSuffix(complete, "data: [DONE]\n\n") || strings.Count(complete, "data: {") != 2 {
		t.Errorf("complete stream: %s", complete)
	}
	failure := catkinspindle.Fail(catkinspindle.MayHaveRun, catkinspindle.ReasonDeadline, "late").WithRetryAfter(2 * time.Second)
	truncated := post(newHandler(fakePrompts{err: failure}), "/v1/chat/completions", body, keepHeaders).Body.String()
	if strings.Contains(truncated, "[DONE]") || !strings.Contains(truncated, `"verdict":"may-have-run","retry-after":2`) {
		t.Errorf("failed stream: %s", truncated)
	}
	unstreamed := post(newHandler(fakePrompts{err: failure}), "/v1/chat/completions", strings.Replace(body, "true", "false", 1), keepHeaders)
	if diff := cmp.Diff([]any{504, "2"}, []any{unstreamed.Code, unstreamed.Header().Get("Retry-After")}); diff != "" {
		t.Error(diff)
	}
}

func FuzzChat(f *testing.F) {
	f.Add(body, "5s")
	f.Add(`{"model":"m","messages":[{}],"max_tokens":1e9}`, "1h1m")
	f.Add("[]", "")
	h := newHandler(fakePrompts{})
	f.Fuzz(func(t *testing.T, body, timeout string) {
		w := post(h, "/v1/chat/completions", body, func(h http.Header) { h.Set(callers.TimeoutHeader, timeout) })
		if w.Code == http.StatusInternalServerError {
			t.Error(w.Body)
		}
	})
}

// A caller learns how long an idle connection is kept, and a stop refuses what arrives on it.
func TestIdleConnectionsAreStatedAndRefusedAtAStop(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	s := newServer(address, fakePrompts{})
	if err := s.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	const request = "GET /v1/addresses HTTP/1.1\r\nHost: h\r\n\r\n"
	reader := bufio.NewReader(c)
	send := func() *http.Response {
		t.Helper()
		if _, err := io.WriteString(c, request); err != nil {
			t.Fatal(err)
		}
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			t.Fatal(err)
		}
		return resp
	}
	if diff := cmp.Diff("timeout=120", send().Header.Get("Keep-Alive")); diff != "" {
		t.Errorf("Keep-Alive (-want +got):\n%s", diff)
	}
	var group errgroup.Group
	group.Go(func() error { return s.Stop(t.Context()) })
	if _, err := reader.Peek(1); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(http.StatusRequestTimeout, send().StatusCode); diff != "" {
		t.Errorf("status of a request that crosses the stop (-want +got):\n%s", diff)
	}
	if err := c.Close(); err != nil {
		t.Error(err)
	}
	if err := group.Wait(); err != nil {
		t.Error(err)
	}
}

// slowActions answers a call after a time and records whether its context was cancelled before.
type slowActions struct {
	fakeActions
	cancelled []bool
}

func (a *slowActions) Call(ctx context.Context, _ catkinspindle.Action) (catkinspindle.PlainReply, error) {
	time.Sleep(100 * time.Millisecond)
	a.cancelled = append(a.cancelled, errors.Is(ctx.Err(), context.Canceled))
	return catkinspindle.PlainReply{Status: http.StatusOK}, nil
}

// A request without a body that lasts as long as a body may take to arrive is not cancelled, nor is the
// next one on its connection.
func TestReadTimeoutCancelsNoRequests(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	actions := &slowActions{}
	s := newServerWithActions(address, fakePrompts{}, actions, 50*time.Millisecond)
	if err := s.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	transport := &http.Transport{}
	for range 2 {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address+"/v1/services/s/m", http.NoBody)
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("Authorization", "Bearer "+key)
		req.Header.Set(callers.TimeoutHeader, "50ms")
		resp, err := transport.RoundTrip(req)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			t.Fatal(err)
		}
	}
	transport.CloseIdleConnections()
	if err := s.Stop(t.Context()); err != nil {
		t.Error(err)
	}
	if diff := cmp.Diff([]bool{false, false}, actions.cancelled); diff != "" {
		t.Errorf("calls that were cancelled (-want +got):\n%s", diff)
	}
}
