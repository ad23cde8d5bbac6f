package replicas_test

import (
	"net/http"
	"strings"
	"testing"

	"github.com/catkinspindle/catkinspindle"
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

// TestFieldNames guards against lines whose name is no token: net/http takes blanks for a part of the
// name, and a line that begins with one for a part of the line before. A body is then not that of
// the replica, and its statements are lost.
func TestFieldNames(t *testing.T) {
	const (
		ok       = "HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nResponse-Seal: s\r\n"
		length   = "Content-Length: 4\r\n"
		chunks   = "\r\n4\r\nbody\r\n0\r\n\r\n"
		chunked  = "Transfer-Encoding: chunked\r\n"
		interim  = "HTTP/1.1 103 Early Hints\r\n"
		trailers = ok + chunked + "\r\n4\r\nbody\r\n0\r\n"
	)
	tests := map[string]struct {
		response string
		valid    bool
	}{
		"all characters of a token":          {ok + "x!#$%&'*+-.^_`|~0: y\r\n" + length + "\r\nbody", true},
		"no blank after the colon":           {ok + "X:y\r\n" + length + "\r\nbody", true},
		"lines that end with a line feed":    {strings.ReplaceAll(ok+length, "\r", "") + "\nbody", true},
		"empty value":                        {ok + "X:\r\n" + length + "\r\nbody", true},
		"blank in a name":                    {ok + "X y: z\r\n" + length + "\r\nbody", false},
		"blank before the colon":             {ok + "X : z\r\n" + length + "\r\nbody", false},
		"blank before the colon of a length": {ok + "Content-Length : 2\r\n\r\nbody", false},
		"blank before the colon of chunks":   {ok + "Transfer-Encoding : chunked\r\n" + chunks, false},
		"blank before the colon of a coding": {ok + "Content-Encoding : gzip\r\n" + length + "\r\nbody", false},
		"blank at the begin of a line":       {ok + " X: y\r\n" + length + "\r\nbody", false},
		"blank at the begin of a length":     {ok + " Content-Length: 2\r\n\r\nbody", false},
		"tab at the begin of a line":         {ok + "\tX: y\r\n" + length + "\r\nbody", false},
		"tab in a name":                      {ok + "X\ty: z\r\n" + length + "\r\nbody", false},
		"zero byte in a name":                {ok + "X\x00y: z\r\n" + length + "\r\nbody", false},
		"delete in a name":                   {ok + "X\x7f: z\r\n" + length + "\r\nbody", false},
		"carriage return in a name":          {ok + "X\ry: z\r\n" + length + "\r\nbody", false},
		"byte over ASCII in a name":          {ok + "X\xe9: z\r\n" + length + "\r\nbody", false},
		"empty name":                         {ok + ": z\r\n" + length + "\r\nbody", false},
		"no colon":                           {ok + "X\r\n" + length + "\r\nbody", false},
		"blank in a name of an interim head": {interim + "X y: z\r\n\r\n" + okResponse("a", "body"), false},
		"blank in a name of a stale head":    {strings.Replace(okResponse("old", "x"), "Response-Seal", "X y: z\r\nResponse-Seal", 1) + okResponse("a", "body"), false},
		"blank in a name after a stale one":  {okResponse("old", "x") + ok + "X y: z\r\n" + length + "\r\nbody", false},
		// Trailers are discarded, and their lines end at the empty one whatever their names are.
		"blank in a name of a trailer": {trailers + "X y: z\r\n\r\n", true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			got, err := send(t, newClient(), newScriptedServer(t, rawResponse{tt.response, true}), http.MethodPost, "a")
			if (err == nil) != tt.valid || tt.valid && got != "body" {
				t.Errorf("body %q, error %v; want an answer: %t", got, err, tt.valid)
			}
		})
	}
}

// A broken head makes no promise that the request was not run.
func TestRefusalWithMalformedHeadMayHaveRun(t *testing.T) {
	s := newScriptedServer(t, rawResponse{"HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nX y: z\r\nContent-Length: 0\r\n\r\n", true})
	_, err := send(t, newClient(), s, http.MethodPost, "a")
	if f := catkinspindle.AsFailure(err); err == nil || f.Verdict != catkinspindle.MayHaveRun {
		t.Errorf("error %v, want the verdict may-have-run", err)
	}
}
