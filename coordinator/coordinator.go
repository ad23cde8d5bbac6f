// Package coordinator places jobs through the coordinator node, which tracks
// the load of all replicas. A node that cannot reach the coordinator places
// jobs by its own view of the load. In both cases the replica still decides
// whether it accepts the request.
package coordinator

import (
	"context"
	"errors"
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
	// placeTimeout bounds a placement call to the coordinator. It allows a few
	// round trips between data centres and is short compared with the tightest
	// latency objective.
	placeTimeout = 120 * time.Millisecond
	// reportTimeout bounds a call that reports to the coordinator.
	reportTimeout = 400 * time.Millisecond
	// reportDelay is how long updates are collected into one report.
	reportDelay = 15 * time.Millisecond
	// maxReport bounds the ended attempts that are queued for the coordinator of
	// one pool. Further ones are not reported.
	maxReport = 4096

	// retryDelay is the pause after a failed report.
	retryDelay = 150 * time.Millisecond

	placeKind  = "place"
	reportKind = "report"
)

// Coordinator places the jobs of its own node and, on the coordinator node, the
// jobs of all nodes. It implements catkinspindle.Service.
type Coordinator struct {
	planner *placement.Planner
	peers   catkinspindle.Peers
	home    func(catkinspindle.Pool) (catkinspindle.Node, bool)
	suspect func(catkinspindle.Node)
	self    string
	owner   string
	log     *slog.Logger
	// departed is called for each replica that has told another node that it is
	// leaving.
	departed func(catkinspindle.Departure)
	seq      atomic.Uint64
	wake     chan struct{}
	group    *errgroup.Group
	cancel   context.CancelFunc

	mu      sync.Mutex
	open    map[string]placed
	pending map[catkinspindle.Pool]news
}

// news holds the updates that a coordinator has not received yet: jobs that were
// placed without it, and the outcomes of attempts.
type news struct {
	Adopt []adoption             `cbor:"1,keyasint,omitempty"`
	End   []catkinspindle.Ending `cbor:"2,keyasint,omitempty"`
}

var errNoCoordinator = errors.New("no reachable coordinator for the pool")

// placed is a job that this node has placed and that has not ended.
type placed struct {
	job       catkinspindle.Job
	placement catkinspindle.Placement
	at        time.Time
}

// adoption describes an open job to a coordinator that does not know it.
type adoption struct {
	Job       catkinspindle.Job       `cbor:"1,keyasint"`
	Placement catkinspindle.Placement `cbor:"2,keyasint"`
	Age       time.Duration           `cbor:"3,keyasint"`
}

// Option configures a Coordinator.
type Option func(*Coordinator)

// WithDepartures calls f for each replica that has told another node that it is
// leaving.
func WithDepartures(f func(catkinspindle.Departure)) Option {
	return func(c *Coordinator) { c.departed = f }
}

// New returns a Coordinator for the node self. home returns the coordinator node
// of a pool; its second result is false when none is reachable. Jobs of a pool
// whose coordinator is this node, is not known or cannot be reached are placed
// with planner. suspect is called with a coordinator that does not answer.
func New(self catkinspindle.Node, planner *placement.Planner, peers catkinspindle.Peers, home func(catkinspindle.Pool) (catkinspindle.Node, bool), suspect func(catkinspindle.Node), log *slog.Logger, opts ...Option) *Coordinator {
	c := &Coordinator{
		planner: planner,
		peers:   peers,
		home:    home,
		suspect: suspect,
		self:    self.Name,
		owner:   owner(self),
		log:     log,
		wake:    make(chan struct{}, 1),
		open:    map[string]placed{},
		pending: map[catkinspindle.Pool]news{},

		departed: func(catkinspindle.Departure) {},
	}
	for _, opt := range opts {
		opt(c)
	}
	peers.Handle(placeKind, c.handlePlace)
	peers.Handle(reportKind, c.handleReport)
	return c
}

func owner(f catkinspindle.Node) string { return fmt.Sprintf("%s/%d/", f.Name, f.Incarnation) }

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

// Place sets the ID of j, chooses its pool and returns its placement.
func (c *Coordinator) Place(ctx context.Context, j catkinspindle.Job) catkinspindle.Placement {
	seq := c.seq.Add(1)
	j.ID = fmt.Sprintf("%s%d", c.owner, seq)
	if j.Prompt > 0 {
		j.Pool = c.planner.Pool(j.Service, seq)
	}
	now := time.Now()
	p, alone := c.place(ctx, now, j)
	if !p.Refused() {
		o := placed{job: j, placement: p, at: now}
		c.mu.Lock()
		c.open[j.ID] = o
		if alone {
			c.tell(j.Pool, func(n *news) { n.Adopt = append(n.Adopt, o.adoption(now)) })
		}
		c.mu.Unlock()
		if alone {
			c.wakeUp()
		}
	}
	return p
}

// tell applies change to the updates that are queued for the coordinator of p.
// The caller holds c.mu.
func (c *Coordinator) tell(p catkinspindle.Pool, change func(*news)) {
	n := c.pending[p]
	change(&n)
	c.pending[p] = n
}

func (o placed) adoption(now time.Time) adoption {
	return adoption{Job: o.job, Placement: o.placement, Age: now.Sub(o.at)}
}

func (c *Coordinator) wakeUp() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// place returns a placement, and whether it was made without the coordinator,
// which must then be informed.
func (c *Coordinator) place(ctx context.Context, now time.Time, j catkinspindle.Job) (p catkinspindle.Placement, alone bool) {
	home, ok := c.home(j.Pool)
	switch {
	case j.Prompt == 0 || (ok && home.Name == c.self):
		p = c.planner.Place(now, j)
		p.By = c.self
		return p, false
	case !ok:
		return c.planner.PlaceAlone(now, j), true
	}
	ctx, cancel := context.WithTimeout(ctx, placeTimeout)
	defer cancel()
	if err := c.peers.Call(ctx, home.PeerAddress, placeKind, j, &p); err != nil {
		var failure *catkinspindle.Failure
		if errors.As(err, &failure) && failure.Reason == catkinspindle.ReasonNotReady {
			// The coordinator has just started and has no configuration yet.
			return c.planner.PlaceAlone(time.Now(), j), true
		}
		c.log.Warn("call to the coordinator failed; placing without it", events.PeerUnreachable.Attr(), "node", home.Name, "error", err)
		c.suspect(home)
		return c.planner.PlaceAlone(time.Now(), j), true
	}
	p.By = home.Name
	if !p.Refused() {
		c.planner.Adopt(now, j, p, 0)
	}
	return p, false
}

// End records the outcome of an attempt and queues it for the coordinator.
func (c *Coordinator) End(e catkinspindle.Ending) {
	c.planner.End(time.Now(), e)
	c.mu.Lock()
	o, ok := c.open[e.Job]
	delete(c.open, e.Job)
	home, known := c.home(o.job.Pool)
	report := ok && (!known || home.Name != c.self) && o.job.Prompt > 0 && len(c.pending[o.job.Pool].End) < maxReport
	if report {
		c.tell(o.job.Pool, func(n *news) { n.End = append(n.End, e) })
	}
	c.mu.Unlock()
	if report {
		c.wakeUp()
	}
}

// report sends queued updates to the coordinators and retries failed reports
// until ctx ends.
func (c *Coordinator) report(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.wake:
		}
		pause := reportDelay
		for pause > 0 {
			select {
			case <-ctx.Done():
				return
			case <-time.After(pause):
			}
			pause = c.reportOnce(ctx)
		}
	}
}

// reportOnce sends the queued updates to the coordinator of each pool. It returns
// the delay before the next attempt, or zero when all reports succeeded.
func (c *Coordinator) reportOnce(ctx context.Context) time.Duration {
	c.mu.Lock()
	pending := c.pending
	c.pending = map[catkinspindle.Pool]news{}
	c.mu.Unlock()
	pause := time.Duration(0)
	for pool, n := range pending {
		if !c.reportPool(ctx, pool, n) {
			pause = retryDelay
		}
	}
	return pause
}

// reportPool sends updates to the coordinator of a pool and reports whether that
// succeeded or was not needed. After a failure the updates are queued again.
func (c *Coordinator) reportPool(ctx context.Context, pool catkinspindle.Pool, n news) bool {
	home, ok := c.home(pool)
	if (ok && home.Name == c.self) || len(n.Adopt)+len(n.End) == 0 {
		return true
	}
	err := errNoCoordinator
	if ok {
		err = c.send(ctx, home, reportKind, n)
	}
	if err == nil {
		return true
	}
	c.log.Warn("report to the coordinator failed", events.PeerUnreachable.Attr(), "node", home.Name, "adopt", len(n.Adopt), "end", len(n.End), "error", err)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tell(pool, func(later *news) {
		if len(later.End) < maxReport {
			later.Adopt = append(n.Adopt, later.Adopt...)
			later.End = append(n.End, later.End...)
		}
	})
	return false
}

func (c *Coordinator) send(ctx context.Context, to catkinspindle.Node, kind string, message any) error {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	return c.peers.Call(ctx, to.PeerAddress, kind, message, nil)
}

// Announce queues all open jobs of this node for their coordinators. It is called
// when the coordinator has changed.
func (c *Coordinator) Announce() { c.announce(func(catkinspindle.Pool) bool { return true }) }

// AnnounceDivided is Announce for the jobs of services that are divided into
// pools with a coordinator each. It covers all their pools, because the caller
// does not know which of the coordinators has changed.
func (c *Coordinator) AnnounceDivided() { c.announce(catkinspindle.Pool.Divided) }

func (c *Coordinator) announce(which func(catkinspindle.Pool) bool) {
	now := time.Now()
	c.mu.Lock()
	for pool, n := range c.pending {
		if which(pool) {
			n.Adopt = n.Adopt[:0]
			c.pending[pool] = n
		}
	}
	for _, o := range c.open {
		if o.job.Prompt > 0 && which(o.job.Pool) {
			c.tell(o.job.Pool, func(n *news) { n.Adopt = append(n.Adopt, o.adoption(now)) })
		}
	}
	c.mu.Unlock()
	c.wakeUp()
}

// RemoveNode discards the open jobs that a dead node has placed.
func (c *Coordinator) RemoveNode(dead catkinspindle.Node) { c.planner.Forget(owner(dead)) }

func (c *Coordinator) handlePlace(_ context.Context, decode func(any) error) (any, error) {
	var j catkinspindle.Job
	if err := decode(&j); err != nil {
		return nil, err
	}
	if !c.planner.Knows(j.Service) {
		return nil, catkinspindle.Fail(catkinspindle.NotRun, catkinspindle.ReasonNotReady, "service %s has no configuration or no replicas on the coordinator yet", j.Service)
	}
	return c.planner.Place(time.Now(), j), nil
}

func (c *Coordinator) handleReport(_ context.Context, decode func(any) error) (any, error) {
	var n news
	if err := decode(&n); err != nil {
		return nil, err
	}
	now := time.Now()
	for _, a := range n.Adopt {
		c.planner.Adopt(now, a.Job, a.Placement, a.Age)
	}
	for _, e := range n.End {
		c.planner.End(now, e)
		if e.Departed != nil {
			c.departed(*e.Departed)
		}
	}
	return nil, nil
}
