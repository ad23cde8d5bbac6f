package router

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/catkinspindle/catkinspindle"
)

// reserveEngines reserves memory for the answer: on one engine or, if the prompt does not
// fit on any candidate, on several engines of one data centre.
func (r *Router) reserveEngines(a *answer) ([]*segment, error) {
	list := r.candidates(a)
	if len(list) == 0 {
		return nil, r.noEngineFailure(a.req)
	}
	need := a.req.PromptTokens() + a.req.MaxTokens
	fitting := slices.DeleteFunc(slices.Clone(list), func(c candidate) bool { return c.load.Capacity < need })
	if len(fitting) == 0 {
		return r.reserveSegments(a, list)
	}
	seg, err := r.reserve(a.ctx, a, fitting[0], a.req.Prompt, a.req.MaxTokens, false)
	if err != nil {
		a.failed[fitting[0].vm.Name] = true
		return nil, withDefaultRetryAfter(err)
	}
	return []*segment{seg}, nil
}

// withDefaultRetryAfter sets RetryAfter to 1 s on a failure without it, unless the
// request can never fit.
func withDefaultRetryAfter(err error) error {
	f := catkinspindle.AsFailure(err)
	if f.RetryAfter == 0 && f.Reason != catkinspindle.ReasonNeverFits {
		return f.WithRetryAfter(time.Second)
	}
	return f
}

// noEngineFailure returns the failure of a request for whose model no engine is ready.
func (r *Router) noEngineFailure(req catkinspindle.Request) error {
	snap := r.snapshot()
	if _, ok := snap.Config.Model(req.Model); !ok {
		return catkinspindle.Fail(catkinspindle.NotRun, catkinspindle.ReasonUnknownModel, "unknown model %q", req.Model)
	}
	return catkinspindle.Fail(catkinspindle.NotRun, catkinspindle.ReasonNoBackend, "model %q: %w", req.Model, errNoCandidate).WithRetryAfter(time.Second)
}

// reserve reserves memory for prompt and maxTokens output tokens on c. With awaitRate it waits
// while the rate limit of the engine is used up.
func (r *Router) reserve(ctx context.Context, a *answer, c candidate, prompt string, maxTokens int, awaitRate bool) (*segment, error) {
	tokens := catkinspindle.CountTokens(prompt)
	t := catkinspindle.Ticket{
		ID:            r.newID(),
		Engine:        c.vm.Name,
		Workspace:     a.req.Workspace,
		MemoryTokens:  tokens + maxTokens,
		PrefillTokens: min(tokens, max(c.prefill, 1)),
		MaxTokens:     maxTokens,
		Arrived:       a.arrived,
		Deadline:      a.req.Deadline,
		Long:          r.isLong(a.req),
		AwaitRate:     awaitRate,
	}
	g, err := r.reserver.Reserve(ctx, t)
	if err != nil {
		return nil, err
	}
	return &segment{vm: c.vm, ticket: t, grant: g, prompt: prompt, version: c.load.Version}, nil
}

// segmentMemoryShare is the maximum share of an engine's memory that a segment uses.
const segmentMemoryShare = 0.9

// reserveSegments reserves memory on several engines of one data centre, all or nothing.
// Engines are reserved in order of their names, and a partial reservation is released
// after Timing.HoldLimit, so that two such prompts cannot deadlock.
func (r *Router) reserveSegments(a *answer, list []candidate) ([]*segment, error) {
	chosen := cheapestGroup(list, a.req)
	if chosen == nil {
		return nil, r.noCapacityFailure(a.req)
	}
	ctx, cancel := context.WithTimeout(a.ctx, r.timing.HoldLimit)
	defer cancel()
	slices.SortFunc(chosen, func(x, y candidate) int { return cmp.Compare(x.vm.Name, y.vm.Name) })
	segments := splitPrompt(a.req, chosen)
	var reserved []*segment
	for i, s := range segments {
		chosen[i].prefill = catkinspindle.CountTokens(s)
		maxTokens := 0
		if i == len(segments)-1 {
			maxTokens = a.req.MaxTokens
		}
		// The permits of several engines are rarely free at the same time.
		seg, err := r.reserve(ctx, a, chosen[i], s, maxTokens, true)
		if err != nil {
			for _, seg := range reserved {
				r.reserver.Release(seg.ticket)
			}
			if ctx.Err() != nil {
				return nil, catkinspindle.Fail(catkinspindle.NotRun, catkinspindle.ReasonOverload, "%w: %w", errHoldExpired, err).WithRetryAfter(r.timing.HoldLimit)
			}
			a.failed[chosen[i].vm.Name] = true
			return nil, withDefaultRetryAfter(err)
		}
		reserved = append(reserved, seg)
	}
	return reserved, nil
}

// cheapestGroup returns the cheapest engines of one data centre and model version that
// together have memory for the prompt, or nil.
func cheapestGroup(list []candidate, req catkinspindle.Request) []candidate {
	need := req.PromptTokens() + req.MaxTokens
	sums := map[string]int{}
	groups := map[string][]candidate{}
	for _, c := range list {
		dc := c.vm.DataCentre + "/" + c.load.Version
		groups[dc] = append(groups[dc], c)
		sums[dc] += segmentTokens(c)
		if sums[dc] >= need {
			return groups[dc]
		}
	}
	return nil
}

// noCapacityFailure returns the failure of a prompt that does not fit on the ready
// engines. It is ReasonNeverFits only if the prompt would not fit on all engines of any
// data centre, ready or not.
func (r *Router) noCapacityFailure(req catkinspindle.Request) error {
	snap := r.snapshot()
	var all []candidate
	for _, s := range serving(snap, req.Model) {
		load, _ := snap.Load(s.VM.Name)
		load.Version = ""
		if load.Capacity == 0 {
			load.Capacity = req.PromptTokens() + req.MaxTokens
		}
		all = append(all, candidate{vm: s.VM, load: load})
	}
	if cheapestGroup(all, req) == nil {
		return catkinspindle.Fail(catkinspindle.NotRun, catkinspindle.ReasonNeverFits,
			"prompt of %d tokens does not fit on all engines of any one data centre", req.PromptTokens())
	}
	return catkinspindle.Fail(catkinspindle.NotRun, catkinspindle.ReasonNoBackend,
		"prompt of %d tokens: %w", req.PromptTokens(), errNoCandidate).WithRetryAfter(time.Second)
}

// segmentTokens returns the number of tokens that a segment may use on c.
func segmentTokens(c candidate) int { return int(segmentMemoryShare * float64(c.load.Capacity)) }

// splitPrompt divides the prompt into one segment for each engine, in order.
func splitPrompt(req catkinspindle.Request, engines []candidate) []string {
	rest := req.Prompt
	segments := make([]string, 0, len(engines))
	for i, c := range engines {
		size := len(rest)
		if i < len(engines)-1 {
			size = min(size, segmentTokens(c)*catkinspindle.BytesPerToken)
		}
		segments = append(segments, rest[:size])
		rest = rest[size:]
	}
	return segments
}
