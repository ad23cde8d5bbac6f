package http1_test

import (
	"errors"
	"io"
	"net"
	"strings"
	"testing"

	"github.com/catkinspindle/catkinspindle/http1"
)

// endedConn takes all that is written and has nothing to read.
type endedConn struct{ net.Conn }

// Read implements net.Conn.
func (endedConn) Read([]byte) (int, error) { return 0, io.EOF }

// Write implements net.Conn.
func (endedConn) Write(p []byte) (int, error) { return len(p), nil }

// Close implements net.Conn.
func (endedConn) Close() error { return nil }

func TestEndDuringRequest(t *testing.T) {
	const get, post = "GET / HTTP/1.1\r\nHost: h\r\n\r\n", "POST / HTTP/1.1\r\ncontent-length:4\r\nX: y\r\n\r\n"
	tests := map[string]struct {
		written    string
		unfinished bool
	}{
		"nothing":                         {"", false},
		"request without a body":          {get, false},
		"empty body":                      {"POST / HTTP/1.1\r\nContent-Length: 0\r\n\r\n", false},
		"part of a head":                  {post[:len(post)-1], true},
		"head":                            {post, true},
		"part of a body":                  {post + "abc", true},
		"body":                            {post + "abcd", false},
		"body, next head":                 {post + "abcd" + post, true},
		"body, request without one, body": {post + "abcd" + get + post + "abcd", false},
		"long line, part of a body":       {"POST /" + strings.Repeat("x", 100) + " HTTP/1.1\r\nContent-Length: 4\r\n\r\nabc", true},
		"chunks, whose end is not sought": {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nab", false},
		"method in lower case":            {strings.Replace(post, "POST", "post", 1), true},
		"line that is not HTTP":           {"ping\nContent-Length: 4\r\n\r\n", false},
		"not HTTP":                        {"\x16\x03\x01Content-Length: 4\r\n\r\n", false},
	}
	for name, tt := range tests {
		for _, size := range []int{1, 7, 1 << 10} {
			t.Run(name, func(t *testing.T) {
				c := http1.New(endedConn{})
				for rest := []byte(tt.written); len(rest) > 0; {
					n, err := c.Write(rest[:min(size, len(rest))])
					if err != nil {
						t.Fatal(err)
					}
					rest = rest[n:]
				}
				// A closed connection waits for nothing.
				if err := c.Close(); err != nil {
					t.Fatal(err)
				}
				if _, err := c.Read(make([]byte, 1)); errors.Is(err, net.ErrClosed) != tt.unfinished || err == nil {
					t.Errorf("writes of %d bytes: error %v; want an unfinished request: %t", size, err, tt.unfinished)
				}
			})
		}
	}
}
