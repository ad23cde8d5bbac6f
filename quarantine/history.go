package quarantine

import (
	"time"

	"github.com/catkinspindle/catkinspindle"
)

// maxGeneration is the number of keys in a generation of the history.
const maxGeneration = 4096

// history holds when an answer last began for the keys that were recorded last. It has two
// generations; when the current one is full it replaces the previous one.
type history struct {
	current, previous map[catkinspindle.RequestKey]time.Time
}

func newHistory() *history {
	return &history{current: map[catkinspindle.RequestKey]time.Time{}}
}

func (h *history) record(k catkinspindle.RequestKey, at time.Time) {
	if len(h.current) >= maxGeneration {
		h.current, h.previous = map[catkinspindle.RequestKey]time.Time{}, h.current
	}
	h.current[k] = at
}

func (h *history) last(k catkinspindle.RequestKey) (time.Time, bool) {
	at, ok := h.current[k]
	if !ok {
		at, ok = h.previous[k]
	}
	return at, ok
}
