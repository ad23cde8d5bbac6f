package platform

import (
	"errors"
	"net/http"
	"strconv"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/standin"
)

// Handler serves the object API:
//
//	GET /objects/{kind}/{name}              read; 404 if it does not exist
//	GET /objects/{kind}/{name}?above=N      wait until the version exceeds N
//	PUT /objects/{kind}/{name}?version=N    conditional write; 409 on conflict
//	GET /vms                                the delayed list of VMs
//	PUT /vms, DELETE /vms/{name}            register or remove a VM
//	GET /calls, GET /history, PUT /faults   counters, writes and injected faults, for tests
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /objects/{kind}/{name}", p.serveGet)
	mux.HandleFunc("PUT /objects/{kind}/{name}", p.servePut)
	mux.HandleFunc("GET /vms", func(w http.ResponseWriter, r *http.Request) {
		vms, err := p.VMs(r.Context())
		writeResult(w, vms, err)
	})
	mux.HandleFunc("PUT /vms", p.serveSetVM)
	mux.HandleFunc("DELETE /vms/{name}", func(_ http.ResponseWriter, r *http.Request) {
		p.RemoveVM(r.PathValue("name"))
	})
	mux.HandleFunc("PUT /faults", func(w http.ResponseWriter, r *http.Request) {
		var f Faults
		if standin.ReadJSON(w, r, &f) {
			p.SetFaults(f)
		}
	})
	mux.HandleFunc("GET /calls", func(w http.ResponseWriter, _ *http.Request) { standin.WriteJSON(w, p.Calls()) })
	mux.HandleFunc("GET /history", func(w http.ResponseWriter, _ *http.Request) { standin.WriteJSON(w, p.History()) })
	return mux
}

func (p *Platform) serveGet(w http.ResponseWriter, r *http.Request) {
	kind, name := r.PathValue("kind"), r.PathValue("name")
	if !r.URL.Query().Has("above") {
		o, err := p.Get(r.Context(), kind, name)
		writeResult(w, o, err)
		return
	}
	above, err := strconv.ParseInt(r.URL.Query().Get("above"), 10, 64)
	if err != nil {
		http.Error(w, "above: "+err.Error(), http.StatusBadRequest)
		return
	}
	o, err := p.Watch(r.Context(), kind, name, above)
	writeResult(w, o, err)
}

func (p *Platform) servePut(w http.ResponseWriter, r *http.Request) {
	version, err := strconv.ParseInt(r.URL.Query().Get("version"), 10, 64)
	if err != nil {
		http.Error(w, "version: "+err.Error(), http.StatusBadRequest)
		return
	}
	var value []byte
	if !standin.ReadJSON(w, r, &value) {
		return
	}
	o, err := p.Put(r.Context(), r.PathValue("kind"), r.PathValue("name"), version, value)
	writeResult(w, o, err)
}

func (p *Platform) serveSetVM(w http.ResponseWriter, r *http.Request) {
	var vm catkinspindle.VM
	if standin.ReadJSON(w, r, &vm) {
		p.SetVM(vm)
	}
}

func writeResult(w http.ResponseWriter, v any, err error) {
	switch {
	case err == nil:
		standin.WriteJSON(w, v)
	case errors.Is(err, catkinspindle.ErrNotFound):
		http.Error(w, err.Error(), http.StatusNotFound)
	case errors.Is(err, catkinspindle.ErrConflict):
		http.Error(w, err.Error(), http.StatusConflict)
	case errors.Is(err, errRateLimited):
		http.Error(w, err.Error(), http.StatusTooManyRequests)
	case errors.Is(err, errReplyLost):
		panic(http.ErrAbortHandler)
	default:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	}
}
