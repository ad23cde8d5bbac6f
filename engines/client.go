// Package engines implements an HTTP client of the model engines.
package engines

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/wire"
)

// Client is a client of one engine. It implements catkinspindle.Engine.
type Client struct {
	baseURL          string
	streams, control *wire.Client
}

// New returns a client of the engine at address, an IP and port. It sends prompts through
// streams and all other requests through control.
func New(address string, streams, control *wire.Client) *Client {
	return &Client{baseURL: "http://" + address, streams: streams, control: control}
}

// Start implements catkinspindle.Engine.
func (c *Client) Start(ctx context.Context, s catkinspindle.StreamStart) (catkinspindle.Stream, error) {
	body, err := json.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("stream %s: %w", s.ID, err)
	}
	ctx, cancel := context.WithCancel(ctx)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.baseURL+"/streams", bytes.NewReader(body))
	if err != nil {
		cancel()
		return nil, fmt.Errorf("stream %s: %w", s.ID, err)
	}
	resp, err := c.streams.Do(req)
	if err != nil {
		cancel()
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		defer cancel()
		defer func() { _ = resp.Body.Close() }()
		return nil, wire.FailureFromResponse(resp)
	}
	limited := &io.LimitedReader{R: resp.Body}
	return &chunkStream{body: resp.Body, limited: limited, decoder: json.NewDecoder(limited), cancel: cancel}, nil
}

// Cancel implements catkinspindle.Engine.
func (c *Client) Cancel(ctx context.Context, id catkinspindle.StreamID) error {
	return c.control.DoJSON(ctx, http.MethodDelete, c.baseURL+"/streams/"+id.String(), nil, nil)
}

// Status implements catkinspindle.Engine.
func (c *Client) Status(ctx context.Context) (catkinspindle.EngineStatus, error) {
	var status catkinspindle.EngineStatus
	err := c.control.DoJSON(ctx, http.MethodGet, c.baseURL+"/status", nil, &status)
	return status, err
}

// Order implements catkinspindle.Engine.
func (c *Client) Order(ctx context.Context, o catkinspindle.Order) error {
	body, err := json.Marshal(o)
	if err != nil {
		return fmt.Errorf("order: %w", err)
	}
	return c.control.DoJSON(ctx, http.MethodPost, c.baseURL+"/orders", bytes.NewReader(body), nil)
}

// maxChunkBytes limits the bytes read while one chunk is decoded.
const maxChunkBytes = 1 << 20

// chunkStream decodes the response to a prompt: chunks of JSON, one per line.
type chunkStream struct {
	body    io.ReadCloser
	limited *io.LimitedReader
	decoder *json.Decoder
	cancel  context.CancelFunc
	ended   bool
}

// Next implements catkinspindle.Stream.
func (s *chunkStream) Next() (catkinspindle.Chunk, error) {
	if s.ended {
		return catkinspindle.Chunk{}, io.EOF
	}
	var c catkinspindle.Chunk
	s.limited.N = maxChunkBytes
	if err := s.decoder.Decode(&c); err != nil {
		switch {
		case s.limited.N <= 0:
			err = fmt.Errorf("chunk is over %d bytes", maxChunkBytes)
		case errors.Is(err, io.EOF):
			err = io.ErrUnexpectedEOF
		}
		return c, err
	}
	s.ended = c.End
	return c, nil
}

// Close implements catkinspindle.Stream.
func (s *chunkStream) Close() {
	s.cancel()
	_ = s.body.Close()
}
