// Package logbook writes log lines without ever making a request wait: lines
// go through a bounded queue, and those that find it full or come faster than
// the allowed rate are counted and dropped.
package logbook

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"github.com/catkinspindle/catkinspindle/events"
)

const (
	// queueLines bounds the lines in memory.
	queueLines = 2048
	// linesPerSecond and burst bound what is written; a line is about 400 bytes.
	linesPerSecond = 300
	burst          = 600
	// flushDelay collects lines into one write.
	flushDelay = 200 * time.Millisecond
)

// Writer is the destination of log lines. It implements
// catkinspindle.Service.
type Writer struct {
	out     io.Writer
	queue   chan []byte
	limiter *rate.Limiter
	dropped atomic.Int64
	group   *errgroup.Group
	cancel  context.CancelFunc
}

// New returns a writer to out.
func New(out io.Writer) *Writer {
	return &Writer{out: out, queue: make(chan []byte, queueLines), limiter: rate.NewLimiter(linesPerSecond, burst)}
}

// Logger returns a logger whose lines are JSON objects.
func (w *Writer) Logger(level slog.Level) *slog.Logger {
	return slog.New(slog.NewJSONHandler(w, &slog.HandlerOptions{Level: level, ReplaceAttr: spell}))
}

// Capture makes lines that libraries write with the standard logger lines of l, so that
// everything that the process writes has one format.
func Capture(l *slog.Logger) { slog.SetDefault(l.With(events.LibraryMessage.Attr())) }

// spell writes durations as text with their unit.
func spell(_ []string, a slog.Attr) slog.Attr {
	if a.Value.Kind() == slog.KindDuration {
		return slog.String(a.Key, a.Value.Duration().Round(10*time.Microsecond).String())
	}
	return a
}

// Write implements io.Writer. It never blocks.
func (w *Writer) Write(line []byte) (int, error) {
	if !w.limiter.Allow() {
		w.dropped.Add(1)
		return len(line), nil
	}
	select {
	case w.queue <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were not written.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Start implements catkinspindle.Service.
func (w *Writer) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	w.cancel = cancel
	w.group = &errgroup.Group{}
	w.group.Go(func() error { return w.run(ctx) })
	return nil
}

// Stop implements catkinspindle.Service. It writes what is queued.
func (w *Writer) Stop(context.Context) error {
	w.cancel()
	return w.group.Wait()
}

func (w *Writer) run(ctx context.Context) error {
	buffer := bufio.NewWriterSize(w.out, 32<<10)
	told := int64(0)
	for {
		select {
		case line := <-w.queue:
			_, _ = buffer.Write(line) // Flush returns the first error.
			if w.collect(ctx) {
				continue
			}
		case <-ctx.Done():
			w.drain(buffer)
			return buffer.Flush()
		}
		w.drain(buffer)
		if n := w.dropped.Load(); n > told {
			slog.New(slog.NewJSONHandler(buffer, nil)).Warn("log lines dropped", events.LinesDropped.Attr(), "count", n-told)
			told = n
		}
		if err := buffer.Flush(); err != nil {
			return err
		}
	}
}

// collect waits for more lines and reports whether the process is stopping.
func (w *Writer) collect(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return true
	case <-time.After(flushDelay):
		return false
	}
}

func (w *Writer) drain(buffer *bufio.Writer) {
	for {
		select {
		case line := <-w.queue:
			_, _ = buffer.Write(line)
		default:
			return
		}
	}
}
