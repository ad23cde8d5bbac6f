// Package load runs an open-loop load test and reports latency and failures by prompt
// length.
package load

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/catkinspindle/catkinspindle"
)

// Sample is the result of one request as measured by its caller.
type Sample struct {
	ID               int
	Tokens           int
	Action           bool
	TimeToFirstToken time.Duration
	Total            time.Duration
	Gaps             []time.Duration
	Err              error
}

// Class is a range of prompt lengths.
type Class struct {
	Name string `json:"name"`
	// Below is the exclusive upper bound in tokens.
	Below int `json:"below"`
}

// Classes returns the length classes of a report, shortest first.
func Classes() []Class {
	return []Class{
		{Name: "under 4k", Below: 4_000},
		{Name: "4k to 10k", Below: 10_000},
		{Name: "10k to 100k", Below: 100_000},
		{Name: "100k to 400k", Below: 400_000},
		{Name: "400k to 1M", Below: 1 << 30},
	}
}

// ClassResult is the result of one class. Percentiles cover successful requests only.
type ClassResult struct {
	Class     string         `json:"class"`
	Requests  int            `json:"requests"`
	Succeeded int            `json:"good"`
	TTFT50    time.Duration  `json:"first-token-p50"`
	TTFT95    time.Duration  `json:"first-token-p95"`
	TTFT99    time.Duration  `json:"first-token-p99"`
	Gap95     time.Duration  `json:"gap-p95"`
	Failures  map[string]int `json:"failures,omitempty"`
}

// Report is the result of a load test.
type Report struct {
	Rows    []ClassResult `json:"rows"`
	Actions ClassResult   `json:"actions"`
	// Offered and Goodput are in requests per second. Goodput counts complete answers
	// within their deadline.
	Offered float64 `json:"offered"`
	Goodput float64 `json:"goodput"`
	// TTFT95Under10k is the 95th percentile of the time to first token of the
	// prompts under 10k tokens.
	TTFT95Under10k time.Duration `json:"first-token-p95-under-10k"`
	Samples        []Sample      `json:"-"`
}

// Range of the histograms in microseconds, and their number of significant digits.
const (
	minMicroseconds   = 1
	maxMicroseconds   = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
)

// histogram records durations.
type histogram struct{ *hdrhistogram.Histogram }

func newHistogram() histogram {
	return histogram{hdrhistogram.New(minMicroseconds, maxMicroseconds, significantDigits)}
}

func (h histogram) add(d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), minMicroseconds), maxMicroseconds))
}

func (h histogram) quantile(percentile float64) time.Duration {
	return time.Duration(h.ValueAtQuantile(percentile)) * time.Microsecond
}

// NewReport aggregates the samples of a load test that ran for duration.
func NewReport(samples []Sample, duration time.Duration) Report {
	r := Report{Samples: samples, Offered: float64(len(samples)) / duration.Seconds()}
	short := newHistogram()
	succeeded := 0
	for _, s := range samples {
		if s.Err == nil {
			succeeded++
			if !s.Action && s.Tokens < 10_000 {
				short.add(s.TimeToFirstToken)
			}
		}
	}
	r.Goodput = float64(succeeded) / duration.Seconds()
	r.TTFT95Under10k = short.quantile(95)
	from := 0
	for _, c := range Classes() {
		r.Rows = append(r.Rows, newClassResult(c.Name, samples, func(s Sample) bool {
			return !s.Action && s.Tokens >= from && s.Tokens < c.Below
		}))
		from = c.Below
	}
	r.Actions = newClassResult("actions", samples, func(s Sample) bool { return s.Action })
	return r
}

func newClassResult(name string, samples []Sample, matches func(Sample) bool) ClassResult {
	row := ClassResult{Class: name, Failures: map[string]int{}}
	ttft, gaps := newHistogram(), newHistogram()
	for _, s := range samples {
		if !matches(s) {
			continue
		}
		row.Requests++
		if s.Err != nil {
			row.Failures[string(catkinspindle.AsFailure(s.Err).Reason)]++
			continue
		}
		row.Succeeded++
		ttft.add(s.TimeToFirstToken)
		for _, g := range s.Gaps {
			gaps.add(g)
		}
	}
	row.TTFT50, row.TTFT95, row.TTFT99 = ttft.quantile(50), ttft.quantile(95), ttft.quantile(99)
	row.Gap95 = gaps.quantile(95)
	return row
}

// Slowdown returns the 95th percentile of the ratio of the total time in r to that in
// baseline, over the prompts under limit tokens that succeeded in both runs. It returns 0
// when there are none.
func (r Report) Slowdown(baseline Report, limit int) float64 {
	base := map[int]time.Duration{}
	for _, s := range baseline.Samples {
		if s.Err == nil && !s.Action {
			base[s.ID] = s.Total
		}
	}
	var ratios []float64
	for _, s := range r.Samples {
		if b, ok := base[s.ID]; ok && s.Err == nil && s.Tokens < limit {
			ratios = append(ratios, float64(s.Total)/float64(b))
		}
	}
	if len(ratios) == 0 {
		return 0
	}
	slices.Sort(ratios)
	return ratios[min(len(ratios)*95/100, len(ratios)-1)]
}

// WriteTable writes the report as a table.
func (r Report) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(t, "prompts\trequests\tgood\tfirst p50\tp95\tp99\tgap p95\tfailures\t")
	for _, row := range append(r.Rows, r.Actions) {
		_, _ = fmt.Fprintf(t, "%s\t%d\t%d\t%v\t%v\t%v\t%v\t%v\t\n", row.Class, row.Requests, row.Succeeded,
			row.TTFT50.Round(time.Millisecond), row.TTFT95.Round(time.Millisecond), row.TTFT99.Round(time.Millisecond),
			row.Gap95.Round(100*time.Microsecond), row.Failures)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(w, "offered %.1f/s, goodput %.1f/s, first token of prompts under 10k tokens: p95 %v\n",
		r.Offered, r.Goodput, r.TTFT95Under10k.Round(time.Millisecond))
	return err
}
