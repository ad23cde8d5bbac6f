package inbound

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"
)

const (
	// firstGrant is the number of bytes that the buffer of a body begins with.
	firstGrant = 4 << 10
	// unreadTimeout bounds the time for which net/http reads on after a body was refused.
	unreadTimeout = 200 * time.Millisecond
)

// Read reads the body of r, of at most limit bytes; zero means no limit. Close of the holding returns its
// memory. After a failure the connection is closed with the response. A body that is too large is an
// *http.MaxBytesError.
func (b *Budget) Read(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, *Holding, error) {
	setDeadline := func(t time.Time) { _ = http.NewResponseController(w).SetReadDeadline(t) } // It fails on closed connections only.
	h := &Holding{budget: b, maxBody: limit, evict: func() { setDeadline(time.Now()) }}
	body, err := h.read(w, r, limit)
	if err == nil {
		return body, h, nil
	}
	h.Close()
	w.Header().Set("Connection", "close")
	w.Header().Del("Keep-Alive")
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		setDeadline(time.Now().Add(unreadTimeout))
	}
	return nil, nil, err
}

func (h *Holding) read(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	if limit > 0 && r.ContentLength > limit {
		return nil, &http.MaxBytesError{Limit: limit}
	}
	h.budget.mu.Lock()
	h.wait()
	h.budget.mu.Unlock()
	src := io.Reader(r.Body)
	if limit > 0 {
		src = http.MaxBytesReader(w, r.Body, limit)
	}
	var body []byte
	for int64(len(body)) != r.ContentLength {
		if len(body) == cap(body) {
			larger := h.nextSize(cap(body), r.ContentLength)
			if err := h.Grow(larger); err != nil {
				return nil, err
			}
			former := cap(body)
			body = append(make([]byte, 0, larger), body...)
			h.Shrink(int64(former))
		}
		n, err := src.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		h.Progress(n)
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return nil, errors.Join(h.Done(), err)
		}
	}
	return body, h.Done()
}

// nextSize returns the size of the buffer that follows one of size bytes, for a body of the announced
// length; that is negative if it is unknown.
func (h *Holding) nextSize(size int, announced int64) int64 {
	next := max(firstGrant, 2*int64(size))
	switch {
	case announced >= 0 && announced <= smallBytes:
		return announced
	case announced >= 0:
		return min(next, announced)
	case h.maxBody > 0:
		return min(next, h.maxBody+1) // One byte more shows that the body ends.
	}
	return next
}
