// Package logbook writes log lines without blocking requests. Lines pass through a bounded
// queue; lines that exceed the rate limit or find the queue full are dropped and counted.
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
	// queueLines is the capacity of the queue in lines.
	queueLines = 2048
	// linesPerSecond and burst are the rate limit; a line is about 400 bytes.
	linesPerSecond = 300
	burst          = 600
	// flushDelay is the time for which lines are batched into one write.
	flushDelay = 200 * time.Millisecond
)

// Writer is a non-blocking, rate-limited destination of log lines. It implements
// catkinspindle.Service.
type Writer struct {
	out     io.Writer
	queue   chan []byte
	limiter *rate.Limiter
	dropped atomic.Int64
	group   *errgroup.Group
	cancel  context.CancelFunc
}

// New returns a writer to out. Nothing is written before Start.
func New(out io.Writer) *Writer {
	return &Writer{out: out, queue: make(chan []byte, queueLines), limiter: rate.NewLimiter(linesPerSecond, burst)}
}

// Logger returns a logger that writes JSON lines to w.
func (w *Writer) Logger(level slog.Level) *slog.Logger {
	return slog.New(slog.NewJSONHandler(w, &slog.HandlerOptions{Level: level, ReplaceAttr: formatDuration}))
}

// SetDefault redirects the standard logger to l, so that messages of libraries have the same
// format as all others.
func SetDefault(l *slog.Logger) { slog.SetDefault(l.With(events.LibraryMessage.Attr())) }

// formatDuration formats durations as text with a unit, rounded to 10 µs.
func formatDuration(_ []string, a slog.Attr) slog.Attr {
	if a.Value.Kind() == slog.KindDuration {
		return slog.String(a.Key, a.Value.Duration().Round(10*time.Microsecond).String())
	}
	return a
}

// Write implements io.Writer. It queues the line or drops it, and never blocks.
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

// Dropped returns the number of lines dropped since the start.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Start implements catkinspindle.Service.
func (w *Writer) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	w.cancel = cancel
	w.group = &errgroup.Group{}
	w.group.Go(func() error { return w.run(ctx) })
	return nil
}

// Stop implements catkinspindle.Service. It writes the queued lines before it returns.
func (w *Writer) Stop(context.Context) error {
	w.cancel()
	return w.group.Wait()
}

func (w *Writer) run(ctx context.Context) error {
	buffer := bufio.NewWriterSize(w.out, 32<<10)
	reported := int64(0)
	for {
		select {
		case line := <-w.queue:
			_, _ = buffer.Write(line) // Flush returns the first write error.
			if w.waitForBatch(ctx) {
				continue
			}
		case <-ctx.Done():
			w.drain(buffer)
			return buffer.Flush()
		}
		w.drain(buffer)
		if n := w.dropped.Load(); n > reported {
			slog.New(slog.NewJSONHandler(buffer, nil)).Warn("log lines dropped", events.LinesDropped.Attr(), "count", n-reported)
			reported = n
		}
		if err := buffer.Flush(); err != nil {
			return err
		}
	}
}

// waitForBatch waits for flushDelay while lines queue up, and reports whether the writer is
// being stopped.
func (w *Writer) waitForBatch(ctx context.Context) bool {
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
