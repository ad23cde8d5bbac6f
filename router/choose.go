package router

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/catkinspindle/catkinspindle"
)

// Costs that the estimated time to the first token includes.
const (
	// remoteCost is the time for a reservation through the home on another VM.
	remoteCost = 2 * time.Millisecond
	// memoryCost is the expected wait for memory when too little is free.
	memoryCost = 500 * time.Millisecond
)

// lockedRand is a random number generator that is safe for concurrent use.
type lockedRand struct {
	mu  sync.Mutex
	rnd *rand.Rand
}

func newLockedRand(seed uint64) *lockedRand {
	return &lockedRand{rnd: rand.New(rand.NewPCG(seed, seed))}
}

func (c *lockedRand) intN(n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rnd.IntN(n)
}

// candidate is an engine that may serve a prompt.
type candidate struct {
	vm   catkinspindle.VM
	load catkinspindle.HomeLoad
	// prefill is the number of prompt tokens that are expected not to be cached.
	prefill int
	cost    float64
}

// candidates returns the ready engines that serve the model, cheapest first. An
// answer that has begun continues only on engines with the same model version.
func (r *Router) candidates(a *answer) []candidate {
	req := a.req
	snap := r.snapshot()
	long := r.isLong(req)
	var list []candidate
	longEngines := r.longPromptEngines(snap, req.Model)
	restricted := long && anyFits(snap, longEngines, req)
	for _, s := range serving(snap, req.Model) {
		if restricted && !longEngines[s.VM.Name] {
			continue
		}
		load, ok := snap.Load(s.VM.Name)
		if !ok || !load.Ready || a.failed[s.VM.Name] || a.received > 0 && load.Version != a.version {
			continue
		}
		c := candidate{vm: s.VM, load: load, prefill: req.PromptTokens()}
		if r.policy.Affinity {
			c.prefill -= r.affinity.match(s.VM.Name, req.Prompt)
		}
		c.cost = r.cost(snap, c, req)
		if !long && r.policy.LongShare < 1 && longEngines[s.VM.Name] {
			c.cost += r.policy.PreferShortOnly.Seconds()
		}
		list = append(list, c)
	}
	slices.SortFunc(list, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.vm.Name, b.vm.Name))
	})
	r.randomizeCheapest(list)
	return list
}

func (r *Router) isLong(req catkinspindle.Request) bool {
	return req.PromptTokens() >= r.policy.LongTokens
}

// serving returns the assignments of the model.
func serving(snap *catkinspindle.Snapshot, model string) []catkinspindle.Assignment {
	var list []catkinspindle.Assignment
	for _, a := range snap.Serving {
		if a.Want.Model == model {
			list = append(list, a)
		}
	}
	return list
}

// longPromptEngines returns the engines of the model that accept long prompts: the share
// Policy.LongShare of those that are ready, so the set follows engines that join and
// leave.
func (r *Router) longPromptEngines(snap *catkinspindle.Snapshot, model string) map[string]bool {
	var ready []string
	for _, a := range serving(snap, model) {
		if load, _ := snap.Load(a.VM.Name); load.Ready {
			ready = append(ready, a.VM.Name)
		}
	}
	slices.SortFunc(ready, func(a, b string) int {
		return cmp.Compare(catkinspindle.RendezvousScore("long", a), catkinspindle.RendezvousScore("long", b))
	})
	longEngines := map[string]bool{}
	for _, name := range ready[:int(math.Ceil(r.policy.LongShare*float64(len(ready))))] {
		longEngines[name] = true
	}
	return longEngines
}

// anyFits reports whether one of the engines has memory for the whole prompt. A prompt
// that needs several engines is not restricted to those open to long prompts.
func anyFits(snap *catkinspindle.Snapshot, engines map[string]bool, req catkinspindle.Request) bool {
	need := req.PromptTokens() + req.MaxTokens
	for name := range engines {
		if load, _ := snap.Load(name); load.Capacity >= need {
			return true
		}
	}
	return false
}

// cost returns the estimated time to the first token in seconds, including penalties,
// or the share of memory in use if the policy does not estimate (least loaded).
func (r *Router) cost(snap *catkinspindle.Snapshot, c candidate, req catkinspindle.Request) float64 {
	if !r.policy.Estimate {
		return 1 - float64(c.load.Free)/float64(max(c.load.Capacity, 1))
	}
	class := catkinspindle.BacklogClass(c.prefill)
	work := c.load.Backlog[class] + c.prefill
	cost := float64(work) / float64(max(c.load.Rate, 1))
	if need := req.PromptTokens() + req.MaxTokens; need > c.load.Free {
		cost += memoryCost.Seconds() * (1 + float64(need-c.load.Free)/float64(max(c.load.Capacity, 1)))
	}
	cost += r.policy.Interference * interference(c.load, req)
	if snap.Homes[c.vm.Name].Origin != snap.Self.Origin {
		cost += remoteCost.Seconds()
	}
	return cost
}

// decodeGap is the time between output tokens that the estimate assumes.
const decodeGap = 15 * time.Millisecond

// batchGap is the time that each other stream of the batch adds to the time between
// tokens.
const batchGap = 80 * time.Microsecond

// interference returns the estimated slowdown in seconds: the time for which the
// stream would decode while the engine prefills other prompts, plus the time that the
// other streams of the batch add.
func interference(load catkinspindle.HomeLoad, req catkinspindle.Request) float64 {
	all := load.Backlog[len(load.Backlog)-1]
	prefilling := float64(all) / float64(max(load.Rate, 1))
	decoding := float64(req.MaxTokens) * decodeGap.Seconds()
	batchDelay := float64(req.MaxTokens) * batchGap.Seconds() * float64(load.Streams+load.Queued)
	return min(prefilling, decoding) + batchDelay
}

// randomizeCheapest moves to the front a random one of the engines whose cost is within
// Policy.Spread of the cheapest.
func (r *Router) randomizeCheapest(list []candidate) {
	n := 1
	for n < len(list) && list[n].cost-list[0].cost < r.policy.Spread.Seconds() {
		n++
	}
	if n < 2 {
		return
	}
	i := r.random.intN(n)
	list[0], list[i] = list[i], list[0]
}
