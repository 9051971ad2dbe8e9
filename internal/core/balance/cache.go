package balance

import (
	"math"
	"time"

	"github.com/gladegauge/gladegauge/internal/core/occupancy"
)

// Bounds of the picture of an engine's KV cache.
const (
	// cacheShare is the part of an engine's memory that the parts in the
	// picture may fill; the rest is for running requests and for parts that
	// other gateways caused.
	cacheShare = 0.5
	// cacheEntries bounds the memory of the picture of one engine.
	maxCacheEntries = 2048
	// cacheKeep is how long a part is believed to be kept without use.
	cacheTTL = 30 * time.Second
)

// cachedPart is one part of a prompt in the picture. There are tens of thousands of them
// where hundreds of engines keep what a whole fleet sends, so that it is kept small.
type cachedPart struct {
	// usedAt is when it was used last, in nanoseconds since 1970.
	usedAt int64
	tokens int32
	// read is true once the engine has read it; before, it is on its way there.
	read bool
}

// unused is how long the part has not been used.
func (p cachedPart) unused(now time.Time) time.Duration {
	return time.Duration(now.UnixNano() - p.usedAt)
}

// cache is what one engine is believed to keep, by what was sent to it.
type cache struct {
	parts map[uint64]cachedPart
	// tokens is the size of all parts; limit bounds it, 0 means no bound.
	tokens    int
	maxTokens int
}

func newCache(memoryTokens int) *cache {
	c := &cache{parts: make(map[uint64]cachedPart)}
	c.setMemory(memoryTokens)
	return c
}

// setMemory bounds the picture by the engine's memory; 0 means no bound.
func (c *cache) setMemory(tokens int) { c.maxTokens = int(cacheShare * float64(tokens)) }

// held returns the tokens of the prompt that the engine is believed to keep by the
// time that it reads the next one.
func (c *cache) kept(now time.Time, p Prompt, keys []uint64) int {
	return c.prefixTokens(now, p, keys, false)
}

// heldNow returns those that it has read already.
func (c *cache) keptAndRead(now time.Time, p Prompt, keys []uint64) int {
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

// used notes that the engine has read the prompt, or that it is on its way there.
// It returns the shared parts that this is new of, without their engine.
func (c *cache) record(now time.Time, p Prompt, keys []uint64, read bool) []occupancy.Part {
	var added []occupancy.Part
	shared := len(p.shared())
	for i, key := range keys {
		if c.put(now, key, p.Parts[i].Tokens, read) && i < shared {
			added = append(added, occupancy.Part{Key: key, Tokens: p.Parts[i].Tokens, Read: read})
		}
	}
	c.evictExcess()
	return added
}

// put notes a part and reports whether it was not known, or not as read, or not
// used for long.
func (c *cache) put(now time.Time, key uint64, tokens int, read bool) bool {
	known, ok := c.parts[key]
	if !ok {
		c.tokens += tokens
	}
	c.parts[key] = cachedPart{usedAt: now.UnixNano(), tokens: int32(min(tokens, math.MaxInt32)), read: read || known.read}
	return !ok || (read && !known.read) || known.unused(now) > cacheTTL/3
}

// unread forgets the parts that were on their way and will not be read after all.
func (c *cache) dropUnread(keys []uint64) {
	for _, key := range keys {
		if part, ok := c.parts[key]; ok && !part.read {
			delete(c.parts, key)
			c.tokens -= int(part.tokens)
		}
	}
}

// forget drops the parts that are no longer believed to be kept.
func (c *cache) expire(now time.Time) {
	for key, part := range c.parts {
		if part.unused(now) > cacheTTL {
			delete(c.parts, key)
			c.tokens -= int(part.tokens)
		}
	}
}

// limitSize forgets parts beyond the bounds.
func (c *cache) evictExcess() {
	for len(c.parts) > maxCacheEntries || (c.maxTokens > 0 && c.tokens > c.maxTokens) {
		if !c.evict() {
			return
		}
	}
}

// evict forgets the part that was unused for the longest, as the engine does.
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
