// Package eventstream reads streams of server-sent events as whole events.
package eventstream

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
)

// maxEvent bounds one event in bytes. A hundred of them at once must fit into the memory
// of a small VM.
const maxEvent = 128 << 10

// Reader reads whole events.
type Reader struct {
	lines *bufio.Reader
	// events counts what Next has returned.
	events int
}

// Event is one event with its bytes as received, up to the empty line.
type Event struct {
	// ID is the event's id; it is empty when the event has none.
	ID    string
	Bytes []byte
	// Empty events consist of comments alone: they keep a connection open and say
	// nothing of the answer.
	Empty bool
}

// Number returns the id as a number.
func (e Event) Number() (int64, error) { return strconv.ParseInt(e.ID, 10, 64) }

// New returns a reader of the events in r.
func New(r io.Reader) *Reader {
	return &Reader{lines: bufio.NewReaderSize(r, 2<<10)}
}

// Next returns the next event. It returns io.EOF when the stream has ended
// between two events and io.ErrUnexpectedEOF when it broke off in one.
func (r *Reader) Next() (Event, error) {
	e := Event{Empty: true}
	begins := true
	for {
		line, err := r.lines.ReadSlice('\n')
		e.Bytes = append(e.Bytes, line...)
		if len(e.Bytes) > maxEvent {
			return Event{}, fmt.Errorf("event %d is over %d bytes", r.events, maxEvent)
		}
		if begins && len(bytes.TrimRight(line, "\r\n")) > 0 && line[0] != ':' {
			e.Empty = false
		}
		begins = !errors.Is(err, bufio.ErrBufferFull)
		if !begins {
			continue
		}
		if errors.Is(err, io.EOF) && len(e.Bytes) > 0 {
			return Event{}, io.ErrUnexpectedEOF
		}
		if err != nil {
			return Event{}, err
		}
		text := bytes.TrimRight(line, "\r\n")
		if len(text) == 0 {
			r.events++
			return e, nil
		}
		if id, ok := bytes.CutPrefix(text, []byte("id:")); ok {
			e.ID = string(bytes.TrimSpace(id))
		}
	}
}
