package http1

import (
	"bytes"
	"errors"
	"fmt"

	"golang.org/x/net/http/httpguts"
)

const (
	// statusDigits is the number of digits of a status code (RFC 9110, section 15).
	statusDigits = 3
	minStatus    = 100
	maxStatus    = 599
	// minFinalStatus is the lowest status of a response that is not an interim one.
	minFinalStatus = 200
	// switchingProtocols is an interim status that only answers an Upgrade header, which no client
	// here sends (RFC 9110, section 7.8). What follows it is not HTTP.
	switchingProtocols = 101
)

var (
	errStatusLine = errors.New("malformed status line of a response")
	errFoldedLine = errors.New("line of a response head begins with a blank")
)

// headPart is the part of a response head that is read next.
type headPart int

const (
	inVersion headPart = iota
	inStatus
	inReason
	atLineStart
	inName
	inValue
	// atEmptyLineEnd is after the carriage return of the line that ends the head.
	atEmptyLineEnd
	// headEnded is after the head of a final response.
	headEnded
)

// responseHead checks the bytes of a response up to the end of its head. Interim heads come first.
type responseHead struct {
	part headPart
	// status has the digits of the status that were read.
	status, digits int
}

// check reads p. It returns an error if it is not a part of a valid head; what follows the head is
// not checked.
func (h *responseHead) check(p []byte) error {
	for i := 0; i < len(p) && h.part != headEnded; i++ {
		if h.part == inReason || h.part == inValue {
			rest := bytes.IndexByte(p[i:], '\n')
			if rest < 0 {
				return nil
			}
			i += rest
		}
		if err := h.next(p[i]); err != nil {
			return err
		}
	}
	return nil
}

func (h *responseHead) next(b byte) error {
	switch h.part {
	case inVersion:
		switch b {
		case ' ':
			h.part = inStatus
		case '\n':
			return errStatusLine
		}
	case inStatus:
		return h.nextOfStatus(b)
	case inReason, inValue: // b ends the line.
		h.part = atLineStart
	case atLineStart:
		return h.nextOfLine(b)
	case inName:
		return h.nextOfName(b)
	case atEmptyLineEnd:
		if b != '\n' {
			return errors.New("carriage return within a response head")
		}
		h.end()
	}
	return nil
}

func (h *responseHead) nextOfStatus(b byte) error {
	switch {
	case b == ' ' && h.digits == 0: // net/http accepts more than one blank.
	case b >= '0' && b <= '9' && h.digits < statusDigits:
		h.status = 10*h.status + int(b-'0')
		h.digits++
	case h.digits == statusDigits && (b == ' ' || b == '\r' || b == '\n'):
		if h.status < minStatus || h.status > maxStatus || h.status == switchingProtocols {
			return fmt.Errorf("status %03d is not that of a response to the request", h.status)
		}
		h.part = inReason
		if b == '\n' {
			h.part = atLineStart
		}
	default:
		return errStatusLine
	}
	return nil
}

func (h *responseHead) nextOfLine(b byte) error {
	switch b {
	case '\r':
		h.part = atEmptyLineEnd
	case '\n':
		h.end()
	case ' ', '\t':
		// Either a name that begins with a blank, or a continued line, which a gateway may refuse
		// (RFC 9112, section 5.2).
		return errFoldedLine
	case ':':
		return errors.New("field of a response without a name")
	default:
		h.part = inName
		return h.nextOfName(b)
	}
	return nil
}

// nextOfName reads a byte of a field's name, which is a token that ends at the colon (RFC 9112,
// section 5.1).
func (h *responseHead) nextOfName(b byte) error {
	switch {
	case b == ':':
		h.part = inValue
	case !httpguts.IsTokenRune(rune(b)):
		return fmt.Errorf("name of a response's field has the byte %#02x", b)
	}
	return nil
}

// end ends a head. After an interim one, another follows.
func (h *responseHead) end() {
	final := h.status >= minFinalStatus
	*h = responseHead{}
	if final {
		h.part = headEnded
	}
}
