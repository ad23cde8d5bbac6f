package proofs_test

import (
	"fmt"
	"strings"
	"time"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/standin/answer"
)

// deadlineGrace is how long after its deadline a request may still get its final answer.
const deadlineGrace = 500 * time.Millisecond

// violations checks the history of a run for broken guarantees.
func (f *fleet) violations() []string {
	var list []string
	list = append(list, f.lateRequests()...)
	list = append(list, f.wrongAnswers()...)
	list = append(list, f.falseNotRunVerdicts()...)
	list = append(list, f.repeatedActions()...)
	return list
}

// lateRequests reports requests without a final answer by their deadline.
func (f *fleet) lateRequests() (list []string) {
	for _, r := range f.results {
		if overrun := r.ended.Sub(r.deadline); overrun > deadlineGrace && !r.entryFailed {
			list = append(list, fmt.Sprintf("late: %s via %s ended %v after its deadline: %v", r.name, r.via, overrun, r.err))
		}
	}
	return list
}

// wrongAnswers reports successful requests whose text is not the complete answer
// to their own prompt.
func (f *fleet) wrongAnswers() (list []string) {
	for _, r := range f.results {
		if r.err != nil || r.tokens == 0 {
			continue
		}
		prompt := promptText(r.name, r.tokens)
		matches := false
		for _, version := range []string{"1", "2", "3"} {
			matches = matches || r.text == answer.New("m@"+version, "").Append(prompt).Text(64)
		}
		if !matches {
			list = append(list, fmt.Sprintf("wrong answer: %s via %s got %q", r.name, r.via, r.text))
		}
	}
	return list
}

// falseNotRunVerdicts reports requests answered with "not run" that a back end had executed.
// Without an origin the verdict covers only the request at hand, so such an
// action counts as not run only if no answer for it had another verdict.
func (f *fleet) falseNotRunVerdicts() (list []string) {
	ran := map[string]time.Time{}
	record := func(name string, at time.Time) {
		if first, ok := ran[name]; !ok || at.Before(first) {
			ran[name] = at
		}
	}
	mayHaveRun := map[string]bool{}
	for _, r := range f.results {
		mayHaveRun[r.name] = mayHaveRun[r.name] || r.verdict() != catkinspindle.NotRun
	}
	for _, e := range f.engines {
		for _, ev := range e.History() {
			if ev.Kind == "start" {
				name, _, _ := strings.Cut(ev.PromptPrefix, ": ")
				record(name, ev.At)
			}
		}
	}
	for _, p := range f.plains {
		for _, ev := range p.History() {
			record(ev.Body, ev.At)
		}
	}
	for _, r := range f.results {
		at, ok := ran[r.name]
		if r.verdict() == catkinspindle.NotRun && ok && !at.After(r.ended) && !(r.withoutOrigin && mayHaveRun[r.name]) {
			list = append(list, fmt.Sprintf("false verdict: %s via %s was reported as not-run but had run: %v", r.name, r.via, r.err))
		}
	}
	return list
}

// repeatedActions reports actions that were executed more than once. The body of a
// call identifies the caller's action.
func (f *fleet) repeatedActions() (list []string) {
	runs := map[string]int{}
	for _, p := range f.plains {
		for _, ev := range p.History() {
			if ev.Method == "buy" {
				runs[ev.Body]++
			}
		}
	}
	for body, n := range runs {
		if n > 1 {
			list = append(list, fmt.Sprintf("repeated: %s ran %d times", body, n))
		}
	}
	return list
}

// leaks reports engine memory that is still reserved for finished requests or dead nodes.
func (f *fleet) leaks() (list []string) {
	for name, e := range f.engines {
		st, err := e.Status(f.t.Context())
		if err != nil {
			continue
		}
		for _, s := range st.Streams {
			list = append(list, fmt.Sprintf("leak: %s holds %d tokens for %s", name, s.Tokens, s.ID))
		}
	}
	for name, n := range f.nodes {
		if f.net.site(name).failedSince(time.Now()) {
			continue
		}
		for engine, l := range n.Snapshot().LocalLoads {
			if home := n.Snapshot().Homes[engine]; home.Origin == n.Snapshot().Self.Origin && l.Ready && l.Free != l.Capacity {
				list = append(list, fmt.Sprintf("leak: ledger of %s on %s has %d of %d tokens free", engine, name, l.Free, l.Capacity))
			}
		}
	}
	return list
}

// successes counts the requests that were answered without an error.
func (f *fleet) successes() int {
	n := 0
	for _, r := range f.results {
		if r.err == nil {
			n++
		}
	}
	return n
}

func (f *fleet) reportViolations(list []string) {
	f.t.Helper()
	for _, v := range list {
		f.t.Error(v)
	}
	f.t.Logf("history: %d requests, %d complete answers, %d violations", len(f.results), f.successes(), len(list))
}
