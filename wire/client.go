// Package wire sends HTTP requests of which it tells whether any byte of them
// may have reached the other side.
package wire

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/catkinspindle/catkinspindle"
)

// Client sends requests over connections of its own.
type Client struct {
	http *http.Client
}

const (
	// maxReport bounds the body of a refusal in bytes.
	maxReport = 64 << 10
	// maxJSON bounds an answer that is decoded, and maxHeader the head of any answer,
	// both in bytes.
	maxJSON   = 16 << 20
	maxHeader = 64 << 10
)

// Option changes a client.
type Option func(*http.Transport)

// WithoutReuse gives each request a connection of its own. Where an answer does not
// name its request, a late second copy of an earlier answer on a kept connection could
// pass for the next one's.
func WithoutReuse() Option { return func(t *http.Transport) { t.DisableKeepAlives = true } }

// New returns a client that connects within dialTimeout.
func New(dialTimeout time.Duration, opts ...Option) *Client {
	transport := &http.Transport{
		DialContext:         dialer(dialTimeout),
		MaxIdleConnsPerHost: 64,
		IdleConnTimeout:     30 * time.Second,

		MaxResponseHeaderBytes: maxHeader,
	}
	for _, opt := range opts {
		opt(transport)
	}
	return &Client{http: &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// Do sends req once. An error is a Failure: NotRun when no byte was written,
// MayHaveRun otherwise. The caller closes the response's body.
//
// The transport repeats a request on its own when a reused connection breaks
// and the request counts as idempotent. A POST without an Idempotency-Key
// header does not count as such, so that header must not be set on req.
func (c *Client) Do(req *http.Request) (*http.Response, error) {
	var written atomic.Bool
	trace := &httptrace.ClientTrace{
		WroteHeaderField: func(string, []string) { written.Store(true) },
		WroteHeaders:     func() { written.Store(true) },
		WroteRequest:     func(httptrace.WroteRequestInfo) { written.Store(true) },
	}
	resp, err := c.http.Do(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err == nil {
		return resp, nil
	}
	if written.Load() {
		return nil, catkinspindle.Fail(catkinspindle.MayHaveRun, catkinspindle.ReasonBackendFailed, "%w", err)
	}
	return nil, catkinspindle.Fail(catkinspindle.NotRun, catkinspindle.ReasonNoBackend, "%w", err)
}

// Refusal returns the failure that a response with an error status reports.
// Without a report the request may have run.
func Refusal(resp *http.Response) error {
	var report catkinspindle.FailureReport
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxReport))
	if err == nil {
		err = json.Unmarshal(data, &report)
	}
	if err != nil || report.Verdict == "" {
		return catkinspindle.Fail(catkinspindle.MayHaveRun, catkinspindle.ReasonBackendFailed, "status %s", resp.Status)
	}
	return report.Failure()
}

// JSON sends a request whose answer is decoded into v unless v is nil.
func (c *Client) JSON(ctx context.Context, method, url string, body io.Reader, v any) error {
	req, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return err
	}
	resp, err := c.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode/100 != 2 {
		return errors.Join(statusError(resp.StatusCode), Refusal(resp))
	}
	if v == nil {
		return nil
	}
	limited := &io.LimitedReader{R: resp.Body, N: maxJSON}
	if err := json.NewDecoder(limited).Decode(v); err != nil {
		if limited.N <= 0 {
			return fmt.Errorf("answer is over %d bytes", maxJSON)
		}
		return err
	}
	return nil
}

func statusError(status int) error {
	switch status {
	case http.StatusNotFound:
		return catkinspindle.ErrNotFound
	case http.StatusConflict:
		return catkinspindle.ErrConflict
	}
	return nil
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }
