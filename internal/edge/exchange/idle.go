package exchange

import (
	"maps"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/gladegauge/gladegauge/internal/core/responsehead"
)

// Parameters of the learned idle limit. Some upstreams drop an idle connection sooner than
// they announce, and reset the next request on it. It cannot be determined whether such a
// request ran.
const (
	// idleLimitFactor is the idle limit as a fraction of the idle time after which a
	// connection was found to be dropped.
	idleLimitFactor = 0.5
	// minIdleLimit is the shortest idle limit. A connection that was reset after a shorter
	// idle time was not dropped for being idle.
	minIdleLimit = 100 * time.Millisecond
	// maxResetDelay is the time after sending a request within which a failure is attributed
	// to a dropped connection, which is reset after one round trip; hosts of a region are a
	// few milliseconds apart. Later, the upstream may have crashed while it ran the request.
	maxResetDelay = 50 * time.Millisecond
	// commonDropQuorum is the number of upstreams that must drop connections for the limit to
	// apply to all. Two replicas of a plain service that reset some answers made gateways open
	// new connections to fifty engines.
	commonDropQuorum = 3
	// idleLimitTTL is how long a learned limit applies after the last reset.
	idleLimitTTL = 10 * time.Second
)

// learnedLimit is the longest idle time after which connections are reused, until a time.
type learnedLimit struct {
	limit time.Duration
	until time.Time
}

// inForce returns the limit; 0 for none.
func (l learnedLimit) inForce(now time.Time) time.Duration {
	if now.After(l.until) {
		return 0
	}
	return l.limit
}

// with returns the limit after a connection was found to be dropped after the idle time.
func (l learnedLimit) with(now time.Time, idle time.Duration) learnedLimit {
	next := max(minIdleLimit, time.Duration(idleLimitFactor*float64(idle)))
	if current := l.inForce(now); current > 0 {
		next = min(next, current)
	}
	return learnedLimit{limit: next, until: now.Add(idleLimitTTL)}
}

// idleLimit holds the learned limits of upstreams, by address. Once several of them drop
// connections, the cause affects the others as well, and the limit applies to all. A single
// one may reset requests for a reason of its own.
type idleLimit struct {
	mu        sync.Mutex
	byAddress map[string]learnedLimit
	all       learnedLimit
}

// current returns the limit in force for the address; 0 for none.
func (l *idleLimit) current(now time.Time, address string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	own, all := l.byAddress[address].inForce(now), l.all.inForce(now)
	if own == 0 || all == 0 {
		return max(own, all)
	}
	return min(own, all)
}

// mayBeDropped reports whether an exchange may have failed because the upstream had dropped its
// connection: not if the body of the request failed, or if bytes without end or an invalid head
// arrived.
func mayBeDropped(err error) bool {
	var body *BodyError
	return !errors.As(err, &body) && !errors.IsAny(err, ErrHeadTooLarge, ErrSkippedTooLarge, responsehead.ErrInvalid)
}

// recordReset records that a connection to the address failed on its first use after the
// idle time.
func (l *idleLimit) recordReset(now time.Time, address string, idle time.Duration) {
	if idle < minIdleLimit {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.byAddress == nil {
		l.byAddress = make(map[string]learnedLimit)
	}
	l.byAddress[address] = l.byAddress[address].with(now, idle)
	maps.DeleteFunc(l.byAddress, func(_ string, a learnedLimit) bool { return a.inForce(now) == 0 })
	if len(l.byAddress) < commonDropQuorum {
		return
	}
	l.all = learnedLimit{until: now.Add(idleLimitTTL)}
	for _, a := range l.byAddress {
		if l.all.limit == 0 || a.limit < l.all.limit {
			l.all.limit = a.limit
		}
	}
}
