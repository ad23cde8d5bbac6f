package proofs_test

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/arrivals"
	"github.com/catkinspindle/catkinspindle/load"
	"github.com/catkinspindle/catkinspindle/standin/engine"
)

// customer is the size of a customer's fleet.
type customer struct {
	name    string
	engines int
}

var customers = []customer{{name: "ruenrak", engines: 20}, {name: "dunakoer", engines: 25}}

const shortPromptLimit = 10_000

// decodeGap is the time between tokens when the batch is half full.
const decodeGap = 15 * time.Millisecond

// capacityPerEngine returns the capacity of an engine in requests per second. It
// is the lower of two limits: the prefill rate beside 50 decoding streams, and the
// memory when each request holds its tokens for its prefill and for the decoding
// of its longest answer.
func capacityPerEngine(mix arrivals.Mix) float64 {
	cfg := engine.DefaultConfig("")
	const decoding = 50
	step := cfg.StepTime.Seconds() + float64(cfg.StepTokens)/float64(cfg.PrefillRate) + decoding*cfg.StreamTime.Seconds()
	prefillRate := float64(cfg.StepTokens) / step
	sample := mix
	sample.Rate, sample.Duration = 1000, 100*time.Second
	tokens, tokenSeconds, n := 0.0, 0.0, 0.0
	for _, a := range arrivals.Generate(sample, 99) {
		residence := float64(a.PromptTokens)/prefillRate + float64(a.MaxTokens)*decodeGap.Seconds()
		tokens += float64(a.PromptTokens)
		tokenSeconds += float64(a.PromptTokens+a.MaxTokens) * residence
		n++
	}
	return min(prefillRate/(tokens/n), float64(cfg.CapacityTokens)/(tokenSeconds/n))
}

// policyRun configures one measurement of a policy in virtual time.
type policyRun struct {
	policy   catkinspindle.Policy
	engines  int
	load     float64
	duration time.Duration
	seed     uint64
	// shortOnly leaves out prompts of shortPromptLimit tokens or more.
	shortOnly   bool
	fault       func(f *fleet)
	reportDelay time.Duration
}

func (m policyRun) run(t *testing.T) (report load.Report) {
	synctest.Test(t, func(t *testing.T) {
		s := smallFleet()
		s.dataCentres, s.nodes, s.engines, s.policy = 3, 6, m.engines, m.policy
		s.configureEngine = func(c *engine.Config) {
			if m.reportDelay > 0 {
				c.MinReportAge = m.reportDelay
			}
		}
		f := newFleet(t, s)
		mix := arrivals.DefaultMix()
		mix.Duration = m.duration
		mix.Rate = m.load * capacityPerEngine(mix) * float64(m.engines)
		list := arrivals.Generate(mix, m.seed)
		if m.shortOnly {
			var short []arrivals.Arrival
			for _, a := range list {
				if a.PromptTokens < shortPromptLimit {
					short = append(short, a)
				}
			}
			list = short
		}
		if m.fault != nil {
			f.spawn(func() {
				time.Sleep(m.duration / 3)
				m.fault(f)
			})
		}
		samples := load.Run(context.Background(), list, f.sendArrival)
		report = load.NewReport(samples, m.duration)
	})
	return report
}

// sendArrival sends a prompt or an action through one of the live nodes and measures it.
func (f *fleet) sendArrival(_ context.Context, a arrivals.Arrival) load.Sample {
	s := load.Sample{ID: a.ID, Tokens: a.PromptTokens, Action: a.Action}
	via := f.nodeName(a.ID % f.spec.nodes)
	for f.net.site(via).dead.Err() != nil {
		via = f.nodeName((a.ID + 1) % f.spec.nodes)
	}
	site, n := f.net.site(via), f.node(via)
	start := time.Now()
	deadline := start.Add(a.Timeout)
	ctx, cancel := site.callerContext(deadline)
	defer cancel()
	if a.Action {
		origin := n.Actions().Origin()
		name := fmt.Sprint("action ", a.ID)
		_, s.Err = n.Actions().Call(ctx, catkinspindle.Action{
			Workspace: "w",
			Call:      catkinspindle.PlainCall{Service: "archive", Method: "buy", Key: name, Body: []byte(name), Deadline: deadline},
			Origin:    &origin,
		})
		s.Total = time.Since(start)
		s.TimeToFirstToken = s.Total
		return s
	}
	req := catkinspindle.Request{
		Workspace: fmt.Sprint("w", a.Workspace),
		Model:     "m",
		Prompt:    a.Prompt(),
		MaxTokens: a.MaxTokens,
		Deadline:  deadline,
	}
	stream, err := n.PromptService().Open(ctx, req)
	if err != nil {
		s.Err, s.Total = err, time.Since(start)
		return s
	}
	defer stream.Close()
	last := start
	for s.Err == nil {
		c, err := stream.Next()
		now := time.Now()
		switch {
		case err != nil:
			s.Err = err
		case s.TimeToFirstToken == 0:
			s.TimeToFirstToken = now.Sub(start)
		default:
			s.Gaps = append(s.Gaps, now.Sub(last))
		}
		last = now
		if c.End {
			break
		}
	}
	s.Total = time.Since(start)
	return s
}

// candidatePolicies returns the policies to compare, by name. Candidates 0 to 8 add
// one change each to the one before; those numbered 9 vary one or two settings of 8.
func candidatePolicies() map[string]catkinspindle.Policy {
	with := func(p catkinspindle.Policy, change func(*catkinspindle.Policy)) catkinspindle.Policy {
		change(&p)
		return p
	}
	base := catkinspindle.BaselinePolicy()
	order := with(base, func(p *catkinspindle.Policy) { p.Order, p.Stretch = catkinspindle.OrderStretch, 8 })
	priority := with(order, func(p *catkinspindle.Policy) { p.EnginePriority = true })
	estimate := with(priority, func(p *catkinspindle.Policy) { p.Estimate = true })
	affinity := with(estimate, func(p *catkinspindle.Policy) { p.Affinity = true })
	admission := with(affinity, func(p *catkinspindle.Policy) { p.Admission = true })
	interference := with(admission, func(p *catkinspindle.Policy) { p.Interference = 0.6 })
	longShare := with(interference, func(p *catkinspindle.Policy) { p.LongShare, p.PreferShortOnly = 0.6, 200*time.Millisecond })
	spread := with(longShare, func(p *catkinspindle.Policy) { p.Spread = 60 * time.Millisecond })
	return map[string]catkinspindle.Policy{
		"0 baseline":                   base,
		"1 + order by stretch":         order,
		"2 + engine priority":          priority,
		"3 + estimated start":          estimate,
		"4 + prefix affinity":          affinity,
		"5 + admission":                admission,
		"6 + interference":             interference,
		"7 + closed share":             longShare,
		"8 + spread":                   spread,
		"9 one long an engine":         with(spread, func(p *catkinspindle.Policy) { p.MaxLong = 1 }),
		"9 fair share":                 with(spread, func(p *catkinspindle.Policy) { p.FairShare = true }),
		"9 stretch 2":                  with(spread, func(p *catkinspindle.Policy) { p.Stretch = 2 }),
		"9 stretch 32":                 with(spread, func(p *catkinspindle.Policy) { p.Stretch = 32 }),
		"9 share 0.5, 100ms (default)": with(spread, func(p *catkinspindle.Policy) { p.LongShare, p.Spread = 0.5, 100*time.Millisecond }),
		"9 long share 0.7":             with(spread, func(p *catkinspindle.Policy) { p.LongShare = 0.7 }),
	}
}

// policySeed returns the seed of the arrivals: POLICY_SEED, or 1 if it is not set.
func policySeed() uint64 {
	seed := uint64(1)
	_, _ = fmt.Sscan(os.Getenv("POLICY_SEED"), &seed)
	return seed
}

// tableRow is one row of the table that TestPolicyTable writes.
type tableRow struct {
	Policy   string      `json:"policy"`
	User     string      `json:"user"`
	Load     float64     `json:"load"`
	Fault    string      `json:"fault,omitempty"`
	Seed     uint64      `json:"seed"`
	Slowdown float64     `json:"slowdown-p95"`
	Report   load.Report `json:"report"`
}

var tableFaults = map[string]func(f *fleet){
	"one engine dies":    func(f *fleet) { f.engines["engine-03"].SetFaults(engine.Faults{Dead: true}) },
	"one engine freezes": func(f *fleet) { f.engines["engine-03"].SetFaults(engine.Faults{Frozen: true}) },
	"one VM dies":        func(f *fleet) { f.kill("vm-02") },
}

// TestPolicyTable measures the candidate policies. It runs only when POLICY_TABLE
// names the file to write. POLICY_ONLY selects policies by a part of their name,
// POLICY_LOADS is a comma-separated list of loads.
func TestPolicyTable(t *testing.T) {
	file := os.Getenv("POLICY_TABLE")
	if file == "" {
		t.Skip("POLICY_TABLE is not set")
	}
	loads := []float64{0.5, 0.8, 0.95, 1.2}
	if raw := os.Getenv("POLICY_LOADS"); raw != "" {
		loads = nil
		for _, part := range strings.Split(raw, ",") {
			var v float64
			if _, err := fmt.Sscan(part, &v); err != nil {
				t.Fatal(err)
			}
			loads = append(loads, v)
		}
	}
	rows := make(chan tableRow, 1000)
	t.Run("runs", func(t *testing.T) {
		for name, policy := range candidatePolicies() {
			if only := os.Getenv("POLICY_ONLY"); only != "" && !strings.Contains(name, only) {
				continue
			}
			for _, user := range customers {
				for _, l := range loads {
					t.Run(fmt.Sprint(name, user.name, l), func(t *testing.T) {
						t.Parallel()
						m := policyRun{policy: policy, engines: user.engines, load: l, duration: 30 * time.Second, seed: policySeed()}
						rows <- m.measure(t, name, user.name, "")
					})
				}
			}
			if name != "0 baseline" && name != "9 share 0.5, 100ms (default)" {
				continue
			}
			for fault, inject := range tableFaults {
				t.Run(name+fault, func(t *testing.T) {
					t.Parallel()
					m := policyRun{policy: policy, engines: 20, load: 0.8, duration: 30 * time.Second, seed: 1, fault: inject}
					rows <- m.measure(t, name, "ruenrak", fault)
				})
			}
			t.Run(name+"lag", func(t *testing.T) {
				t.Parallel()
				m := policyRun{policy: policy, engines: 20, load: 0.8, duration: 30 * time.Second, seed: 1, reportDelay: 5 * time.Second}
				rows <- m.measure(t, name, "ruenrak", "reports 5 s late")
			})
		}
	})
	close(rows)
	var all []tableRow
	for r := range rows {
		all = append(all, r)
	}
	data, err := json.MarshalIndent(all, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(file, data, 0o600); err != nil {
		t.Fatal(err)
	}
}

func (m policyRun) measure(t *testing.T, policy, user, fault string) tableRow {
	report := m.run(t)
	alone := m
	return tableRow{
		Policy: policy, User: user, Load: m.load, Fault: fault, Seed: m.seed,
		Slowdown: report.Slowdown(alone.run(t), shortPromptLimit), Report: report,
	}
}

// Targets of the customers at 80% of the capacity.
const (
	firstTokenTarget = 1100 * time.Millisecond
	slowdownTarget   = 1.2
)

func targetRun() policyRun {
	return policyRun{policy: catkinspindle.DefaultPolicy(), engines: 20, load: 0.8, duration: 15 * time.Second, seed: 1}
}

func TestFirstTokenOfShortPrompts(t *testing.T) {
	t.Parallel()
	report := targetRun().run(t)
	if report.TTFT95Under10k > firstTokenTarget {
		t.Errorf("first token of prompts under 10k tokens: p95 %v; want at most %v", report.TTFT95Under10k, firstTokenTarget)
	}
	for _, row := range report.Rows {
		if row.Succeeded < row.Requests {
			t.Errorf("%s: %d of %d requests failed: %v", row.Class, row.Requests-row.Succeeded, row.Requests, row.Failures)
		}
	}
}

func TestSlowdownOfShortPrompts(t *testing.T) {
	t.Parallel()
	row := targetRun().measure(t, "default", "ruenrak", "")
	t.Logf("slowdown of prompts under 10k tokens: p95 %.3f", row.Slowdown)
	if row.Slowdown > slowdownTarget {
		t.Errorf("slowdown of prompts under 10k tokens: p95 %.2f; want at most %.2f", row.Slowdown, slowdownTarget)
	}
}

// TestPolicyPlot plots the table in the file POLICY_TABLE into the file POLICY_PLOT.
func TestPolicyPlot(t *testing.T) {
	file := os.Getenv("POLICY_PLOT")
	if file == "" {
		t.Skip("POLICY_PLOT is not set")
	}
	data, err := os.ReadFile(os.Getenv("POLICY_TABLE"))
	if err != nil {
		t.Fatal(err)
	}
	var rows []tableRow
	if err := json.Unmarshal(data, &rows); err != nil {
		t.Fatal(err)
	}
	slices.SortFunc(rows, func(a, b tableRow) int { return cmp.Compare(a.Load, b.Load) })
	var series []load.Series
	for _, name := range []string{"0 baseline", "2 + engine priority", "7 + closed share", "9 share 0.5, 100ms (default)"} {
		s := load.Series{Label: strings.TrimLeft(name, "0123456789 +")}
		for _, r := range rows {
			if r.Policy == name && r.User == "ruenrak" && r.Fault == "" {
				s.X = append(s.X, 100*r.Load)
				s.Reports = append(s.Reports, r.Report)
			}
		}
		series = append(series, s)
	}
	if err := load.SavePlot(file, "prompts under 10k tokens, 20 engines", "load in % of capacity", series); err != nil {
		t.Fatal(err)
	}
}
