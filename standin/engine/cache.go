package engine

import (
	"container/list"
	"strconv"

	"github.com/catkinspindle/catkinspindle"
)

// prefixCache is a least-recently-used prefix cache.
type prefixCache struct {
	maxTokens  int
	usedTokens int
	recency    *list.List
	entries    map[uint64]*list.Element
}

func newPrefixCache(limit int) *prefixCache {
	return &prefixCache{maxTokens: limit, recency: list.New(), entries: map[uint64]*list.Element{}}
}

// match returns the length in tokens of the longest cached prefix of prompt.
func (c *prefixCache) match(prompt string) int {
	longest := 0
	for _, p := range catkinspindle.PrefixPaths(prompt) {
		el, ok := c.entries[p.Hash]
		if !ok {
			break
		}
		c.recency.MoveToFront(el)
		longest = p.Tokens
	}
	return longest
}

// add caches the prefixes of prompt that are within the limit and evicts the least recently
// used entries.
func (c *prefixCache) add(prompt string) {
	coveredTokens := 0
	for _, p := range catkinspindle.PrefixPaths(prompt) {
		if p.Tokens > c.maxTokens {
			return
		}
		if _, ok := c.entries[p.Hash]; !ok {
			added := p.Tokens - coveredTokens
			c.entries[p.Hash] = c.recency.PushFront(cacheEntry{hash: p.Hash, tokens: added})
			c.usedTokens += added
		}
		coveredTokens = p.Tokens
	}
	for c.usedTokens > c.maxTokens {
		el := c.recency.Back()
		e := c.recency.Remove(el).(cacheEntry)
		c.usedTokens -= e.tokens
		delete(c.entries, e.hash)
	}
}

type cacheEntry struct {
	hash   uint64
	tokens int
}

// hashes returns the hexadecimal hashes of the cached prefixes.
func (c *prefixCache) hashes() []string {
	hashes := make([]string, 0, len(c.entries))
	for hash := range c.entries {
		hashes = append(hashes, strconv.FormatUint(hash, 16))
	}
	return hashes
}
