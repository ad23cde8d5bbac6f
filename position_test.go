package catkinspindle_test

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/catkinspindle/catkinspindle"
)

// Positions are compared by era first, because a restored store issues revision numbers again.
func TestPositions(t *testing.T) {
	at := func(era, revision int64) catkinspindle.Position {
		return catkinspindle.Position{Era: era, Revision: revision}
	}
	tests := map[string]struct {
		a, b catkinspindle.Position
		want int
	}{
		"same":                              {at(1, 5), at(1, 5), 0},
		"later revision":                    {at(1, 6), at(1, 5), 1},
		"lower revision of a later era":     {at(2, 1), at(1, 900), 1},
		"higher revision of an earlier era": {at(0, 900), at(1, 1), -1},
		"first revision after a restore":    {at(3, 0), at(2, 7), 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			if diff := cmp.Diff([]int{tt.want, -tt.want}, []int{tt.a.Compare(tt.b), tt.b.Compare(tt.a)}); diff != "" {
				t.Errorf("comparison both ways (-want +got):\n%s", diff)
			}
		})
	}
}

func TestPositionInLogs(t *testing.T) {
	var out bytes.Buffer
	slog.New(slog.NewJSONHandler(&out, nil)).Info("x", "position", catkinspindle.Position{Era: 2, Revision: 17})
	if !strings.Contains(out.String(), `"position":"2/17"`) {
		t.Errorf("log line %s", out.String())
	}
}
