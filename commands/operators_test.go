package commands_test

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/catkinspindle/catkinspindle/commands"
)

// TestEndlessAnswersToOperators guards against reading whatever a node sends.
func TestEndlessAnswersToOperators(t *testing.T) {
	const maxEndless = 64 << 20
	for _, status := range []int{http.StatusOK, http.StatusConflict} {
		sent := 0
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(status)
			_, err := io.WriteString(w, `{"message":"`)
			for err == nil && sent < maxEndless {
				var n int
				n, err = io.WriteString(w, strings.Repeat("x", 4<<10))
				sent += n
			}
		}))
		var out, errs bytes.Buffer
		code := commands.Execute([]string{"dump", "--operators", server.URL}, &out, &errs)
		server.Close()
		if code == 0 || sent >= maxEndless {
			t.Errorf("status %d: exit code %d after %d bytes: %s", status, code, sent, errs.String())
		}
	}
}
