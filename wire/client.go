// Package wire provides an HTTP client whose errors report whether any byte of the request
// may have reached the server.
package wire

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/http1"
	"github.com/catkinspindle/catkinspindle/readbudget"
)

// Client is an HTTP client with its own connection pool. It follows no redirects.
type Client struct {
	httpClient *http.Client
	// reading bounds the answers that are being read; maxJSON is the maximum size of a JSON answer.
	reading *readbudget.Budget
	maxJSON int
}

const (
	// maxReading bounds the buffers of all answers that a client is reading, in bytes: a fifth of
	// the memory of the smallest VM.
	maxReading = 32 << 20
	// maxErrorBodyBytes is the maximum size of the body of an error response in bytes.
	maxErrorBodyBytes = 64 << 10
	// defaultMaxJSON is the maximum size of a JSON response body, maxHeaderBytes that of the
	// headers of any response, both in bytes.
	defaultMaxJSON = 16 << 20
	maxHeaderBytes = 64 << 10
)

// Option configures a client.
type Option func(*Client, *http.Transport)

// WithoutKeepAlive disables keep-alive, so that each request has its own connection. If
// responses do not carry the ID of their request, a late duplicate of an earlier response
// on a reused connection could be mistaken for the response to the next request.
func WithoutKeepAlive() Option {
	return func(_ *Client, t *http.Transport) { t.DisableKeepAlives = true }
}

// WithMaxJSON sets the maximum size of a JSON response body in bytes. The default is 16 MiB.
func WithMaxJSON(n int) Option { return func(c *Client, _ *http.Transport) { c.maxJSON = n } }

// WithConnector sets how connections are opened. The default dials directly.
func WithConnector(c catkinspindle.Connector) Option {
	return func(_ *Client, t *http.Transport) {
		t.DialContext = http1.Dial(func(ctx context.Context, _, address string) (net.Conn, error) { return c.Connect(ctx, address) })
	}
}

// NewClient returns a client whose connection attempts time out after dialTimeout.
func NewClient(dialTimeout time.Duration, opts ...Option) *Client {
	transport := &http.Transport{
		DialContext:         http1.Dial(dialContext(dialTimeout)),
		MaxIdleConnsPerHost: 64,
		IdleConnTimeout:     30 * time.Second,

		MaxResponseHeaderBytes: maxHeaderBytes,
	}
	c := &Client{reading: readbudget.New(maxReading), maxJSON: defaultMaxJSON, httpClient: &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
	for _, opt := range opts {
		opt(c, transport)
	}
	return c
}

// Do sends req once. An error is a catkinspindle.Failure: NotRun if no byte was written,
// MayHaveRun otherwise. The caller must close the response body.
//
// net/http retries a request by itself if a reused connection breaks and the request counts
// as idempotent. A POST without an Idempotency-Key header does not count as idempotent, so
// that header must not be set on req.
func (c *Client) Do(req *http.Request) (*http.Response, error) {
	var written atomic.Bool
	trace := &httptrace.ClientTrace{
		WroteHeaderField: func(string, []string) { written.Store(true) },
		WroteHeaders:     func() { written.Store(true) },
		WroteRequest:     func(httptrace.WroteRequestInfo) { written.Store(true) },
	}
	resp, err := c.httpClient.Do(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err == nil {
		return resp, nil
	}
	if written.Load() {
		return nil, catkinspindle.Fail(catkinspindle.MayHaveRun, catkinspindle.ReasonBackendFailed, "%w", err)
	}
	return nil, catkinspindle.Fail(catkinspindle.NotRun, catkinspindle.ReasonNoBackend, "%w", err)
}

// FailureFromResponse returns the failure that the body of a response with an error status
// reports. If the body is not a valid report, it returns a MayHaveRun failure.
func FailureFromResponse(resp *http.Response) error {
	var report catkinspindle.FailureReport
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxErrorBodyBytes))
	if err == nil {
		err = json.Unmarshal(data, &report)
	}
	if err != nil || report.Verdict == "" {
		return catkinspindle.Fail(catkinspindle.MayHaveRun, catkinspindle.ReasonBackendFailed, "status %s", resp.Status)
	}
	return report.Failure()
}

// DoJSON sends a request and decodes the JSON response into v unless v is nil. For a status
// other than 2xx it returns the reported failure, joined with ErrNotFound for 404 or
// ErrConflict for 409. It also returns an error if the response is over the limit of WithMaxJSON,
// or if the client is reading too much at the same time.
func (c *Client) DoJSON(ctx context.Context, method, url string, body io.Reader, v any) error {
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
		return errors.Join(statusError(resp.StatusCode), FailureFromResponse(resp))
	}
	if v == nil {
		return nil
	}
	limited := c.reading.Limit(resp.Body, c.maxJSON)
	defer func() { _ = limited.Close() }() // It returns no error.
	return json.NewDecoder(limited).Decode(v)
}

// ReadBody reads the body of a response of at most limit bytes. It returns an error if the client
// is reading too much at the same time.
func (c *Client) ReadBody(resp *http.Response, limit int) ([]byte, error) {
	limited := c.reading.Limit(resp.Body, limit)
	defer func() { _ = limited.Close() }() // It returns no error.
	return io.ReadAll(limited)
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

// CloseIdleConnections closes idle connections.
func (c *Client) CloseIdleConnections() { c.httpClient.CloseIdleConnections() }
