package router

import (
	"container/list"
	"sync"

	"github.com/catkinspindle/catkinspindle"
)

// maxAffinityEntries is the number of (engine, prefix) pairs after which the least recently
// used one is evicted.
const maxAffinityEntries = 4096

// affinity records which prompt prefixes were sent to which engine. The engines' own
// cache events are not used for this: they arrive late and with gaps.
type affinity struct {
	mu    sync.Mutex
	order *list.List
	byKey map[prefixKey]*list.Element
}

type prefixKey struct {
	engine string
	hash   uint64
}

func newAffinity() *affinity {
	return &affinity{order: list.New(), byKey: map[prefixKey]*list.Element{}}
}

// match returns the length, in tokens, of the longest prefix of prompt that was sent
// to the engine.
func (a *affinity) match(engine, prompt string) int {
	paths := catkinspindle.PrefixPaths(prompt)
	a.mu.Lock()
	defer a.mu.Unlock()
	for i := len(paths) - 1; i >= 0; i-- {
		if _, ok := a.byKey[prefixKey{engine: engine, hash: paths[i].Hash}]; ok {
			return paths[i].Tokens
		}
	}
	return 0
}

// add records that prompt was sent to the engine.
func (a *affinity) add(engine, prompt string) {
	paths := catkinspindle.PrefixPaths(prompt)
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, p := range paths {
		key := prefixKey{engine: engine, hash: p.Hash}
		if el, ok := a.byKey[key]; ok {
			a.order.MoveToFront(el)
			continue
		}
		a.byKey[key] = a.order.PushFront(key)
	}
	for a.order.Len() > maxAffinityEntries {
		key := a.order.Remove(a.order.Back()).(prefixKey)
		delete(a.byKey, key)
	}
}
