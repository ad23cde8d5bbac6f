package gateway_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/catkinspindle/catkinspindle"
)

// Guards against requests without a key, or with one that is no bearer key, that run because the
// configuration lists an empty key or that text.
func TestRequestsWithoutABearerKeyAreRefused(t *testing.T) {
	tests := map[string]struct {
		authorization []string
		want          int
	}{
		"no header":      {nil, http.StatusUnauthorized},
		"empty header":   {[]string{""}, http.StatusUnauthorized},
		"empty key":      {[]string{"Bearer "}, http.StatusUnauthorized},
		"no scheme":      {[]string{"k"}, http.StatusUnauthorized},
		"another scheme": {[]string{"Basic k"}, http.StatusUnauthorized},
		"two headers":    {[]string{"Bearer k", "Bearer k"}, http.StatusUnauthorized},
		"known key":      {[]string{"Bearer k"}, http.StatusOK},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			w := &fakeCluster{steps: []scriptedAnswer{okAnswer}}
			g := newGateway(w, w, 9, true)
			r := routing()
			r.Version++
			r.WorkspaceKeys = []catkinspindle.WorkspaceKeys{{Workspace: "w", Keys: []string{"", "k", "Basic k"}}}
			w.view.SetRouting(r)
			req := newRequest("/any/")
			req.Header["Authorization"] = tt.authorization
			answer := httptest.NewRecorder()
			g.ServeHTTP(answer, req)
			if diff := cmp.Diff(tt.want, answer.Code); diff != "" {
				t.Errorf("status (-want +got):\n%s", diff)
			}
			if ran := len(w.attempts) > 0; ran != (tt.want == http.StatusOK) {
				t.Errorf("sent to a replica: %t", ran)
			}
		})
	}
}
