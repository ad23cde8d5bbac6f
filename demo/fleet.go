// Package demo runs a small fleet in one process on the loopback interface.
package demo

import (
	"context"
	_ "embed" // For services.yaml.
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/entries"
	"github.com/catkinspindle/catkinspindle/keys"
	"github.com/catkinspindle/catkinspindle/node"
	"github.com/catkinspindle/catkinspindle/replicas"
	"github.com/catkinspindle/catkinspindle/settings"
	"github.com/catkinspindle/catkinspindle/standin/engine"
	"github.com/catkinspindle/catkinspindle/standin/plain"
	"github.com/catkinspindle/catkinspindle/standin/platform"
	"github.com/catkinspindle/catkinspindle/standin/weights"
)

//go:embed services.yaml
var servicesText []byte

// Sizes of the demo fleet.
const (
	nodeCount   = 3
	engineCount = 3
	loopback    = "127.0.0.1:0"
	// WorkspaceKey is the API key of the workspace in services.yaml.
	WorkspaceKey = "demo-key"
	// addressLifetime is short, so that the nodes stop quickly.
	addressLifetime = time.Second
	vmListDelay     = 200 * time.Millisecond
	weightsRate     = 10
)

// Fleet is a running demo fleet.
type Fleet struct {
	Platform *platform.Platform
	Engines  []*engine.Engine
	Plain    *plain.Service
	Nodes    []*node.Node
	URLs     []string

	connector func(node int) catkinspindle.Connector

	dir     string
	servers []*http.Server
	group   *errgroup.Group
}

// Option configures a Fleet.
type Option func(*Fleet)

// WithConnectors sets how each node connects to backend servers.
func WithConnectors(f func(node int) catkinspindle.Connector) Option {
	return func(l *Fleet) { l.connector = f }
}

// New starts a stand-in platform, engines, a plain service and nodes, and waits until the
// fleet is ready.
func New(ctx context.Context, log *slog.Logger, opts ...Option) (*Fleet, error) {
	dir, err := os.MkdirTemp("", "catkinspindle-demo-")
	if err != nil {
		return nil, fmt.Errorf("demo: %w", err)
	}
	f := &Fleet{dir: dir, group: &errgroup.Group{}, Platform: platform.New(vmListDelay), connector: func(int) catkinspindle.Connector { return replicas.NewDialer(0) }}
	for _, opt := range opts {
		opt(f)
	}
	if err := f.start(ctx, log); err != nil {
		return nil, errors.Join(err, f.Close(ctx))
	}
	return f, nil
}

func (f *Fleet) start(ctx context.Context, log *slog.Logger) error {
	platformAddress, err := f.serve(f.Platform.Handler())
	if err != nil {
		return err
	}
	if err := f.startBackends(); err != nil {
		return err
	}
	if err := f.startNodes(ctx, "http://"+platformAddress, log); err != nil {
		return err
	}
	if _, err := f.Nodes[0].Config().Apply(ctx, 0, "demo", servicesText); err != nil {
		return err
	}
	return f.waitReady(ctx)
}

func (f *Fleet) startBackends() error {
	store := weights.New(weightsRate, weightsRate)
	for i := range engineCount {
		cfg := engine.DefaultConfig(fmt.Sprintf("engine-%d", i+1))
		cfg.Weights = store.Fetch
		e := engine.New(cfg)
		f.Engines = append(f.Engines, e)
		address, err := f.serve(e.Handler())
		if err != nil {
			return err
		}
		f.Platform.SetVM(catkinspindle.VM{Name: cfg.Name, Kind: catkinspindle.KindEngine, Address: address, DataCentre: "dc-a", Deployment: "gpu"})
	}
	f.Plain = plain.New("archive-1")
	address, err := f.serve(f.Plain.Handler())
	if err != nil {
		return err
	}
	f.Platform.SetVM(catkinspindle.VM{Name: "archive-1", Kind: catkinspindle.KindPlain, Address: address, DataCentre: "dc-a", Deployment: "app"})
	return nil
}

func (f *Fleet) startNodes(ctx context.Context, platformURL string, log *slog.Logger) error {
	authority, err := keys.OpenOrCreateAuthority(f.dir)
	if err != nil {
		return err
	}
	var seeds []string
	for i := range nodeCount {
		cfg := settings.Default()
		cfg.Name = fmt.Sprintf("vm-%d", i+1)
		cfg.DataCentre = "dc-a"
		cfg.Platform = platformURL
		cfg.Seeds = seeds
		cfg.Timing.AddressLifetime = addressLifetime
		if err := authority.Issue(cfg.Name); err != nil {
			return err
		}
		cfg.Keys.Certificate = filepath.Join(f.dir, cfg.Name+".pem")
		cfg.Keys.Key = filepath.Join(f.dir, cfg.Name+"-key.pem")
		cfg.Keys.Authority = filepath.Join(f.dir, "authority.pem")
		if err := freeAddresses(&cfg.Callers, &cfg.Operators, &cfg.Peers); err != nil {
			return err
		}
		cfg.CallersURL = "http://" + cfg.Callers
		cfg.PeerAddress = cfg.Peers
		n, err := node.New(cfg, log, node.WithConnector(f.connector(i)))
		if err != nil {
			return err
		}
		if err := n.Start(ctx); err != nil {
			return err
		}
		f.Nodes = append(f.Nodes, n)
		f.URLs = append(f.URLs, cfg.CallersURL)
		seeds = append(seeds, cfg.Peers)
	}
	return nil
}

// serve starts an HTTP server for h on a free port and returns its address.
func (f *Fleet) serve(h http.Handler) (address string, err error) {
	l, err := net.Listen("tcp", loopback)
	if err != nil {
		return "", fmt.Errorf("demo: %w", err)
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Second, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelError)}
	f.servers = append(f.servers, server)
	f.group.Go(func() error {
		_ = server.Serve(l)
		return nil
	})
	return l.Addr().String(), nil
}

// freeAddresses sets each address to a free loopback port.
func freeAddresses(addresses ...*string) error {
	for _, a := range addresses {
		l, err := net.Listen("tcp", loopback)
		if err != nil {
			return fmt.Errorf("demo: %w", err)
		}
		*a = l.Addr().String()
		if err := l.Close(); err != nil {
			return fmt.Errorf("demo: %w", err)
		}
	}
	return nil
}

const pollInterval = 50 * time.Millisecond

// waitReady waits until every node sees all nodes and backends as ready.
func (f *Fleet) waitReady(ctx context.Context) error {
	for _, n := range f.Nodes {
		for !f.isReady(n.Snapshot()) {
			select {
			case <-ctx.Done():
				return fmt.Errorf("demo: fleet is not ready: %w", ctx.Err())
			case <-time.After(pollInterval):
			}
		}
	}
	return nil
}

func (f *Fleet) isReady(s *catkinspindle.Snapshot) bool {
	ready := 0
	for _, l := range s.Loads() {
		if l.Ready {
			ready++
		}
	}
	return s.Ready() && len(s.Members) == nodeCount && ready == engineCount && len(s.Replicas("archive")) == 1
}

// Client returns a client of the demo workspace.
func (f *Fleet) Client() *entries.Client { return entries.New(WorkspaceKey, f.URLs...) }

// Close stops the nodes, then the engines and servers, and removes the temporary files.
func (f *Fleet) Close(ctx context.Context) error {
	var errs []error
	stopping := &errgroup.Group{}
	for _, n := range f.Nodes {
		stopping.Go(func() error { return n.Stop(ctx) })
	}
	errs = append(errs, stopping.Wait())
	for _, e := range f.Engines {
		e.Close()
	}
	for _, s := range f.servers {
		_ = s.Close()
	}
	errs = append(errs, f.group.Wait(), os.RemoveAll(f.dir))
	return errors.Join(errs...)
}

// Run starts a fleet, sends prompts of several lengths and one action, prints the results
// and returns an error when a request failed or its answer was wrong.
func Run(ctx context.Context, out io.Writer, log *slog.Logger) error {
	f, err := New(ctx, log)
	if err != nil {
		return err
	}
	err = f.sendRequests(ctx, out)
	return errors.Join(err, f.Close(ctx))
}
