// Package poll requests the status of the engines that this VM is home to and cancels
// orphaned streams on them.
package poll

import (
	"context"
	"log/slog"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/control"
	"github.com/catkinspindle/catkinspindle/events"
)

// Poller is the service that polls engines.
type Poller struct {
	control *control.Control
	dialer  catkinspindle.Dialer
	timing  catkinspindle.Timing
	log     *slog.Logger
	cancel  context.CancelFunc
	group   *errgroup.Group
}

// New returns a poller of the engines that c is home to.
func New(c *control.Control, d catkinspindle.Dialer, timing catkinspindle.Timing, log *slog.Logger) *Poller {
	return &Poller{control: c, dialer: d, timing: timing, log: log}
}

// Start implements catkinspindle.Service.
func (p *Poller) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	p.group = &errgroup.Group{}
	p.group.Go(func() error {
		p.run(ctx)
		return nil
	})
	return nil
}

// Stop implements catkinspindle.Service.
func (p *Poller) Stop(context.Context) error {
	p.cancel()
	return p.group.Wait()
}

// run keeps one polling goroutine for each engine that this VM is home to.
func (p *Poller) run(ctx context.Context) {
	pollers := map[string]context.CancelFunc{}
	ticker := time.NewTicker(p.timing.Heartbeat / 5)
	defer ticker.Stop()
	for {
		current := map[string]bool{}
		for _, vm := range p.control.HomeEngines() {
			current[vm.Name+"@"+vm.Address] = true
			if _, ok := pollers[vm.Name+"@"+vm.Address]; ok {
				continue
			}
			engineCtx, cancel := context.WithCancel(ctx)
			pollers[vm.Name+"@"+vm.Address] = cancel
			p.group.Go(func() error {
				p.pollEngine(engineCtx, vm)
				return nil
			})
		}
		for key, cancel := range pollers {
			if !current[key] {
				cancel()
				delete(pollers, key)
			}
		}
		select {
		case <-ctx.Done():
			for _, cancel := range pollers {
				cancel()
			}
			return
		case <-ticker.C:
		}
	}
}

// pollEngine polls an engine until ctx ends. It logs once when the engine becomes unreachable.
func (p *Poller) pollEngine(ctx context.Context, vm catkinspindle.VM) {
	engine := p.dialer.Engine(vm)
	reachable := true
	for ctx.Err() == nil {
		err := p.pollOnce(ctx, engine, vm)
		if err != nil && reachable && ctx.Err() == nil {
			p.log.Warn("engine unreachable: status poll or stream cancellation failed", events.EngineUnreachable.Attr(), "engine", vm.Name, "error", err)
		}
		reachable = err == nil
		select {
		case <-ctx.Done():
		case <-time.After(p.timing.StatusInterval):
		}
	}
}

// pollOnce passes the engine's status to control and cancels the streams that are orphaned.
func (p *Poller) pollOnce(ctx context.Context, engine catkinspindle.Engine, vm catkinspindle.VM) error {
	ctx, cancel := context.WithTimeout(ctx, p.timing.CallTimeout)
	defer cancel()
	status, err := engine.Status(ctx)
	if err != nil {
		p.control.MarkUnreachable(vm.Name)
		return err
	}
	if v := status.RateLimit.Malformed; v != "" {
		p.log.Warn("engine states a malformed rate limit; ignored", events.RateLimited.Attr(), "engine", vm.Name, "value", v)
	}
	for _, id := range p.control.UpdateStatus(vm.Name, status) {
		if err := engine.Cancel(ctx, id); err != nil {
			return err
		}
		p.control.ConfirmStreamEnd(vm.Name, id)
		p.log.Info("orphaned stream cancelled", events.EngineCancelled.Attr(), "engine", vm.Name, "stream", id.String())
	}
	return nil
}
