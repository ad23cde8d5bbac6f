package proofs_test

import (
	"fmt"
	"strings"
	"time"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/standin/answer"
)

// endGrace is how long after its deadline a request may still get its final answer.
const endGrace = 500 * time.Millisecond

// violations checks the history of a run for broken guarantees.
func (f *fleet) violations() []string {
	var list []string
	list = append(list, f.late()...)
	list = append(list, f.wrong()...)
	list = append(list, f.untrue()...)
	list = append(list, f.repeated()...)
	return list
}

// late reports requests without a final answer by their deadline.
func (f *fleet) late() (list []string) {
	for _, r := range f.results {
		if over := r.ended.Sub(r.deadline); over > endGrace && !r.entryLost {
			list = append(list, fmt.Sprintf("late: %s via %s ended %v after its deadline: %v", r.name, r.via, over, r.err))
		}
	}
	return list
}

// wrong reports successful requests whose text is not the complete answer to their own prompt.
func (f *fleet) wrong() (list []string) {
	for _, r := range f.results {
		if r.err != nil || r.tokens == 0 {
			continue
		}
		prompt := promptText(r.name, r.tokens)
		matches := false
		for _, version := range []string{"1", "2", "3"} {
			matches = matches || r.text == answer.New("m@"+version, "").Extend(prompt).Text(64)
		}
		if !matches {
			list = append(list, fmt.Sprintf("wrong answer: %s via %s got %q", r.name, r.via, r.text))
		}
	}
	return list
}

// untrue reports requests answered with "not run" that a back end had executed.
// Without an origin the verdict covers only the request at hand, so such an
// action counts as not run only if no answer for it had another verdict.
func (f *fleet) untrue() (list []string) {
	ran := map[string]time.Time{}
	note := func(name string, at time.Time) {
		if first, ok := ran[name]; !ok || at.Before(first) {
			ran[name] = at
		}
	}
	open := map[string]bool{}
	for _, r := range f.results {
		open[r.name] = open[r.name] || r.verdict() != catkinspindle.NotRun
	}
	for _, e := range f.engines {
		for _, ev := range e.History() {
			if ev.Kind == "start" {
				name, _, _ := strings.Cut(ev.Title, ": ")
				note(name, ev.At)
			}
		}
	}
	for _, p := range f.plains {
		for _, ev := range p.History() {
			note(ev.Body, ev.At)
		}
	}
	for _, r := range f.results {
		at, ok := ran[r.name]
		if r.verdict() == catkinspindle.NotRun && ok && !at.After(r.ended) && !(r.withoutOrigin && open[r.name]) {
			list = append(list, fmt.Sprintf("false verdict: %s via %s was reported as not-run but had run: %v", r.name, r.via, r.err))
		}
	}
	return list
}

// repeated reports actions that were executed more than once. The body of a
// call identifies the caller's action.
func (f *fleet) repeated() (list []string) {
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
		if f.net.site(name).lost(time.Now()) {
			continue
		}
		for engine, l := range n.Snapshot().Own {
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

func (f *fleet) report(list []string) {
	f.t.Helper()
	for _, v := range list {
		f.t.Error(v)
	}
	f.t.Logf("history: %d requests, %d complete answers, %d violations", len(f.results), f.successes(), len(list))
}
