package gatewaynode

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/events"
	"github.com/catkinspindle/catkinspindle/view"
)

// Gauges of what this node knows: the evacuated data centres, and the replicas that were cold at the
// last change of its view.
const (
	evacuatedMetric = "evacuated-data-centres"
	coldMetric      = "cold-replicas"
)

// evacuationsSink passes the evacuations in the store to the view. Each watch of the store has its own.
type evacuationsSink struct {
	n       *Node
	current catkinspindle.Evacuations
}

func newEvacuationsSink(n *Node) *evacuationsSink {
	return &evacuationsSink{n: n}
}

// Reset implements watch.Sink.
func (s *evacuationsSink) Reset(objects []catkinspindle.StoredObject, at catkinspindle.Position, _ time.Time) {
	next := catkinspindle.NewEvacuations(at)
	for _, o := range objects {
		next = s.apply(next, at, o, false)
	}
	s.adopt(next)
}

// Apply implements watch.Sink.
func (s *evacuationsSink) Apply(changes []catkinspindle.ObjectChange, at catkinspindle.Position, _ time.Time) {
	next := s.current
	for _, c := range changes {
		next = s.apply(next, at, c.Object, c.Deleted)
	}
	s.adopt(next)
}

// apply returns e with the change that an entry makes. Its name alone says what it requests.
func (s *evacuationsSink) apply(e catkinspindle.Evacuations, at catkinspindle.Position, o catkinspindle.StoredObject, ended bool) catkinspindle.Evacuations {
	if o.Name == "" {
		s.n.log.Warn("evacuation in the store names no data centre; ignored", events.EvacuationChanged.Attr(), "position", at)
		return e
	}
	return e.With(at, o.Name, !ended)
}

// adopt passes the evacuations to the view. One of a data centre without replicas has no effect, and
// its name may be wrong.
func (s *evacuationsSink) adopt(next catkinspindle.Evacuations) {
	s.current = next
	if !s.n.view.SetEvacuations(next) {
		return
	}
	s.n.log.Info("evacuated data centres changed", events.EvacuationChanged.Attr(), "data-centres", next.DataCentres, "position", next.At, "source", "store")
	for _, name := range s.n.view.State().UnknownDataCentres() {
		s.n.log.Warn("no replica is listed in the evacuated data centre", events.EvacuationChanged.Attr(), "data-centre", name)
	}
}

// countUnavailable updates the metrics of evacuated data centres and cold replicas.
func (n *Node) countUnavailable(s *view.State) {
	metrics.GetOrRegisterGauge(evacuatedMetric, n.metrics).Update(int64(len(s.Evacuations.DataCentres)))
	now, cold := time.Now(), int64(0)
	for _, r := range s.Replicas {
		if _, limited := r.ColdLimit(now); limited {
			cold++
		}
	}
	metrics.GetOrRegisterGauge(coldMetric, n.metrics).Update(cold)
}
