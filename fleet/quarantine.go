package fleet

import (
	"time"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/quarantine"
)

// WithQuarantine sets the table of the requests that crash replicas, which the nodes share.
func WithQuarantine(t *quarantine.Table) Option {
	return func(l *Fleet) { l.quarantine = t }
}

// quarantineSince returns the records after a position, nil if there are none, and the position
// to continue from. With directOnly it returns only those of this node.
func (f *Fleet) quarantineSince(position uint64, directOnly bool) (*catkinspindle.QuarantineReport, uint64) {
	r, next := f.quarantine.Since(time.Now(), position, directOnly)
	if r.Empty() {
		return nil, next
	}
	return &r, next
}

// recordQuarantine records what another node has sent.
func (f *Fleet) recordQuarantine(r *catkinspindle.QuarantineReport) {
	if r != nil {
		f.quarantine.Apply(time.Now(), *r)
	}
}
