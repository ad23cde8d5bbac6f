// Package pacing spaces the requests to a rate-limited backend server evenly in time.
package pacing

import (
	"math"
	"time"
)

// burstWindow is the time whose share of requests may be sent at once. At low rates that is
// a single request.
const burstWindow = 100 * time.Millisecond

// Pacer is a generic cell rate algorithm (GCRA): in any time d, it permits rate × d requests
// plus a burst of one request or rate × burstWindow. The rate is given with each call, because
// it may change. The zero value has permitted nothing yet. A Pacer is not safe for concurrent
// use.
type Pacer struct {
	// next is the theoretical arrival time of the next request.
	next time.Time
	// last is the latest time for which a request has been permitted.
	last time.Time
}

// interval returns the time between two requests, and by how much earlier than Pacer.next one
// may be sent.
func interval(perSecond float64) (spacing, tolerance time.Duration) {
	const longest = time.Hour
	spacing = time.Duration(math.Ceil(min(float64(time.Second)/perSecond, float64(longest))))
	return spacing, max(0, burstWindow-spacing)
}

// Wait returns how long after t the next request may be sent; zero if at t.
func (p *Pacer) Wait(t time.Time, perSecond float64) time.Duration {
	spacing, tolerance := interval(perSecond)
	next := p.next
	if latest := p.last.Add(spacing + tolerance); next.After(latest) {
		next = latest // The rate has risen since.
	}
	return max(0, next.Add(-tolerance).Sub(t))
}

// Take permits a request at t, for which Wait must have returned zero.
func (p *Pacer) Take(t time.Time, perSecond float64) {
	spacing, _ := interval(perSecond)
	if t.After(p.next) {
		p.next = t
	}
	p.next = p.next.Add(spacing)
	if t.After(p.last) {
		p.last = t
	}
}

// Turn returns how long after now a refused caller should retry, if another request is permitted
// after wait. The pacer spaces the turns; a caller whose turn comes after timeLeft takes none.
func (p *Pacer) Turn(now time.Time, wait time.Duration, perSecond float64, timeLeft time.Duration) time.Duration {
	wait += p.Wait(now.Add(wait), perSecond)
	if wait < timeLeft {
		p.Take(now.Add(wait), perSecond)
	}
	return wait
}

// StartAt makes the pacer behave as if the whole burst had been used at t, unless it has
// permitted a later request. It is used when the requests before t are unknown.
func (p *Pacer) StartAt(t time.Time, perSecond float64) {
	spacing, tolerance := interval(perSecond)
	if t.Before(p.last) {
		return
	}
	p.last = t
	if full := t.Add(spacing + tolerance); full.After(p.next) {
		p.next = full
	}
}
