package wire

import (
	"fmt"
	"io"
)

// Limit returns a reader that fails once more than limit bytes have been read from r.
func Limit(r io.Reader, limit int64) io.Reader {
	return &limitedReader{reader: io.LimitReader(r, limit+1), limit: limit}
}

type limitedReader struct {
	reader      io.Reader
	read, limit int64
}

// Read implements io.Reader.
func (l *limitedReader) Read(p []byte) (int, error) {
	n, err := l.reader.Read(p)
	if l.read += int64(n); l.read > l.limit {
		return 0, fmt.Errorf("answer is over %d bytes", l.limit)
	}
	return n, err
}
