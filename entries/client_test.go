package entries_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/entries"
)

// maxEndless is where the endless answers of the tests stop, so that a client without a limit
// does not fill the memory of the machine.
const maxEndless = 64 << 20

// startEndless starts a node that answers with a status, a beginning and bytes without an end. It
// returns its URL and a function that stops it and returns the number of bytes sent.
func startEndless(t *testing.T, status int, beginning, rest string) (url string, stop func() int) {
	t.Helper()
	sent := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, err := io.WriteString(w, beginning)
		for err == nil && sent < maxEndless {
			var n int
			n, err = io.WriteString(w, rest)
			sent += n
		}
	}))
	return server.URL, func() int {
		server.Close()
		return sent
	}
}

// TestEndlessAnswersOfNodes guards against reading whatever a node sends.
func TestEndlessAnswersOfNodes(t *testing.T) {
	const event = `data: {"choices":[{"delta":{"content":"x"}}]}` + "\n\n"
	complete := func(ctx context.Context, c *entries.Client, url string) error {
		_, err := c.CompleteAt(ctx, url, catkinspindle.Request{Deadline: time.Now().Add(time.Minute)})
		return err
	}
	call := func(ctx context.Context, c *entries.Client, url string) error {
		_, err := c.CallAt(ctx, url, catkinspindle.PlainCall{Service: "s", Method: "m", Deadline: time.Now().Add(time.Minute)}, "")
		return err
	}
	addresses := func(ctx context.Context, c *entries.Client, _ string) error {
		_, _, err := c.Addresses(ctx)
		return err
	}
	tests := map[string]struct {
		status          int
		beginning, rest string
		do              func(context.Context, *entries.Client, string) error
	}{
		"addresses": {http.StatusOK, `{"origin":"`, strings.Repeat("x", 4<<10), addresses},
		"reply":     {http.StatusOK, "", strings.Repeat("x", 4<<10), call},
		"failure":   {http.StatusServiceUnavailable, `{"error":{"message":"`, strings.Repeat("x", 4<<10), call},
		"event":     {http.StatusOK, "data: ", strings.Repeat("x", 4<<10), complete},
		"events":    {http.StatusOK, "", strings.Repeat(event, 64), complete},
		"comments":  {http.StatusOK, "", strings.Repeat(": x\n", 1<<10), complete},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			url, stop := startEndless(t, tt.status, tt.beginning, tt.rest)
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			err := tt.do(ctx, entries.New("key", url), url)
			if sent := stop(); sent >= maxEndless || err == nil {
				t.Errorf("read %d bytes, then %v", sent, err)
			}
		})
	}
}
