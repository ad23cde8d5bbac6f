// Package plain implements a stand-in for a replica of a plain service. It records each
// execution, so that tests detect repeated executions.
package plain

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/standin"
)

// Faults are the failures that tests inject while the replica runs.
type Faults struct {
	// Frozen blocks each call before its execution until it is cleared.
	Frozen bool `json:"frozen"`
	// LoseReplies is the number of calls that are executed but whose replies are lost.
	LoseReplies int `json:"lose-replies"`
	// Draining refuses every call before its execution.
	Draining bool          `json:"leaving"`
	Delay    time.Duration `json:"slow"`
}

// Execution is one executed call.
type Execution struct {
	At             time.Time `json:"at"`
	Method         string    `json:"method"`
	IdempotencyKey string    `json:"key"`
	Body           string    `json:"body"`
}

// Service is a stand-in for a replica of a plain service. It implements
// catkinspindle.PlainService.
type Service struct {
	name string

	mu            sync.Mutex
	faultsChanged *sync.Cond
	faults        Faults
	history       []Execution
	rateLimit     catkinspindle.RateLimit
	calls         []time.Time
}

// New returns a replica whose replies and errors contain name.
func New(name string) *Service {
	p := &Service{name: name}
	p.faultsChanged = sync.NewCond(&p.mu)
	return p
}

// SetFaults replaces the injected faults.
func (p *Service) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
	p.faultsChanged.Broadcast()
}

// SetRateLimit replaces the rate limit that the replica states in its replies.
func (p *Service) SetRateLimit(l catkinspindle.RateLimit) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rateLimit = l
}

// Calls returns the times of all calls, oldest first.
func (p *Service) Calls() []time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.calls)
}

// History returns the executed calls, oldest first.
func (p *Service) History() []Execution {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.history)
}

// Call implements catkinspindle.PlainService.
func (p *Service) Call(_ context.Context, c catkinspindle.PlainCall) (catkinspindle.PlainReply, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls = append(p.calls, time.Now())
	if p.faults.Draining {
		return catkinspindle.PlainReply{}, catkinspindle.Fail(catkinspindle.NotRun, catkinspindle.ReasonStopping, "replica %s is leaving", p.name)
	}
	for p.faults.Frozen {
		p.faultsChanged.Wait()
	}
	if delay := p.faults.Delay; delay > 0 {
		p.mu.Unlock()
		time.Sleep(delay)
		p.mu.Lock()
	}
	p.history = append(p.history, Execution{At: time.Now(), Method: c.Method, IdempotencyKey: c.Key, Body: string(c.Body)})
	if p.faults.LoseReplies > 0 {
		p.faults.LoseReplies--
		return catkinspindle.PlainReply{}, catkinspindle.Fail(catkinspindle.MayHaveRun, catkinspindle.ReasonBackendFailed, "replica %s: connection lost", p.name)
	}
	body := fmt.Sprintf("%s did %s %s", p.name, c.Method, c.Body)
	return catkinspindle.PlainReply{Status: http.StatusOK, Body: []byte(body), RateLimit: p.rateLimit}, nil
}

// Handler serves POST /{service}/{method}, PUT /faults and GET /history.
func (p *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /{service}/{method}", p.serveCall)
	mux.HandleFunc("PUT /faults", func(w http.ResponseWriter, r *http.Request) {
		var f Faults
		if standin.ReadJSON(w, r, &f) {
			p.SetFaults(f)
		}
	})
	mux.HandleFunc("GET /history", func(w http.ResponseWriter, _ *http.Request) { standin.WriteJSON(w, p.History()) })
	return mux
}

func (p *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	reply, err := p.Call(r.Context(), catkinspindle.PlainCall{
		Service: r.PathValue("service"),
		Method:  r.PathValue("method"),
		Key:     r.Header.Get("Catkinspindle-Key"),
		Body:    body,
	})
	if err != nil {
		if catkinspindle.AsFailure(err).Verdict != catkinspindle.NotRun {
			panic(http.ErrAbortHandler)
		}
		standin.WriteFailure(w, err)
		return
	}
	if reply.RateLimit.Stated {
		w.Header().Set("Catkinspindle-Rate-Limit", reply.RateLimit.String())
	}
	w.WriteHeader(reply.Status)
	_, _ = w.Write(reply.Body)
}
