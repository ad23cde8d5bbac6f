package regression_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/catkinspindle/catkinspindle/regression"
)

const baseline = "small\tquiet-1\t0.800\nsmall\ttrouble-1\t0.600\n"

// day returns a day of a journal entry as JSON.
func day(name, worth, rules, gate string) string {
	return `{"name":"` + name + `","G":` + worth + `,"rules":{` + rules + `},"gate":` + gate + `,"fault":null}`
}

func report(t *testing.T, verb string, days ...string) *regression.Report {
	t.Helper()
	dir := t.TempDir()
	text := `{"cmd":"` + verb + `","argv":[".../small.toml"],"ok":true,"error":null,"days":[` + strings.Join(days, ",") + `]}`
	if err := os.WriteFile(filepath.Join(dir, "20260101T000000-abc.json"), []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	r, err := regression.New(strings.NewReader(baseline))
	if err != nil {
		t.Fatal(err)
	}
	if err := r.Add(dir, "abc"); err != nil {
		t.Fatal(err)
	}
	return r
}

func TestProblems(t *testing.T) {
	tests := map[string]struct {
		verb string
		days []string
		want []string
	}{
		"within tolerance": {"score", []string{day("quiet-1", "0.79", "", "true"), day("trouble-1", "0.58", "", "true")}, nil},
		"below tolerance":  {"score", []string{day("quiet-1", "0.79", "", "true"), day("trouble-1", "0.54", "", "true")}, []string{"small: mean worth of 2 days 0.665, baseline 0.700"}},
		"a fresh day":      {"score", []string{day("fresh-1", "0.1", "", "true")}, nil},
		"a rule broken":    {"hunt", []string{day("mix --seed 1", "0.5", `"LOST":2,"DRAIN":1`, "false")}, []string{"small, mix --seed 1: rules broken: DRAIN 1, LOST 2"}},
		"a failed gate":    {"score", []string{day("fresh-1", "0.1", "", "false")}, []string{"small, fresh-1: gate failed"}},
		"hunt, not scored": {"hunt", []string{day("quiet-1", "0.1", "", "true")}, nil},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			if diff := cmp.Diff(tt.want, report(t, tt.verb, tt.days...).Problems()); diff != "" {
				t.Errorf("problems (-want +got):\n%s", diff)
			}
		})
	}
}

func TestWriteTableAndBaseline(t *testing.T) {
	r := report(t, "score", day("quiet-1", "0.82", "", "true"), day("fresh-1", "0.4", "", "true"))
	var table, next strings.Builder
	if err := r.WriteTable(&table); err != nil {
		t.Fatal(err)
	}
	for _, line := range []string{"small  quiet-1    0.820  0.800", "small  fresh-1    0.400  -", "small  mean of 1  0.820  0.800"} {
		if !strings.Contains(table.String(), line) {
			t.Errorf("no line %q in\n%s", line, table.String())
		}
	}
	if err := r.WriteBaseline(&next); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff("small\tquiet-1\t0.820\nsmall\ttrouble-1\t0.600\n", next.String()); diff != "" {
		t.Errorf("updated baseline (-want +got):\n%s", diff)
	}
}

func TestBadInput(t *testing.T) {
	for _, text := range []string{"small\tquiet-1\n", "small\tquiet-1\thigh\n"} {
		if _, err := regression.New(strings.NewReader(text)); err == nil || !strings.Contains(err.Error(), "line 1") {
			t.Errorf("%q: error %v, want one that names the line", text, err)
		}
	}
	r, err := regression.New(strings.NewReader(""))
	if err != nil {
		t.Fatal(err)
	}
	if err := r.Add(t.TempDir(), "none"); err == nil || !strings.Contains(err.Error(), `"none"`) {
		t.Errorf("error %v, want one that names the entry", err)
	}
}
