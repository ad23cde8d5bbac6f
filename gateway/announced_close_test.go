package gateway_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/gateway"
)

// stoppingSender answers with a status after the node has begun to stop.
type stoppingSender struct {
	longAnswer
	gateway **gateway.Gateway
}

func (s stoppingSender) Send(ctx context.Context, e catkinspindle.Envelope, a catkinspindle.Attempt, fresh bool) (*catkinspindle.Answer, error) {
	(*s.gateway).CloseConnections()
	if s.status == 0 {
		return nil, catkinspindle.Fail(catkinspindle.MayHaveRun, catkinspindle.ReasonBackendFailed, "broken")
	}
	return s.longAnswer.Send(ctx, e, a, fresh)
}

// The callers of requests that are in flight when a stop begins are asked to close their connections.
func TestAnswersInFlightAtAStopAnnounceTheClose(t *testing.T) {
	for name, status := range map[string]int{"answer": http.StatusOK, "failure": 0} {
		t.Run(name, func(t *testing.T) {
			var g *gateway.Gateway
			var server *httptest.Server
			g, server = newServerWithSender(t, &fakeCluster{}, stoppingSender{longAnswer{status, "x", 10, true}, &g}, 10, true)
			req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL+"/any/x", http.NoBody)
			if err != nil {
				t.Fatal(err)
			}
			req.Host = "h.example"
			req.Header.Set("Attempt-Id", "a")
			req.Header.Set("Authorization", "Bearer k")
			resp, err := server.Client().Do(req)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := io.Copy(io.Discard, resp.Body); err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(true, resp.Close); diff != "" {
				t.Errorf("status %d, close announced (-want +got):\n%s", resp.StatusCode, diff)
			}
		})
	}
}
