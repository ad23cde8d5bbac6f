// Package platform implements a stand-in for the object API of the platform: versions,
// conditional updates, watches, rate limits and a delayed list of VMs.
package platform

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/catkinspindle/catkinspindle"
)

// Rate limits in calls per second, and the maximum size of a value.
const (
	WritesPerSecond = 300
	ReadsPerSecond  = 2000
	MaxValueBytes   = 1 << 20
)

var (
	errDown          = errors.New("platform is down")
	errReplyLost     = errors.New("connection lost")
	errRateLimited   = errors.New("platform refuses the call: rate limit")
	errValueTooLarge = errors.New("value is over 1 MB")
)

// Faults are the failures that tests inject while the platform runs.
type Faults struct {
	Down  bool          `json:"down"`
	Delay time.Duration `json:"slow"`
	// LoseReplies is the number of writes that are applied but whose replies are lost.
	LoseReplies int `json:"lose-replies"`
	// FreezeVMs freezes the list of VMs that VMs returns.
	FreezeVMs bool `json:"hold-vms"`
}

// Calls counts the calls by kind. Refused counts those over a rate limit.
type Calls struct {
	Reads   int `json:"reads"`
	Writes  int `json:"writes"`
	Watches int `json:"watches"`
	Refused int `json:"refused"`
}

// Event is an applied write.
type Event struct {
	At      time.Time `json:"at"`
	Kind    string    `json:"kind"`
	Name    string    `json:"name"`
	Version int64     `json:"version"`
}

// Platform is a stand-in for the platform. It implements catkinspindle.Platform.
type Platform struct {
	readLimiter  *rate.Limiter
	writeLimiter *rate.Limiter
	listLag      time.Duration

	mu          sync.Mutex
	changed     chan struct{}
	faults      Faults
	objects     map[string]catkinspindle.Object
	lastVersion int64
	vms         []catkinspindle.VM
	listedVMs   []catkinspindle.VM
	listedAt    time.Time
	calls       Calls
	history     []Event
}

// New returns a platform whose list of VMs is refreshed at most once per lag.
func New(lag time.Duration) *Platform {
	return &Platform{
		readLimiter:  rate.NewLimiter(ReadsPerSecond, ReadsPerSecond),
		writeLimiter: rate.NewLimiter(WritesPerSecond, WritesPerSecond),
		listLag:      lag,
		changed:      make(chan struct{}),
		objects:      map[string]catkinspindle.Object{},
	}
}

// SetFaults replaces the injected faults.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
	p.wakeWatchers()
}

// Calls returns the present counts.
func (p *Platform) Calls() Calls {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

// History returns the applied writes, oldest first.
func (p *Platform) History() []Event {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.history)
}

// SetVM registers a VM or replaces the one of the same name.
func (p *Platform) SetVM(vm catkinspindle.VM) {
	p.RemoveVM(vm.Name)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vms = append(p.vms, vm)
}

// RemoveVM removes a VM from the list.
func (p *Platform) RemoveVM(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vms = slices.DeleteFunc(slices.Clone(p.vms), func(vm catkinspindle.VM) bool { return vm.Name == name })
}

func (p *Platform) wakeWatchers() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// admitCall counts a call and applies the rate limit and the injected faults.
func (p *Platform) admitCall(ctx context.Context, limit *rate.Limiter, count *int) error {
	p.mu.Lock()
	*count++
	f := p.faults
	allowed := limit.Allow()
	if !allowed {
		p.calls.Refused++
	}
	p.mu.Unlock()
	if f.Delay > 0 {
		select {
		case <-time.After(f.Delay):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	if f.Down {
		return errDown
	}
	if !allowed {
		return errRateLimited
	}
	return nil
}

// Get implements catkinspindle.Platform.
func (p *Platform) Get(ctx context.Context, kind, name string) (catkinspindle.Object, error) {
	if err := p.admitCall(ctx, p.readLimiter, &p.calls.Reads); err != nil {
		return catkinspindle.Object{}, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	o, ok := p.objects[kind+"/"+name]
	if !ok {
		return o, catkinspindle.ErrNotFound
	}
	return o, nil
}

// Put implements catkinspindle.Platform.
func (p *Platform) Put(ctx context.Context, kind, name string, version int64, value []byte) (catkinspindle.Object, error) {
	if len(value) > MaxValueBytes {
		return catkinspindle.Object{}, errValueTooLarge
	}
	if err := p.admitCall(ctx, p.writeLimiter, &p.calls.Writes); err != nil {
		return catkinspindle.Object{}, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	key := kind + "/" + name
	if p.objects[key].Version != version {
		return p.objects[key], catkinspindle.ErrConflict
	}
	p.lastVersion++
	o := catkinspindle.Object{Version: p.lastVersion, Value: slices.Clone(value)}
	p.objects[key] = o
	p.history = append(p.history, Event{At: time.Now(), Kind: kind, Name: name, Version: o.Version})
	p.wakeWatchers()
	if p.faults.LoseReplies > 0 {
		p.faults.LoseReplies--
		return catkinspindle.Object{}, errReplyLost
	}
	return o, nil
}

// Watch implements catkinspindle.Platform.
func (p *Platform) Watch(ctx context.Context, kind, name string, version int64) (catkinspindle.Object, error) {
	if err := p.admitCall(ctx, p.readLimiter, &p.calls.Watches); err != nil {
		return catkinspindle.Object{}, err
	}
	for {
		p.mu.Lock()
		o, ok := p.objects[kind+"/"+name]
		down := p.faults.Down
		changed := p.changed
		p.mu.Unlock()
		if down {
			return catkinspindle.Object{}, errDown
		}
		if ok && o.Version > version {
			return o, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return catkinspindle.Object{}, ctx.Err()
		}
	}
}

// VMs implements catkinspindle.Platform. The list may be out of date by up to the lag.
func (p *Platform) VMs(ctx context.Context) ([]catkinspindle.VM, error) {
	if err := p.admitCall(ctx, p.readLimiter, &p.calls.Reads); err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listedVMs == nil || !p.faults.FreezeVMs && time.Since(p.listedAt) >= p.listLag {
		p.listedVMs = slices.Clone(p.vms)
		p.listedAt = time.Now()
	}
	return slices.Clone(p.listedVMs), nil
}
