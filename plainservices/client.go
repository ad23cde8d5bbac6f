// Package plainservices implements an HTTP client of plain services' replicas.
package plainservices

import (
	"bytes"
	"context"
	"net/http"
	"net/url"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/wire"
)

// IdempotencyKeyHeader carries the caller's idempotency key to the replica.
const IdempotencyKeyHeader = "Catkinspindle-Key"

// RateLimitHeader states the rate of calls, in calls per second, that the replica accepts from
// all VMs together.
const RateLimitHeader = "Catkinspindle-Rate-Limit"

// maxReplyBytes limits the body of a reply in bytes, so that it fits into a message between
// nodes.
const maxReplyBytes = 512 << 10

// Client is a client of one replica. It implements catkinspindle.PlainService.
type Client struct {
	baseURL string
	wire    *wire.Client
}

// New returns a client of the replica at address, an IP and port.
func New(address string, w *wire.Client) *Client {
	return &Client{baseURL: "http://" + address, wire: w}
}

// Call implements catkinspindle.PlainService.
func (c *Client) Call(ctx context.Context, call catkinspindle.PlainCall) (catkinspindle.PlainReply, error) {
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()
	target := c.baseURL + "/" + url.PathEscape(call.Service) + "/" + url.PathEscape(call.Method)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewReader(call.Body))
	if err != nil {
		return catkinspindle.PlainReply{}, catkinspindle.Fail(catkinspindle.NotRun, catkinspindle.ReasonBadRequest, "%w", err)
	}
	// The call may not be idempotent, so it is sent at most once.
	// Without GetBody the transport cannot send the request a second time.
	req.GetBody = nil
	if call.Key != "" {
		req.Header.Set(IdempotencyKeyHeader, call.Key)
	}
	resp, err := c.wire.Do(req)
	if err != nil {
		return catkinspindle.PlainReply{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	var limit catkinspindle.RateLimit
	if v := resp.Header.Values(RateLimitHeader); len(v) > 0 {
		limit = catkinspindle.ParseRateLimit(v[0])
	}
	if resp.StatusCode == http.StatusServiceUnavailable {
		return catkinspindle.PlainReply{RateLimit: limit}, wire.FailureFromResponse(resp)
	}
	body, err := c.wire.ReadBody(resp, maxReplyBytes)
	if err != nil {
		return catkinspindle.PlainReply{}, catkinspindle.Fail(catkinspindle.MayHaveRun, catkinspindle.ReasonBackendFailed, "reply: %w", err)
	}
	return catkinspindle.PlainReply{Status: resp.StatusCode, Body: body, RateLimit: limit}, nil
}
