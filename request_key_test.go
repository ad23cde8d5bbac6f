package catkinspindle_test

import (
	"testing"

	"github.com/catkinspindle/catkinspindle"
)

func TestWholeRequestKeyDiffersByCallerPathAndBody(t *testing.T) {
	e := catkinspindle.Envelope{ID: "1", Method: "POST", Host: "h", Target: "/p/x", Body: []byte("body")}
	tests := map[string]struct {
		envelope  catkinspindle.Envelope
		workspace string
		same      bool
	}{
		"repetition with another ID": {catkinspindle.Envelope{ID: "2", Method: "POST", Host: "h", Target: "/p/x", Body: []byte("body")}, "w", true},
		"another workspace":          {e, "w2", false},
		"another path":               {catkinspindle.Envelope{Method: "POST", Host: "h", Target: "/p/", Body: []byte("xbody")}, "w", false},
		"another body":               {catkinspindle.Envelope{Method: "POST", Host: "h", Target: "/p/x", Body: []byte("body2")}, "w", false},
		"boundary of host and path":  {catkinspindle.Envelope{Method: "POST", Host: "h/p", Target: "/x", Body: []byte("body")}, "w", false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			same := catkinspindle.WholeRequestKey(tt.envelope, tt.workspace) == catkinspindle.WholeRequestKey(e, "w")
			if same != tt.same {
				t.Errorf("same key: %t, want %t", same, tt.same)
			}
		})
	}
}
