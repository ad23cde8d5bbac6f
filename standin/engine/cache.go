package engine

import (
	"container/list"
	"strconv"

	"github.com/catkinspindle/catkinspindle"
)

// cache is a least-recently-used prefix cache.
type cache struct {
	limit int
	used  int
	order *list.List
	byKey map[uint64]*list.Element
}

func newCache(limit int) *cache {
	return &cache{limit: limit, order: list.New(), byKey: map[uint64]*list.Element{}}
}

// match returns the length in tokens of the longest cached prefix of prompt.
func (c *cache) match(prompt string) int {
	longest := 0
	for _, p := range catkinspindle.PrefixPaths(prompt) {
		el, ok := c.byKey[p.Hash]
		if !ok {
			break
		}
		c.order.MoveToFront(el)
		longest = p.Tokens
	}
	return longest
}

// add caches the prefixes of prompt that are within the limit and evicts the least recently
// used entries.
func (c *cache) add(prompt string) {
	held := 0
	for _, p := range catkinspindle.PrefixPaths(prompt) {
		if p.Tokens > c.limit {
			return
		}
		if _, ok := c.byKey[p.Hash]; !ok {
			cost := p.Tokens - held
			c.byKey[p.Hash] = c.order.PushFront(entry{key: p.Hash, cost: cost})
			c.used += cost
		}
		held = p.Tokens
	}
	for c.used > c.limit {
		el := c.order.Back()
		e := c.order.Remove(el).(entry)
		c.used -= e.cost
		delete(c.byKey, e.key)
	}
}

type entry struct {
	key  uint64
	cost int
}

// paths returns the hexadecimal hashes of the cached prefixes.
func (c *cache) paths() []string {
	names := make([]string, 0, len(c.byKey))
	for key := range c.byKey {
		names = append(names, strconv.FormatUint(key, 16))
	}
	return names
}
