package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run, with the time since the begin.
type record struct {
	trouble bool
	begun   time.Time

	mu   sync.Mutex
	file *os.File
	out  *bufio.Writer
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{trouble: os.Getenv("TROUBLE") != "0", begun: time.Now(), file: f, out: bufio.NewWriter(f)}, nil
}

// line writes a line to the file only.
func (r *record) line(format string, a ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%8.3f  "+format+"\n", append([]any{time.Since(r.begun).Seconds()}, a...)...)
}

// printf writes a line to the file and to the standard output.
func (r *record) printf(format string, a ...any) {
	fmt.Printf(format+"\n", a...)
	r.line(format, a...)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
