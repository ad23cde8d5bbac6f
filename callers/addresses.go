package callers

import (
	"context"
	"time"

	"github.com/catkinspindle/catkinspindle"
)

// addressAnswer lists the nodes that a caller may use, in order of preference.
type addressAnswer struct {
	// Lifetime is how long the caller may cache the answer, as in "10s".
	Lifetime  string    `json:"lifetime"`
	Addresses []address `json:"addresses"`
	// Origin is the value that the caller sends in OriginHeader with each idempotency key
	// that it first uses under this answer, whichever node the request goes to.
	Origin string `json:"origin"`
}

type address struct {
	URL        string `json:"url"`
	DataCentre string `json:"data-centre"`
}

func (s *Server) addresses(context.Context, any) (any, error) {
	snap := s.snapshot()
	answer := addressAnswer{
		Lifetime: s.timing.AddressLifetime.String(),
		Origin:   s.actions.Origin().String(),
	}
	for _, m := range rotateMembers(snap.Members, time.Now()) {
		answer.Addresses = append(answer.Addresses, address{URL: m.CallersURL, DataCentre: m.DataCentre})
	}
	return answer, nil
}

// rotateMembers drops leaving members and rotates the others by the current time, which
// spreads callers evenly over them. If all are leaving, it returns them unchanged.
func rotateMembers(members []catkinspindle.Member, now time.Time) []catkinspindle.Member {
	var available []catkinspindle.Member
	for _, m := range members {
		if !m.Leaving {
			available = append(available, m)
		}
	}
	if len(available) == 0 {
		return members
	}
	start := int(now.UnixMicro() % int64(len(available)))
	return append(available[start:len(available):len(available)], available[:start]...)
}
