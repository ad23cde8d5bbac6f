package pacing_test

import (
	"math"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/catkinspindle/catkinspindle/pacing"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// In any window, no more requests may be permitted than the rate allows plus the burst.
func TestPacerKeepsRateInAnyWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		perSecond := rapid.Float64Range(0.05, 500).Draw(t, "rate")
		var p pacing.Pacer
		if rapid.Bool().Draw(t, "started") {
			p.StartAt(start, perSecond)
		}
		now := start
		var sent []time.Time
		for range rapid.IntRange(1, 300).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(2*time.Second/time.Duration(math.Ceil(perSecond)))).Draw(t, "gap")))
			if p.Wait(now, perSecond) > 0 {
				continue
			}
			p.Take(now, perSecond)
			sent = append(sent, now)
		}
		burst := max(1, perSecond/10)
		for i := range sent {
			for k := i; k < len(sent); k++ {
				d := sent[k].Sub(sent[i]).Seconds()
				if n := float64(k - i + 1); n > perSecond*d+burst+1e-6 {
					t.Fatalf("%g requests in %gs at a rate of %g/s", n, d, perSecond)
				}
			}
		}
	})
}

func TestPacer(t *testing.T) {
	tests := map[string]struct {
		prepare   func(p *pacing.Pacer)
		perSecond float64
		at        time.Duration
		want      time.Duration
	}{
		"first request":                 {func(*pacing.Pacer) {}, 2, 0, 0},
		"after a request":               {func(p *pacing.Pacer) { p.Take(start, 2) }, 2, 100 * time.Millisecond, 400 * time.Millisecond},
		"after a request in the future": {func(p *pacing.Pacer) { p.Take(start.Add(time.Second), 2) }, 2, 0, 1500 * time.Millisecond},
		"after a start":                 {func(p *pacing.Pacer) { p.StartAt(start, 2) }, 2, 0, 500 * time.Millisecond},
		"after a rise of the rate":      {func(p *pacing.Pacer) { p.Take(start, 0.01) }, 2, time.Second, 0},
		"within the burst":              {func(p *pacing.Pacer) { p.Take(start, 100) }, 100, 0, 0},
		"after a burst at a rate whose spacing is no whole number of nanoseconds": {func(p *pacing.Pacer) {
			for range 30 {
				p.Take(start, 300)
			}
		}, 300, 0, 3333334 * time.Nanosecond},
		"very low rate": {func(p *pacing.Pacer) { p.Take(start, 1e-300) }, 1e-300, 0, time.Hour},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var p pacing.Pacer
			tt.prepare(&p)
			if diff := cmp.Diff(tt.want, p.Wait(start.Add(tt.at), tt.perSecond)); diff != "" {
				t.Errorf("wait (-want +got):\n%s", diff)
			}
		})
	}
}

// Refused callers get turns one after the other, as long as they can return in time.
func TestTurnsAreSpaced(t *testing.T) {
	var p pacing.Pacer
	var got []time.Duration
	for range 4 {
		got = append(got, p.Turn(start, 300*time.Millisecond, 2, 1200*time.Millisecond))
	}
	want := []time.Duration{300 * time.Millisecond, 800 * time.Millisecond, 1300 * time.Millisecond, 1300 * time.Millisecond}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("turns (-want +got):\n%s", diff)
	}
}
