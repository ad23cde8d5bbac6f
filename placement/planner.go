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
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/catkinspindle/catkinspindle"
)

// Planner tracks the load of the replicas that it places jobs on. It is safe for
// concurrent use and implements catkinspindle.Placer.
type Planner struct {
	policy Policy

	mu       sync.Mutex
	rand     *rand.Rand
	services map[string]*catkinspindle.EngineModel
	replicas map[string]*replica
	order    []*replica
	// sizes counts the replicas by service; pools caches the replicas of each pool
	// that has been used.
	sizes   map[string]int
	pools   map[servicePool][]*replica
	jobs    map[string]*open
	demands map[objective]*demand
	expired time.Time
}

const (
	// expireInterval is the shortest time between two searches for jobs whose end was
	// not reported; they are dropped expireSlack after their deadline.
	expireInterval = time.Second
	expireSlack    = 500 * time.Millisecond
)

// open is a job in flight: it has been placed and its end has not been reported.
type open struct {
	job     catkinspindle.Job
	replica *replica
	helpers []*replica
	placed  time.Time
	// start is when the request is sent, first the expected time to the first event.
	start time.Time
	first time.Duration
	// short is true when a long prefill must not disturb the job.
	short bool
	// part is the prefill time that the job adds to its replica and to each helper.
	part time.Duration
	// holds is the memory that each helper reserves, in tokens; empty when the
	// prompt fits into the replica's memory.
	holds  []int
	caller *caller // Nil unless the job was placed as a long one.
}

// end releases the memory and the prefill time of the job on all its replicas.
func (o *open) end() {
	o.replica.remove(o)
	o.replica.unread(o)
	for _, h := range o.helpers {
		h.unread(o)
	}
}

// own returns the memory that the job needs on its own replica, in tokens.
func (o *open) own() int {
	need := o.job.Prompt + o.job.Answer
	for _, h := range o.holds {
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
		policy:   DefaultPolicy(),
		rand:     rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		services: map[string]*catkinspindle.EngineModel{},
		replicas: map[string]*replica{},
		sizes:    map[string]int{},
		pools:    map[servicePool][]*replica{},
		jobs:     map[string]*open{},
		demands:  map[objective]*demand{},
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
	p.order = p.order[:0]
	clear(p.sizes)
	clear(p.pools)
	for id, r := range list {
		p.sizes[r.Service]++
		known, ok := p.replicas[id]
		if !ok || !known.Same(r) {
			known = newReplica(r)
		}
		known.Replica = r
		next[id] = known
		p.order = append(p.order, known)
	}
	p.replicas = next
	slices.SortFunc(p.order, func(a, b *replica) int { return cmp.Compare(a.ID, b.ID) })
}

// Knows reports whether p has the service and at least one replica of it, which Place needs.
func (p *Planner) Knows(service string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, ok := p.services[service]
	return ok && p.sizes[service] > 0
}

// Place implements catkinspindle.Placer.
func (p *Planner) Place(now time.Time, j catkinspindle.Job) catkinspindle.Placement {
	p.mu.Lock()
	defer p.mu.Unlock()
	usable, model, placed := p.choices(now, j)
	if placed != nil {
		return *placed
	}
	return p.placePrompt(now, j, *model, usable)
}

// choices returns the candidate replicas for a prompt and the model of their engine, or
// the final placement of a job that has no prompt, needs no engine or finds no replica.
func (p *Planner) choices(now time.Time, j catkinspindle.Job) (usable []*replica, model *catkinspindle.EngineModel, placed *catkinspindle.Placement) {
	usable = p.usable(now, j)
	if len(usable) == 0 {
		refused := refuse(j, catkinspindle.ReasonNoBackend, p.policy.NoReplicaRetry, 0)
		return nil, nil, &refused
	}
	model = p.services[j.Service]
	if model == nil || j.Prompt == 0 {
		plain := p.placePlain(now, j, usable)
		return nil, nil, &plain
	}
	return usable, model, nil
}

// PlaceAlone places j when the coordinator is unreachable. The jobs that other nodes
// place on the same replicas are unknown, so jobs are spread evenly at random instead
// of packed, and none is refused because of an estimated time.
func (p *Planner) PlaceAlone(now time.Time, j catkinspindle.Job) catkinspindle.Placement {
	p.mu.Lock()
	defer p.mu.Unlock()
	usable, model, placed := p.choices(now, j)
	if placed != nil {
		return *placed
	}
	p.rand.Shuffle(len(usable), func(a, b int) { usable[a], usable[b] = usable[b], usable[a] })
	slices.SortStableFunc(usable, func(a, b *replica) int { return cmp.Compare(len(a.jobs), len(b.jobs)) })
	o := &open{job: j, replica: usable[0], placed: now, start: now, part: readTime(*model, j.Prompt)}
	if j.MaxPause > p.policy.ShortPause {
		for _, r := range usable[1:] {
			if len(o.helpers) < p.policy.AloneHelpers && !r.health.probation {
				o.helpers = append(o.helpers, r)
			}
		}
		o.part /= time.Duration(len(o.helpers) + 1)
	}
	if !p.fits(*model, o.replica, j) && !p.spreadMemory(o, *model) {
		return refuse(j, catkinspindle.ReasonOverload, p.retryAfter(j, 0), 0)
	}
	o.first = o.part + 2*passTime(*model, o.replica)
	return p.commit(now, o, urgencyShort)
}

// refuse returns the refusal of j. first is the estimated time that decided, or zero.
func refuse(j catkinspindle.Job, reason catkinspindle.Reason, after, first time.Duration) catkinspindle.Placement {
	return catkinspindle.Placement{Job: j.ID, Reason: reason, RetryAfter: after, First: first}
}

// expire drops jobs that are past their deadline, because the report of their end was lost.
func (p *Planner) expire(now time.Time) {
	if now.Sub(p.expired) < expireInterval {
		return
	}
	p.expired = now
	for id, o := range p.jobs {
		if now.Sub(o.placed) > o.job.Left+expireSlack {
			delete(p.jobs, id)
			o.end()
		}
	}
	for _, d := range p.demands {
		d.forget(now.Add(-p.policy.DemandWindow))
	}
}

// usable returns the replicas that may take j: those of its pool that are neither
// leaving, nor listed in j.Avoid, nor suspected, or the suspected ones when there are
// no others.
func (p *Planner) usable(now time.Time, j catkinspindle.Job) []*replica {
	p.expire(now)
	var good, suspected []*replica
	for _, r := range p.pool(servicePool{j.Service, j.Pool}) {
		if r.Leaving || slices.Contains(j.Avoid, r.ID) {
			continue
		}
		if r.health.usable(now, len(r.jobs)) {
			good = append(good, r)
		} else {
			suspected = append(suspected, r)
		}
	}
	if len(good) == 0 {
		return suspected
	}
	return good
}

// placePlain places a job without a prompt or an engine on the replica with the fewest
// requests in flight, weighted by pace.
func (p *Planner) placePlain(now time.Time, j catkinspindle.Job, usable []*replica) catkinspindle.Placement {
	best := p.least(usable, func(r *replica) float64 {
		c := float64(len(r.jobs)) * r.pace
		if r.DataCentre != j.DataCentre {
			c += p.policy.OtherDataCentre
		}
		return c
	})
	wait := time.Duration(float64(len(best.jobs)) / float64(max(1, best.Slots)) * float64(best.usual))
	if best.usual > 0 && wait > j.Left {
		return refuse(j, catkinspindle.ReasonOverload, wait-j.Left+best.usual, wait)
	}
	return p.commit(now, &open{job: j, replica: best, placed: now, first: wait + best.usual}, 0)
}

// least returns the replica with the lowest cost, and a random one of those with equal cost.
func (p *Planner) least(list []*replica, cost func(*replica) float64) *replica {
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

// read adds the prefill of o to r. On a replica that is decoding, the iteration that
// prefills also decodes, which takes longer.
func (p *Planner) read(o *open, r *replica) {
	if o.part <= 0 {
		return
	}
	cost := time.Duration(float64(o.part) * r.pace)
	if m := p.services[o.job.Service]; m != nil && len(r.jobs) > 0 && o.job.MaxPause > p.policy.ShortPause {
		cost += passTime(*m, r)
	}
	r.read(part{job: o, start: o.start, cost: cost})
}

func (p *Planner) commit(now time.Time, o *open, urgency int) catkinspindle.Placement {
	p.jobs[o.job.ID] = o
	o.short = o.job.MaxPause <= p.policy.ShortPause
	o.replica.add(o)
	if o.start.Before(now) {
		o.start = now
	}
	p.read(o, o.replica)
	ids := make([]string, len(o.helpers))
	for i, h := range o.helpers {
		p.read(o, h)
		ids[i] = h.ID
	}
	return catkinspindle.Placement{Job: o.job.ID, Replica: o.replica.ID, Helpers: ids, Holds: o.holds, First: o.first, Delay: o.start.Sub(now), Urgency: urgency}
}

// End implements catkinspindle.Placer.
func (p *Planner) End(now time.Time, e catkinspindle.Ending) {
	p.mu.Lock()
	defer p.mu.Unlock()
	o, ok := p.jobs[e.Job]
	if ok {
		delete(p.jobs, e.Job)
		o.end()
		p.noteEnd(now, o, e.Outcome)
	}
	if culprit, found := p.replicas[e.Culprit]; found && e.Culprit != e.Replica {
		culprit.health.suspect(now)
		return
	}
	r, found := p.replicas[e.Replica]
	if !found {
		return
	}
	r.observe(now, e, o)
}

// noteEnd records whether the caller of a long job was served. One that disconnected before
// its deadline counts as served.
func (p *Planner) noteEnd(now time.Time, o *open, outcome catkinspindle.Outcome) {
	left := outcome == catkinspindle.OutcomeGivenUp && now.Before(o.placed.Add(o.job.Left))
	if o.caller != nil && !left {
		p.demandOf(o.job).set(o.caller, outcome == catkinspindle.OutcomeDone)
	}
}

// Adopt adds a job that another planner placed age ago, if j is new and its replica known.
func (p *Planner) Adopt(now time.Time, j catkinspindle.Job, placed catkinspindle.Placement, age time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r, ok := p.replicas[placed.Replica]
	if !ok || p.jobs[j.ID] != nil {
		return
	}
	o := &open{job: j, replica: r, placed: now.Add(-age), start: now.Add(placed.Delay - age), first: placed.First}
	if model := p.services[j.Service]; model != nil && age < placed.First {
		o.part = readTime(*model, j.Prompt) / time.Duration(len(placed.Helpers)+1)
		for i, id := range placed.Helpers {
			h, ok := p.replicas[id]
			if !ok {
				continue
			}
			o.helpers = append(o.helpers, h)
			if len(placed.Holds) > 0 {
				o.holds = append(o.holds, placed.Holds[i])
			}
		}
	}
	p.commit(now, o, 0)
}

// Forget drops the jobs whose IDs begin with prefix. It is used when their node has
// failed, which also ends its connections to the replicas.
func (p *Planner) Forget(prefix string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, o := range p.jobs {
		if strings.HasPrefix(id, prefix) {
			delete(p.jobs, id)
			o.end()
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
	Pace      float64
}

// Loads returns the load of every replica, ordered by ID.
func (p *Planner) Loads(now time.Time) []Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := make([]Load, 0, len(p.order))
	for _, r := range p.order {
		list = append(list, Load{Replica: r.ID, Jobs: len(r.jobs), Tokens: r.tokens, Backlog: r.backlog(now), Suspected: !r.health.usable(now, 0), Pace: r.pace})
	}
	return list
}
