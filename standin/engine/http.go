package engine

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/standin"
)

// Handler serves the protocol of the engine:
//
//	POST   /streams       start a stream; the response has one Chunk per line
//	DELETE /streams/{id}  cancel; 204 confirms that the memory is free
//	GET    /status        streams, exports and the delayed load report
//	POST   /orders        change the model and adapters to a wanted state
//	PUT    /faults        replace the injected faults
//	GET    /history       events, oldest first
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /streams", e.serveStart)
	mux.HandleFunc("DELETE /streams/{id}", e.serveCancel)
	mux.HandleFunc("GET /status", e.serveStatus)
	mux.HandleFunc("POST /orders", e.serveOrder)
	mux.HandleFunc("PUT /faults", e.serveFaults)
	mux.HandleFunc("GET /history", func(w http.ResponseWriter, _ *http.Request) {
		standin.WriteJSON(w, e.History())
	})
	return mux
}

func (e *Engine) serveStart(w http.ResponseWriter, r *http.Request) {
	var req catkinspindle.StreamStart
	if !standin.ReadJSON(w, r, &req) {
		return
	}
	s, err := e.Start(r.Context(), req)
	if err != nil {
		standin.WriteFailure(w, err)
		return
	}
	defer s.Close()
	w.Header().Set("Content-Type", "application/x-ndjson")
	controller := http.NewResponseController(w)
	_ = controller.Flush()
	enc := json.NewEncoder(w)
	for {
		c, err := s.Next()
		if errors.Is(err, io.EOF) {
			return
		}
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		if enc.Encode(c) != nil || controller.Flush() != nil {
			return
		}
	}
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	id, err := catkinspindle.ParseStreamID(r.PathValue("id"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := e.Cancel(r.Context(), id); err != nil {
		standin.WriteFailure(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) serveStatus(w http.ResponseWriter, r *http.Request) {
	st, err := e.Status(r.Context())
	if err != nil {
		standin.WriteFailure(w, err)
		return
	}
	standin.WriteJSON(w, st)
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o catkinspindle.Order
	if !standin.ReadJSON(w, r, &o) {
		return
	}
	if err := e.Order(r.Context(), o); err != nil {
		standin.WriteFailure(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if !standin.ReadJSON(w, r, &f) {
		return
	}
	e.SetFaults(f)
	w.WriteHeader(http.StatusNoContent)
}
