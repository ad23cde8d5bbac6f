// Package engine implements a stand-in for a model engine: continuous batching, a memory
// limit in tokens, priorities, a prefix cache, resume, cancel, export of the KV cache, and
// orders with fencing tokens.
package engine

import (
	"context"
	"io"
	"slices"
	"strconv"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/standin/answer"
)

// Config holds the capacity and the simulated timing of an engine.
type Config struct {
	Name string `json:"name"`
	// CapacityTokens is the memory for streams, in tokens.
	CapacityTokens int `json:"capacity"`
	// CacheTokens is the memory for the prefix cache, in tokens.
	CacheTokens int `json:"cache-tokens"`
	// PrefillRate is in tokens per second.
	PrefillRate int `json:"prefill-rate"`
	// StepTokens is the maximum prefill of one batching step, in tokens.
	StepTokens int `json:"step-tokens"`
	MaxStreams int `json:"max-streams"`
	// StepTime is the fixed duration of a batching step; StreamTime is added for each
	// decoding stream.
	StepTime   time.Duration `json:"step-time"`
	StreamTime time.Duration `json:"stream-time"`
	// LoadTime is the time to load a model or adapter.
	LoadTime time.Duration `json:"load-time"`
	// MinReportAge is the minimum age of the load and cache reports in Status.
	MinReportAge time.Duration                       `json:"report-age"`
	Fencing      catkinspindle.FencingBehavior       `json:"fencing"`
	State        catkinspindle.EngineState           `json:"state"`
	Weights      func(context.Context, string) error `json:"-"`
}

// DefaultConfig returns the configuration of a replica of the current fleet's size.
func DefaultConfig(name string) Config {
	return Config{
		Name:           name,
		CapacityTokens: 450_000,
		CacheTokens:    150_000,
		PrefillRate:    400_000,
		StepTokens:     4096,
		MaxStreams:     128,
		StepTime:       4 * time.Millisecond,
		StreamTime:     80 * time.Microsecond,
		LoadTime:       200 * time.Millisecond,
		MinReportAge:   time.Second,
		Fencing:        catkinspindle.FencingChecked,
	}
}

// Faults are the failures that tests inject while the engine runs.
type Faults struct {
	// Frozen blocks batching and all calls until it is cleared.
	Frozen bool `json:"frozen"`
	// Dead refuses every call and drops all streams, the state and the cache.
	Dead bool `json:"dead"`
	// Draining refuses new streams.
	Draining bool `json:"leaving"`
	// FreezeCachedPaths freezes the cached paths in the reports at their last value.
	FreezeCachedPaths bool `json:"lose-cache-events"`
	// SkipTokens is the number of tokens to drop from the next stream that decodes, once.
	SkipTokens int `json:"skip"`
	// BreakOffset is the token offset at which every stream breaks off without an end marker;
	// zero disables it.
	BreakOffset int `json:"cut-at"`
}

// Engine is a stand-in for a model engine. It implements catkinspindle.Engine.
type Engine struct {
	cfg   Config
	group *errgroup.Group

	mu            sync.Mutex
	faultsChanged *sync.Cond
	faults        Faults
	streams       map[catkinspindle.StreamID]*stream
	arrivals      uint64
	batchRunning  bool
	state         catkinspindle.EngineState
	lastFencing   int64
	loading       bool
	cache         *prefixCache
	reports       []loadReport
	history       []Event
	rateLimit     catkinspindle.RateLimit
	starts        []time.Time
}

type loadReport struct {
	takenAt      time.Time
	queuedTokens int
	cachedPaths  []string
}

// Event is an entry in the history of the engine.
type Event struct {
	At     time.Time              `json:"at"`
	Kind   string                 `json:"kind"`
	Stream catkinspindle.StreamID `json:"stream,omitzero"`
	// PromptPrefix is the beginning of the prompt, at most maxPromptPrefix bytes.
	PromptPrefix string `json:"title,omitempty"`
	WantedModel  string `json:"want,omitempty"`
	FencingToken int64  `json:"number,omitempty"`
}

// New returns an engine that accepts streams for the model in cfg.State.
func New(cfg Config) *Engine {
	e := &Engine{
		cfg:     cfg,
		group:   &errgroup.Group{},
		streams: map[catkinspindle.StreamID]*stream{},
		state:   cfg.State,
		cache:   newPrefixCache(cfg.CacheTokens),
	}
	e.faultsChanged = sync.NewCond(&e.mu)
	return e
}

// SetRateLimit replaces the rate limit that the engine reports.
func (e *Engine) SetRateLimit(l catkinspindle.RateLimit) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.rateLimit = l
}

// Starts returns the times of all calls of Start, oldest first.
func (e *Engine) Starts() []time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.starts)
}

// SetFaults replaces the injected faults.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
	if f.Dead {
		e.state = catkinspindle.EngineState{}
		e.cache = newPrefixCache(e.cfg.CacheTokens)
		for id, s := range e.streams {
			s.finish(io.ErrUnexpectedEOF)
			delete(e.streams, id)
		}
	}
	e.faultsChanged.Broadcast()
}

// History returns the events of the engine, oldest first.
func (e *Engine) History() []Event {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.history)
}

// maxPromptPrefix is the maximum length of Event.PromptPrefix, in bytes.
const maxPromptPrefix = 32

func (e *Engine) record(ev Event) {
	ev.At = time.Now()
	e.history = append(e.history, ev)
}

// awaitAvailable waits while the engine is frozen and returns an error if it is dead or ctx
// is done. The caller holds e.mu.
func (e *Engine) awaitAvailable(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.faultsChanged.Broadcast()
	})
	defer stop()
	for e.faults.Frozen && !e.faults.Dead && ctx.Err() == nil {
		e.faultsChanged.Wait()
	}
	if e.faults.Dead {
		return catkinspindle.Fail(catkinspindle.NotRun, catkinspindle.ReasonNoBackend, "engine %s: connection refused", e.cfg.Name)
	}
	return ctx.Err()
}

// Start implements catkinspindle.Engine.
func (e *Engine) Start(ctx context.Context, req catkinspindle.StreamStart) (catkinspindle.Stream, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.starts = append(e.starts, time.Now())
	if err := e.awaitAvailable(ctx); err != nil {
		return nil, err
	}
	if err := e.admit(req); err != nil {
		return nil, err
	}
	ans := answer.New(req.Model+"@"+req.Version, req.Adapter)
	importedTokens := 0
	for _, x := range req.Imports {
		ans = importHandle(x.Handle)
		importedTokens += x.Tokens
	}
	if len(req.Imports) == 0 {
		e.record(Event{Kind: "start", Stream: req.ID, PromptPrefix: req.Prompt[:min(len(req.Prompt), maxPromptPrefix)]})
	}
	e.arrivals++
	s := newStream(ctx, e, req, ans.Append(req.Prompt), e.arrivals)
	s.prefillLeft -= e.cache.match(req.Prompt)
	e.streams[req.ID] = s
	e.startBatching()
	return s, nil
}

func (e *Engine) admit(req catkinspindle.StreamStart) error {
	refuse := func(reason catkinspindle.Reason, format string, args ...any) error {
		return catkinspindle.Fail(catkinspindle.NotRun, reason, format, args...)
	}
	if e.faults.Draining {
		return refuse(catkinspindle.ReasonStopping, "engine %s is leaving", e.cfg.Name)
	}
	if e.loading || e.state.Model != req.Model || e.state.Version != req.Version || req.Adapter != "" && !slices.Contains(e.state.Adapters, req.Adapter) {
		return refuse(catkinspindle.ReasonUnknownModel, "engine %s does not serve %s@%s %s", e.cfg.Name, req.Model, req.Version, req.Adapter)
	}
	if _, ok := e.streams[req.ID]; ok {
		return refuse(catkinspindle.ReasonConflict, "engine %s already has stream %s", e.cfg.Name, req.ID)
	}
	need := catkinspindle.CountTokens(req.Prompt) + req.MaxTokens
	if e.usedTokens()+need > e.cfg.CapacityTokens || len(e.streams) >= e.cfg.MaxStreams {
		return refuse(catkinspindle.ReasonOverload, "engine %s is full", e.cfg.Name)
	}
	return nil
}

func (e *Engine) usedTokens() int {
	sum := 0
	for _, s := range e.streams {
		sum += s.reservedTokens
	}
	return sum
}

func (e *Engine) queuedTokens() int {
	sum := 0
	for _, s := range e.streams {
		sum += max(0, s.prefillLeft)
	}
	return sum
}

// Cancel implements catkinspindle.Engine.
func (e *Engine) Cancel(ctx context.Context, id catkinspindle.StreamID) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.awaitAvailable(ctx); err != nil {
		return err
	}
	if s, ok := e.streams[id]; ok {
		e.record(Event{Kind: "cancel", Stream: id})
		s.finish(io.ErrUnexpectedEOF)
		delete(e.streams, id)
	}
	return nil
}

// Status implements catkinspindle.Engine.
func (e *Engine) Status(ctx context.Context) (catkinspindle.EngineStatus, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.awaitAvailable(ctx); err != nil {
		return catkinspindle.EngineStatus{}, err
	}
	st := catkinspindle.EngineStatus{
		Capacity:    e.cfg.CapacityTokens,
		PrefillRate: e.cfg.PrefillRate,
		MaxStreams:  e.cfg.MaxStreams,
		Leaving:     e.faults.Draining,
		State:       e.state,
		Checks:      e.cfg.Fencing,
		RateLimit:   e.rateLimit,
	}
	if e.loading {
		st.State.Model = ""
	}
	for id, s := range e.streams {
		st.Streams = append(st.Streams, catkinspindle.StreamStatus{ID: id, Tokens: s.reservedTokens, Export: s.req.Export, Running: time.Since(s.started)})
	}
	delayed := e.delayedReport()
	st.CachedPaths = delayed.cachedPaths
	st.Load = catkinspindle.EngineLoadReport{QueuedTokens: delayed.queuedTokens, Age: time.Since(delayed.takenAt)}
	return st, nil
}

// delayedReport records a report of the present load and returns the newest report that is
// at least MinReportAge old, or an empty one.
func (e *Engine) delayedReport() loadReport {
	now := time.Now()
	current := loadReport{takenAt: now, queuedTokens: e.queuedTokens(), cachedPaths: e.cache.hashes()}
	if e.faults.FreezeCachedPaths && len(e.reports) > 0 {
		current.cachedPaths = e.reports[len(e.reports)-1].cachedPaths
	}
	e.reports = append(e.reports, current)
	newest := loadReport{takenAt: now}
	for len(e.reports) > 0 && now.Sub(e.reports[0].takenAt) >= e.cfg.MinReportAge {
		newest = e.reports[0]
		e.reports = e.reports[1:]
	}
	if newest.cachedPaths != nil || newest.queuedTokens != 0 {
		e.reports = append([]loadReport{newest}, e.reports...)
	}
	return newest
}

// Order implements catkinspindle.Engine.
func (e *Engine) Order(ctx context.Context, o catkinspindle.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.awaitAvailable(ctx); err != nil {
		return err
	}
	if e.cfg.Fencing == catkinspindle.FencingChecked && o.Fencing < e.lastFencing {
		return catkinspindle.Fail(catkinspindle.NotRun, catkinspindle.ReasonConflict, "engine %s: fencing number %d is older than %d", e.cfg.Name, o.Fencing, e.lastFencing)
	}
	e.lastFencing = o.Fencing
	e.record(Event{Kind: "order", WantedModel: o.Want.Model + "@" + o.Want.Version, FencingToken: o.Fencing})
	return e.applyState(ctx, o.Want)
}

// applyState brings the engine into the wanted state. A change of model or version breaks all
// streams. The caller holds e.mu, which is released while the weights load.
func (e *Engine) applyState(ctx context.Context, want catkinspindle.EngineState) error {
	modelChanged := want.Model != e.state.Model || want.Version != e.state.Version
	if modelChanged {
		for id, s := range e.streams {
			e.record(Event{Kind: "cut", Stream: id})
			s.finish(io.ErrUnexpectedEOF)
			delete(e.streams, id)
		}
	}
	if modelChanged || !slices.Equal(want.Adapters, e.state.Adapters) {
		e.loading = modelChanged
		e.mu.Unlock()
		err := e.loadWeights(ctx, want.Model+"@"+want.Version)
		e.mu.Lock()
		e.loading = false
		if err != nil {
			return err
		}
	}
	e.state = want
	return nil
}

func (e *Engine) loadWeights(ctx context.Context, artefact string) error {
	if e.cfg.Weights != nil {
		if err := e.cfg.Weights(ctx, artefact); err != nil {
			return err
		}
	}
	time.Sleep(e.cfg.LoadTime)
	return nil
}

// Close ends all streams and waits for the batching loop to exit.
func (e *Engine) Close() {
	e.SetFaults(Faults{Dead: true})
	_ = e.group.Wait()
}

func exportHandle(ans answer.Answer) string { return strconv.FormatUint(ans.Digest(), 16) }

func importHandle(handle string) answer.Answer {
	n, err := strconv.ParseUint(handle, 16, 64)
	if err != nil {
		return answer.Answer{}
	}
	return answer.FromDigest(n)
}
