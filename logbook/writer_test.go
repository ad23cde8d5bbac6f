package logbook_test

import (
	"bytes"
	"context"
	"log"
	"log/slog"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/catkinspindle/catkinspindle/logbook"
)

// blockedWriter is an output whose writes block until released is closed.
type blockedWriter struct{ released chan struct{} }

func (s blockedWriter) Write(p []byte) (int, error) {
	<-s.released
	return len(p), nil
}

// A blocked output must not block logging; the lines that cannot be written are dropped
// and counted.
func TestLoggingNeverBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := blockedWriter{make(chan struct{})}
		w := logbook.New(out)
		if err := w.Start(context.Background()); err != nil {
			t.Fatal(err)
		}
		log := w.Logger(slog.LevelInfo)
		began := time.Now()
		for range 20 {
			for range 500 {
				log.Info("line")
			}
			time.Sleep(time.Second)
		}
		if took := time.Since(began); took != 20*time.Second {
			t.Errorf("logging 10,000 lines with 20 s of sleep took %v", took)
		}
		if w.Dropped() == 0 {
			t.Error("no line is counted as dropped")
		}
		close(out.released)
		if err := w.Stop(context.Background()); err != nil {
			t.Error(err)
		}
	})
}

// A burst of lines is cut at the rate limit, the number of dropped lines is logged, and
// Stop writes the queued lines.
func TestOutputRateIsLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		w := logbook.New(&out)
		if err := w.Start(context.Background()); err != nil {
			t.Fatal(err)
		}
		log := w.Logger(slog.LevelInfo)
		for range 5000 {
			log.Info("many")
		}
		time.Sleep(2 * time.Second)
		log.Info("last", "took", 1500*time.Millisecond)
		if err := w.Stop(context.Background()); err != nil {
			t.Fatal(err)
		}
		text := out.String()
		if n := strings.Count(text, `"many"`); n > 1000 {
			t.Errorf("%d of a burst of 5000 lines written", n)
		}
		for _, want := range []string{`"log lines dropped"`, `"last"`, `"took":"1.5s"`} {
			if !strings.Contains(text, want) {
				t.Errorf("output lacks %s", want)
			}
		}
	})
}

// Messages that libraries write with the standard logger have the same JSON format and an
// event number.
func TestStandardLoggerIsCaptured(t *testing.T) {
	before := slog.Default()
	t.Cleanup(func() {
		log.SetOutput(os.Stderr)
		slog.SetDefault(before)
	})
	var out bytes.Buffer
	w := logbook.New(&out)
	if err := w.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	logbook.SetDefault(w.Logger(slog.LevelInfo))
	log.Print("failed to increase a buffer")
	if err := w.Stop(context.Background()); err != nil {
		t.Fatal(err)
	}
	for _, part := range []string{`{"time":`, `"msg":"failed to increase a buffer"`, `"event":1007`} {
		if !strings.Contains(out.String(), part) {
			t.Errorf("no %s in %q", part, out.String())
		}
	}
}
