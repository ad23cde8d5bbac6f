// Package entries implements a caller's client. It requests the addresses of the nodes to
// use, caches them for their lifetime and sends requests to the first of them.
package entries

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/callers"
	"github.com/catkinspindle/catkinspindle/http1"
	"github.com/catkinspindle/catkinspindle/wire"
)

// Size limits of what nodes send, in bytes.
const (
	maxHeaderBytes    = 64 << 10
	maxFailureBytes   = 64 << 10
	maxAddressesBytes = 1 << 20
	maxAnswerBytes    = 16 << 20
	// maxReplyBytes is above the 512 KiB that nodes accept from a plain service.
	maxReplyBytes = 1 << 20
)

// Client is a client that calls with the API key of one workspace.
type Client struct {
	apiKey     string
	httpClient *http.Client
	seedURLs   []string

	mu         sync.Mutex
	addresses  []string
	origin     string
	validUntil time.Time
}

// New returns a client with a workspace's API key. It requests addresses from the nodes
// whose URLs it has cached and, if none of them answers, from those at urls.
func New(apiKey string, urls ...string) *Client {
	return &Client{
		apiKey:   apiKey,
		seedURLs: urls,
		httpClient: &http.Client{Transport: &http.Transport{
			DialContext:            http1.Dial((&net.Dialer{}).DialContext),
			MaxIdleConnsPerHost:    256,
			IdleConnTimeout:        5 * time.Second,
			MaxResponseHeaderBytes: maxHeaderBytes,
		}},
	}
}

// Answer is the answer to a prompt, with times as measured by the caller.
type Answer struct {
	Text string
	// FirstToken is the time to the first token.
	FirstToken time.Duration
	// Gaps are the times between successive tokens, beginning after the first token.
	Gaps []time.Duration
}

type addressesResponse struct {
	Lifetime  string `json:"lifetime"`
	Origin    string `json:"origin"`
	Addresses []struct {
		URL string `json:"url"`
	} `json:"addresses"`
}

// Addresses returns the URLs to use at present, best first, and the origin to send with
// idempotency keys. It refreshes them when their lifetime has ended.
func (c *Client) Addresses(ctx context.Context) (urls []string, origin string, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().Before(c.validUntil) {
		return c.addresses, c.origin, nil
	}
	err = errors.New("no node URL known")
	for _, url := range append(c.addresses, c.seedURLs...) {
		if err = c.refresh(ctx, url); err == nil {
			return c.addresses, c.origin, nil
		}
	}
	return nil, "", fmt.Errorf("addresses: %w", err)
}

func (c *Client) refresh(ctx context.Context, url string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url+"/v1/addresses", nil)
	if err != nil {
		return err
	}
	resp, err := c.httpClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return decodeFailure(resp)
	}
	var a addressesResponse
	if err := json.NewDecoder(wire.Limit(resp.Body, maxAddressesBytes)).Decode(&a); err != nil {
		return err
	}
	lifetime, err := time.ParseDuration(a.Lifetime)
	if err != nil {
		return err
	}
	var urls []string
	for _, address := range a.Addresses {
		urls = append(urls, address.URL)
	}
	c.addresses, c.origin, c.validUntil = urls, a.Origin, time.Now().Add(lifetime)
	return nil
}

// decodeFailure decodes the response of a failed request.
func decodeFailure(resp *http.Response) error {
	var b failureResponse
	if err := json.NewDecoder(wire.Limit(resp.Body, maxFailureBytes)).Decode(&b); err != nil || b.Error == nil {
		return catkinspindle.Fail(catkinspindle.MayHaveRun, catkinspindle.ReasonBackendFailed, "status %s", resp.Status)
	}
	return b.Error.failure()
}

type failureResponse struct {
	Error *failureDetail `json:"error"`
}

type failureDetail struct {
	Message    string               `json:"message"`
	Type       catkinspindle.Reason `json:"type"`
	Verdict    string               `json:"verdict"`
	RetryAfter float64              `json:"retry-after"`
}

func (d *failureDetail) failure() *catkinspindle.Failure {
	f := catkinspindle.Fail(catkinspindle.ParseVerdict(d.Verdict), d.Type, "%s", d.Message)
	return f.WithRetryAfter(time.Duration(d.RetryAfter * float64(time.Second)))
}

type chatRequest struct {
	Model     string        `json:"model"`
	Adapter   string        `json:"adapter,omitempty"`
	Messages  []chatMessage `json:"messages"`
	MaxTokens int           `json:"max_tokens"`
	Stream    bool          `json:"stream"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Complete sends a prompt to the first address and reads the streamed answer. An answer that
// ends without the end marker is an error.
func (c *Client) Complete(ctx context.Context, req catkinspindle.Request) (Answer, error) {
	urls, _, err := c.Addresses(ctx)
	if err != nil {
		return Answer{}, catkinspindle.Fail(catkinspindle.NotRun, catkinspindle.ReasonNoBackend, "%w", err)
	}
	return c.CompleteAt(ctx, urls[0], req)
}

// CompleteAt is Complete for the node at url.
func (c *Client) CompleteAt(ctx context.Context, url string, req catkinspindle.Request) (Answer, error) {
	body, err := json.Marshal(chatRequest{
		Model:     req.Model,
		Adapter:   req.Adapter,
		Messages:  []chatMessage{{Role: "user", Content: req.Prompt}},
		MaxTokens: req.MaxTokens,
		Stream:    true,
	})
	if err != nil {
		return Answer{}, err
	}
	start := time.Now()
	resp, err := c.post(ctx, url+"/v1/chat/completions", body, time.Until(req.Deadline), nil)
	if err != nil {
		return Answer{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	return readEvents(wire.Limit(resp.Body, maxAnswerBytes), start)
}

// post sends a request and returns the response if its status is 2xx, otherwise the failure
// that it describes.
func (c *Client) post(ctx context.Context, url string, body []byte, timeout time.Duration, header http.Header) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	if header != nil {
		req.Header = header
	}
	req.Header.Set("Authorization", "Bearer "+c.apiKey)
	req.Header.Set(callers.TimeoutHeader, timeout.String())
	resp, err := c.httpClient.Do(req)
	if err != nil {
		return nil, catkinspindle.Fail(catkinspindle.MayHaveRun, catkinspindle.ReasonBackendFailed, "%w", err)
	}
	if resp.StatusCode/100 != 2 {
		defer func() { _ = resp.Body.Close() }()
		return nil, decodeFailure(resp)
	}
	return resp, nil
}

type chatEvent struct {
	Error   *failureDetail `json:"error"`
	Choices []struct {
		Delta chatMessage `json:"delta"`
	} `json:"choices"`
}

const doneMarker = "[DONE]"

func readEvents(r io.Reader, start time.Time) (Answer, error) {
	var a Answer
	var text strings.Builder
	last := start
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == doneMarker {
			a.Text = text.String()
			return a, nil
		}
		var e chatEvent
		if err := json.Unmarshal([]byte(data), &e); err != nil {
			return a, fmt.Errorf("event: %w", err)
		}
		if e.Error != nil {
			return a, e.Error.failure()
		}
		for _, choice := range e.Choices {
			text.WriteString(choice.Delta.Content)
		}
		now := time.Now()
		if a.FirstToken == 0 {
			a.FirstToken = now.Sub(start)
		} else {
			a.Gaps = append(a.Gaps, now.Sub(last))
		}
		last = now
	}
	return a, catkinspindle.Fail(catkinspindle.MayHaveRun, catkinspindle.ReasonBackendFailed, "answer truncated before the end marker: %w", errors.Join(lines.Err(), io.ErrUnexpectedEOF))
}

// Call calls a method of a plain service through the first address. A call may be repeated
// with the same idempotency key and the origin under which the key was first used.
func (c *Client) Call(ctx context.Context, call catkinspindle.PlainCall, origin string) (catkinspindle.PlainReply, error) {
	urls, _, err := c.Addresses(ctx)
	if err != nil {
		return catkinspindle.PlainReply{}, catkinspindle.Fail(catkinspindle.NotRun, catkinspindle.ReasonNoBackend, "%w", err)
	}
	return c.CallAt(ctx, urls[0], call, origin)
}

// CallAt is Call for the node at url.
func (c *Client) CallAt(ctx context.Context, url string, call catkinspindle.PlainCall, origin string) (catkinspindle.PlainReply, error) {
	header := http.Header{}
	if call.Key != "" {
		header.Set(callers.IdempotencyKeyHeader, call.Key)
	}
	if origin != "" {
		header.Set(callers.OriginHeader, origin)
	}
	target := url + "/v1/services/" + call.Service + "/" + call.Method
	resp, err := c.post(ctx, target, call.Body, time.Until(call.Deadline), header)
	if err != nil {
		return catkinspindle.PlainReply{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(wire.Limit(resp.Body, maxReplyBytes))
	if err != nil {
		return catkinspindle.PlainReply{}, catkinspindle.Fail(catkinspindle.MayHaveRun, catkinspindle.ReasonBackendFailed, "%w", err)
	}
	return catkinspindle.PlainReply{Status: resp.StatusCode, Body: data}, nil
}
