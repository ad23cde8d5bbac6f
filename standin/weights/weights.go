// Package weights implements a stand-in for the weight store, which limits the fetches per
// second.
package weights

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"sync"

	"golang.org/x/time/rate"

	"github.com/catkinspindle/catkinspindle/standin"
)

// Store is a stand-in for the weight store.
type Store struct {
	limiter *rate.Limiter

	mu      sync.Mutex
	fetched map[string]int
	refused int
}

// Counts holds the number of fetches of each artefact and of those over the rate limit.
type Counts struct {
	Fetched map[string]int `json:"fetched"`
	Refused int            `json:"refused"`
}

// New returns a store that serves perSecond fetches per second with bursts of up to burst.
func New(perSecond float64, burst int) *Store {
	return &Store{
		limiter: rate.NewLimiter(rate.Limit(perSecond), burst),
		fetched: map[string]int{},
	}
}

// Fetch counts one fetch of artefact. It returns an error if the rate limit is exceeded.
func (s *Store) Fetch(_ context.Context, artefact string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.limiter.Allow() {
		s.refused++
		return fmt.Errorf("weight store: %s: rate limit", artefact)
	}
	s.fetched[artefact]++
	return nil
}

// Counts returns the present counts.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := Counts{Fetched: map[string]int{}, Refused: s.refused}
	for k, v := range s.fetched {
		c.Fetched[k] = v
	}
	return c
}

// Handler serves GET /weights/{artefact} and GET /counts.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /weights/{artefact}", func(w http.ResponseWriter, r *http.Request) {
		if err := s.Fetch(r.Context(), r.PathValue("artefact")); err != nil {
			http.Error(w, err.Error(), http.StatusTooManyRequests)
		}
	})
	mux.HandleFunc("GET /counts", func(w http.ResponseWriter, _ *http.Request) { standin.WriteJSON(w, s.Counts()) })
	return mux
}

// NewRemoteFetch returns a function that fetches an artefact from the store at the URL base.
func NewRemoteFetch(base string) func(context.Context, string) error {
	return func(ctx context.Context, artefact string) error {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, base+"/weights/"+url.PathEscape(artefact), nil)
		if err != nil {
			return err
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return err
		}
		defer func() { _ = resp.Body.Close() }()
		if resp.StatusCode != http.StatusOK {
			return fmt.Errorf("weight store: %s: %s", artefact, resp.Status)
		}
		return nil
	}
}
