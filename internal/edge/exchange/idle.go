package exchange

import (
	"sync"
	"time"
)

// Learning of how long upstreams really keep an idle connection. Some forget one
// sooner than they say, and reset whatever comes next on it; that request may
// have run, as far as anyone can tell.
const (
	// idleShare is the part of the idle time of a connection that turned out to
	// be forgotten for which others are still used.
	idleShare = 0.5
	// idleLeast is the shortest idle time that is learned. A connection that was
	// reset sooner was not forgotten.
	idleLeast = 100 * time.Millisecond
	// idleMemory is how long a learned time holds after the last reset.
	idleMemory = 10 * time.Second
)

// idleLimit is the longest idle time after which connections are used again. It
// holds for all upstreams: what makes one forget makes others forget as well.
type idleLimit struct {
	mu    sync.Mutex
	limit time.Duration
	until time.Time
}

// allows reports whether a connection may be used after the idle time.
func (l *idleLimit) allows(now time.Time, idle time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.limit == 0 || now.After(l.until) || idle <= l.limit
}

// forgotten notes that a connection broke on its first use after the idle time.
func (l *idleLimit) forgotten(now time.Time, idle time.Duration) {
	if idle < idleLeast {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	next := max(idleLeast, time.Duration(idleShare*float64(idle)))
	if l.limit == 0 || now.After(l.until) || next < l.limit {
		l.limit = next
	}
	l.until = now.Add(idleMemory)
}
