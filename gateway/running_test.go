package gateway_test

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/google/go-cmp/cmp"

	"github.com/catkinspindle/catkinspindle/gateway"
	"github.com/catkinspindle/catkinspindle/platform"
	"github.com/catkinspindle/catkinspindle/retries"
)

// The log of a failed attempt says whether the replica or the node ended it.
func TestLogTellsAttemptsThatTheNodeEnds(t *testing.T) {
	const first = "id: 1\ndata: a\n\n"
	tests := map[string]struct {
		step scriptedAnswer
		want string
	}{
		"connection broke": {scriptedAnswer{status: 200, body: first, broken: true}, "replica"},
		"silent replica":   {scriptedAnswer{status: 200, body: first, silent: true}, "node"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var log bytes.Buffer
				w := &fakeCluster{steps: []scriptedAnswer{tt.step, {status: 200, body: "id: 2\ndata: b\n\n"}}}
				newGateway(w, w, 9, true)
				g := gateway.New(w.view, w, w, w, retries.New(testBudget, 1), gateway.Codec{Key: platform.APIKey, Timeout: platform.RequestTimeout, Request: platform.DecodeRequest}, slog.New(slog.NewJSONHandler(&log, nil)))
				g.ServeHTTP(deadlineRecorder{httptest.NewRecorder()}, newRequest("/quick/"))
				line, _, _ := strings.Cut(log.String(), "\n")
				var entry struct {
					EndedBy string `json:"ended-by"`
				}
				if err := json.Unmarshal([]byte(line), &entry); err != nil {
					t.Fatalf("%q: %v", line, err)
				}
				endedBy, _, _ := strings.Cut(entry.EndedBy, ":")
				if diff := cmp.Diff(tt.want, endedBy); diff != "" {
					t.Errorf("ended by (-want +got):\n%s", diff)
				}
			})
		})
	}
}
