// Package config keeps the fleet configuration and the list of VMs up to date. A few VMs
// of each data centre watch the configuration on the platform; the others receive it from
// their peers.
package config

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/control"
	"github.com/catkinspindle/catkinspindle/events"
	"github.com/catkinspindle/catkinspindle/manifest"
)

// The platform object that holds the configuration, and the kinds of peer messages.
const (
	objectKind = "config"
	objectName = "text"

	kindState  = "state"
	kindNotice = "config"
)

const (
	// watchersPerDC is the number of VMs in each data centre that watch the platform.
	watchersPerDC = 2
	// watchTimeout limits one watch call, so that a lost connection is detected.
	watchTimeout = 10 * time.Second
	// retryDelay is the delay after a failed platform call.
	retryDelay = 500 * time.Millisecond
	// maxEdits is the number of recent edit ids that the object records.
	maxEdits = 32
)

// Config is the service that adopts new configurations and applies operators' edits.
type Config struct {
	control  *control.Control
	platform catkinspindle.Platform
	peers    catkinspindle.Peers
	seeds    []string
	timing   catkinspindle.Timing
	log      *slog.Logger
	group    *errgroup.Group
	ctx      context.Context
	cancel   context.CancelFunc

	mu      sync.Mutex
	history map[int64][]byte
}

// state is the configuration and VM list that a VM sends to a peer.
type state struct {
	Version int64              `cbor:"1,keyasint"`
	Text    []byte             `cbor:"2,keyasint"`
	VMs     []catkinspindle.VM `cbor:"3,keyasint"`
	// VMsRead is the time at which VMs was read from the platform.
	VMsRead time.Time `cbor:"4,keyasint"`
}

// New returns the service and registers its peer messages. Seeds are the addresses
// of the peers from which it requests the configuration at start.
func New(c *control.Control, platform catkinspindle.Platform, peers catkinspindle.Peers, seeds []string, timing catkinspindle.Timing, log *slog.Logger) *Config {
	s := &Config{
		control:  c,
		platform: platform,
		peers:    peers,
		seeds:    seeds,
		timing:   timing,
		log:      log,
		group:    &errgroup.Group{},
		history:  map[int64][]byte{},
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	peers.Handle(kindState, func(context.Context, func(any) error) (any, error) { return s.state(), nil })
	peers.Handle(kindNotice, s.handleNotice)
	return s
}

// Start implements catkinspindle.Service.
func (s *Config) Start(context.Context) error {
	for _, loop := range []func(){s.bootstrapLoop, s.watchLoop, s.vmsLoop} {
		s.group.Go(func() error {
			loop()
			return nil
		})
	}
	return nil
}

// Stop implements catkinspindle.Service.
func (s *Config) Stop(context.Context) error {
	s.cancel()
	return s.group.Wait()
}

// sleep waits for d and reports whether the service is still running.
func (s *Config) sleep(d time.Duration) bool {
	select {
	case <-s.ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

func (s *Config) callContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(s.ctx, s.timing.CallTimeout)
}

// bootstrapLoop queries the platform and the seeds until a configuration has been adopted.
func (s *Config) bootstrapLoop() {
	for s.control.Snapshot().Config.Version == 0 {
		s.fetchConfig()
		for _, seed := range s.seeds {
			s.Pull(seed)
		}
		if !s.sleep(retryDelay) {
			return
		}
	}
}

func (s *Config) fetchConfig() {
	ctx, cancel := s.callContext()
	defer cancel()
	o, err := s.platform.Get(ctx, objectKind, objectName)
	if err == nil {
		s.adopt(o)
	}
}

// watchLoop watches the platform object while this VM is one of the watchers.
func (s *Config) watchLoop() {
	for s.ctx.Err() == nil {
		if !s.isWatcher() {
			s.sleep(s.timing.Heartbeat)
			continue
		}
		ctx, cancel := context.WithTimeout(s.ctx, watchTimeout)
		o, err := s.platform.Watch(ctx, objectKind, objectName, s.control.Snapshot().Config.Version)
		timedOut := ctx.Err() != nil
		cancel()
		switch {
		case err == nil:
			s.adopt(o)
		case timedOut:
		default:
			s.log.Debug("configuration watch failed", events.PlatformFailed.Attr(), "error", err)
			s.sleep(retryDelay)
		}
	}
}

// isWatcher reports whether this VM is one of the watchers of its data centre, which are
// the members with the highest rendezvous scores.
func (s *Config) isWatcher() bool {
	snap := s.control.Snapshot()
	score := func(m catkinspindle.Member) uint64 {
		return catkinspindle.RendezvousScore("watch/"+m.DataCentre, m.Origin.VM)
	}
	higher := 0
	for _, m := range snap.Members {
		if m.DataCentre == snap.Self.DataCentre && !m.Leaving && score(m) > score(snap.Self) {
			higher++
		}
	}
	return higher < watchersPerDC
}

// vmsLoop polls the list of VMs. When the platform is unreachable, it pulls from a random
// peer, which may have a newer list; during an outage the last list stays in use.
func (s *Config) vmsLoop() {
	for s.ctx.Err() == nil {
		readAt := time.Now()
		ctx, cancel := s.callContext()
		vms, err := s.platform.VMs(ctx)
		cancel()
		if err == nil {
			s.control.SetVMs(vms, readAt)
		} else if peer, ok := s.randomPeer(); ok {
			s.Pull(peer)
		}
		s.sleep(s.timing.VMsInterval)
	}
}

func (s *Config) randomPeer() (address string, ok bool) {
	snap := s.control.Snapshot()
	var others []string
	for _, m := range snap.Members {
		if m.Origin != snap.Self.Origin {
			others = append(others, m.PeerAddress)
		}
	}
	if len(others) == 0 {
		return "", false
	}
	return others[rand.IntN(len(others))], true
}

// adopt decodes the platform object and adopts its configuration.
func (s *Config) adopt(o catkinspindle.Object) {
	var e envelope
	err := json.Unmarshal(o.Value, &e)
	if err == nil {
		err = s.adoptText([]byte(e.Text), o.Version)
	}
	if err != nil {
		s.log.Error("configuration from platform is invalid", events.ConfigUnreadable.Attr(), "version", o.Version, "error", err)
		s.sleep(retryDelay)
	}
}

func (s *Config) adoptText(raw []byte, version int64) error {
	parsed, err := manifest.Parse(fmt.Sprintf("version %d", version), raw)
	if err != nil {
		return err
	}
	if !s.control.AdoptConfig(parsed.WithVersion(version), raw) {
		return nil
	}
	s.addToHistory(version, raw)
	s.log.Info("configuration adopted", events.ConfigAdopted.Attr(), "version", version)
	s.notify()
	return nil
}

// notify sends the configuration to the members that report an older version.
func (s *Config) notify() {
	snap := s.control.Snapshot()
	raw, version := s.control.ConfigSource()
	for _, m := range snap.Members {
		if m.Origin == snap.Self.Origin || m.ConfigVersion >= version {
			continue
		}
		s.group.Go(func() error {
			ctx, cancel := s.callContext()
			defer cancel()
			_ = s.peers.Call(ctx, m.PeerAddress, kindNotice, state{Version: version, Text: raw}, nil)
			return nil
		})
	}
}

func (s *Config) handleNotice(_ context.Context, decode func(any) error) (any, error) {
	var st state
	if err := decode(&st); err != nil {
		return nil, err
	}
	return struct{}{}, s.mergeState(st)
}

func (s *Config) state() state {
	raw, version := s.control.ConfigSource()
	vms, readAt := s.control.VMs()
	return state{Version: version, Text: raw, VMs: vms, VMsRead: readAt}
}

func (s *Config) mergeState(st state) error {
	if len(st.VMs) > 0 {
		s.control.SetVMs(st.VMs, st.VMsRead)
	}
	if st.Version <= s.control.Snapshot().Config.Version {
		return nil
	}
	return s.adoptText(st.Text, st.Version)
}

// Pull requests the configuration and VM list of the peer at address and merges them.
// A failed call is ignored.
func (s *Config) Pull(address string) {
	ctx, cancel := s.callContext()
	defer cancel()
	var st state
	if err := s.peers.Call(ctx, address, kindState, struct{}{}, &st); err != nil {
		return
	}
	if err := s.mergeState(st); err != nil {
		s.log.Error("configuration from peer is invalid", events.ConfigUnreadable.Attr(), "version", st.Version, "error", err)
	}
}

// maxHistory is the number of recent configurations kept, so that a rejected edit can be
// compared with the current one.
const maxHistory = 8

func (s *Config) addToHistory(version int64, raw []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history[version] = raw
	if len(s.history) <= maxHistory {
		return
	}
	oldest := version
	for v := range s.history {
		oldest = min(oldest, v)
	}
	delete(s.history, oldest)
}

// Current returns the current configuration and its version.
func (s *Config) Current() (raw []byte, version int64) { return s.control.ConfigSource() }

// VersionAt returns the configuration with the version, if it is among the last maxHistory.
func (s *Config) VersionAt(version int64) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	raw, ok := s.history[version]
	return raw, ok
}
