package replicas_test

import (
	"net/http"
	"testing"
)

// TestStatuses guards against a head without a valid status that is taken for an answer or skipped
// like an interim response, so that the answer is read from its body.
func TestStatuses(t *testing.T) {
	tests := map[string]struct {
		status string
		valid  bool
	}{
		"interim":                {"103 Early Hints", true},
		"zero":                   {"000 X", false},
		"zero, no reason":        {"000", false},
		"seven":                  {"007 X", false},
		"99":                     {"099 X", false},
		"signed":                 {"+42 X", false},
		"switching protocols":    {"101 Switching Protocols", false},
		"over the last class":    {"600 X", false},
		"largest of three digit": {"999 X", false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			first := "HTTP/1.1 " + tt.status + "\r\nAttempt-Id: a\r\nResponse-Seal: s\r\n\r\n"
			s := newScriptedServer(t, rawResponse{first + okResponse("a", "body"), true})
			got, err := send(t, newClient(), s, http.MethodPost, "a")
			if (err == nil) != tt.valid || tt.valid && got != "body" {
				t.Errorf("body %q, error %v; want an answer: %t", got, err, tt.valid)
			}
		})
	}
}
