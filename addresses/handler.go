// Package addresses serves the list of nodes that callers can connect to, and the
// platform's readiness checks.
package addresses

import (
	"net/http"
	"time"

	"github.com/catkinspindle/catkinspindle"
)

// maxAddresses is the largest number of addresses that callers use from one response.
const maxAddresses = 64

// Encoder encodes the body of an address response.
type Encoder func(addresses []string, lifetime time.Duration) ([]byte, error)

// Handler serves the addresses of the nodes that accept callers.
type Handler struct {
	liveNodes func() []catkinspindle.Node
	ready     func() bool
	lifetime  time.Duration
	encode    Encoder
}

// New returns a Handler for the nodes that liveNodes returns. Callers may cache a
// response for lifetime. ready is the result of the readiness check.
func New(liveNodes func() []catkinspindle.Node, ready func() bool, lifetime time.Duration, encode Encoder) *Handler {
	return &Handler{liveNodes: liveNodes, ready: ready, lifetime: lifetime, encode: encode}
}

// ServeAddresses is the HTTP handler of address requests. It responds with 503 when no
// node accepts callers.
func (a *Handler) ServeAddresses(w http.ResponseWriter, _ *http.Request) {
	list := selectAddresses(a.liveNodes())
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
	_, _ = w.Write(body) // On an error the client has disconnected and will send another request.
}

// selectAddresses returns the addresses of up to maxAddresses nodes, balanced across the data
// centres, so that the failure of one data centre affects few callers.
func selectAddresses(nodes []catkinspindle.Node) []string {
	var dataCentres []string
	byDataCentre := map[string][]string{}
	for _, n := range nodes {
		if n.CallersAddress == "" {
			continue
		}
		if _, ok := byDataCentre[n.DataCentre]; !ok {
			dataCentres = append(dataCentres, n.DataCentre)
		}
		byDataCentre[n.DataCentre] = append(byDataCentre[n.DataCentre], n.CallersAddress)
	}
	list := make([]string, 0, min(maxAddresses, len(nodes)))
	for i := 0; ; i++ {
		added := false
		for _, name := range dataCentres {
			if i < len(byDataCentre[name]) && len(list) < maxAddresses {
				list = append(list, byDataCentre[name][i])
				added = true
			}
		}
		if !added {
			return list
		}
	}
}

// ServeReadiness is the HTTP handler of readiness checks: 200 when the node is ready, otherwise
// 503.
func (a *Handler) ServeReadiness(w http.ResponseWriter, _ *http.Request) {
	if !a.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
