package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/catkinspindle/catkinspindle"
)

const (
	// sizeGroupShare is the fraction of the callers that are grouped as one prompt size.
	sizeGroupShare = 0.1
	// minSizeGroup is the smallest number of callers in such a group.
	minSizeGroup = 8
	// priorCallers is the weight, in callers, of the assumption that a size is served as often
	// as all are.
	priorCallers = 4
	// maxCallers bounds the callers that are kept for one objective.
	maxCallers = 1024
)

// objective is the key by which prompts are grouped before their sizes are compared.
type objective struct {
	service     string
	maxEventGap time.Duration
}

// demand records the recent callers with one objective, to find the prompt sizes that are
// served less often than others.
type demand struct {
	// bySize and byTime hold the same callers, sorted by prompt size and by arrival.
	bySize []*caller
	byTime []*caller
	served int
}

// caller is one request for a long prompt, with all of its attempts.
type caller struct {
	prompt  int
	arrived time.Time
	served  bool
	evicted bool
}

// demandOf returns the demand with the objective of j.
func (p *Planner) demandOf(j catkinspindle.Job) *demand {
	key := objective{j.Service, j.MaxEventGap}
	d, ok := p.demands[key]
	if !ok {
		d = &demand{}
		p.demands[key] = d
	}
	return d
}

// findOrAdd returns the caller of j and adds it unless j is another attempt of a known one. Callers
// are identified only by their prompt size.
func (d *demand) findOrAdd(now time.Time, j catkinspindle.Job) *caller {
	i, _ := slices.BinarySearchFunc(d.bySize, j.PromptTokens, comparePrompt)
	for ; i < len(d.bySize) && d.bySize[i].prompt == j.PromptTokens; i++ {
		known := d.bySize[i]
		if j.MayBePartial || j.Replacement {
			return known
		}
	}
	c := &caller{prompt: j.PromptTokens, arrived: now}
	d.bySize = slices.Insert(d.bySize, i, c)
	d.byTime = append(d.byTime, c)
	return c
}

func comparePrompt(c *caller, prompt int) int { return cmp.Compare(c.prompt, prompt) }

// recordServed records whether c was served, unless c has been evicted.
func (d *demand) recordServed(c *caller, served bool) {
	if c.evicted || c.served == served {
		return
	}
	c.served = served
	if served {
		d.served++
	} else {
		d.served--
	}
}

// evict removes the callers that arrived before a time, and the oldest ones beyond maxCallers.
func (d *demand) evict(before time.Time) {
	n := max(0, len(d.byTime)-maxCallers)
	for n < len(d.byTime) && d.byTime[n].arrived.Before(before) {
		n++
	}
	for _, c := range d.byTime[:n] {
		i, _ := slices.BinarySearchFunc(d.bySize, c.prompt, comparePrompt)
		for d.bySize[i] != c {
			i++
		}
		d.bySize = slices.Delete(d.bySize, i, i+1)
		d.recordServed(c, false)
		c.evicted = true
	}
	d.byTime = slices.Delete(d.byTime, 0, n)
}

// relativeService returns how often the callers whose prompts are closest in size to prompt, and
// all of exactly that size, were served relative to all callers. priorCallers served as often as
// all are added to them, so that one refusal among the first few counts little.
func (d *demand) relativeService(prompt int) float64 {
	if d.served == 0 {
		return 1
	}
	n := len(d.bySize)
	width := min(n, max(minSizeGroup, int(sizeGroupShare*float64(n))))
	at, _ := slices.BinarySearchFunc(d.bySize, prompt, comparePrompt)
	from := max(0, min(at-width/2, n-width))
	to := from + width
	from = min(from, at)
	for to < n && d.bySize[to].prompt == prompt {
		to++
	}
	served := 0
	for _, c := range d.bySize[from:to] {
		if c.served {
			served++
		}
	}
	rate := float64(d.served) / float64(n)
	return (float64(served) + priorCallers*rate) / (float64(to-from) + priorCallers) / rate
}
