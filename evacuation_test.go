package catkinspindle_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/catkinspindle/catkinspindle"
)

func TestEvacuationsWith(t *testing.T) {
	before := catkinspindle.NewEvacuations(catkinspindle.Position{Revision: 3}, "b", "a", "b")
	tests := map[string]struct {
		dataCentre string
		evacuated  bool
		want       []string
	}{
		"another one":     {"c", true, []string{"a", "b", "c"}},
		"the same again":  {"a", true, []string{"a", "b"}},
		"ended":           {"a", false, []string{"b"}},
		"never evacuated": {"x", false, []string{"a", "b"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			at := catkinspindle.Position{Revision: 4}
			got := before.With(at, tt.dataCentre, tt.evacuated)
			if diff := cmp.Diff(catkinspindle.Evacuations{At: at, DataCentres: tt.want}, got); diff != "" {
				t.Errorf("evacuations (-want +got):\n%s", diff)
			}
			if got.Contains(tt.dataCentre) != tt.evacuated {
				t.Errorf("Contains(%q) = %t", tt.dataCentre, !tt.evacuated)
			}
		})
	}
	if diff := cmp.Diff([]string{"a", "b"}, before.DataCentres); diff != "" {
		t.Errorf("the value that With was called on has changed (-want +got):\n%s", diff)
	}
}

func TestColdLimit(t *testing.T) {
	now := time.Unix(100, 0)
	tests := map[string]struct {
		replica catkinspindle.Replica
		want    float64
	}{
		"cold":                   {catkinspindle.Replica{ColdUntil: now.Add(time.Second), ColdPerSecond: 14}, 14},
		"no longer cold":         {catkinspindle.Replica{ColdUntil: now, ColdPerSecond: 14}, 0},
		"cold without any limit": {catkinspindle.Replica{ColdUntil: now.Add(time.Second)}, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			got, ok := tt.replica.ColdLimit(now)
			if diff := cmp.Diff(tt.want, got); diff != "" || ok != (tt.want > 0) {
				t.Errorf("limited %t, limit (-want +got):\n%s", ok, diff)
			}
		})
	}
}
