// Package regression compares the worth of benchmark days in the journal with a baseline from
// earlier runs, which is kept in the repository.
package regression

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
)

// Tolerance is how far the mean worth of a site may be below its baseline. Runs that depend
// on processor time vary by that much.
const Tolerance = 0.03

const (
	verbScore   = "score"
	freshPrefix = "fresh-"
)

// Report holds the results of benchmark runs and the baseline.
type Report struct {
	baseline map[string]map[string]float64
	results  []result
	// problems are the reasons for which the runs count as failed.
	problems []string
}

// result is the outcome of one benchmark scenario, which the journal calls a day.
type result struct {
	site, day, verb string
	worth           float64
	rules           map[string]int
	passed          bool
}

// entry is the part of a journal entry that the report uses.
type entry struct {
	Verb  string   `json:"cmd"`
	Args  []string `json:"argv"`
	OK    bool     `json:"ok"`
	Error *string  `json:"error"`
	Days  []struct {
		Name  string         `json:"name"`
		Worth float64        `json:"G"`
		Rules map[string]int `json:"rules"`
		Gate  bool           `json:"gate"`
		Fault any            `json:"fault"`
	} `json:"days"`
}

// New returns a report without results that compares with the given baseline: lines of
// site, day and worth, separated by tabs.
func New(baseline io.Reader) (*Report, error) {
	r := &Report{baseline: map[string]map[string]float64{}}
	lines := bufio.NewScanner(baseline)
	for n := 1; lines.Scan(); n++ {
		if lines.Text() == "" {
			continue
		}
		fields := strings.Split(lines.Text(), "\t")
		if len(fields) != 3 {
			return nil, fmt.Errorf("line %d: %d fields, want site, day and worth", n, len(fields))
		}
		worth, err := strconv.ParseFloat(fields[2], 64)
		if err != nil {
			return nil, fmt.Errorf("line %d: worth: %w", n, err)
		}
		if r.baseline[fields[0]] == nil {
			r.baseline[fields[0]] = map[string]float64{}
		}
		r.baseline[fields[0]][fields[1]] = worth
	}
	if err := lines.Err(); err != nil {
		return nil, fmt.Errorf("baseline: %w", err)
	}
	return r, nil
}

var errNoEntry = errors.New("no such entry")

// Add adds the results of the journal entry with the id in the directory dir.
func (r *Report) Add(dir, id string) error {
	files, err := filepath.Glob(filepath.Join(dir, "*-"+id+".json"))
	if err != nil || len(files) != 1 {
		return fmt.Errorf("journal entry %q: %w", id, errors.Join(errNoEntry, err))
	}
	data, err := os.ReadFile(files[0])
	if err != nil {
		return fmt.Errorf("journal entry %q: %w", id, err)
	}
	var e entry
	if err := json.Unmarshal(data, &e); err != nil {
		return fmt.Errorf("journal entry %q: %w", id, err)
	}
	site := "?"
	if len(e.Args) > 0 {
		site = strings.TrimSuffix(filepath.Base(e.Args[0]), ".toml")
	}
	if !e.OK {
		r.addProblem("%s of %s did not finish", e.Verb, site)
	}
	for _, d := range e.Days {
		r.results = append(r.results, result{site: site, day: d.Name, verb: e.Verb, worth: d.Worth, rules: d.Rules, passed: d.Gate && d.Fault == nil})
		if len(d.Rules) > 0 {
			r.addProblem("%s, %s: rules broken: %s", site, d.Name, formatRules(d.Rules))
		} else if !d.Gate || d.Fault != nil {
			r.addProblem("%s, %s: gate failed", site, d.Name)
		}
	}
	return nil
}

func (r *Report) addProblem(format string, args ...any) {
	r.problems = append(r.problems, fmt.Sprintf(format, args...))
}

func formatRules(rules map[string]int) string {
	var list []string
	for _, name := range slices.Sorted(maps.Keys(rules)) {
		list = append(list, fmt.Sprintf("%s %d", name, rules[name]))
	}
	return strings.Join(list, ", ")
}

// Problems returns the reasons for which the runs count as failed: unfinished runs, broken
// rules, failed gates, and sites whose mean worth is more than Tolerance below the baseline.
func (r *Report) Problems() []string {
	problems := slices.Clone(r.problems)
	for _, site := range r.sites() {
		meanWorth, meanBaseline, days := r.meanWorths(site)
		if days > 0 && meanWorth < meanBaseline-Tolerance {
			problems = append(problems, fmt.Sprintf("%s: mean worth of %d days %.3f, baseline %.3f", site, days, meanWorth, meanBaseline))
		}
	}
	return problems
}

func (r *Report) sites() []string {
	seen := map[string]bool{}
	for _, row := range r.results {
		seen[row.site] = true
	}
	return slices.Sorted(maps.Keys(seen))
}

// meanWorths returns the mean worth and the mean baseline over the scored days of a site that
// have a baseline, and the number of those days.
func (r *Report) meanWorths(site string) (meanWorth, meanBaseline float64, days int) {
	for _, row := range r.results {
		baseline, ok := r.baseline[site][row.day]
		if row.site != site || row.verb != verbScore || !ok {
			continue
		}
		meanWorth, meanBaseline, days = meanWorth+row.worth, meanBaseline+baseline, days+1
	}
	if days > 0 {
		meanWorth, meanBaseline = meanWorth/float64(days), meanBaseline/float64(days)
	}
	return meanWorth, meanBaseline, days
}

// WriteTable writes a table with a line for each day and the means of each site.
func (r *Report) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	if _, err := fmt.Fprintln(t, "site\tday\tworth\tbaseline\trules broken"); err != nil {
		return err
	}
	for _, row := range r.results {
		baseline := "-"
		if v, ok := r.baseline[row.site][row.day]; ok && row.verb == verbScore {
			baseline = fmt.Sprintf("%.3f", v)
		}
		rules := formatRules(row.rules)
		if rules == "" && !row.passed {
			rules = "gate failed"
		}
		if _, err := fmt.Fprintf(t, "%s\t%s\t%.3f\t%s\t%s\n", row.site, row.day, row.worth, baseline, rules); err != nil {
			return err
		}
	}
	for _, site := range r.sites() {
		if meanWorth, meanBaseline, days := r.meanWorths(site); days > 0 {
			if _, err := fmt.Fprintf(t, "%s\tmean of %d\t%.3f\t%.3f\t\n", site, days, meanWorth, meanBaseline); err != nil {
				return err
			}
		}
	}
	return t.Flush()
}

// WriteBaseline writes the baseline in the format that New reads, updated with the worth of
// each scored day of this report. Days whose name begins with "fresh-" are left out.
func (r *Report) WriteBaseline(w io.Writer) error {
	next := map[string]map[string]float64{}
	for site, days := range r.baseline {
		next[site] = maps.Clone(days)
	}
	for _, row := range r.results {
		if row.verb != verbScore || strings.HasPrefix(row.day, freshPrefix) {
			continue
		}
		if next[row.site] == nil {
			next[row.site] = map[string]float64{}
		}
		next[row.site][row.day] = row.worth
	}
	for _, site := range slices.Sorted(maps.Keys(next)) {
		for _, day := range slices.Sorted(maps.Keys(next[site])) {
			if _, err := fmt.Fprintf(w, "%s\t%s\t%.3f\n", site, day, next[site][day]); err != nil {
				return err
			}
		}
	}
	return nil
}
