package silence_test

import (
	"fmt"
	"slices"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/silence"
)

// recent is the time for which a replica does not count as silent after data.
const recent = 400 * time.Millisecond

// awaitingAttempt is an attempt that awaits data.
type awaitingAttempt struct {
	id      string
	replica catkinspindle.Replica
	// dueAt is the time by which it expects data.
	dueAt time.Time
}

// model drives a table and notes what it must know.
type model struct {
	table    *silence.Table
	now      time.Time
	attempts []*awaitingAttempt
	// replicas has the replicas in their current incarnations, dataAt when each last sent data or began
	// to be awaited.
	replicas map[string]catkinspindle.Replica
	dataAt   map[string]time.Time
	count    int
}

func (m *model) expect(id string, within time.Duration) {
	r := m.replicas[id]
	if !slices.ContainsFunc(m.attempts, m.isCurrent(id)) {
		m.dataAt[id] = m.now
	}
	m.count++
	a := &awaitingAttempt{id: strconv.Itoa(m.count), replica: r, dueAt: m.now.Add(max(recent, within))}
	m.attempts = append(m.attempts, a)
	m.table.Expect(m.now, r, a.id, within)
}

// isCurrent returns a function that reports whether an attempt is at the current incarnation of a replica.
func (m *model) isCurrent(id string) func(*awaitingAttempt) bool {
	return func(a *awaitingAttempt) bool { return a.replica.SameIncarnation(m.replicas[id]) }
}

func (m *model) receive(a *awaitingAttempt, within time.Duration) {
	a.dueAt = m.now.Add(max(recent, within))
	m.table.Receive(m.now, a.replica, a.id, within)
	if m.isCurrent(a.replica.ID)(a) {
		m.dataAt[a.replica.ID] = m.now
	}
}

func (m *model) end(a *awaitingAttempt) {
	m.attempts = slices.DeleteFunc(m.attempts, func(b *awaitingAttempt) bool { return a == b })
	m.table.End(a.replica, a.id)
}

func (m *model) restart(id string) {
	r := m.replicas[id]
	r.Incarnation++
	m.replicas[id] = r
}

// check returns an error if a replica with recent data counts as silent, or one without overdue data does not.
func (m *model) check() error {
	silent := m.table.Silent(m.now, "s")
	for _, id := range silent {
		if m.now.Sub(m.dataAt[id]) < recent {
			return fmt.Errorf("replica %s is silent %v after data", id, m.now.Sub(m.dataAt[id]))
		}
	}
	for _, a := range m.attempts {
		overdue := m.isCurrent(a.replica.ID)(a) && m.now.After(a.dueAt) && m.now.Sub(m.dataAt[a.replica.ID]) >= recent
		if overdue && !slices.Contains(silent, a.replica.ID) {
			return fmt.Errorf("replica %s is not silent %v after data was due", a.replica.ID, m.now.Sub(a.dueAt))
		}
	}
	n, awaited := m.table.Others(m.now, catkinspindle.Replica{ID: "other", Service: "s"})
	if n != len(silent) || awaited < n {
		return fmt.Errorf("%d of %d replicas are silent, listed are %d", n, awaited, len(silent))
	}
	return nil
}

// For any order of calls, a replica with recent data is not silent, one whose data is overdue is, and
// nothing is left when all attempts have ended.
func TestSilenceUnderRandomCalls(t *testing.T) {
	names := rapid.SampledFrom([]string{"a", "b", "c"})
	durations := rapid.SampledFrom([]time.Duration{0, 100 * time.Millisecond, 399 * time.Millisecond, 400 * time.Millisecond, time.Second, 5 * time.Second})
	rapid.Check(t, func(t *rapid.T) {
		m := &model{table: silence.New(), now: begin, replicas: map[string]catkinspindle.Replica{"a": replica("a"), "b": replica("b"), "c": replica("c")}, dataAt: map[string]time.Time{}}
		attempt := func() *awaitingAttempt {
			if len(m.attempts) == 0 {
				t.Skip("no attempt awaits data")
			}
			return rapid.SampledFrom(m.attempts).Draw(t, "attempt")
		}
		t.Repeat(map[string]func(*rapid.T){
			"expect": func(t *rapid.T) {
				m.expect(names.Draw(t, "replica"), durations.Draw(t, "within"))
			},
			"receive": func(t *rapid.T) { m.receive(attempt(), durations.Draw(t, "within")) },
			"end":     func(*rapid.T) { m.end(attempt()) },
			"restart": func(t *rapid.T) { m.restart(names.Draw(t, "replica")) },
			"wait":    func(t *rapid.T) { m.now = m.now.Add(durations.Draw(t, "time")) },
			"": func(t *rapid.T) {
				if err := m.check(); err != nil {
					t.Fatal(err)
				}
			},
		})
		for len(m.attempts) > 0 {
			m.end(m.attempts[0])
		}
		m.now = m.now.Add(time.Hour)
		if _, awaited := m.table.Others(m.now, catkinspindle.Replica{ID: "other", Service: "s"}); awaited > 0 {
			t.Fatalf("data is awaited from %d replicas after all attempts have ended", awaited)
		}
	})
}
