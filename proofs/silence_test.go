package proofs_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
)

var (
	silenceFirst = flag.Uint64("silence.first", 1, "first seed of the tests of silent replicas")
	silenceSeeds = flag.Uint64("silence.seeds", 1, "number of seeds")
	silenceNode  = flag.String("silence.node", "", "program of the nodes instead of the one built from this tree")
	silenceLogs  = flag.String("silence.logs", "", "directory to keep the logs of the processes in")
	// silenceStrict judges the speed as well; it needs a machine that is not busy.
	silenceStrict = flag.Bool("silence.strict", false, "fail when a stream of a replica that stays silent has a gap of more than callers wait")
)

const (
	silenceNodes = 3
	// silenceSites is the number of sites that run at a time, whatever the number of processors.
	silenceSites = 3
	// callerPatience is the gap after which callers leave.
	callerPatience = 2 * time.Second
	// silenceWarmUp is the time of traffic before a silence.
	silenceWarmUp = time.Second
)

// silenceKind is a kind of silence of the replicas of the pool.
type silenceKind struct {
	name    string
	percent int
	// length is zero if the replica stays silent.
	length time.Duration
	// period is the time from one silence to the next.
	period time.Duration
	// callers is the number of callers, each with one request at a time. The pool has 80 slots.
	callers int
}

// silenceChanges are what happens beside a silence.
var silenceChanges = []string{"none", "idle timeout", "timeout", "routes", "SIGHUP", "planned stop"}

// Guards against streams that are cut while their replica is silent for a moment, which the users
// saw beside changes of the configuration.
func TestSilentReplicasCutNoStreams(t *testing.T) {
	runSilences(t,
		silenceKind{"all", 100, 1200 * time.Millisecond, 3500 * time.Millisecond, 60},
		silenceKind{"most", 60, 1100 * time.Millisecond, 3500 * time.Millisecond, 44})
}

// Guards against requests that wait for a replica that never goes on.
func TestReplicaThatStaysSilentIsLeft(t *testing.T) {
	runSilences(t, silenceKind{"one for good", 1, 0, 6 * time.Second, 36})
}

func runSilences(t *testing.T, kinds ...silenceKind) {
	t.Helper()
	programs := buildSitePrograms(t)
	var group errgroup.Group
	defer func() { _ = group.Wait() }() // The subtests report their errors.
	group.SetLimit(silenceSites)
	for n := range *silenceSeeds {
		seed := *silenceFirst + n
		for _, kind := range kinds {
			group.Go(func() error {
				t.Run(fmt.Sprintf("%s, seed %d", kind.name, seed), func(t *testing.T) { runSilence(t, programs, kind, seed) })
				return nil
			})
		}
	}
}

func silenceDir(t *testing.T, name string) string {
	if *silenceLogs == "" {
		return t.TempDir()
	}
	dir := filepath.Join(*silenceLogs, strings.NewReplacer(" ", "-", ",", "").Replace(name))
	if err := os.MkdirAll(dir, 0o700); err != nil {
		t.Fatal(err)
	}
	return dir
}

// silenceRun is a play of silences and changes beside traffic.
type silenceRun struct {
	*silenceSite
	callers *silenceCallers
	kind    silenceKind
	rng     *rand.Rand
	// cases are the names and the begins of the cases.
	cases []silenceCase
	// known reports whether a request that ends without a whole answer is counted only.
	known func(silenceCall) bool
	// silentAt is when replicas were last stopped, longestSilence how long at most they were.
	silentAt       time.Time
	longestSilence time.Duration
}

type silenceCase struct {
	name string
	at   time.Time
}

func runSilence(t *testing.T, programs string, kind silenceKind, seed uint64) {
	dir := silenceDir(t, fmt.Sprintf("%s-%d", kind.name, seed))
	s := newSilenceSite(t, dir, programs)
	program := *silenceNode
	if program == "" {
		program = s.nodeProgram()
	}
	s.startNodes(slices.Repeat([]string{program}, silenceNodes)...)
	patience := callerPatience
	if kind.length == 0 {
		patience = silenceTimeout
	}
	run := &silenceRun{silenceSite: s, kind: kind, callers: &silenceCallers{site: s, patience: patience}, rng: rand.New(rand.NewPCG(seed, 0))}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var group errgroup.Group
	for i := range kind.callers {
		group.Go(func() error {
			run.callers.run(ctx, i, seed)
			return nil
		})
	}
	time.Sleep(silenceWarmUp)
	var stopped []string
	for _, i := range run.rng.Perm(len(silenceChanges)) {
		stopped = append(stopped, run.play(silenceChanges[i], program)...)
	}
	cancel()
	_ = group.Wait() // Callers record their errors.
	for _, name := range stopped {
		s.signal(name, syscall.SIGCONT)
	}
	time.Sleep(time.Second) // The replicas that go on read what is left in their connections.
	run.check()
}

// play silences replicas beside one change. It returns those that stay silent.
func (r *silenceRun) play(change, program string) (stopped []string) {
	begin := time.Now()
	r.cases = append(r.cases, silenceCase{change, begin})
	names := r.silenced(r.kind.percent, r.rng.IntN(silencePoolReplicas))
	node := r.rng.IntN(silenceNodes)
	silentAt := 300 * time.Millisecond
	changeAt := time.Duration(r.rng.Int64N(int64(silentAt + time.Second)))
	var group errgroup.Group
	steps := []silenceStep{
		{silentAt, func() { r.silence(names) }},
		{changeAt, func() { r.apply(change, node, &group) }},
	}
	if r.kind.length > 0 {
		steps = append(steps, silenceStep{silentAt + r.kind.length, func() { r.endSilence(names) }})
	}
	slices.SortStableFunc(steps, func(a, b silenceStep) int { return int(a.at - b.at) })
	for _, step := range steps {
		time.Sleep(time.Until(begin.Add(step.at)))
		step.do()
	}
	time.Sleep(time.Until(begin.Add(r.kind.period)))
	if group.Wait() == nil && change == "planned stop" {
		r.startSiteNode(node, program)
		r.awaitReady(node)
	}
	if r.kind.length > 0 {
		return nil
	}
	for _, name := range names {
		r.removeReplica(name)
		r.startPoolReplica()
	}
	return names
}

// silenceStep is what is done at a time of a case.
type silenceStep struct {
	at time.Duration
	do func()
}

func (r *silenceRun) silence(names []string) {
	r.silentAt = time.Now()
	for _, name := range names {
		r.signal(name, syscall.SIGSTOP)
	}
}

func (r *silenceRun) endSilence(names []string) {
	for _, name := range names {
		r.signal(name, syscall.SIGCONT)
	}
	r.longestSilence = max(r.longestSilence, time.Since(r.silentAt))
}

// apply applies a change; what takes longer runs in group.
func (r *silenceRun) apply(change string, node int, group *errgroup.Group) {
	switch change {
	case "idle timeout":
		r.configure(func(c *silenceConfig) { c.idleTimeout = time.Duration(5+r.rng.IntN(20)) * time.Second })
	case "timeout":
		r.configure(func(c *silenceConfig) { c.timeout = silenceTimeout + time.Duration(r.rng.IntN(4000))*time.Millisecond })
	case "routes":
		r.configure(func(c *silenceConfig) {
			c.added++
			c.spareService = "pool"
		})
	case "SIGHUP":
		r.signal(nodeName(node), syscall.SIGHUP)
	case "planned stop":
		group.Go(func() error {
			r.stopNode(node)
			return nil
		})
	}
}

// check judges all requests and logs the figures.
func (r *silenceRun) check() {
	histories := r.histories()
	var ends [silenceEnds]int
	paused, moved, late, known := 0, 0, 0, 0
	var longest time.Duration
	for _, c := range r.callers.calls {
		h := silenceHistory{}
		if found := histories[c.id]; found != nil {
			h = *found
		}
		end := c.end(h)
		ends[end]++
		if err := c.broken(h); err != nil {
			r.t.Errorf("%s: %v", r.describe(c, h), err)
		}
		if c.path == "/once/x" && r.kind.length == 0 {
			continue // It cannot go on elsewhere.
		}
		longest = max(longest, c.gap)
		switch {
		case end >= silenceCut && r.known != nil && r.known(c):
			known++
		case end >= silenceCut:
			r.t.Errorf("%s: %s", r.describe(c, h), silenceEndNames[end])
		case end == silenceLeft && r.kind.length == 0:
			r.t.Errorf("%s: its replica was not left", r.describe(c, h))
		case c.path != "/act/x" && c.gap > silenceObjective:
			paused++
		}
		if len(h.ranAt) > 1 {
			moved++
		}
		if r.kind.length == 0 && c.gap > callerPatience {
			late++
			if *silenceStrict {
				r.t.Errorf("%s: its replica was left late", r.describe(c, h))
			}
		}
	}
	var figures []string
	for end, n := range ends {
		figures = append(figures, fmt.Sprintf("%s %d", silenceEndNames[end], n))
	}
	r.t.Logf("%d requests: %s; paused %d, run twice or more %d, gap over %s at silence for good %d, cut or failed at old nodes %d, longest gap %s, longest silence %s",
		len(r.callers.calls), strings.Join(figures, ", "), paused, moved, callerPatience, late, known, longest.Round(time.Millisecond), r.longestSilence.Round(time.Millisecond))
	if ends[silenceWhole] == 0 || paused == 0 {
		r.t.Error("no request was answered, or none was paused")
	}
}

// describe describes a request with the case in which it ended.
func (r *silenceRun) describe(c silenceCall, h silenceHistory) string {
	name, since := "before the first case", time.Duration(0)
	for _, other := range r.cases {
		if c.doneAt.After(other.at) {
			name, since = other.name, c.doneAt.Sub(other.at)
		}
	}
	return fmt.Sprintf("beside %s, %s after its begin: %s %s at %s, status %d, %d bytes, longest gap %s, ran at %v, arrivals %d, error %v",
		name, since.Round(time.Millisecond), c.id, c.path, nodeName(c.node), c.status, len(c.body), c.gap.Round(time.Millisecond), h.ranAt, h.arrivals, c.err)
}
