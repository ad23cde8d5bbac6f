package engine

import (
	"cmp"
	"context"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/standin/answer"
)

// progressInterval is the minimum time between two progress reports of a prefill.
const progressInterval = 250 * time.Millisecond

// stream is one request in the batch. The fields from chunkReady on form the queue of chunks
// for the reader and are guarded by mu; the others are guarded by the lock of the engine.
type stream struct {
	engine         *Engine
	req            catkinspindle.StreamStart
	answer         answer.Answer
	arrival        uint64
	reservedTokens int
	prefillLeft    int
	nextOffset     int
	answerTokens   int
	started        time.Time
	lastProgress   time.Time

	chunkReady sync.Cond
	mu         sync.Mutex
	chunks     []catkinspindle.Chunk
	err        error
	stop       func() bool
}

func newStream(ctx context.Context, e *Engine, req catkinspindle.StreamStart, ans answer.Answer, arrival uint64) *stream {
	prompt := catkinspindle.CountTokens(req.Prompt)
	s := &stream{
		engine:         e,
		req:            req,
		answer:         ans,
		arrival:        arrival,
		reservedTokens: prompt + req.MaxTokens,
		prefillLeft:    prompt,
		nextOffset:     req.Resume,
		answerTokens:   ans.Len(req.MaxTokens),
		started:        time.Now(),
		lastProgress:   time.Now(),
	}
	s.chunkReady.L = &s.mu
	s.stop = context.AfterFunc(ctx, func() { s.finish(context.Cause(ctx)) })
	return s
}

// Next implements catkinspindle.Stream.
func (s *stream) Next() (catkinspindle.Chunk, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.chunks) == 0 && s.err == nil {
		s.chunkReady.Wait()
	}
	if len(s.chunks) > 0 {
		c := s.chunks[0]
		s.chunks = s.chunks[1:]
		return c, nil
	}
	return catkinspindle.Chunk{}, s.err
}

// Close implements catkinspindle.Stream. As with a broken connection, the engine keeps
// generating until the stream is cancelled.
func (s *stream) Close() {
	s.stop()
	s.finish(io.ErrClosedPipe)
}

func (s *stream) push(c catkinspindle.Chunk) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err == nil {
		s.chunks = append(s.chunks, c)
		s.chunkReady.Signal()
	}
}

func (s *stream) finish(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err == nil {
		s.err = err
		s.chunkReady.Signal()
	}
}

// startBatching starts the batching loop if it is not running. The caller holds e.mu.
func (e *Engine) startBatching() {
	if e.batchRunning {
		return
	}
	e.batchRunning = true
	e.group.Go(func() error {
		e.runBatches()
		return nil
	})
}

func (e *Engine) runBatches() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for {
		for e.faults.Frozen && !e.faults.Dead {
			e.faultsChanged.Wait()
		}
		d := e.step()
		if d == 0 {
			e.batchRunning = false
			return
		}
		e.mu.Unlock()
		time.Sleep(d)
		e.mu.Lock()
	}
}

// step runs one iteration of the batch and returns its simulated duration, or zero when the
// batch is empty.
func (e *Engine) step() time.Duration {
	batch := e.batch()
	if len(batch) == 0 {
		return 0
	}
	budget := e.cfg.StepTokens
	decoding := 0
	for _, s := range batch {
		if s.prefillLeft > 0 {
			prefilled := min(budget, s.prefillLeft)
			budget -= prefilled
			s.prefillLeft -= prefilled
			e.reportProgress(s)
			continue
		}
		decoding++
		e.decode(s)
	}
	used := e.cfg.StepTokens - budget
	return e.cfg.StepTime +
		time.Duration(used)*time.Second/time.Duration(e.cfg.PrefillRate) +
		time.Duration(decoding)*e.cfg.StreamTime
}

// batch returns the active streams in the order in which they prefill: by priority, highest
// first, then by arrival.
func (e *Engine) batch() []*stream {
	batch := make([]*stream, 0, len(e.streams))
	for _, s := range e.streams {
		if s.req.Export && s.prefillLeft <= 0 && s.nextOffset < 0 {
			continue
		}
		batch = append(batch, s)
	}
	slices.SortFunc(batch, func(a, b *stream) int {
		return cmp.Or(cmp.Compare(b.req.Priority, a.req.Priority), cmp.Compare(a.arrival, b.arrival))
	})
	return batch
}

func (e *Engine) reportProgress(s *stream) {
	if time.Since(s.lastProgress) < progressInterval {
		return
	}
	s.lastProgress = time.Now()
	s.push(catkinspindle.Chunk{Offset: s.nextOffset})
}

// decode emits the next token of a prefilled stream, or the handle of its export.
func (e *Engine) decode(s *stream) {
	if s.nextOffset == s.req.Resume {
		e.cache.add(s.req.Prompt)
	}
	if s.req.Export {
		s.push(catkinspindle.Chunk{End: true, Export: exportHandle(s.answer)})
		s.finish(io.EOF)
		s.nextOffset = -1
		return
	}
	if e.faults.BreakOffset > 0 && s.nextOffset >= e.faults.BreakOffset {
		s.finish(io.ErrUnexpectedEOF)
		delete(e.streams, s.req.ID)
		return
	}
	if e.faults.SkipTokens > 0 && s.nextOffset > s.req.Resume {
		s.nextOffset = min(s.nextOffset+e.faults.SkipTokens, s.answerTokens-1)
		e.faults.SkipTokens = 0
	}
	c := catkinspindle.Chunk{Offset: s.nextOffset, Tokens: []string{s.answer.Token(s.nextOffset)}}
	s.nextOffset++
	if s.nextOffset >= s.answerTokens {
		c.End = true
	}
	s.push(c)
	if c.End {
		s.finish(io.EOF)
		e.record(Event{Kind: "end", Stream: s.req.ID})
		delete(e.streams, s.req.ID)
	}
}
