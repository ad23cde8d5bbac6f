// Package coordinator places jobs through the coordinator node, which tracks
// the load of all replicas. A node that cannot reach the coordinator places
// jobs by the load that it tracks itself. In both cases the replica still decides
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
	"github.com/catkinspindle/catkinspindle/quarantine"
	"github.com/catkinspindle/catkinspindle/ratelimits"
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
	// maxQueuedResults bounds the ended attempts that are queued for the coordinator of
	// one pool. Further ones are not reported.
	maxQueuedResults = 4096

	// retryDelay is the pause after a failed report.
	retryDelay = 150 * time.Millisecond

	placeKind  = "place"
	reportKind = "report"
)

// Coordinator places the jobs of its own node and, on the coordinator node, the
// jobs of all nodes. It implements catkinspindle.Service.
type Coordinator struct {
	planner       *placement.Planner
	peers         catkinspindle.Peers
	coordinatorOf func(catkinspindle.Pool) (catkinspindle.Node, bool)
	suspect       func(catkinspindle.Node)
	nodeName      string
	jobIDPrefix   string
	log           *slog.Logger
	// authority returns this node's authority over the rate limits of a pool.
	authority  func(catkinspindle.Pool) catkinspindle.RateAuthority
	rateLimits *ratelimits.Table
	quarantine *quarantine.Table
	// onDeparture is called for each departure of a replica that another node reports.
	onDeparture func(catkinspindle.Departure)
	seq         atomic.Uint64
	wake        chan struct{}
	group       *errgroup.Group
	cancel      context.CancelFunc

	mu       sync.Mutex
	openJobs map[string]openJob
	pending  map[catkinspindle.Pool]updates

	// waitMu is locked before mu. room is signalled when there may be room for waiting jobs.
	waitMu  sync.Mutex
	waiters map[string]*waiter
	room    chan struct{}
}

// updates holds the updates that a coordinator has not received yet: jobs that were
// placed without it, the outcomes of attempts and changes of rate limits.
type updates struct {
	OpenJobs []jobRecord                   `cbor:"1,keyasint,omitempty"`
	Results  []catkinspindle.AttemptResult `cbor:"2,keyasint,omitempty"`
	// RateLimits are the newest statements of the replicas in changedLimits. They are added
	// when the updates are sent.
	RateLimits    []catkinspindle.RateLimitReport `cbor:"3,keyasint,omitempty"`
	changedLimits []string
}

func (n updates) empty() bool { return len(n.OpenJobs)+len(n.Results)+len(n.changedLimits) == 0 }

var errNoCoordinator = errors.New("no reachable coordinator for the pool")

// openJob is a job that this node has placed and that has not ended.
type openJob struct {
	job       catkinspindle.Job
	placement catkinspindle.Placement
	at        time.Time
	// coordinated is true when the coordinator of the job's pool tracks it.
	coordinated bool
}

// jobRecord describes an open job to a coordinator that does not track it yet.
type jobRecord struct {
	Job       catkinspindle.Job       `cbor:"1,keyasint"`
	Placement catkinspindle.Placement `cbor:"2,keyasint"`
	Age       time.Duration           `cbor:"3,keyasint"`
}

// Option configures a Coordinator.
type Option func(*Coordinator)

// WithDepartures calls f for each departure of a replica that another node reports.
func WithDepartures(f func(catkinspindle.Departure)) Option {
	return func(c *Coordinator) { c.onDeparture = f }
}

// New returns a Coordinator for the node self. coordinatorOf returns the
// coordinator node of a pool; its second result is false when none is reachable.
// Jobs of a pool whose coordinator is this node, is not known or cannot be
// reached are placed with planner. suspect is called with a coordinator that does
// not answer.
func New(self catkinspindle.Node, planner *placement.Planner, peers catkinspindle.Peers, coordinatorOf func(catkinspindle.Pool) (catkinspindle.Node, bool), suspect func(catkinspindle.Node), log *slog.Logger, opts ...Option) *Coordinator {
	c := &Coordinator{
		planner:       planner,
		peers:         peers,
		coordinatorOf: coordinatorOf,
		suspect:       suspect,
		nodeName:      self.Name,
		jobIDPrefix:   jobIDPrefix(self),
		log:           log,
		wake:          make(chan struct{}, 1),
		openJobs:      map[string]openJob{},
		pending:       map[catkinspindle.Pool]updates{},
		waiters:       map[string]*waiter{},
		room:          make(chan struct{}, 1),

		authority:   func(catkinspindle.Pool) catkinspindle.RateAuthority { return catkinspindle.FullRateAuthority() },
		rateLimits:  ratelimits.New(),
		quarantine:  quarantine.New(),
		onDeparture: func(catkinspindle.Departure) {},
	}
	for _, opt := range opts {
		opt(c)
	}
	peers.Handle(placeKind, c.handlePlace)
	peers.Handle(reportKind, c.handleReport)
	peers.Handle(trialKind, c.handleTrial)
	return c
}

func jobIDPrefix(n catkinspindle.Node) string { return fmt.Sprintf("%s/%d/", n.Name, n.Incarnation) }

// Start implements catkinspindle.Service.
func (c *Coordinator) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	c.group = &errgroup.Group{}
	c.group.Go(func() error {
		c.reportLoop(ctx)
		return nil
	})
	c.group.Go(func() error {
		c.dispatchLoop(ctx)
		return nil
	})
	return nil
}

// Stop implements catkinspindle.Service.
func (c *Coordinator) Stop(context.Context) error {
	c.cancel()
	return c.group.Wait()
}

// Place sets the ID of j, chooses its pool and returns its placement, after j has waited for room if it
// has to.
func (c *Coordinator) Place(ctx context.Context, j catkinspindle.Job) catkinspindle.Placement {
	seq := c.seq.Add(1)
	j.ID = fmt.Sprintf("%s%d", c.jobIDPrefix, seq)
	// Jobs without a prompt are placed locally, unless all nodes share a rate limit.
	now := time.Now()
	coordinated := j.PromptTokens > 0 || c.planner.HasRateLimits(now, j.Service)
	if coordinated {
		j.Pool = c.planner.Pool(j.Service, seq)
	}
	p, withoutCoordinator := c.place(ctx, now, j, coordinated)
	if !p.Refused() {
		placedAt := time.Now()
		o := openJob{job: j.After(placedAt.Sub(now)), placement: p, at: placedAt, coordinated: coordinated}
		c.mu.Lock()
		c.openJobs[j.ID] = o
		if withoutCoordinator {
			c.queueUpdate(j.Pool, func(n *updates) { n.OpenJobs = append(n.OpenJobs, o.record(placedAt)) })
		}
		c.mu.Unlock()
		if withoutCoordinator {
			c.wakeReporter()
		}
	}
	return p
}

// queueUpdate applies change to the updates that are queued for the coordinator of p.
// The caller holds c.mu.
func (c *Coordinator) queueUpdate(p catkinspindle.Pool, change func(*updates)) {
	n := c.pending[p]
	change(&n)
	c.pending[p] = n
}

func (o openJob) record(now time.Time) jobRecord {
	return jobRecord{Job: o.job, Placement: o.placement, Age: now.Sub(o.at)}
}

func (c *Coordinator) wakeReporter() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// place returns the placement of a job that was created at a time, and whether it was made without the
// coordinator, which must then be informed.
func (c *Coordinator) place(ctx context.Context, created time.Time, j catkinspindle.Job, coordinated bool) (p catkinspindle.Placement, withoutCoordinator bool) {
	for {
		now := time.Now()
		current := j.After(now.Sub(created))
		p, withoutCoordinator = c.placeOnce(ctx, now, current, coordinated)
		if !p.Waiting {
			return p, withoutCoordinator
		}
	}
}

// placeOnce is place for one call to the coordinator, after which the job may still wait.
func (c *Coordinator) placeOnce(ctx context.Context, now time.Time, j catkinspindle.Job, coordinated bool) (p catkinspindle.Placement, withoutCoordinator bool) {
	coord, ok := c.coordinatorOf(j.Pool)
	if coordinated {
		j.Hold = hold(j)
	}
	switch {
	case !coordinated || (ok && coord.Name == c.nodeName):
		p = c.placeHere(ctx, j)
		p.PlacedBy = c.nodeName
		return p, false
	case !ok:
		return c.planner.PlaceUncoordinated(now, j), true
	}
	timeout := placeTimeout
	if j.Waited > 0 {
		timeout += j.Hold
	}
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	err := c.peers.Call(callCtx, coord.PeerAddress, placeKind, j, &p)
	if ctx.Err() != nil && (err != nil || p.Waiting) {
		// The job is no longer wanted, which says nothing about the coordinator. It may have
		// placed the job.
		c.mu.Lock()
		c.queueUpdate(j.Pool, func(n *updates) {
			n.Results = append(n.Results, catkinspindle.AttemptResult{JobID: j.ID, Outcome: catkinspindle.OutcomeGivenUp})
		})
		c.mu.Unlock()
		c.wakeReporter()
		return catkinspindle.Placement{JobID: j.ID, Reason: catkinspindle.ReasonNoBackend}, false
	}
	if err != nil {
		var failure *catkinspindle.Failure
		if errors.As(err, &failure) && failure.Reason == catkinspindle.ReasonNotReady {
			// The coordinator has just started and has no configuration yet.
			return c.planner.PlaceUncoordinated(time.Now(), j), true
		}
		c.log.Warn("call to the coordinator failed; placing without it", events.PeerUnreachable.Attr(), "node", coord.Name, "error", err)
		c.suspect(coord)
		return c.planner.PlaceUncoordinated(time.Now(), j), true
	}
	p.PlacedBy = coord.Name
	if !p.Refused() && !p.Waiting {
		c.planner.Adopt(time.Now(), j.After(time.Since(now)), p, 0)
	}
	return p, false
}

// ReportResult records the outcome of an attempt and queues it for the coordinator.
func (c *Coordinator) ReportResult(e catkinspindle.AttemptResult) {
	c.planner.ReportResult(time.Now(), e)
	c.wakeDispatcher()
	c.mu.Lock()
	o, ok := c.openJobs[e.JobID]
	delete(c.openJobs, e.JobID)
	coord, known := c.coordinatorOf(o.job.Pool)
	shouldReport := ok && (!known || coord.Name != c.nodeName) && o.coordinated && len(c.pending[o.job.Pool].Results) < maxQueuedResults
	if shouldReport {
		c.queueUpdate(o.job.Pool, func(n *updates) { n.Results = append(n.Results, e) })
	}
	c.mu.Unlock()
	if shouldReport {
		c.wakeReporter()
	}
}

// reportLoop sends queued updates to the coordinators and retries failed reports
// until ctx ends.
func (c *Coordinator) reportLoop(ctx context.Context) {
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
			pause = c.sendReports(ctx)
		}
	}
}

// sendReports sends the queued updates to the coordinator of each pool. It returns
// the delay before the next attempt, or zero when all reports succeeded.
func (c *Coordinator) sendReports(ctx context.Context) time.Duration {
	c.mu.Lock()
	pending := c.pending
	c.pending = map[catkinspindle.Pool]updates{}
	c.mu.Unlock()
	pause := time.Duration(0)
	for pool, n := range pending {
		if !c.sendReport(ctx, pool, n) {
			pause = retryDelay
		}
	}
	return pause
}

// sendReport sends updates to the coordinator of a pool and reports whether that
// succeeded or was not needed. After a failure the updates are queued again.
func (c *Coordinator) sendReport(ctx context.Context, pool catkinspindle.Pool, n updates) bool {
	coord, ok := c.coordinatorOf(pool)
	if (ok && coord.Name == c.nodeName) || n.empty() {
		return true
	}
	n.RateLimits = c.rateLimits.Reports(time.Now(), n.changedLimits)
	err := errNoCoordinator
	if ok {
		err = c.send(ctx, coord, reportKind, n)
	}
	if err == nil {
		return true
	}
	c.log.Warn("report to the coordinator failed", events.PeerUnreachable.Attr(), "node", coord.Name, "adopt", len(n.OpenJobs), "end", len(n.Results), "limits", len(n.changedLimits), "error", err)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.queueUpdate(pool, func(queued *updates) {
		if len(queued.Results) < maxQueuedResults {
			queued.OpenJobs = append(n.OpenJobs, queued.OpenJobs...)
			queued.Results = append(n.Results, queued.Results...)
		}
		queued.changedLimits = append(n.changedLimits, queued.changedLimits...)
	})
	return false
}

func (c *Coordinator) send(ctx context.Context, to catkinspindle.Node, kind string, message any) error {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	return c.peers.Call(ctx, to.PeerAddress, kind, message, nil)
}

// ReportOpenJobs queues all open jobs of this node for their coordinators. It is called
// when the coordinator has changed.
func (c *Coordinator) ReportOpenJobs() { c.requeue(func(catkinspindle.Pool) bool { return true }) }

// ReportDividedJobs is ReportOpenJobs for the jobs of services that are divided into
// pools with a coordinator each. It covers all their pools, because the caller
// does not know which of the coordinators has changed.
func (c *Coordinator) ReportDividedJobs() { c.requeue(catkinspindle.Pool.Divided) }

// requeue replaces the queued open jobs of the pools that match with all open jobs of
// those pools.
func (c *Coordinator) requeue(match func(catkinspindle.Pool) bool) {
	now := time.Now()
	c.mu.Lock()
	for pool, n := range c.pending {
		if match(pool) {
			n.OpenJobs = n.OpenJobs[:0]
			c.pending[pool] = n
		}
	}
	for _, o := range c.openJobs {
		if o.coordinated && match(o.job.Pool) {
			c.queueUpdate(o.job.Pool, func(n *updates) { n.OpenJobs = append(n.OpenJobs, o.record(now)) })
		}
	}
	c.mu.Unlock()
	c.wakeReporter()
}

// RemoveNode discards the open jobs that a dead node has placed.
func (c *Coordinator) RemoveNode(dead catkinspindle.Node) { c.planner.DropJobs(jobIDPrefix(dead)) }

func (c *Coordinator) handlePlace(ctx context.Context, decode func(any) error) (any, error) {
	var j catkinspindle.Job
	if err := decode(&j); err != nil {
		return nil, err
	}
	if !c.planner.CanPlace(j.Service) {
		return nil, catkinspindle.Fail(catkinspindle.NotRun, catkinspindle.ReasonNotReady, "service %s has no configuration or no replicas on the coordinator yet", j.Service)
	}
	return c.offer(ctx, j), nil
}

func (c *Coordinator) handleReport(_ context.Context, decode func(any) error) (any, error) {
	var n updates
	if err := decode(&n); err != nil {
		return nil, err
	}
	now := time.Now()
	c.rateLimits.Apply(now, n.RateLimits)
	for _, a := range n.OpenJobs {
		c.planner.Adopt(now, a.Job, a.Placement, a.Age)
	}
	for _, e := range n.Results {
		c.planner.ReportResult(now, e)
		if e.Departure != nil {
			c.onDeparture(*e.Departure)
		}
	}
	c.wakeDispatcher()
	return nil, nil
}
