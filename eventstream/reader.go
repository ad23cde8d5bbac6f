// Package eventstream splits a stream of server-sent events into complete events.
package eventstream

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
)

// maxEventBytes is the maximum size of an event in bytes. A hundred events of that size must
// fit into the memory of a small VM at the same time.
const maxEventBytes = 128 << 10

// Reader reads complete events from a stream.
type Reader struct {
	buffer *bufio.Reader
	// eventCount is the number of events that Next has returned.
	eventCount int
}

// Event is one event. Bytes holds it as received, including the final empty line.
type Event struct {
	// ID is the value of the event's id field, empty if the event has none.
	ID    string
	Bytes []byte
	// CommentOnly is true if the event consists of comments only. Such events keep a
	// connection open and carry no part of the response.
	CommentOnly bool
}

// NumericID parses the ID as a decimal number. It returns the error of strconv.ParseInt if
// the ID is not one.
func (e Event) NumericID() (int64, error) { return strconv.ParseInt(e.ID, 10, 64) }

// NewReader returns a reader of the events in r.
func NewReader(r io.Reader) *Reader {
	return &Reader{buffer: bufio.NewReaderSize(r, 2<<10)}
}

// Next returns the next event. It returns io.EOF if the stream ends between two events,
// io.ErrUnexpectedEOF if it ends within an event, and another error if an event exceeds the
// maximum size or the underlying reader fails.
func (r *Reader) Next() (Event, error) {
	e := Event{CommentOnly: true}
	atLineStart := true
	for {
		line, err := r.buffer.ReadSlice('\n')
		e.Bytes = append(e.Bytes, line...)
		if len(e.Bytes) > maxEventBytes {
			return Event{}, fmt.Errorf("event %d exceeds %d bytes", r.eventCount, maxEventBytes)
		}
		if atLineStart && len(bytes.TrimRight(line, "\r\n")) > 0 && line[0] != ':' {
			e.CommentOnly = false
		}
		atLineStart = !errors.Is(err, bufio.ErrBufferFull)
		if !atLineStart {
			continue
		}
		if errors.Is(err, io.EOF) && len(e.Bytes) > 0 {
			return Event{}, io.ErrUnexpectedEOF
		}
		if err != nil {
			return Event{}, err
		}
		field := bytes.TrimRight(line, "\r\n")
		if len(field) == 0 {
			r.eventCount++
			return e, nil
		}
		if id, ok := bytes.CutPrefix(field, []byte("id:")); ok {
			e.ID = string(bytes.TrimSpace(id))
		}
	}
}
