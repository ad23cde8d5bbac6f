package gateway

import (
	"sync"
	"time"
)

const (
	// answerTimeWeight is the weight of one answer in the moving averages of its route.
	answerTimeWeight = 0.125
	// answerTimeDeviations is the number of mean deviations above the mean within which an answer
	// is expected.
	answerTimeDeviations = 2
)

// answerTimes tracks how long the answers of each route take.
type answerTimes struct {
	mu      sync.Mutex
	byRoute map[string]answerTime
}

// answerTime has the moving averages of the time of an answer and of its deviation from that.
type answerTime struct{ mean, deviation time.Duration }

func newAnswerTimes() *answerTimes { return &answerTimes{byRoute: map[string]answerTime{}} }

// record adds the time of an answer of a route.
func (t *answerTimes) record(route string, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	a, ok := t.byRoute[route]
	if !ok {
		a.mean = took
	}
	a.deviation += time.Duration(answerTimeWeight * float64((took-a.mean).Abs()-a.deviation))
	a.mean += time.Duration(answerTimeWeight * float64(took-a.mean))
	t.byRoute[route] = a
}

// expected returns the time in which most answers of a route are complete; zero if the route has
// had none.
func (t *answerTimes) expected(route string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	a := t.byRoute[route]
	return a.mean + answerTimeDeviations*a.deviation
}
