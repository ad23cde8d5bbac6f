package proofs_test

import (
	"context"

	"github.com/catkinspindle/catkinspindle"
)

// dialer connects a node to the fake backend servers through the fake network.
type dialer struct {
	fleet *fleet
	site  *site
}

func (d *dialer) Engine(vm catkinspindle.VM) catkinspindle.Engine {
	return &engineLink{site: d.site, to: d.fleet.engines[vm.Name], name: vm.Name}
}

func (d *dialer) Plain(vm catkinspindle.VM) catkinspindle.PlainService {
	return &plainLink{site: d.site, to: d.fleet.plains[vm.Name], name: vm.Name}
}

// roundTrip delivers one request and its response. A request that was lost before
// it arrived was not run; if only the response was lost, it may have run.
func roundTrip[T any](ctx context.Context, s *site, to string, call func(context.Context) (T, error)) (T, error) {
	var zero T
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(s.dead, cancel)()
	if err := s.deliver(ctx, to, sameCentreLatency); err != nil {
		return zero, catkinspindle.Fail(catkinspindle.NotRun, catkinspindle.ReasonNoBackend, "%w", err)
	}
	v, err := call(ctx)
	if lost := s.net.deliver(ctx, to, s.name, sameCentreLatency); lost != nil {
		return zero, lostReply(lost)
	}
	if lost := s.awaitThawed(ctx); lost != nil {
		return zero, lostReply(lost)
	}
	return v, err
}

type engineLink struct {
	site *site
	to   catkinspindle.Engine
	name string
}

func (l *engineLink) Start(ctx context.Context, req catkinspindle.StreamStart) (catkinspindle.Stream, error) {
	if err := l.site.deliver(ctx, l.name, sameCentreLatency); err != nil {
		return nil, catkinspindle.Fail(catkinspindle.NotRun, catkinspindle.ReasonNoBackend, "%w", err)
	}
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(l.site.dead, cancel)
	s, err := l.to.Start(ctx, req)
	if err != nil {
		stop()
		cancel()
		return nil, err
	}
	return &streamLink{Stream: s, ctx: ctx, link: l, cancel: func() { stop(); cancel() }}, nil
}

func (l *engineLink) Cancel(ctx context.Context, id catkinspindle.StreamID) error {
	_, err := roundTrip(ctx, l.site, l.name, func(ctx context.Context) (struct{}, error) { return struct{}{}, l.to.Cancel(ctx, id) })
	return err
}

func (l *engineLink) Status(ctx context.Context) (catkinspindle.EngineStatus, error) {
	return roundTrip(ctx, l.site, l.name, l.to.Status)
}

func (l *engineLink) Order(ctx context.Context, o catkinspindle.Order) error {
	_, err := roundTrip(ctx, l.site, l.name, func(ctx context.Context) (struct{}, error) { return struct{}{}, l.to.Order(ctx, o) })
	return err
}

// streamLink withholds chunks while the node is frozen or cannot be reached by the engine.
type streamLink struct {
	catkinspindle.Stream
	ctx    context.Context
	link   *engineLink
	cancel func()
}

func (s *streamLink) Next() (catkinspindle.Chunk, error) {
	c, err := s.Stream.Next()
	if thawErr := s.link.site.awaitThawed(s.ctx); thawErr != nil {
		return c, thawErr
	}
	if s.link.site.net.isBlocked(s.link.name, s.link.site.name) {
		<-s.ctx.Done()
		return c, s.ctx.Err()
	}
	return c, err
}

func (s *streamLink) Close() {
	s.Stream.Close()
	s.cancel()
}

type plainLink struct {
	site *site
	to   catkinspindle.PlainService
	name string
}

func (l *plainLink) Call(ctx context.Context, c catkinspindle.PlainCall) (catkinspindle.PlainReply, error) {
	ctx, cancel := context.WithDeadline(ctx, c.Deadline)
	defer cancel()
	if err := l.site.deliver(ctx, l.name, sameCentreLatency); err != nil {
		return catkinspindle.PlainReply{}, catkinspindle.Fail(catkinspindle.NotRun, catkinspindle.ReasonNoBackend, "%w", err)
	}
	type outcome struct {
		reply catkinspindle.PlainReply
		err   error
	}
	// The replica continues to execute after the node has stopped waiting.
	done := make(chan outcome, 1)
	l.site.net.spawn(func() {
		reply, err := l.to.Call(ctx, c)
		done <- outcome{reply: reply, err: err}
	})
	select {
	case o := <-done:
		if lost := l.site.net.deliver(ctx, l.name, l.site.name, sameCentreLatency); lost != nil {
			return catkinspindle.PlainReply{}, lostReply(lost)
		}
		if lost := l.site.awaitThawed(ctx); lost != nil {
			return catkinspindle.PlainReply{}, lostReply(lost)
		}
		return o.reply, o.err
	case <-ctx.Done():
		return catkinspindle.PlainReply{}, lostReply(ctx.Err())
	}
}

// platformLink connects a node to the fake platform through the fake network.
type platformLink struct {
	site *site
	to   catkinspindle.Platform
}

const platformName = "platform"

func (l *platformLink) Get(ctx context.Context, kind, name string) (catkinspindle.Object, error) {
	return roundTrip(ctx, l.site, platformName, func(ctx context.Context) (catkinspindle.Object, error) { return l.to.Get(ctx, kind, name) })
}

func (l *platformLink) Put(ctx context.Context, kind, name string, version int64, value []byte) (catkinspindle.Object, error) {
	return roundTrip(ctx, l.site, platformName, func(ctx context.Context) (catkinspindle.Object, error) {
		return l.to.Put(ctx, kind, name, version, value)
	})
}

func (l *platformLink) Watch(ctx context.Context, kind, name string, version int64) (catkinspindle.Object, error) {
	return roundTrip(ctx, l.site, platformName, func(ctx context.Context) (catkinspindle.Object, error) {
		return l.to.Watch(ctx, kind, name, version)
	})
}

func (l *platformLink) VMs(ctx context.Context) ([]catkinspindle.VM, error) {
	return roundTrip(ctx, l.site, platformName, l.to.VMs)
}
