package placement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/placement"
)

// loadUntilRefused places jobs until one is refused, and returns its number and refusal.
func loadUntilRefused(t *testing.T, p *placement.Planner, job func(int) catkinspindle.Job) (int, catkinspindle.Placement) {
	t.Helper()
	for i := range 2000 {
		if got := p.Place(start, job(i)); got.Refused() {
			return i, got
		}
	}
	t.Fatal("2000 jobs were accepted")
	return 0, catkinspindle.Placement{}
}

// While no other caller comes, a refused one is accepted when it returns after Retry-After, and
// would not have been accepted much earlier: it stays away for as long as the placed work requires.
func TestRefusedCallerReturnsWhenWorkAllows(t *testing.T) {
	const step = 50 * time.Millisecond
	jobs := map[string]func(int) catkinspindle.Job{
		"short":              short,
		"long":               func(i int) catkinspindle.Job { return long(i, 150_000) },
		"long, of two sizes": func(i int) catkinspindle.Job { return long(i, 100_000+200_000*(i%2)) },
	}
	for name, job := range jobs {
		t.Run(name, func(t *testing.T) {
			n, refused := loadUntilRefused(t, planner(21), job)
			accepted := func(after time.Duration) bool {
				p := planner(21)
				for i := range n {
					p.Place(start, job(i))
				}
				j := job(n)
				j.TimeLeft -= after
				return !p.Place(start.Add(after), j).Refused()
			}
			earliest := time.Duration(0)
			for !accepted(earliest) {
				earliest += step
			}
			if refused.RetryAfter > earliest+step {
				t.Errorf("RetryAfter is %v, although the job would be accepted after %v", refused.RetryAfter, earliest)
			}
			if !accepted(refused.RetryAfter + step) {
				t.Errorf("refused again after %v, accepted after %v", refused.RetryAfter, earliest)
			}
		})
	}
}

// Callers that are refused at the same time return one after the other, as the work of those before
// them allows.
func TestRefusedCallersTakeTurns(t *testing.T) {
	p := planner(21)
	job := func(i int) catkinspindle.Job { return long(i, 150_000) }
	n, refused := loadUntilRefused(t, p, job)
	turns := []time.Duration{refused.RetryAfter}
	for i := range 5 {
		turns = append(turns, p.Place(start, job(n+1+i)).RetryAfter)
	}
	var spaces []string
	for i := range 5 {
		space := turns[i+1] - turns[i]
		spaces = append(spaces, fmt.Sprint(space >= 100*time.Millisecond && space <= 200*time.Millisecond))
	}
	// 21 replicas need 145 ms for the prefill of such a prompt.
	if diff := cmp.Diff([]string{"true", "true", "true", "true", "true"}, spaces); diff != "" {
		t.Errorf("turns %v, want 100 to 200 ms between them (-want +got):\n%s", turns, diff)
	}
}

// A job whose answer would not end in time, because it has to wait, returns when the replicas are free.
func TestRefusedCallerReturnsAfterWait(t *testing.T) {
	p := planner(21)
	for i := range 8 {
		p.Place(start, long(i, 150_000))
	}
	j := long(100, 150_000)
	first := p.Place(start, j)
	p.ReportResult(start, catkinspindle.AttemptResult{JobID: j.ID, Replica: first.Replica, Outcome: catkinspindle.OutcomeGivenUp})
	j.TimeLeft = first.ExpectedFirstEvent + 300*time.Millisecond // 16 events take longer.
	got := p.Place(start, j)
	if diff := cmp.Diff(catkinspindle.CheckDeadline, got.Check); diff != "" {
		t.Fatalf("check (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(got.ExpectedWait, got.RetryAfter); diff != "" {
		t.Errorf("RetryAfter (-want +got):\n%s", diff)
	}
}

// A job that finds no free slot returns when the first answer is expected to end.
func TestRefusedCallerReturnsWhenAnswerEnds(t *testing.T) {
	// 320 tokens in events of 51 take seven iterations of at least 43 ms.
	const decoding = 7 * 43 * time.Millisecond
	job := func(i int) catkinspindle.Job {
		j := long(i, 1000)
		j.AnswerTokens, j.TimeLeft, j.LatencyObjective = 320, time.Minute, time.Minute
		return j
	}
	first := planner(1).Place(start, job(0))
	n, refused := loadUntilRefused(t, planner(1), job)
	if diff := cmp.Diff(catkinspindle.CheckReaders, refused.Check); diff != "" {
		t.Fatalf("check of job %d (-want +got):\n%s", n, diff)
	}
	if end := first.ExpectedFirstEvent + decoding; refused.RetryAfter < end || refused.RetryAfter > 2*end {
		t.Errorf("RetryAfter is %v, the first answer ends after %v", refused.RetryAfter, end)
	}
}

// A job returns before those of lower rank that were refused earlier, and after those of its own rank.
func TestTurnsAreTakenByRank(t *testing.T) {
	p := planner(21)
	ranked := func(i, rank int) catkinspindle.Job {
		j := long(i, 150_000)
		j.Priority = rank
		return j
	}
	n, first := loadUntilRefused(t, p, func(i int) catkinspindle.Job { return ranked(i, 2) })
	for i := range 9 {
		p.Place(start, ranked(n+1+i, 2))
	}
	higher, lower := p.Place(start, ranked(n+10, 1)), p.Place(start, ranked(n+11, 3))
	if higher.RetryAfter > first.RetryAfter {
		t.Errorf("a job of a higher rank returns after %v, the first of a lower one after %v", higher.RetryAfter, first.RetryAfter)
	}
	if earliest := first.RetryAfter + time.Second; lower.RetryAfter < earliest {
		t.Errorf("a job of a lower rank returns after %v, want %v or later", lower.RetryAfter, earliest)
	}
}
