// Package placement decides which replica serves a job, which replicas help to
// prefill its prompt, and which jobs are refused. It does no I/O: callers pass
// the time, the replicas and the results of attempts.
//
// It is designed for a mix of short prompts, whose answers must not stall, and
// long prompts that each need seconds of prefill. Short ones are packed onto few
// replicas; the prefill of long ones is split between the others.
package placement

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/pacing"
	"github.com/catkinspindle/catkinspindle/ratelimits"
)

// Planner tracks the load of the replicas that it places jobs on. It is safe for
// concurrent use and implements catkinspindle.Placer.
type Planner struct {
	policy Policy

	mu       sync.Mutex
	rand     *rand.Rand
	services map[string]*catkinspindle.EngineModel
	replicas map[string]*replica
	sorted   []*replica
	// replicaCounts counts the replicas by service; pools caches the replicas of each pool
	// that has been used.
	replicaCounts map[string]int
	// coldUntil is when the last cold replica of a service that limits their rate is no longer cold.
	coldUntil  map[string]time.Time
	pools      map[servicePool][]*replica
	jobs       map[string]*activeJob
	lastExpiry time.Time
	rateLimits *ratelimits.Table
	// rateTurns spaces the callers that are refused because of rate limits.
	rateTurns map[servicePool]*pacing.Pacer
	// turns has the time of the next turn in each queue of refused jobs.
	turns map[turnQueue]time.Time
	// waiting has the jobs that wait, by ID; waitingCounts counts them by queue.
	waiting       map[string]*waitingJob
	waitingCounts map[waitingQueue]int
	// lateRanks has the highest rank of the long jobs of a pool that wait although they are late.
	lateRanks map[servicePool]int
}

const (
	// expireInterval is the shortest time between two searches for jobs whose end was
	// not reported; they are dropped expireSlack after their deadline.
	expireInterval = time.Second
	expireSlack    = 500 * time.Millisecond
)

// activeJob is a job in flight: it has been placed and its end has not been reported.
type activeJob struct {
	job      catkinspindle.Job
	replica  *replica
	helpers  []*replica
	placedAt time.Time
	// sendAt is when the request is sent, firstEvent the expected time to the first event.
	sendAt     time.Time
	firstEvent time.Duration
	// short is true when a long prefill must not disturb the job.
	short bool
	// segmentTime is the prefill time that the job adds to its replica and to each helper.
	segmentTime time.Duration
	// reservations is the memory that each helper reserves, in tokens; empty when the
	// prompt fits into the replica's memory.
	reservations []int
}

// release releases the memory and the prefill time of the job on all its replicas.
func (a *activeJob) release() {
	a.replica.remove(a)
	a.replica.removeSegments(a)
	for _, h := range a.helpers {
		h.removeSegments(a)
	}
}

// end returns when the answer is expected to end if each iteration decodes stride tokens of it.
func (a *activeJob) end(stride int, iteration time.Duration) time.Time {
	events := a.job.AnswerTokens/max(1, stride) + 1
	return a.placedAt.Add(a.firstEvent + time.Duration(events)*iteration)
}

// hostTokens returns the memory that the job needs on its host, in tokens.
func (a *activeJob) hostTokens() int {
	need := a.job.PromptTokens + a.job.AnswerTokens
	for _, h := range a.reservations {
		need -= h
	}
	return need
}

// Option configures a Planner.
type Option func(*Planner)

// WithPolicy replaces the default policy.
func WithPolicy(p Policy) Option { return func(l *Planner) { l.policy = p } }

// WithSeed seeds the random choice between replicas of equal cost.
func WithSeed(seed uint64) Option {
	return func(l *Planner) { l.rand = rand.New(rand.NewPCG(seed, seed)) }
}

// New returns a planner without services or replicas.
func New(opts ...Option) *Planner {
	p := &Planner{
		policy:        DefaultPolicy(),
		rand:          rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		services:      map[string]*catkinspindle.EngineModel{},
		replicas:      map[string]*replica{},
		replicaCounts: map[string]int{},
		coldUntil:     map[string]time.Time{},
		pools:         map[servicePool][]*replica{},
		jobs:          map[string]*activeJob{},
		rateLimits:    ratelimits.New(),
		rateTurns:     map[servicePool]*pacing.Pacer{},
		turns:         map[turnQueue]time.Time{},
		waiting:       map[string]*waitingJob{},
		waitingCounts: map[waitingQueue]int{},
		lateRanks:     map[servicePool]int{},
	}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// SetServices replaces the services and their engine models.
func (p *Planner) SetServices(list []catkinspindle.ReplicaService) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.services = map[string]*catkinspindle.EngineModel{}
	for _, s := range list {
		p.services[s.Name] = s.Engine
	}
}

// SetReplicas replaces the replicas. The load that is tracked for a replica is kept while
// its incarnation stays the same.
func (p *Planner) SetReplicas(list map[string]catkinspindle.Replica) {
	p.mu.Lock()
	defer p.mu.Unlock()
	next := make(map[string]*replica, len(list))
	p.sorted = p.sorted[:0]
	clear(p.replicaCounts)
	clear(p.coldUntil)
	clear(p.pools)
	clear(p.rateTurns)
	clear(p.turns)
	for id, r := range list {
		p.replicaCounts[r.Service]++
		if r.ColdPerSecond > 0 && r.ColdUntil.After(p.coldUntil[r.Service]) {
			p.coldUntil[r.Service] = r.ColdUntil
		}
		known, ok := p.replicas[id]
		if !ok || !known.SameIncarnation(r) {
			known = newReplica(r)
		}
		known.Replica = r
		next[id] = known
		p.sorted = append(p.sorted, known)
	}
	p.replicas = next
	slices.SortFunc(p.sorted, func(a, b *replica) int { return cmp.Compare(a.ID, b.ID) })
}

// CanPlace reports whether p has the service and at least one replica of it, which Place needs.
func (p *Planner) CanPlace(service string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, ok := p.services[service]
	return ok && p.replicaCounts[service] > 0
}

// Place implements catkinspindle.Placer. The planner may use the full rate limits of the replicas.
func (p *Planner) Place(now time.Time, j catkinspindle.Job) catkinspindle.Placement {
	return p.PlaceWith(now, j, catkinspindle.FullRateAuthority())
}

// candidates returns the candidate replicas for a prompt and the model of their engine, or
// the final placement of a job that has no prompt, needs no engine or finds no replica.
func (p *Planner) candidates(now time.Time, j catkinspindle.Job, authority catkinspindle.RateAuthority) (usable []*replica, model *catkinspindle.EngineModel, placed *catkinspindle.Placement) {
	usable = p.usableReplicas(now, j, authority)
	if len(usable) == 0 {
		refused := refusal(j, catkinspindle.ReasonNoBackend, p.policy.NoReplicaRetry, 0)
		return nil, nil, &refused
	}
	if len(hosts(usable)) == 0 {
		refused := p.rateLimitRefusal(now, j, usable)
		return nil, nil, &refused
	}
	model = p.services[j.Service]
	if model == nil || j.PromptTokens == 0 {
		plain := p.placeLeastLoaded(now, j, hosts(usable))
		return nil, nil, &plain
	}
	return usable, model, nil
}

// PlaceUncoordinated places j when the coordinator is unreachable. The jobs that other nodes
// place on the same replicas are unknown, so jobs are spread evenly at random instead
// of packed, and none is refused because of an estimated time. Rate-limited replicas get none,
// because what other nodes send them is unknown.
func (p *Planner) PlaceUncoordinated(now time.Time, j catkinspindle.Job) catkinspindle.Placement {
	p.mu.Lock()
	defer p.mu.Unlock()
	usable, model, placed := p.candidates(now, j, catkinspindle.RateAuthority{})
	if placed != nil {
		return *placed
	}
	p.rand.Shuffle(len(usable), func(i, k int) { usable[i], usable[k] = usable[k], usable[i] })
	slices.SortStableFunc(usable, func(x, y *replica) int { return cmp.Compare(len(x.jobs), len(y.jobs)) })
	a := &activeJob{job: j, replica: hosts(usable)[0], placedAt: now, sendAt: now, segmentTime: prefillTime(*model, j.PromptTokens)}
	if j.MaxEventGap > p.policy.ShortMaxGap {
		for _, r := range usable {
			if r != a.replica && len(a.helpers) < p.policy.AloneHelpers && !r.health.onProbation {
				a.helpers = append(a.helpers, r)
			}
		}
		a.segmentTime /= time.Duration(len(a.helpers) + 1)
	}
	if !p.fitsInMemory(*model, a.replica, j) && !p.reserveOnHelpers(a, *model) {
		return refusal(j, catkinspindle.ReasonOverload, p.turn(now, j, *model, usable, nextEnd(now, *model, usable)), 0)
	}
	a.firstEvent = a.segmentTime + 2*iterationTime(*model, a.replica)
	return p.accept(now, a, urgency(j, shortLength))
}

// refusal returns the refusal of j. expected is the estimated time to the first event that
// led to it, or zero when none was estimated.
func refusal(j catkinspindle.Job, reason catkinspindle.Reason, retryAfter, expected time.Duration) catkinspindle.Placement {
	return catkinspindle.Placement{JobID: j.ID, Reason: reason, RetryAfter: retryAfter, ExpectedFirstEvent: expected}
}

// expire drops jobs whose deadline has passed, because the report of their end was lost, and turns
// that have passed.
func (p *Planner) expire(now time.Time) {
	if now.Sub(p.lastExpiry) < expireInterval {
		return
	}
	p.lastExpiry = now
	for id, a := range p.jobs {
		if now.Sub(a.placedAt) > a.job.TimeLeft+expireSlack {
			delete(p.jobs, id)
			a.release()
		}
	}
	maps.DeleteFunc(p.turns, func(_ turnQueue, next time.Time) bool { return next.Before(now) })
}

// usableReplicas returns the replicas that may take j or help with it: those of its pool that
// accept requests and are neither listed in j.Avoid nor suspected, and the suspected ones when none
// of the others may host j.
func (p *Planner) usableReplicas(now time.Time, j catkinspindle.Job, authority catkinspindle.RateAuthority) []*replica {
	p.expire(now)
	var good, suspected []*replica
	for _, r := range p.poolReplicas(servicePool{j.Service, j.Pool}) {
		if !r.Accepts() || slices.Contains(j.Avoid, r.ID) {
			continue
		}
		r.updateRate(now, p.rateLimits, authority)
		if r.health.usable(now, len(r.jobs)) {
			good = append(good, r)
		} else {
			suspected = append(suspected, r)
		}
	}
	if len(hosts(good)) == 0 {
		return append(good, suspected...)
	}
	return good
}

// placeLeastLoaded places a job without a prompt or an engine on the replica with the fewest
// requests in flight, weighted by slowdown.
func (p *Planner) placeLeastLoaded(now time.Time, j catkinspindle.Job, usable []*replica) catkinspindle.Placement {
	best := p.lowestCost(usable, func(r *replica) float64 {
		c := float64(len(r.jobs)) * r.slowdown
		if r.DataCentre != j.DataCentre {
			c += p.policy.OtherDataCentre
		}
		return c
	})
	wait := time.Duration(float64(len(best.jobs)) / float64(max(1, best.Slots)) * float64(best.plainTime))
	if best.plainTime > 0 && wait > j.TimeLeft {
		return refusal(j, catkinspindle.ReasonOverload, wait-j.TimeLeft+best.plainTime, wait)
	}
	return p.accept(now, &activeJob{job: j, replica: best, placedAt: now, firstEvent: wait + best.plainTime}, 0)
}

// lowestCost returns the replica with the lowest cost, and a random one of those with equal cost.
func (p *Planner) lowestCost(list []*replica, cost func(*replica) float64) *replica {
	var best *replica
	least, equal := 0.0, 0
	for _, r := range list {
		c := cost(r)
		switch {
		case best == nil || c < least:
			best, least, equal = r, c, 1
		case c == least:
			equal++
			if p.rand.IntN(equal) == 0 {
				best = r
			}
		}
	}
	return best
}

// addPrefill adds the prefill of a to r. On a replica that is decoding, the iteration that
// prefills also decodes, which takes longer.
func (p *Planner) addPrefill(a *activeJob, r *replica) {
	if a.segmentTime <= 0 {
		return
	}
	cost := time.Duration(float64(a.segmentTime) * r.slowdown)
	if m := p.services[a.job.Service]; m != nil && len(r.jobs) > 0 && a.job.MaxEventGap > p.policy.ShortMaxGap {
		cost += iterationTime(*m, r)
	}
	r.addSegment(segment{job: a, sendAt: a.sendAt, cost: cost})
}

// commit adds a job to the load of its replicas.
func (p *Planner) commit(now time.Time, a *activeJob, urgency int) catkinspindle.Placement {
	p.jobs[a.job.ID] = a
	a.short = a.job.MaxEventGap <= p.policy.ShortMaxGap
	a.replica.add(a)
	if a.sendAt.Before(now) {
		a.sendAt = now
	}
	p.addPrefill(a, a.replica)
	ids := make([]string, len(a.helpers))
	for i, h := range a.helpers {
		p.addPrefill(a, h)
		ids[i] = h.ID
	}
	return catkinspindle.Placement{JobID: a.job.ID, Replica: a.replica.ID, Helpers: ids, HelperTokens: a.reservations, ExpectedFirstEvent: a.firstEvent, Delay: a.sendAt.Sub(now), Urgency: urgency}
}

// ReportResult implements catkinspindle.Placer.
func (p *Planner) ReportResult(now time.Time, e catkinspindle.AttemptResult) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.removeWaiting(e.JobID)
	a, ok := p.jobs[e.JobID]
	if ok {
		delete(p.jobs, e.JobID)
		a.release()
	}
	if faulty, found := p.replicas[e.FaultyReplica]; found && e.FaultyReplica != e.Replica {
		faulty.health.suspect(now)
		return
	}
	r, found := p.replicas[e.Replica]
	if !found {
		return
	}
	r.recordResult(now, e, a)
}

// Adopt adds a job that another planner placed at now minus age, unless the job is tracked
// already or its replica is unknown.
func (p *Planner) Adopt(now time.Time, j catkinspindle.Job, placed catkinspindle.Placement, age time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r, ok := p.replicas[placed.Replica]
	if !ok || p.jobs[j.ID] != nil {
		return
	}
	a := &activeJob{job: j, replica: r, placedAt: now.Add(-age), sendAt: now.Add(placed.Delay - age), firstEvent: placed.ExpectedFirstEvent}
	if model := p.services[j.Service]; model != nil && age < placed.ExpectedFirstEvent {
		a.segmentTime = prefillTime(*model, j.PromptTokens) / time.Duration(len(placed.Helpers)+1)
		for i, id := range placed.Helpers {
			h, ok := p.replicas[id]
			if !ok {
				continue
			}
			a.helpers = append(a.helpers, h)
			if len(placed.HelperTokens) > 0 {
				a.reservations = append(a.reservations, placed.HelperTokens[i])
			}
		}
	}
	p.commit(now, a, 0)
}

// DropJobs drops the jobs whose IDs begin with prefix. It is used when their node has
// failed, which also ends its connections to the replicas.
func (p *Planner) DropJobs(prefix string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, a := range p.jobs {
		if strings.HasPrefix(id, prefix) {
			delete(p.jobs, id)
			a.release()
		}
	}
	for id := range p.waiting {
		if strings.HasPrefix(id, prefix) {
			p.removeWaiting(id)
		}
	}
}

// Load is the load that a planner tracks for a replica, for the dump and logs.
type Load struct {
	Replica string
	Jobs    int
	// Tokens is the memory that the jobs in flight need.
	Tokens int
	// Backlog is the estimated time until all placed prefill ends.
	Backlog   time.Duration
	Suspected bool
	Slowdown  float64
}

// Loads returns the load of every replica, ordered by ID.
func (p *Planner) Loads(now time.Time) []Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := make([]Load, 0, len(p.sorted))
	for _, r := range p.sorted {
		list = append(list, Load{Replica: r.ID, Jobs: len(r.jobs), Tokens: r.tokens, Backlog: r.backlog(now), Suspected: !r.health.usable(now, 0), Slowdown: r.slowdown})
	}
	return list
}
