package balance

import (
	"math"
	"time"

	"github.com/gladegauge/gladegauge/internal/core/occupancy"
)

// Bounds of the model of an engine's KV cache.
const (
	// cacheShare is the fraction of an engine's memory that the modelled parts may fill;
	// the rest is for running requests and for parts cached on behalf of other gateways.
	cacheShare = 0.5
	// maxCacheEntries bounds the size of the model of one engine.
	maxCacheEntries = 2048
	// cacheTTL is how long an unused part is assumed to stay cached.
	cacheTTL = 30 * time.Second
)

// cachedPart is one part of a prompt in the model. It is kept small, as there are tens of
// thousands of them when hundreds of engines cache the prompts of a whole fleet.
type cachedPart struct {
	// usedAt is the time of its last use, in nanoseconds since 1970.
	usedAt int64
	tokens int32
	// read is true once the engine has prefilled the part; before, a request with it is
	// on its way.
	read bool
}

// unused is the time since the last use of the part.
func (p cachedPart) unused(now time.Time) time.Duration {
	return time.Duration(now.UnixNano() - p.usedAt)
}

// cache models the contents of one engine's KV cache from the requests sent to it.
type cache struct {
	parts map[uint64]cachedPart
	// tokens is the total size of the parts; maxTokens bounds it, 0 means unbounded.
	tokens    int
	maxTokens int
}

func newCache(memoryTokens int) *cache {
	c := &cache{parts: make(map[uint64]cachedPart)}
	c.setMemory(memoryTokens)
	return c
}

// setMemory bounds the model by the engine's memory; 0 means unbounded.
func (c *cache) setMemory(tokens int) { c.maxTokens = int(cacheShare * float64(tokens)) }

// cachedTokens returns the tokens of the prompt that the engine is expected to have
// cached by the time it reads the next one.
func (c *cache) cachedTokens(now time.Time, p Prompt, keys []uint64) int {
	return c.prefixTokens(now, p, keys, false)
}

// prefilledTokens returns those that it has prefilled already.
func (c *cache) prefilledTokens(now time.Time, p Prompt, keys []uint64) int {
	return c.prefixTokens(now, p, keys, true)
}

func (c *cache) prefixTokens(now time.Time, p Prompt, keys []uint64, read bool) int {
	tokens := 0
	for i, key := range keys {
		part, ok := c.parts[key]
		if !ok || (read && !part.read) || part.unused(now) > cacheTTL {
			break
		}
		tokens += p.Parts[i].Tokens
	}
	return tokens
}

// record notes that the engine has prefilled the prompt, or that the prompt is on its way
// there. It returns the shared parts whose state changed, with Upstream unset.
func (c *cache) record(now time.Time, p Prompt, keys []uint64, read bool) []occupancy.Part {
	var added []occupancy.Part
	shared := len(p.Shared())
	for i, key := range keys {
		if c.put(now, key, p.Parts[i].Tokens, read) && i < shared {
			added = append(added, occupancy.Part{Key: key, Tokens: p.Parts[i].Tokens, Read: read})
		}
	}
	c.evictExcess()
	return added
}

// put records a part and reports whether it was unknown, is newly read, or was unused for
// long.
func (c *cache) put(now time.Time, key uint64, tokens int, read bool) bool {
	known, ok := c.parts[key]
	if !ok {
		c.tokens += tokens
	}
	c.parts[key] = cachedPart{usedAt: now.UnixNano(), tokens: int32(min(tokens, math.MaxInt32)), read: read || known.read}
	return !ok || (read && !known.read) || known.unused(now) > cacheTTL/3
}

// dropUnread removes the parts that were on their way and will not be read after all.
func (c *cache) dropUnread(keys []uint64) {
	for _, key := range keys {
		if part, ok := c.parts[key]; ok && !part.read {
			delete(c.parts, key)
			c.tokens -= int(part.tokens)
		}
	}
}

// expire removes the parts that are no longer assumed to be cached.
func (c *cache) expire(now time.Time) {
	for key, part := range c.parts {
		if part.unused(now) > cacheTTL {
			delete(c.parts, key)
			c.tokens -= int(part.tokens)
		}
	}
}

// evictExcess removes parts beyond the bounds.
func (c *cache) evictExcess() {
	for len(c.parts) > maxCacheEntries || (c.maxTokens > 0 && c.tokens > c.maxTokens) {
		if !c.evict() {
			return
		}
	}
}

// evict removes the least recently used part, as the engine does.
func (c *cache) evict() bool {
	var oldest uint64
	at := int64(math.MaxInt64)
	for key, part := range c.parts {
		if part.usedAt < at || (part.usedAt == at && key < oldest) {
			oldest, at = key, part.usedAt
		}
	}
	part, ok := c.parts[oldest]
	if !ok {
		return false
	}
	delete(c.parts, oldest)
	c.tokens -= int(part.tokens)
	return true
}
