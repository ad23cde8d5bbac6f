package placement_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/placement"
)

const service = "pool"

var (
	start = time.Unix(1_000, 0)
	// model is an engine with 16 slots and memory for 315,000 tokens.
	model = catkinspindle.EngineModel{
		Slots:         16,
		KVCacheTokens: 315_000,
		Stride:        51,
		Chunk:         2048,
		Step:          850 * time.Microsecond,
		PerSequence:   4250 * time.Nanosecond,
		PerContext:    2850 * time.Nanosecond,
		PrefillRate:   177_000,
		AttentionTime: 184 * time.Microsecond,
	}
)

func planner(replicas int, opts ...placement.Option) *placement.Planner {
	p := placement.New(append([]placement.Option{placement.WithSeed(1)}, opts...)...)
	p.SetServices([]catkinspindle.ReplicaService{{Name: service, Engine: &model}, {Name: "app"}})
	p.SetReplicas(replicaList(replicas))
	return p
}

// replicaList returns the given number of replicas of the service and three of another one.
func replicaList(replicas int) map[string]catkinspindle.Replica {
	list := map[string]catkinspindle.Replica{}
	for i := range replicas {
		r := catkinspindle.Replica{ID: fmt.Sprintf("r%02d", i), Service: service, Address: fmt.Sprintf("127.0.0.1:%d", i+1), Slots: model.Slots, Incarnation: 1}
		list[r.ID] = r
	}
	for i := range 3 {
		r := catkinspindle.Replica{ID: fmt.Sprintf("a%d", i), Service: "app", Address: fmt.Sprintf("127.0.0.2:%d", i+1), Slots: 6, Incarnation: 1}
		list[r.ID] = r
	}
	return list
}

func short(id int) catkinspindle.Job {
	return catkinspindle.Job{ID: fmt.Sprintf("n/1/%d", id), Service: service, PromptTokens: 5000, AnswerTokens: 1650, TimeLeft: 10 * time.Second, LatencyObjective: 300 * time.Millisecond, MaxEventGap: 250 * time.Millisecond}
}

func long(id, tokens int) catkinspindle.Job {
	return catkinspindle.Job{ID: fmt.Sprintf("n/1/%d", id), Service: service, PromptTokens: tokens, AnswerTokens: 800, TimeLeft: 15 * time.Second, LatencyObjective: 3 * time.Second, MaxEventGap: time.Second}
}

// One replica would need over 3 s to prefill 154,000 tokens, which is the whole LatencyObjective.
func TestLongPromptIsPrefilledByManyReplicas(t *testing.T) {
	p := planner(21)
	got := p.Place(start, long(1, 154_000))
	if len(got.Helpers) < 10 {
		t.Errorf("%d helpers, want 10 or more", len(got.Helpers))
	}
	if got.ExpectedFirstEvent > 400*time.Millisecond {
		t.Errorf("first event expected after %v, want 400ms at most", got.ExpectedFirstEvent)
	}
}

// Long prompts that arrive together are prefilled one after the other, so each is expected to
// start later than the one before.
func TestLongPromptsWaitForEachOther(t *testing.T) {
	p := planner(21)
	var last time.Duration
	for i := range 4 {
		got := p.Place(start, long(i, 200_000))
		if got.Refused() {
			t.Fatalf("job %d refused: %s", i, got.Reason)
		}
		if i > 0 && got.ExpectedFirstEvent <= last {
			t.Errorf("job %d: first event expected after %v, want later than that of the job before (%v)", i, got.ExpectedFirstEvent, last)
		}
		last = got.ExpectedFirstEvent
	}
}

// No long segment is prefilled where a short answer would pause beyond its MaxEventGap.
func TestLongPrefillAvoidsShortAnswers(t *testing.T) {
	p := planner(21)
	busy := map[string]bool{}
	for i := range 20 {
		busy[p.Place(start, short(i)).Replica] = true
	}
	got := p.Place(start.Add(100*time.Millisecond), long(100, 300_000))
	if got.Refused() {
		t.Fatalf("refused: %s", got.Reason)
	}
	for _, r := range append(got.Helpers, got.Replica) {
		if busy[r] && got.Delay < time.Second {
			t.Errorf("replica %s decodes short answers and prefills a segment after %v", r, got.Delay)
		}
	}
}

// The reservations for a prompt larger than a replica's memory add up to what does not
// fit there.
func TestPromptLargerThanMemory(t *testing.T) {
	p := planner(21)
	got := p.Place(start, long(1, 600_000))
	if got.Refused() {
		t.Fatalf("refused: %s", got.Reason)
	}
	sum := 0
	for _, h := range got.HelperTokens {
		sum += h
	}
	if onHost := 600_000 - sum; onHost > model.KVCacheTokens || sum == 0 {
		t.Errorf("reservations hold %d tokens, the replica is left with %d", sum, onHost)
	}
	if len(got.HelperTokens) != len(got.Helpers) {
		t.Errorf("%d reservations for %d helpers", len(got.HelperTokens), len(got.Helpers))
	}
}

// A long job that cannot meet its LatencyObjective is refused at once, with a RetryAfter that is
// shorter than the time left until the caller's deadline.
func TestOverloadIsRefusedAtOnce(t *testing.T) {
	p := planner(4)
	var refused *catkinspindle.Placement
	for i := range 40 {
		if got := p.Place(start, long(i, 250_000)); got.Refused() {
			refused = &got
			break
		}
	}
	if refused == nil {
		t.Fatal("40 prompts of 250,000 tokens were all admitted on 4 replicas")
	}
	if refused.RetryAfter <= 0 || refused.RetryAfter > 15*time.Second {
		t.Errorf("RetryAfter is %v, want more than 0 and 15s at most", refused.RetryAfter)
	}
}

// A short job whose first event would be too late is refused at once too.
func TestShortOverloadIsRefusedAtOnce(t *testing.T) {
	p := planner(2)
	for i := range 400 {
		got := p.Place(start, short(i))
		if got.Refused() {
			if got.RetryAfter <= 0 || got.RetryAfter > 10*time.Second {
				t.Errorf("RetryAfter is %v, want more than 0 and 10s at most", got.RetryAfter)
			}
			return
		}
		if latest := short(i).LatencyObjective + 100*time.Millisecond; got.ExpectedFirstEvent > latest {
			t.Fatalf("prompt %d admitted with first event after %v, want %v at most", i, got.ExpectedFirstEvent, latest)
		}
	}
	t.Error("400 simultaneous prompts were all admitted on 2 replicas")
}

// A job whose placement failed is placed again although its LatencyObjective is used up.
func TestJobWhosePlacementFailedIsNotRefused(t *testing.T) {
	for name, j := range map[string]catkinspindle.Job{"short": short(100), "long": long(100, 250_000)} {
		p := planner(21)
		for i := range 4 {
			p.Place(start, long(i, 250_000))
		}
		first := p.Place(start, j)
		if first.Refused() {
			t.Fatalf("%s: first placement refused: %s", name, first.Check)
		}
		p.ReportResult(start, catkinspindle.AttemptResult{JobID: j.ID, Replica: first.Replica, Outcome: catkinspindle.OutcomeUnreachable})
		j.ID, j.Avoid, j.Replacement = "n/1/101", []string{first.Replica}, true
		j.TimeLeft, j.LatencyObjective = j.TimeLeft-j.LatencyObjective, 0
		if got := p.Place(start, j); got.Refused() {
			t.Errorf("%s: refused after its placement failed: %s with %v expected, limit %v", name, got.Check, got.ExpectedFirstEvent, got.FirstEventLimit)
		}
	}
}

// A prompt is judged by its own time and the load at the moment, whatever other callers with
// prompts of its size got before.
func TestEarlierCallersDoNotChangeDecision(t *testing.T) {
	const earlier, loaded = 40, 12
	later := start.Add(30 * time.Second)
	decisions := func(p *placement.Planner, tokens int) (list []string) {
		for i := range loaded {
			p.Place(later, long(1000+i, 150_000))
		}
		for i := range 4 {
			got := p.Place(later, long(2000+i, tokens))
			list = append(list, fmt.Sprintf("refused: %t, first event after %v, limit %v", got.Refused(), got.ExpectedFirstEvent, got.FirstEventLimit))
		}
		return list
	}
	for _, tokens := range []int{60_000, 100_000, 150_000, 250_000, 500_000} {
		t.Run(fmt.Sprintf("%d tokens", tokens), func(t *testing.T) {
			p := planner(21)
			for i := range earlier {
				// Most prompts of 100,000 tokens are answered, hardly any of 500,000.
				for k, size := range []int{100_000, 500_000} {
					j := long(2*i+k, size)
					if got := p.Place(start, j); !got.Refused() {
						p.ReportResult(later, catkinspindle.AttemptResult{JobID: j.ID, Replica: got.Replica, Outcome: catkinspindle.OutcomeDone})
					}
				}
				for k := range 3 {
					j := long(10_000+3*i+k, 500_000)
					j.TimeLeft = time.Second // Refused: too little time.
					p.Place(start, j)
				}
			}
			if diff := cmp.Diff(decisions(planner(21), tokens), decisions(p, tokens)); diff != "" {
				t.Errorf("decisions without and with earlier callers (-without +with):\n%s", diff)
			}
		})
	}
}

// A large prompt is accepted at every load at which a smaller one is accepted.
func TestSizesAreAcceptedAtTheSameLoad(t *testing.T) {
	shortOf := func(id, tokens int) catkinspindle.Job {
		j := short(id)
		j.PromptTokens = tokens
		return j
	}
	tests := map[string]struct {
		job    func(id, tokens int) catkinspindle.Job
		loaded int
		sizes  []int
		// step is the step between the numbers of waiting jobs, most their maximum.
		step, most int
	}{
		"short": {shortOf, 5000, []int{1000, 5000, 23_000}, 10, 500},
		"long":  {long, 150_000, []int{150_000, 300_000, 600_000}, 1, 40},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			for waiting := 0; waiting < tt.most; waiting += tt.step {
				accepted := make([]bool, len(tt.sizes))
				for i, tokens := range tt.sizes {
					p := planner(21)
					for i := range waiting {
						p.Place(start, tt.job(i, tt.loaded))
					}
					accepted[i] = !p.Place(start, tt.job(1000, tokens)).Refused()
				}
				if slices.Contains(accepted[slices.Index(append(accepted, true), true):], false) {
					t.Errorf("accepted behind %d prompts of %d tokens: %v of %v", waiting, tt.loaded, accepted, tt.sizes)
				}
			}
		})
	}
}

// A job is refused at once when its caller would leave before the first event, also when it was
// accepted before.
func TestCallersWithoutPatienceAreRefusedAtOnce(t *testing.T) {
	for name, job := range map[string]catkinspindle.Job{"short": short(1000), "long": long(1000, 300_000)} {
		for _, replacement := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, replacement %t", name, replacement), func(t *testing.T) {
				p := planner(21)
				for i := range 3 {
					p.Place(start, long(i, 150_000))
				}
				job := job
				job.Replacement = replacement
				job.LatencyObjective = 5 * time.Second // Not what limits it.
				expected := p.Place(start, job)
				if expected.Refused() {
					t.Fatalf("refused: %+v", expected)
				}
				p.ReportResult(start, catkinspindle.AttemptResult{JobID: job.ID, Replica: expected.Replica, Outcome: catkinspindle.OutcomeGivenUp})
				for patience, want := range map[time.Duration]catkinspindle.Check{
					expected.ExpectedFirstEvent + time.Millisecond: "",
					expected.ExpectedFirstEvent - time.Millisecond: catkinspindle.CheckFirstEvent,
				} {
					job.Patience = patience
					got := p.Place(start, job)
					if diff := cmp.Diff(want, got.Check); diff != "" {
						t.Errorf("check of a caller that waits for %v, first event after %v (-want +got):\n%s", patience, got.ExpectedFirstEvent, diff)
					}
					p.ReportResult(start, catkinspindle.AttemptResult{JobID: job.ID, Replica: got.Replica, Outcome: catkinspindle.OutcomeGivenUp})
				}
			})
		}
	}
}

// Jobs that end release their slot, memory and prefill time: no load is left afterwards.
func TestNoLoadIsLeftAfterJobsEnd(t *testing.T) {
	p := planner(8)
	for i := range 60 {
		j := short(i)
		if i%5 == 0 {
			j = long(i, 100_000+i*10_000)
		}
		now := start.Add(time.Duration(i) * 20 * time.Millisecond)
		got := p.Place(now, j)
		if got.Refused() {
			continue
		}
		p.ReportResult(now.Add(time.Millisecond), catkinspindle.AttemptResult{JobID: got.JobID, Replica: got.Replica, Outcome: catkinspindle.OutcomeDone, Duration: time.Millisecond})
	}
	for _, l := range p.Loads(start.Add(time.Minute)) {
		if l.Jobs != 0 || l.Backlog != 0 || l.Tokens != 0 {
			t.Errorf("replica %s is left with %d jobs, %d tokens, %v of prefill", l.Replica, l.Jobs, l.Tokens, l.Backlog)
		}
	}
}

// The jobs of a failed node, and those whose end was never reported, are dropped.
func TestOrphanedJobsAreDropped(t *testing.T) {
	p := planner(2)
	a, b := short(1), short(2)
	a.ID, b.ID = "dead/1/1", "live/1/1"
	p.Place(start, a)
	p.Place(start, b)
	p.DropJobs("dead/1/")
	if diff := cmp.Diff(1, jobs(p, start)); diff != "" {
		t.Errorf("jobs after their node failed (-want +got):\n%s", diff)
	}
	late := start.Add(12 * time.Second)
	p.Place(late, short(3))
	if diff := cmp.Diff(1, jobs(p, late)); diff != "" {
		t.Errorf("jobs after the deadline of one whose end was not reported (-want +got):\n%s", diff)
	}
}

func jobs(p *placement.Planner, now time.Time) int {
	n := 0
	for _, l := range p.Loads(now) {
		n += l.Jobs
	}
	return n
}

// A leaving replica gets no jobs, even when it is the only one.
func TestLeavingReplicaGetsNoJobs(t *testing.T) {
	p := planner(0)
	p.SetReplicas(map[string]catkinspindle.Replica{"r": {ID: "r", Service: service, Slots: 16, Leaving: true}})
	if got := p.Place(start, short(1)); !got.Refused() {
		t.Errorf("placed on %s", got.Replica)
	}
}

// An answer that cannot be decoded completely before the deadline is refused at once instead
// of being cut off there, unless a part of it has been sent to the caller already.
func TestAnswerThatCannotEndInTimeIsRefused(t *testing.T) {
	tests := map[string]struct {
		job          catkinspindle.Job
		timeLeft     time.Duration
		mayBePartial bool
		refused      bool
	}{
		"short, time for all":            {short(1), 4 * time.Second, false, false},
		"short, time for the first only": {short(1), time.Second, false, true},
		"short, resumed":                 {short(1), time.Second, true, false},
		"long, time for all":             {long(1, 154_000), 4 * time.Second, false, false},
		"long, time for the first only":  {long(1, 154_000), 900 * time.Millisecond, false, true},
		"long, resumed":                  {long(1, 154_000), 900 * time.Millisecond, true, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			tt.job.TimeLeft, tt.job.MayBePartial = tt.timeLeft, tt.mayBePartial
			got := planner(21).Place(start, tt.job)
			if diff := cmp.Diff(tt.refused, got.Refused()); diff != "" {
				t.Errorf("refused (-want +got):\n%s", diff)
			}
			if got.Refused() && (got.RetryAfter <= 0 || got.Reason != catkinspindle.ReasonOverload) {
				t.Errorf("refused with reason %q, RetryAfter %s", got.Reason, got.RetryAfter)
			}
		})
	}
}

// An unreachable replica gets no jobs during its cooldown, then one at a time until one
// succeeds.
func TestSuspectedReplicaComesBackOnProbation(t *testing.T) {
	p := planner(2)
	got := p.Place(start, short(1))
	p.ReportResult(start, catkinspindle.AttemptResult{JobID: got.JobID, Replica: got.Replica, Outcome: catkinspindle.OutcomeUnreachable})
	for i := range 5 {
		if other := p.Place(start, short(10+i)); other.Replica == got.Replica {
			t.Fatalf("job %d placed on the unreachable replica", i)
		}
	}
	later := start.Add(2 * time.Second)
	probes := 0
	for i := range 6 {
		if p.Place(later, short(20+i)).Replica == got.Replica {
			probes++
		}
	}
	if diff := cmp.Diff(1, probes); diff != "" {
		t.Errorf("jobs on the replica on probation (-want +got):\n%s", diff)
	}
}

// A replica on probation may delay a single job, but not all long prompts: it is not used
// as a helper until an attempt has succeeded.
func TestNoHelperOnProbation(t *testing.T) {
	p := planner(6)
	p.ReportResult(start, catkinspindle.AttemptResult{Replica: "r03", Outcome: catkinspindle.OutcomeUnreachable})
	got := p.Place(start.Add(5*time.Second), long(1, 150_000))
	if slices.Contains(got.Helpers, "r03") {
		t.Errorf("helpers %v include the suspected replica", got.Helpers)
	}
}

// A prompt of medium length is prefilled in small segments also on replicas that decode
// short answers, because a burst of those leaves no others.
func TestSmallSegmentsArePrefilledOnDecodingReplicas(t *testing.T) {
	p := planner(21)
	for i := range 21 * 12 {
		p.Place(start.Add(time.Duration(i)*5*time.Millisecond), short(i))
	}
	now := start.Add(21*12*5*time.Millisecond + 500*time.Millisecond)
	j := long(1000, 45_000)
	j.LatencyObjective, j.MaxEventGap = 1500*time.Millisecond, 600*time.Millisecond
	if got := p.Place(now, j); got.Refused() || got.ExpectedFirstEvent > j.LatencyObjective {
		t.Errorf("refused: %t, first event expected after %v", got.Refused(), got.ExpectedFirstEvent)
	}
}

// Nodes that place without the coordinator do not see each other's jobs and must not all
// choose the same replica.
func TestPlaceUncoordinatedSpreadsJobs(t *testing.T) {
	on := map[string]int{}
	for node := range 8 {
		p := planner(21, placement.WithSeed(uint64(node)))
		for i := range 10 {
			on[p.PlaceUncoordinated(start, short(node*100+i)).Replica]++
		}
	}
	for r, n := range on {
		if n > 16 {
			t.Errorf("replica %s got %d of 80 jobs, want 16 at most", r, n)
		}
	}
}

// An adopted job, which another planner placed, counts as load until it ends.
func TestAdoptedJobCounts(t *testing.T) {
	p := planner(3)
	j := long(1, 150_000)
	p.Adopt(start, j, catkinspindle.Placement{JobID: j.ID, Replica: "r00", Helpers: []string{"r01"}, ExpectedFirstEvent: time.Second}, 100*time.Millisecond)
	if diff := cmp.Diff(1, jobs(p, start)); diff != "" {
		t.Errorf("jobs after adoption (-want +got):\n%s", diff)
	}
	p.ReportResult(start.Add(time.Second), catkinspindle.AttemptResult{JobID: j.ID, Replica: "r00", Outcome: catkinspindle.OutcomeDone})
	if diff := cmp.Diff(0, jobs(p, start)); diff != "" {
		t.Errorf("jobs after its end (-want +got):\n%s", diff)
	}
}

func TestPlainRequestsGoToTheLeastBusy(t *testing.T) {
	p := planner(1)
	on := map[string]int{}
	for i := range 9 {
		on[p.Place(start, catkinspindle.Job{ID: fmt.Sprint("n/1/", i), Service: "app", TimeLeft: time.Second, LatencyObjective: 150 * time.Millisecond}).Replica]++
	}
	if diff := cmp.Diff(map[string]int{"a0": 3, "a1": 3, "a2": 3}, on); diff != "" {
		t.Errorf("requests by replica (-want +got):\n%s", diff)
	}
}

// The replicas of a large service are divided into disjoint pools of a few hundred; a job
// and its helpers are placed within one pool.
func TestLargeServicesAreDivided(t *testing.T) {
	tests := map[int]int{21: 0, 300: 0, 301: 2, 1600: 6}
	for replicas, parts := range tests {
		t.Run(fmt.Sprintf("%d replicas", replicas), func(t *testing.T) {
			p := planner(replicas)
			pools := map[catkinspindle.Pool]bool{}
			poolOf := map[string]catkinspindle.Pool{}
			for i := range 3 * replicas {
				j := short(i)
				if i%7 == 0 {
					j = long(i, 90_000)
				}
				j.Pool = p.Pool(service, uint64(i))
				pools[j.Pool] = true
				got := p.Place(start, j)
				if got.Refused() {
					continue
				}
				for _, id := range append(got.Helpers, got.Replica) {
					if known, ok := poolOf[id]; ok && known != j.Pool {
						t.Fatalf("replica %s serves %v and %v", id, known, j.Pool)
					}
					poolOf[id] = j.Pool
				}
			}
			if diff := cmp.Diff(max(1, parts), len(pools)); diff != "" {
				t.Errorf("pools (-want +got):\n%s", diff)
			}
			if len(poolOf) < replicas*9/10 {
				t.Errorf("%d of %d replicas are used", len(poolOf), replicas)
			}
		})
	}
}

// A refusal for overload names the check that the job failed.
func TestRefusalNamesItsCheck(t *testing.T) {
	ampleTime := long(0, 400_000)
	ampleTime.TimeLeft, ampleTime.LatencyObjective = time.Minute, time.Minute
	littleTime := long(0, 20_000)
	littleTime.TimeLeft = 300 * time.Millisecond
	late := long(0, 20_000)
	late.LatencyObjective = 100 * time.Millisecond
	for name, c := range map[string]struct {
		before int
		job    catkinspindle.Job
		want   catkinspindle.Check
	}{
		"late":      {before: 6, job: late, want: catkinspindle.CheckFirstEvent},
		"unended":   {job: littleTime, want: catkinspindle.CheckDeadline},
		"no place":  {before: 16, job: long(0, 1000), want: catkinspindle.CheckReaders},
		"no memory": {job: ampleTime, want: catkinspindle.CheckMemory},
	} {
		t.Run(name, func(t *testing.T) {
			p := planner(1)
			for i := range c.before {
				before := long(i+1, 10_000)
				before.TimeLeft, before.LatencyObjective = time.Minute, time.Minute
				if got := p.Place(start, before); got.Refused() {
					t.Fatalf("job %d refused: %+v", i, got)
				}
			}
			got := p.Place(start, c.job)
			if diff := cmp.Diff(c.want, got.Check); diff != "" {
				t.Errorf("check of %+v (-want +got):\n%s", got, diff)
			}
		})
	}
}
