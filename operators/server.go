// Package operators implements the HTTP API for operators on a separate listener: the fleet
// configuration, the state dump and the metrics.
package operators

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	kithttp "github.com/go-kit/kit/transport/http"
	"github.com/pmezard/go-difflib/difflib"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/config"
	"github.com/catkinspindle/catkinspindle/manifest"
)

const (
	applyTimeout      = 30 * time.Second
	readHeaderTimeout = 5 * time.Second
)

// Server is the HTTP server for operators. It implements catkinspindle.Service.
type Server struct {
	address  string
	snapshot func() *catkinspindle.Snapshot
	config   *config.Config
	state    func() NodeState
	metrics  metrics.Registry
	http     *http.Server
	group    *errgroup.Group
}

// NodeState is the state dump of a node.
type NodeState struct {
	Self          catkinspindle.Member              `json:"self"`
	Ready         bool                              `json:"ready"`
	Superseded    bool                              `json:"superseded"`
	ConfigVersion int64                             `json:"config-version"`
	Members       []catkinspindle.Member            `json:"members"`
	Homes         map[string]string                 `json:"homes"`
	Loads         map[string]catkinspindle.HomeLoad `json:"loads"`
	Ledgers       map[string][]string               `json:"ledgers"`
	Serving       []catkinspindle.Assignment        `json:"serving"`
	InFlight      int                               `json:"requests-in-flight"`
	// Streams are the IDs of the streams that this VM owns, by engine.
	Streams map[string][]string `json:"streams"`
	// LeadsDataCentre is true while this VM holds the reconciliation lease of its data centre.
	// FencingToken is the fencing token of its orders.
	LeadsDataCentre bool  `json:"leads-data-centre"`
	FencingToken    int64 `json:"fencing"`
	// Config is the fleet configuration in force, as the operators wrote it.
	Config string `json:"text"`
}

// New returns a server that listens on the address listen once it is started. It calls
// state for each dump.
func New(address string, snapshot func() *catkinspindle.Snapshot, c *config.Config, state func() NodeState, registry metrics.Registry) *Server {
	return &Server{address: address, snapshot: snapshot, config: c, state: state, metrics: registry}
}

// Start implements catkinspindle.Service.
func (s *Server) Start(context.Context) error {
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return fmt.Errorf("operators: %w", err)
	}
	s.http = &http.Server{Handler: s.Handler(), ReadHeaderTimeout: readHeaderTimeout}
	s.group = &errgroup.Group{}
	s.group.Go(func() error { return s.http.Serve(listener) })
	return nil
}

// Stop implements catkinspindle.Service. It waits for requests in flight until ctx ends.
func (s *Server) Stop(ctx context.Context) error {
	err := s.http.Shutdown(ctx)
	if serveErr := s.group.Wait(); !errors.Is(serveErr, http.ErrServerClosed) {
		err = errors.Join(err, serveErr)
	}
	return err
}

// Handler returns the HTTP handler with all routes for operators:
//
//	GET /text                              the fleet configuration in force and its version
//	PUT /text?base=N&edit=ID               replace version N; ID makes a retry idempotent
//	GET /versions                          the version that each VM has in force
//	GET /dump                              the state of the node
//	GET /metrics                           counters and timers
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	errorEncoder := kithttp.ServerErrorEncoder(encodeError)
	decodeEmpty := func(context.Context, *http.Request) (any, error) { return struct{}{}, nil }
	mux.Handle("GET /text", kithttp.NewServer(s.currentConfig, decodeEmpty, kithttp.EncodeJSONResponse, errorEncoder))
	mux.Handle("PUT /text", kithttp.NewServer(s.apply, decodeApply, kithttp.EncodeJSONResponse, errorEncoder))
	mux.Handle("GET /versions", kithttp.NewServer(s.versions, decodeEmpty, kithttp.EncodeJSONResponse, errorEncoder))
	mux.Handle("GET /dump", kithttp.NewServer(func(context.Context, any) (any, error) { return s.state(), nil }, decodeEmpty, kithttp.EncodeJSONResponse, errorEncoder))
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		metrics.WriteJSONOnce(s.metrics, w)
	})
	return mux
}

// ConfigResponse is a version of the fleet configuration.
type ConfigResponse struct {
	Version int64  `json:"version"`
	Text    string `json:"text"`
}

func (s *Server) currentConfig(context.Context, any) (any, error) {
	raw, version := s.config.Current()
	return ConfigResponse{Version: version, Text: string(raw)}, nil
}

type applyRequest struct {
	base   int64
	editID string
	raw    []byte
}

func decodeApply(_ context.Context, r *http.Request) (any, error) {
	var base int64
	if _, err := fmt.Sscan(r.URL.Query().Get("base"), &base); err != nil {
		return nil, catkinspindle.Fail(catkinspindle.NotRun, catkinspindle.ReasonBadRequest, "base: want the version that was edited: %w", err)
	}
	editID := r.URL.Query().Get("edit")
	if editID == "" {
		return nil, catkinspindle.Fail(catkinspindle.NotRun, catkinspindle.ReasonBadRequest, "edit: an id is needed")
	}
	raw, err := readBody(r, manifest.SizeLimit)
	if err != nil {
		return nil, err
	}
	return applyRequest{base: base, editID: editID, raw: raw}, nil
}

func (s *Server) apply(ctx context.Context, request any) (any, error) {
	req := request.(applyRequest)
	ctx, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	version, err := s.config.Apply(ctx, req.base, req.editID, req.raw)
	if err == nil {
		return ConfigResponse{Version: version, Text: string(req.raw)}, nil
	}
	if f := catkinspindle.AsFailure(err); f.Reason == catkinspindle.ReasonConflict {
		return nil, catkinspindle.Fail(f.Verdict, f.Reason, "%w\n%s", f.Err, s.diffSince(req.base))
	}
	return nil, err
}

// diffSince returns a unified diff of the fleet configuration from version base to the one in
// force, or the reason why there is none.
func (s *Server) diffSince(base int64) string {
	old, ok := s.config.VersionAt(base)
	if !ok {
		return fmt.Sprintf("version %d is not kept on this VM; read the text again", base)
	}
	raw, version := s.config.Current()
	diff, err := difflib.GetUnifiedDiffString(difflib.UnifiedDiff{
		A:        difflib.SplitLines(string(old)),
		B:        difflib.SplitLines(string(raw)),
		FromFile: fmt.Sprintf("version %d", base),
		ToFile:   fmt.Sprintf("version %d", version),
		Context:  2,
	})
	if err != nil {
		return err.Error()
	}
	return strings.TrimSpace(diff)
}

// MemberConfigVersion is the version of the fleet configuration that a VM has in force.
type MemberConfigVersion struct {
	VM         string `json:"vm"`
	DataCentre string `json:"data-centre"`
	Version    int64  `json:"version"`
	Leaving    bool   `json:"leaving,omitempty"`
}

func (s *Server) versions(context.Context, any) (any, error) {
	memberVersions := []MemberConfigVersion{}
	for _, m := range s.snapshot().Members {
		memberVersions = append(memberVersions, MemberConfigVersion{VM: m.Origin.VM, DataCentre: m.DataCentre, Version: m.ConfigVersion, Leaving: m.Leaving})
	}
	return memberVersions, nil
}

func encodeError(_ context.Context, err error, w http.ResponseWriter) {
	f := catkinspindle.AsFailure(err)
	status := http.StatusServiceUnavailable
	switch f.Reason {
	case catkinspindle.ReasonBadRequest:
		status = http.StatusBadRequest
	case catkinspindle.ReasonConflict:
		status = http.StatusConflict
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(f.Report())
}
