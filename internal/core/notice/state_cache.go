package notice

import "time"

const (
	// retention is how long the state of an unlisted incarnation stays valid: entries
	// lapse and come back while the platform is unreachable.
	retention = time.Hour
	// maxEntries bounds the number of unlisted incarnations with a state. A release of
	// the largest pool replaces about as many within a few hours.
	maxEntries = 4096
)

// StateCache keeps the states of incarnations that are currently not listed, so that an
// entry that comes back does not undo what its upstream announced. The zero value is
// empty. It is not safe for concurrent use.
type StateCache struct {
	entries map[uint64]bookEntry
}

// bookEntry is the state of one incarnation with the time when it was stored.
type bookEntry struct {
	state State
	at    time.Time
}

// Put stores the state of an incarnation, unless nothing in it is in effect. The oldest
// entry is evicted if there are too many.
func (b *StateCache) Put(now time.Time, start uint64, s State) {
	if !s.Any(now) {
		return
	}
	if b.entries == nil {
		b.entries = make(map[uint64]bookEntry)
	}
	b.entries[start] = bookEntry{state: s, at: now}
	if len(b.entries) > maxEntries {
		b.evict(now)
	}
}

// Get returns the stored state of an incarnation.
func (b *StateCache) Get(now time.Time, start uint64) State {
	e, ok := b.entries[start]
	if !ok || now.Sub(e.at) > retention {
		return State{}
	}
	return e.state
}

// evict drops the expired entries, and the oldest one if there are still too many.
func (b *StateCache) evict(now time.Time) {
	var oldest uint64
	oldestAt := now.Add(1)
	for start, e := range b.entries {
		if now.Sub(e.at) > retention {
			delete(b.entries, start)
			continue
		}
		if e.at.Before(oldestAt) {
			oldest, oldestAt = start, e.at
		}
	}
	if len(b.entries) > maxEntries {
		delete(b.entries, oldest)
	}
}

// Closed is an immutable snapshot of the states of all incarnations that have announced
// something, or whose limit other gateways report. Requests may read it concurrently with
// changes to the control state.
type Closed map[uint64]State

// Has reports whether nothing may be sent to the incarnation now.
func (c Closed) Has(now time.Time, start uint64) bool {
	s, ok := c[start]
	return ok && s.Closed(now)
}

// Limited reports whether the incarnation has a limit now.
func (c Closed) Limited(now time.Time, start uint64) bool {
	s, ok := c[start]
	return ok && s.Limit(now).Announced
}

// LimitReported reports whether this or other gateways know of a limit of the
// incarnation.
func (c Closed) LimitReported(start uint64) bool { return c[start].LimitReported() }
