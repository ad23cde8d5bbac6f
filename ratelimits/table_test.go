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
		"stated":                             {[]step{{0, 1, 1, stated(1.6)}}, true, 1.6},
		"changed":                            {[]step{{0, 1, 1, stated(1.6)}, {2, 3, 1, stated(40)}}, true, 40},
		"not stated by a later answer":       {[]step{{0, 1, 1, stated(1.6)}, {2, 3, 1, none}}, false, 0},
		"not stated by an earlier request":   {[]step{{0, 2, 1, stated(1.6)}, {1, 3, 1, none}}, true, 1.6},
		"malformed later":                    {[]step{{0, 1, 1, stated(1.6)}, {2, 3, 1, catkinspindle.RateLimit{Malformed: "x"}}}, true, 1.6},
		"stated by the previous incarnation": {[]step{{0, 1, 2, stated(1.6)}, {0, 2, 1, stated(9)}}, false, 0},
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
