package http1

import (
	"bytes"
	"strconv"

	"golang.org/x/net/http/httpguts"
)

// maxTrackedLine is how much of a header line is kept in bytes, enough for those that state the
// length of a body.
const maxTrackedLine = 64

var (
	contentLength    = []byte("Content-Length")
	transferEncoding = []byte("Transfer-Encoding")
)

// phase is the part of a request that is written next.
type phase int

const (
	// betweenRequests is before the first byte of a request.
	betweenRequests phase = iota
	inMethod
	// inHead is after the method.
	inHead
	inBody
	// untracked is after the head of a request whose end is not known.
	untracked
	// notHTTP is after bytes that begin no request.
	notHTTP
)

// request follows the requests that are written on a connection.
type request struct {
	phase phase
	// line is the begin of the current line of the head.
	line []byte
	// remaining is the number of bytes of the body that are not written yet.
	remaining int64
}

// unfinished reports whether a request has begun and its head, or its body of a known length, is not
// written yet.
func (r *request) unfinished() bool { return r.phase == inHead || r.phase == inBody }

// advance moves on by p, which is written next. It reports whether a request begins in p.
func (r *request) advance(p []byte) (begins bool) {
	for len(p) > 0 {
		switch r.phase {
		case betweenRequests:
			r.begin(p[0])
			begins = true
		case inMethod:
			p = r.advanceMethod(p)
		case inHead:
			p = r.advanceHead(p)
		case inBody:
			n := min(r.remaining, int64(len(p)))
			p = p[n:]
			if r.remaining -= n; r.remaining == 0 {
				r.phase = betweenRequests
			}
		case untracked, notHTTP:
			return begins
		}
	}
	return begins
}

// begin begins a request if first may be the first byte of its method.
func (r *request) begin(first byte) {
	*r = request{phase: notHTTP, line: r.line[:0]}
	if httpguts.IsTokenRune(rune(first)) {
		r.phase = inMethod
	}
}

// advanceMethod moves on to the blank that ends the method and returns the rest of p.
func (r *request) advanceMethod(p []byte) []byte {
	for i, b := range p {
		switch {
		case b == ' ':
			r.phase = inHead
			return p[i:]
		case !httpguts.IsTokenRune(rune(b)):
			r.phase = notHTTP
			return nil
		}
	}
	return nil
}

// advanceHead moves on by the first line of p and returns the rest.
func (r *request) advanceHead(p []byte) []byte {
	line, rest, ended := bytes.Cut(p, []byte("\n"))
	r.line = append(r.line, line[:min(len(line), maxTrackedLine-len(r.line))]...)
	if ended {
		r.endLine(bytes.TrimSuffix(r.line, []byte("\r")))
		r.line = r.line[:0]
	}
	return rest
}

// endLine interprets a line of the head.
func (r *request) endLine(line []byte) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	switch {
	case len(line) == 0 && r.remaining > 0:
		r.phase = inBody
	case len(line) == 0:
		r.phase = betweenRequests
	case bytes.EqualFold(name, transferEncoding):
		r.phase = untracked
	case bytes.EqualFold(name, contentLength):
		n, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
		if err != nil {
			r.phase = untracked
			return
		}
		r.remaining = n
	}
}
