// Package coordinator places jobs through the coordinating node, which knows
// the load of all replicas. A node that cannot reach it places by what it knows
// itself: the replicas' own refusals are the last word either way.
package coordinator

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/events"
	"github.com/catkinspindle/catkinspindle/placement"
)

const (
	// placeTimeout bounds a call to the coordinator: a few round trips between
	// data centres, and short against the tightest objective.
	placeTimeout = 120 * time.Millisecond
	// reportTimeout bounds a report of endings.
	reportTimeout = 400 * time.Millisecond
	// reportDelay collects endings into one report.
	reportDelay = 15 * time.Millisecond
	// maxReport bounds the endings that wait to be reported.
	maxReport = 4096

	placeKind = "place"
	endKind   = "end"
	adoptKind = "adopt"
)

// Coordinator places the jobs of one node and, when it coordinates, of all.
// It implements catkinspindle.Service.
type Coordinator struct {
	planner *placement.Planner
	peers   catkinspindle.Peers
	home    func() (catkinspindle.Fellow, bool)
	owner   string
	log     *slog.Logger
	seq     atomic.Uint64
	wake    chan struct{}
	group   *errgroup.Group
	cancel  context.CancelFunc

	mu      sync.Mutex
	open    map[string]placed
	endings []catkinspindle.Ending
}

type placed struct {
	job       catkinspindle.Job
	placement catkinspindle.Placement
	at        time.Time
}

type adoption struct {
	Job       catkinspindle.Job       `cbor:"1,keyasint"`
	Placement catkinspindle.Placement `cbor:"2,keyasint"`
	Age       time.Duration           `cbor:"3,keyasint"`
}

// New returns a coordinator that places with planner when home says that this
// node coordinates or the other one does not answer.
func New(self catkinspindle.Fellow, planner *placement.Planner, peers catkinspindle.Peers, home func() (catkinspindle.Fellow, bool), log *slog.Logger) *Coordinator {
	c := &Coordinator{
		planner: planner,
		peers:   peers,
		home:    home,
		owner:   owner(self),
		log:     log,
		wake:    make(chan struct{}, 1),
		open:    map[string]placed{},
	}
	peers.Handle(placeKind, c.handlePlace)
	peers.Handle(endKind, c.handleEnd)
	peers.Handle(adoptKind, c.handleAdopt)
	return c
}

func owner(f catkinspindle.Fellow) string { return fmt.Sprintf("%s/%d/", f.Name, f.Incarnation) }

// Start implements catkinspindle.Service.
func (c *Coordinator) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	c.group = &errgroup.Group{}
	c.group.Go(func() error {
		c.report(ctx)
		return nil
	})
	return nil
}

// Stop implements catkinspindle.Service.
func (c *Coordinator) Stop(context.Context) error {
	c.cancel()
	return c.group.Wait()
}

// Place places j, whose ID it sets.
func (c *Coordinator) Place(ctx context.Context, j catkinspindle.Job) catkinspindle.Placement {
	j.ID = fmt.Sprintf("%s%d", c.owner, c.seq.Add(1))
	now := time.Now()
	p := c.place(ctx, now, j)
	if !p.Refused() {
		c.mu.Lock()
		c.open[j.ID] = placed{job: j, placement: p, at: now}
		c.mu.Unlock()
	}
	return p
}

func (c *Coordinator) place(ctx context.Context, now time.Time, j catkinspindle.Job) catkinspindle.Placement {
	home, self := c.home()
	if self || j.Prompt == 0 {
		return c.planner.Place(now, j)
	}
	ctx, cancel := context.WithTimeout(ctx, placeTimeout)
	defer cancel()
	var p catkinspindle.Placement
	if err := c.peers.Call(ctx, home.PeerAddress, placeKind, j, &p); err != nil {
		c.log.Warn("coordinator does not answer; placing alone", events.PeerUnreachable.Attr(), "node", home.Name, "error", err)
		return c.planner.Place(time.Now(), j)
	}
	if !p.Refused() {
		c.planner.Adopt(now, j, p, 0)
	}
	return p
}

// End reports how an attempt ended.
func (c *Coordinator) End(e catkinspindle.Ending) {
	c.planner.End(time.Now(), e)
	c.mu.Lock()
	o, ok := c.open[e.Job]
	delete(c.open, e.Job)
	_, self := c.home()
	report := ok && !self && o.job.Prompt > 0 && len(c.endings) < maxReport
	if report {
		c.endings = append(c.endings, e)
	}
	c.mu.Unlock()
	if !report {
		return
	}
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// report sends endings to the coordinator.
func (c *Coordinator) report(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.wake:
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(reportDelay):
		}
		c.mu.Lock()
		list := c.endings
		c.endings = nil
		c.mu.Unlock()
		home, self := c.home()
		if self || len(list) == 0 {
			continue
		}
		if err := c.send(ctx, home, endKind, list); err != nil {
			c.log.Warn("endings not reported", events.PeerUnreachable.Attr(), "node", home.Name, "count", len(list), "error", err)
		}
	}
}

func (c *Coordinator) send(ctx context.Context, to catkinspindle.Fellow, kind string, message any) error {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	return c.peers.Call(ctx, to.PeerAddress, kind, message, nil)
}

// Announce tells a new coordinator what this node has open.
func (c *Coordinator) Announce(home catkinspindle.Fellow) {
	if _, self := c.home(); self {
		return
	}
	now := time.Now()
	c.mu.Lock()
	list := make([]adoption, 0, len(c.open))
	for _, o := range c.open {
		if o.job.Prompt > 0 {
			list = append(list, adoption{Job: o.job, Placement: o.placement, Age: now.Sub(o.at)})
		}
	}
	c.mu.Unlock()
	if len(list) == 0 {
		return
	}
	if err := c.send(context.Background(), home, adoptKind, list); err != nil {
		c.log.Warn("open jobs not announced", events.PeerUnreachable.Attr(), "node", home.Name, "count", len(list), "error", err)
	}
}

// Bury drops the jobs of a dead node.
func (c *Coordinator) Bury(dead catkinspindle.Fellow) { c.planner.Forget(owner(dead)) }

func (c *Coordinator) handlePlace(_ context.Context, decode func(any) error) (any, error) {
	var j catkinspindle.Job
	if err := decode(&j); err != nil {
		return nil, err
	}
	return c.planner.Place(time.Now(), j), nil
}

func (c *Coordinator) handleEnd(_ context.Context, decode func(any) error) (any, error) {
	var list []catkinspindle.Ending
	if err := decode(&list); err != nil {
		return nil, err
	}
	for _, e := range list {
		c.planner.End(time.Now(), e)
	}
	return nil, nil
}

func (c *Coordinator) handleAdopt(_ context.Context, decode func(any) error) (any, error) {
	var list []adoption
	if err := decode(&list); err != nil {
		return nil, err
	}
	for _, a := range list {
		c.planner.Adopt(time.Now(), a.Job, a.Placement, a.Age)
	}
	return nil, nil
}
