// Package addresses answers callers that ask where to connect, and the
// platform's readiness checks.
package addresses

import (
	"net/http"
	"time"

	"github.com/catkinspindle/catkinspindle"
)

// maxAddresses is the number of addresses that callers take from an answer.
const maxAddresses = 64

// Encoder spells an answer.
type Encoder func(addresses []string, lifetime time.Duration) ([]byte, error)

// Answerer answers with the nodes that take callers.
type Answerer struct {
	live     func() []catkinspindle.Node
	ready    func() bool
	lifetime time.Duration
	encode   Encoder
}

// New returns an answerer whose answers may be kept for lifetime.
func New(live func() []catkinspindle.Node, ready func() bool, lifetime time.Duration, encode Encoder) *Answerer {
	return &Answerer{live: live, ready: ready, lifetime: lifetime, encode: encode}
}

// Addresses serves the addresses.
func (a *Answerer) Addresses(w http.ResponseWriter, _ *http.Request) {
	list := spread(a.live())
	if len(list) == 0 {
		http.Error(w, "no node takes callers", http.StatusServiceUnavailable)
		return
	}
	body, err := a.encode(list, a.lifetime)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body) // A client that disconnected asks again.
}

// spread returns the addresses of up to maxAddresses nodes, as many of each data centre
// as there are, so that what befalls one of them befalls few callers.
func spread(nodes []catkinspindle.Node) []string {
	var order []string
	groups := map[string][]string{}
	for _, n := range nodes {
		if n.CallersAddress == "" {
			continue
		}
		if _, ok := groups[n.DataCentre]; !ok {
			order = append(order, n.DataCentre)
		}
		groups[n.DataCentre] = append(groups[n.DataCentre], n.CallersAddress)
	}
	list := make([]string, 0, min(maxAddresses, len(nodes)))
	for i := 0; ; i++ {
		added := false
		for _, name := range order {
			if i < len(groups[name]) && len(list) < maxAddresses {
				list = append(list, groups[name][i])
				added = true
			}
		}
		if !added {
			return list
		}
	}
}

// Ready serves the readiness check.
func (a *Answerer) Ready(w http.ResponseWriter, _ *http.Request) {
	if !a.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
