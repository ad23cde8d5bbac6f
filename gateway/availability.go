package gateway

import (
	"slices"
	"time"

	"github.com/catkinspindle/catkinspindle"
)

// skipUnavailable is skipPlacement. A whole data centre is evacuated or cold at once, and the placing node may
// know it later than this one, or take the replicas for warm earlier: they are not tried one after the other.
func (x *exchange) skipUnavailable(a *attempt) *catkinspindle.Failure {
	now := time.Now()
	_, coldUnknown := x.replicas[a.placement.Replica].ColdLimit(now)
	coldUnknown = coldUnknown && !a.placement.RatePermit
	for id, r := range x.replicas {
		_, cold := r.ColdLimit(now)
		unavailable := r.Evacuated || (cold && coldUnknown)
		if r.Service == x.service && unavailable && id != a.placement.Replica && !slices.Contains(x.avoid, id) {
			x.avoid = append(x.avoid, id)
		}
	}
	return x.skipPlacement(a.result)
}
