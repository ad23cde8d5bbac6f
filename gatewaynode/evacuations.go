package gatewaynode

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/catkinspindle/catkinspindle"
	"github.com/catkinspindle/catkinspindle/events"
)

// Gauges of what this node knows: the evacuated data centres and the cold replicas.
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

// registerAvailabilityMetrics registers the gauges of evacuated data centres and cold replicas.
func (n *Node) registerAvailabilityMetrics() {
	metrics.NewRegisteredFunctionalGauge(evacuatedMetric, n.metrics, func() int64 {
		return int64(len(n.view.State().Evacuations.DataCentres))
	})
	metrics.NewRegisteredFunctionalGauge(coldMetric, n.metrics, func() (cold int64) {
		now := time.Now()
		for _, r := range n.view.State().Replicas {
			if _, limited := r.ColdLimit(now); limited {
				cold++
			}
		}
		return cold
	})
}
