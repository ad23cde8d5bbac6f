package proofs_test

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/catkinspindle/catkinspindle/events"
)

var rollingOld = flag.String("rolling.old", "", "program of the old nodes instead of those built from the history")

// oldBuilds are the commits whose nodes are replaced by those of this tree.
var oldBuilds = []string{"56989e7", "a63d55d"}

const (
	rollingNodes   = 4
	rollingCallers = 36
	// rollingPeriod is the time of traffic before each replacement.
	rollingPeriod = 3 * time.Second
	// rollingSilence is the length of the silence beside each replacement.
	rollingSilence = 1100 * time.Millisecond
)

// Guards against messages between nodes that an earlier build or this one cannot read.
func TestOldNodesAreReplacedOneAfterTheOther(t *testing.T) {
	programs := buildSitePrograms(t)
	builds := oldBuilds
	if *rollingOld != "" {
		builds = []string{*rollingOld}
	}
	var group errgroup.Group
	defer func() { _ = group.Wait() }() // The subtests report their errors.
	group.SetLimit(silenceSites)
	for _, build := range builds {
		program := *rollingOld
		if program == "" {
			program = buildFromHistory(t, build)
		}
		for n := range *silenceSeeds {
			seed := *silenceFirst + n
			group.Go(func() error {
				t.Run(fmt.Sprintf("%s, seed %d", filepath.Base(build), seed), func(t *testing.T) { runRolling(t, programs, program, seed) })
				return nil
			})
		}
	}
}

// buildFromHistory builds the node of an earlier commit in a temporary directory.
func buildFromHistory(t *testing.T, commit string) string {
	t.Helper()
	if out, err := exec.Command("git", "rev-parse", "--is-shallow-repository").Output(); err == nil && strings.TrimSpace(string(out)) == "true" {
		t.Skipf("this clone is shallow: fetch the whole history, or name an old program with -rolling.old, to test commit %s", commit)
	}
	if err := exec.Command("git", "cat-file", "-e", commit+"^{commit}").Run(); err != nil {
		t.Fatalf("the history has no commit %s: fetch the whole history, or name an old program with -rolling.old: %v", commit, err)
	}
	dir := t.TempDir()
	archive := filepath.Join(dir, "source.tar")
	program := filepath.Join(dir, "catkinspindle-node")
	for _, step := range []struct {
		in   string
		args []string
	}{
		{"..", []string{"git", "archive", "--output", archive, commit}},
		{dir, []string{"tar", "-xf", archive}},
		{dir, []string{"go", "build", "-trimpath", "-o", program, "./cmd/catkinspindle-node"}},
	} {
		cmd := exec.Command(step.args[0], step.args[1:]...)
		cmd.Dir = step.in
		if out, err := cmd.CombinedOutput(); err != nil {
			t.Fatalf("%v: %v: %s", step.args, err, out)
		}
	}
	return program
}

// runRolling replaces all nodes but one, which has the new program already, beside silent replicas
// and changes of the configuration.
func runRolling(t *testing.T, programs, old string, seed uint64) {
	dir := silenceDir(t, t.Name())
	s := newSilenceSite(t, dir, programs)
	s.startNodes(old, s.nodeProgram(), old, old)
	run := &silenceRun{silenceSite: s, kind: silenceKind{length: rollingSilence}, callers: &silenceCallers{site: s, patience: callerPatience}, rng: rand.New(rand.NewPCG(seed, 0))}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var group errgroup.Group
	for i := range rollingCallers {
		group.Go(func() error {
			run.callers.run(ctx, i, seed)
			return nil
		})
	}
	replaced := map[int]time.Time{1: {}}
	changes := []string{"idle timeout", "timeout", "routes"}
	// The coordinator is replaced first. Then the new node coordinates.
	for k, node := range []int{0, 3, 2} {
		time.Sleep(rollingPeriod)
		run.cases = append(run.cases, silenceCase{fmt.Sprintf("%s and the replacement of %s", changes[k], nodeName(node)), time.Now()})
		names := run.silenced(60, run.rng.IntN(silencePoolReplicas))
		run.silence(names)
		time.Sleep(rollingSilence / 2)
		run.apply(changes[k], node, nil)
		stop := time.Now()
		var stopping errgroup.Group
		stopping.Go(func() error {
			run.stopNode(node)
			return nil
		})
		time.Sleep(rollingSilence / 2)
		run.endSilence(names)
		_ = stopping.Wait() // It reports to the test.
		run.startSiteNode(node, s.nodeProgram())
		run.awaitReady(node)
		replaced[node] = time.Now()
		t.Logf("%s replaced in %s", nodeName(node), time.Since(stop).Round(time.Millisecond))
	}
	time.Sleep(rollingPeriod)
	cancel()
	_ = group.Wait() // Callers record their errors.
	time.Sleep(time.Second)
	// What an old node cut is known.
	run.known = func(c silenceCall) bool {
		since, ok := replaced[c.node]
		return !ok || c.sentAt.Before(since)
	}
	run.check()
	for i := range rollingNodes {
		checkNodeLog(t, filepath.Join(dir, nodeName(i)+".log"))
	}
	checkPlacedThroughOthers(t, dir, replaced)
}

// nodeLine is a line in the log of a node.
type nodeLine struct {
	Time     time.Time    `json:"time"`
	Event    events.Event `json:"event"`
	Message  string       `json:"msg"`
	PlacedBy string       `json:"placed-by"`
	Status   int          `json:"status"`
	Error    string       `json:"error"`
}

// isUnreadable reports whether the line says that a message or a configuration could not be decoded.
// A message whose sender gave up before it was complete is logged as malformed as well.
func (l nodeLine) isUnreadable() bool {
	gaveUp := strings.Contains(l.Error, "(remote)") || strings.Contains(l.Error, "canceled by remote")
	return l.Event == events.PeerMalformed && !gaveUp || l.Event == events.ConfigUnreadable || strings.Contains(l.Message, "panic")
}

func readNodeLog(t *testing.T, file string) (lines []nodeLine) {
	t.Helper()
	data, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	for text := range bytes.Lines(data) {
		var line nodeLine
		if err := json.Unmarshal(text, &line); err != nil {
			t.Errorf("%s: %s: %v", file, text, err)
		}
		lines = append(lines, line)
	}
	return lines
}

// checkNodeLog checks that a node could read all messages and configurations.
func checkNodeLog(t *testing.T, file string) {
	t.Helper()
	for _, line := range readNodeLog(t, file) {
		if line.isUnreadable() {
			t.Errorf("%s: %+v", file, line)
		}
	}
}

// checkPlacedThroughOthers checks that nodes of each build answered requests that nodes of the other
// build had placed. replaced are the times from which nodes have the new build.
func checkPlacedThroughOthers(t *testing.T, dir string, replaced map[int]time.Time) {
	t.Helper()
	isNew := func(name string, at time.Time) bool {
		for i, since := range replaced {
			if nodeName(i) == name {
				return at.After(since)
			}
		}
		return false
	}
	oldThroughNew, newThroughOld := 0, 0
	for i := range rollingNodes {
		for _, line := range readNodeLog(t, filepath.Join(dir, nodeName(i)+".log")) {
			if line.Event != events.RequestEnded || line.PlacedBy == "" || line.Status != 200 {
				continue
			}
			here, there := isNew(nodeName(i), line.Time), isNew(line.PlacedBy, line.Time)
			switch {
			case here && !there:
				newThroughOld++
			case there && !here:
				oldThroughNew++
			}
		}
	}
	t.Logf("answered by old nodes and placed by new ones: %d; by new ones, placed by old ones: %d", oldThroughNew, newThroughOld)
	if oldThroughNew == 0 || newThroughOld == 0 {
		t.Error("nodes of one build did not place through those of the other")
	}
}
