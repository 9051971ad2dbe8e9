package notice

import "time"

const (
	// retention is how long the state of an unlisted incarnation stays valid: entries
	// expire and come back while the platform is unreachable.
	retention = time.Hour
	// maxEntries bounds the number of unlisted incarnations with a state. A release of
	// the largest pool replaces about as many within a few hours.
	maxEntries = 4096
)

// StateCache keeps the states of incarnations that are currently not listed, so that an
// entry that comes back does not undo what its upstream announced. The zero value is
// empty. It is not safe for concurrent use.
type StateCache struct {
	entries map[uint64]cacheEntry
}

// cacheEntry is the state of one incarnation with the time when it was stored.
type cacheEntry struct {
	state State
	at    time.Time
}

// Put stores the state of an incarnation, unless nothing in it is in effect. The oldest
// entry is evicted if there are too many.
func (c *StateCache) Put(now time.Time, incarnation uint64, s State) {
	if !s.Any(now) {
		return
	}
	if c.entries == nil {
		c.entries = make(map[uint64]cacheEntry)
	}
	c.entries[incarnation] = cacheEntry{state: s, at: now}
	if len(c.entries) > maxEntries {
		c.evict(now)
	}
}

// Get returns the stored state of an incarnation.
func (c *StateCache) Get(now time.Time, incarnation uint64) State {
	e, ok := c.entries[incarnation]
	if !ok || now.Sub(e.at) > retention {
		return State{}
	}
	return e.state
}

// evict drops the expired entries, and the oldest one if there are still too many.
func (c *StateCache) evict(now time.Time) {
	var oldest uint64
	oldestAt := now.Add(1)
	for incarnation, e := range c.entries {
		if now.Sub(e.at) > retention {
			delete(c.entries, incarnation)
			continue
		}
		if e.at.Before(oldestAt) {
			oldest, oldestAt = incarnation, e.at
		}
	}
	if len(c.entries) > maxEntries {
		delete(c.entries, oldest)
	}
}

// Closed is an immutable snapshot of the states of all incarnations that have announced
// something, or whose limit other gateways report. Requests may read it concurrently with
// changes to the control state.
type Closed map[uint64]State

// Has reports whether nothing may be sent to the incarnation now.
func (c Closed) Has(now time.Time, incarnation uint64) bool {
	s, ok := c[incarnation]
	return ok && s.Closed(now)
}

// Limited reports whether the incarnation has a limit now.
func (c Closed) Limited(now time.Time, incarnation uint64) bool {
	s, ok := c[incarnation]
	return ok && s.Limit(now).Announced
}

// LimitReported reports whether this or other gateways know of a limit of the
// incarnation.
func (c Closed) LimitReported(incarnation uint64) bool { return c[incarnation].LimitReported() }
