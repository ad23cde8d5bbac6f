package ratelimits_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/ratelimits"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func replica(incarnation int64) catkinspindle.Replica {
	return catkinspindle.Replica{ID: "r1", Incarnation: incarnation}
}

// step is an answer with a statement; sentAt and at are offsets from the start.
type step struct {
	sentAt, at  time.Duration
	incarnation int64
	limit       catkinspindle.RateLimit
}

func stated(perSecond float64) catkinspindle.RateLimit {
	return catkinspindle.RateLimit{Stated: true, PerSecond: perSecond}
}

func TestObserve(t *testing.T) {
	none := catkinspindle.RateLimit{}
	tests := map[string]struct {
		steps       []step
		wantLimited bool
		wantRate    float64
	}{
		"stated":                           {[]step{{0, 1, 1, stated(1.6)}}, true, 1.6},
		"changed":                          {[]step{{0, 1, 1, stated(1.6)}, {2, 3, 1, stated(40)}}, true, 40},
		"not stated by a later answer":     {[]step{{0, 1, 1, stated(1.6)}, {2, 3, 1, none}}, false, 0},
		"not stated by an earlier request": {[]step{{0, 2, 1, stated(1.6)}, {1, 3, 1, none}}, true, 1.6},
		"malformed later":                  {[]step{{0, 1, 1, stated(1.6)}, {2, 3, 1, catkinspindle.RateLimit{Malformed: "x"}}}, true, 1.6},
		// Requests to the replica as an old list has it reach the later incarnation.
		"stated by the previous incarnation": {[]step{{0, 1, 2, stated(1.6)}, {0, 2, 1, stated(9)}}, true, 1.6},
		"not stated by the next incarnation": {[]step{{0, 1, 1, stated(1.6)}, {2, 3, 2, none}}, true, 1.6},
		"zero keeps a minimum rate":          {[]step{{0, 1, 1, stated(0)}}, true, 1.0 / 30},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			table := ratelimits.New()
			for _, s := range tt.steps {
				table.Observe(start.Add(s.at), start.Add(s.sentAt), replica(s.incarnation), s.limit)
			}
			rate, limited := table.Limit(replica(1))
			if diff := cmp.Diff(tt.wantLimited, limited); diff != "" {
				t.Errorf("limited (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(tt.wantRate, rate); diff != "" {
				t.Errorf("rate (-want +got):\n%s", diff)
			}
		})
	}
}

// The statement of the latest answer holds, in whichever order the reports arrive.
func TestLatestStatementHolds(t *testing.T) {
	limited := catkinspindle.RateLimitReport{ID: "r1", Incarnation: 1, Limited: true, PerSecond: 2, Age: 3 * time.Second}
	ended := catkinspindle.RateLimitReport{ID: "r1", Incarnation: 1, Age: time.Second}
	restarted := catkinspindle.RateLimitReport{ID: "r1", Incarnation: 2, Limited: true, PerSecond: 7, Age: 5 * time.Second}
	tests := map[string]struct {
		reports     []catkinspindle.RateLimitReport
		incarnation int64
		want        float64
	}{
		"limited":                    {[]catkinspindle.RateLimitReport{limited}, 1, 2},
		"ended later":                {[]catkinspindle.RateLimitReport{limited, ended}, 1, 0},
		"ended later, arrives first": {[]catkinspindle.RateLimitReport{ended, limited}, 1, 0},
		"next incarnation":           {[]catkinspindle.RateLimitReport{restarted, limited}, 2, 7},
		"previous incarnation":       {[]catkinspindle.RateLimitReport{limited, restarted}, 1, 7},
		"of the previous one only":   {[]catkinspindle.RateLimitReport{limited}, 2, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			table := ratelimits.New()
			table.Apply(start, tt.reports)
			got, _ := table.Limit(replica(tt.incarnation))
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("rate (-want +got):\n%s", diff)
			}
		})
	}
}

func TestSinceReturnsOnlyChanges(t *testing.T) {
	table := ratelimits.New()
	table.Observe(start, start, replica(1), stated(2))
	list, position := table.Since(start.Add(time.Second), 0, true)
	want := []catkinspindle.RateLimitReport{{ID: "r1", Incarnation: 1, Limited: true, PerSecond: 2, Age: time.Second}}
	if diff := cmp.Diff(want, list); diff != "" {
		t.Errorf("reports (-want +got):\n%s", diff)
	}
	table.Observe(start.Add(time.Second), start, replica(1), stated(2))
	if list, _ := table.Since(start, position, true); len(list) > 0 {
		t.Errorf("reports %v after an unchanged statement", list)
	}
	table.Apply(start.Add(3*time.Second), []catkinspindle.RateLimitReport{{ID: "r2", Incarnation: 1, Limited: true, PerSecond: 4}})
	if list, _ := table.Since(start, position, true); len(list) > 0 {
		t.Errorf("reports %v that another node has sent", list)
	}
	if list, _ := table.Since(start, position, false); len(list) != 1 {
		t.Errorf("reports %v, want the one of r2", list)
	}
}

func TestPruneKeepsLimitOfUnlistedReplicaForAWhile(t *testing.T) {
	table := ratelimits.New()
	table.Observe(start, start, replica(1), stated(2))
	table.Prune(start.Add(30*time.Second), nil)
	if _, limited := table.Limit(replica(1)); !limited {
		t.Error("the limit was dropped after 30s")
	}
	table.Prune(start.Add(30*time.Second), map[string]catkinspindle.Replica{"r1": replica(2)})
	if ids := table.Limited(); len(ids) > 0 {
		t.Errorf("%v are limited after the restart of the replica", ids)
	}
	table.Observe(start, start, replica(2), stated(2))
	table.Prune(start.Add(2*time.Minute), nil)
	if ids := table.Limited(); len(ids) > 0 {
		t.Errorf("%v are limited although they were not listed for two minutes", ids)
	}
}
