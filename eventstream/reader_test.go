package eventstream_test

import (
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/catkinspindle/catkinspindle/eventstream"
)

func read(stream string) (ids, texts []string, end error) {
	r := eventstream.NewReader(strings.NewReader(stream))
	for {
		e, err := r.Next()
		if err != nil {
			return ids, texts, err
		}
		ids, texts = append(ids, e.ID), append(texts, string(e.Bytes))
	}
}

func TestReader(t *testing.T) {
	tests := map[string]struct {
		stream  string
		wantIDs []string
		wantErr error
	}{
		"whole":                  {"id: 1\ndata: a\n\nid: 2\ndata: b\n\n", []string{"1", "2"}, io.EOF},
		"carriage returns":       {"id: 1\r\ndata: a\r\n\r\n", []string{"1"}, io.EOF},
		"several fields before":  {"weight-versions: 3\nid:7\ndata: a\n\n", []string{"7"}, io.EOF},
		"without an id":          {"data: a\n\n", []string{""}, io.EOF},
		"broken off in a line":   {"id: 1\ndata: a\n\nid: 2\nda", []string{"1"}, io.ErrUnexpectedEOF},
		"broken off in an event": {"id: 1\ndata: a\n\nid: 2\ndata: b\n", []string{"1"}, io.ErrUnexpectedEOF},
		"empty":                  {"", nil, io.EOF},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			ids, texts, err := read(tt.stream)
			if diff := cmp.Diff(tt.wantIDs, ids); diff != "" {
				t.Errorf("ids (-want +got):\n%s", diff)
			}
			if !errors.Is(err, tt.wantErr) {
				t.Errorf("error %v, want %v", err, tt.wantErr)
			}
			if err == io.EOF && strings.Join(texts, "") != tt.stream {
				t.Errorf("events %q do not add up to the stream", texts)
			}
		})
	}
}

func TestReaderBoundsAnEvent(t *testing.T) {
	_, _, err := read("data: " + strings.Repeat("x", 2<<20) + "\n\n")
	if err == nil || errors.Is(err, io.EOF) {
		t.Errorf("error %v, want one that says that the event is too large", err)
	}
}

// The events read from any input must add up to a prefix of it.
func FuzzReader(f *testing.F) {
	f.Add("id: 1\ndata: a\n\nid: 2\n")
	f.Add("\n\n\r\n\n")
	f.Fuzz(func(t *testing.T, stream string) {
		_, texts, _ := read(stream)
		joined := strings.Join(texts, "")
		if !strings.HasPrefix(stream, joined) {
			t.Fatalf("%q is no prefix of %q", joined, stream)
		}
	})
}
