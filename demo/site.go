package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strings"

	"github.com/catkinspindle/catkinspindle/platform/standin/replica"
	"github.com/catkinspindle/catkinspindle/platform/standin/site"
)

// siteNodes is the number of nodes of the demo site.
const siteNodes = 3

// RunSite starts a site of the users' platform with stand-in services, sends prompts of
// several lengths, breaks one answer stream, sends an action whose answer is lost, and
// prints the results.
func RunSite(ctx context.Context, out io.Writer, log *slog.Logger) (err error) {
	s, err := site.Start(ctx, siteNodes, log)
	if s != nil {
		defer func() { err = errors.Join(err, s.Close()) }()
	}
	if err != nil {
		return err
	}
	addresses, err := s.Addresses(0)
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(out, "addresses for callers: %s\n", strings.Join(addresses, ", "))
	var errs []error
	send := func(name, method, path string, tokens, want int) {
		status, body, err := s.Send(ctx, s.CallersAddress(0), "demo-"+strings.ReplaceAll(name, " ", "-"), method, path, site.Key, tokens)
		if err != nil || status != want {
			errs = append(errs, fmt.Errorf("%s: status %d, want %d, error %w", name, status, want, err))
			return
		}
		_, _ = fmt.Fprintf(out, "%-32s status %d, %d bytes\n", name+":", status, len(body))
	}
	for _, tokens := range promptLengths[:3] {
		send(fmt.Sprintf("prompt of %d tokens", tokens), http.MethodPost, "/chat/a", tokens, http.StatusOK)
	}
	s.Pool[0].SetFaults(replica.Faults{CutStreams: 1})
	for i := range len(s.Pool) {
		send(fmt.Sprintf("prompt %d beside a broken answer", i), http.MethodPost, "/chat/b", promptLengths[0], http.StatusOK)
	}
	send("read", http.MethodGet, "/read/a", 0, http.StatusOK)
	for _, r := range s.App {
		r.SetFaults(replica.Faults{LoseAnswers: 1})
	}
	send("action whose answer is lost", http.MethodPost, "/act/a", 0, http.StatusBadGateway)
	return errors.Join(errs...)
}
