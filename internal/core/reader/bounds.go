package reader

import "time"

const (
	// maxWatchWait is the longest wait of a watch, used if no bound requires less.
	maxWatchWait = 10 * time.Second
	// keyWatchShare is the fraction of the maximum key age that one watch may take. Each
	// answer proves the age again, and one may be lost.
	keyWatchShare = 0.5
	// configWatchShare is the fraction of the configuration bound that one watch may
	// take. A store that compacts its history may not answer a pending watch, so that
	// only the next one learns of it; the rest of the time is for that watch, a listing,
	// and the propagation to followers.
	configWatchShare = 0.75
	// listWatchShare is the fraction of the maximum age of the upstream list that one
	// watch may take; the rest is for the propagation to followers, which poll every half
	// second.
	listWatchShare = 0.65
	// minWatchShare is the fraction of the usual wait that a watch waits at least if the
	// view has aged in the meantime.
	minWatchShare = 0.25
	// staleFactor is the number of watches within which a parent must prove the age of
	// the view; after that a gateway queries the store. With two watches in the maximum
	// key age, a quarter of that age is left for the query.
	staleFactor = 1.5
	// queryIntervalShare is the fraction of the configuration bound after which a gateway
	// queries the store again; the rest is for a call in flight and for the answer.
	queryIntervalShare = 0.75
	// defaultQueryInterval is that interval if no such bound is set.
	defaultQueryInterval = 1500 * time.Millisecond
	// queryJitter is the largest fraction by which the interval is shortened, so that
	// gateways that queried the store at the same moment do not do so again.
	queryJitter = 0.35
	// answerTimeMargin is reserved for the answer to the first query of a gateway.
	answerTimeMargin = 100 * time.Millisecond
)

// Bounds limit how old a gateway's view of the store may be; 0 means no limit.
type Bounds struct {
	// MaxKeyAge is the age of the view up to which keys are accepted.
	MaxKeyAge time.Duration
	// MaxListAge is the age of the view up to which the upstream list is used without
	// querying the store.
	MaxListAge time.Duration
	// MaxConfigDelay is the time within which a new configuration must be in force.
	MaxConfigDelay time.Duration
}

// DefaultWatchWait returns the wait of a watch in normal operation. Each answer proves
// the age of the view again: for the keys if revocation is strict, and for the
// configuration in any case.
func (b Bounds) DefaultWatchWait() time.Duration {
	wait := maxWatchWait
	if b.MaxKeyAge > 0 {
		wait = min(wait, time.Duration(keyWatchShare*float64(b.MaxKeyAge)))
	}
	if b.MaxListAge > 0 {
		wait = min(wait, time.Duration(listWatchShare*float64(b.MaxListAge)))
	}
	if b.MaxConfigDelay > 0 {
		wait = min(wait, time.Duration(configWatchShare*float64(b.MaxConfigDelay)))
	}
	return wait
}

// IsStale reports whether the view is too old to wait for a parent. A parent that has lost
// the store keeps answering until its own watch has timed out.
func (b Bounds) IsStale(v View) bool { return v.InForce && b.untilStale(v) < 0 }

// untilStale returns the time until the view is too old to wait for a parent.
func (b Bounds) untilStale(v View) time.Duration {
	limit := time.Duration(staleFactor * float64(b.DefaultWatchWait()))
	if b.MaxListAge > 0 {
		limit = min(limit, b.MaxListAge)
	}
	return limit - v.Age
}

// nextWatchWait returns the default wait less the age of the view. A watch that returned
// changes proves only the state at the time of its request; if the next one took the
// default wait, the followers would find the view stale and all query the store.
func (b Bounds) nextWatchWait(v View) time.Duration {
	defaultWait := b.DefaultWatchWait()
	if !v.InForce {
		return defaultWait
	}
	shortest := time.Duration(minWatchShare * float64(defaultWait))
	return min(defaultWait, max(shortest, defaultWait-v.Age))
}

// MaxQueryInterval returns the longest interval between the starts of two queries to the
// store by a gateway whose view is stale.
func (b Bounds) MaxQueryInterval() time.Duration {
	if b.MaxConfigDelay <= 0 {
		return defaultQueryInterval
	}
	return time.Duration(queryIntervalShare * float64(b.MaxConfigDelay))
}

// nextQueryDelay returns the randomized time after which a gateway queries the store
// again.
func (b Bounds) nextQueryDelay(random uint64) time.Duration {
	d := b.MaxQueryInterval()
	return d - randomFraction(time.Duration(queryJitter*float64(d)), random)
}

// randomFraction returns a random duration below d; 0 if d is not positive.
func randomFraction(d time.Duration, random uint64) time.Duration {
	if d <= 0 {
		return 0
	}
	return time.Duration(random % uint64(d))
}

// firstQueryDelay returns the randomized time after which a gateway whose view has just
// become stale queries the store at the latest: before a configuration that it has not
// received must be in force.
func (b Bounds) firstQueryDelay(v View, random uint64) time.Duration {
	if !v.Known {
		return b.MaxQueryInterval()
	}
	left := b.MaxQueryInterval()
	if b.MaxConfigDelay > 0 {
		left = min(left, b.MaxConfigDelay-answerTimeMargin-v.Age)
	}
	return randomFraction(left, random)
}
