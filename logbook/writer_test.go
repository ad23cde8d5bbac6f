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

// stuck is an output that takes nothing until it is released.
type stuck struct{ released chan struct{} }

func (s stuck) Write(p []byte) (int, error) {
	<-s.released
	return len(p), nil
}

// Logging returns at once although the output is stuck, and what is not written
// is counted.
func TestLoggingNeverWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := stuck{make(chan struct{})}
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
			t.Errorf("10,000 lines took %v beside 20 s of sleep", took)
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

// The volume is bounded, the bound is reported, and a stop writes what is
// queued.
func TestVolumeIsBounded(t *testing.T) {
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
			t.Errorf("%d of 5000 lines written at once", n)
		}
		for _, want := range []string{`"log lines dropped"`, `"last"`, `"took":"1.5s"`} {
			if !strings.Contains(text, want) {
				t.Errorf("output lacks %s", want)
			}
		}
	})
}

// What libraries write with the standard logger comes out as a line like all others.
func TestLinesOfLibraries(t *testing.T) {
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
	logbook.Capture(w.Logger(slog.LevelInfo))
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
