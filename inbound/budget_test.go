package inbound_test

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/sync/errgroup"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/inbound"
)

const (
	budget  = 320 << 10
	maxBody = 100 << 10
)

// caller sends sent bytes, the next piece after each pause, and then nothing until its deadline is set.
type caller struct {
	http.ResponseWriter
	sent, piece int
	pause       time.Duration
	expired     chan struct{}
}

func newCaller(sent, piece int, pause time.Duration) *caller {
	return &caller{httptest.NewRecorder(), sent, piece, pause, make(chan struct{}, 2)}
}

// SetReadDeadline is called by http.ResponseController.
func (c *caller) SetReadDeadline(time.Time) error {
	c.expired <- struct{}{}
	return nil
}

func (c *caller) Read(p []byte) (int, error) {
	if c.sent == 0 {
		<-c.expired
		return 0, os.ErrDeadlineExceeded
	}
	time.Sleep(c.pause)
	n := min(len(p), c.piece, c.sent)
	c.sent -= n
	return n, nil
}

func (c *caller) Close() error { return nil }

// read reads a body of length bytes that c sends.
func (c *caller) read(b *inbound.Budget, length int64) (*inbound.Holding, error) {
	_, holding, err := b.Read(c, &http.Request{Body: c, ContentLength: length}, maxBody)
	return holding, err
}

func TestStalledCallerGivesUpItsMemoryFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := inbound.New(inbound.WithMaxBytes(budget))
		stalled, slow := newCaller(maxBody-1, maxBody, 0), newCaller(maxBody, 4<<10, 200*time.Millisecond)
		var group, waiting errgroup.Group
		waiting.Go(func() error { _, err := stalled.read(b, maxBody); return err })
		group.Go(func() error { _, err := slow.read(b, maxBody); return err })
		if err := group.Wait(); err != nil {
			t.Errorf("slow caller while there is room: %v", err)
		}
		time.Sleep(10 * time.Second)
		if diff := cmp.Diff(0, len(stalled.expired)); diff != "" {
			t.Errorf("evictions while there is room (-want +got):\n%s", diff)
		}
		if _, err := newCaller(maxBody, maxBody, 0).read(b, maxBody); err != nil {
			t.Errorf("third caller: %v", err)
		}
		if err := waiting.Wait(); !errors.Is(err, inbound.ErrEvicted) {
			t.Errorf("stalled caller: %v", err)
		}
	})
}

func TestBodies(t *testing.T) {
	tests := map[string]struct {
		others, length int
		announced      bool
		want           error
	}{
		"largest alone":                    {0, maxBody, false, nil},
		"largest alone, announced":         {0, maxBody, true, nil},
		"too large":                        {0, maxBody + 1, false, &http.MaxBytesError{}},
		"too large, announced":             {0, maxBody + 1, true, &http.MaxBytesError{}},
		"large without room":               {2, maxBody, true, inbound.ErrExhausted},
		"small beside large ones":          {2, 4 << 10, true, nil},
		"unannounced beside large ones":    {2, 3 << 10, false, nil},
		"empty and unannounced, no room":   {2, 0, false, nil},
		"largest beside another large one": {1, maxBody / 2, false, nil},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			b := inbound.New(inbound.WithMaxBytes(budget))
			var held int64
			for range tt.others {
				h, err := newCaller(maxBody, maxBody, 0).read(b, maxBody)
				if err != nil {
					t.Fatal(err)
				}
				defer h.Close()
				held += maxBody
			}
			r := httptest.NewRequest(http.MethodPost, "/", io.NopCloser(bytes.NewReader(make([]byte, tt.length))))
			if r.ContentLength = -1; tt.announced {
				r.ContentLength = int64(tt.length)
			}
			w := httptest.NewRecorder()
			body, h, err := b.Read(w, r, maxBody)
			var tooLarge *http.MaxBytesError
			if wantTooLarge := errors.As(tt.want, &tooLarge); wantTooLarge != errors.As(err, &tooLarge) || !wantTooLarge && !errors.Is(err, tt.want) {
				t.Fatalf("error %v, want %v", err, tt.want)
			}
			if err == nil && len(body) != tt.length {
				t.Errorf("%d bytes, want %d", len(body), tt.length)
			}
			if closes := w.Header().Get("Connection") == "close"; closes != (err != nil) {
				t.Errorf("connection is closed: %t, after %v", closes, err)
			}
			h.Close()
			if diff := cmp.Diff(held, b.Bytes()); diff != "" {
				t.Errorf("bytes in use afterwards (-want +got):\n%s", diff)
			}
		})
	}
}

func TestLargestBodyAloneCanBeDecoded(t *testing.T) {
	limits := catkinspindle.Limits{MaxBody: maxBody}
	b := inbound.New(inbound.WithMemory(1), inbound.WithMinBytes(limits.MinBodyMemory()))
	h, err := newCaller(maxBody, maxBody, 0).read(b, maxBody)
	if err != nil {
		t.Fatal(err)
	}
	if err := h.Grow(2 * maxBody); err != nil {
		t.Error(err)
	}
}

func TestIdleConnectionsMakeRoom(t *testing.T) {
	b := inbound.New(inbound.WithDescriptors(23)) // 16 connections.
	var evicted []int
	holdings := make([]*inbound.Holding, 17)
	for i := range holdings {
		h, err := b.Accept(func() { evicted = append(evicted, i) })
		if wantErr := i == 16; wantErr != errors.Is(err, inbound.ErrExhausted) {
			t.Fatalf("connection %d: %v", i, err)
		}
		if holdings[i] = h; i == 0 {
			h.Serve()
		}
	}
	if diff := cmp.Diff([]int{1, 2}, evicted); diff != "" {
		t.Errorf("closed connections (-want +got):\n%s", diff)
	}
	holdings[1].Close()
	if _, err := b.Accept(func() {}); err != nil {
		t.Errorf("after a connection was closed: %v", err)
	}
}
