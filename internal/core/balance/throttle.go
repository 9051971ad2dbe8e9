package balance

import "time"

const (
	// throttleMemory is how long an organisation that an upstream turned away for too many
	// requests is remembered.
	throttleTTL = 2 * time.Second
	// throttledMost is the part of what is there of a pool that may turn an organisation
	// away before that is taken for its own fault.
	maxThrottledShare = 0.5
)

// throttle is the organisation that an upstream turned away last for too many requests.
type throttle struct {
	organisation uint64
	at           time.Time
}

// of reports whether the organisation was turned away lately.
func (th throttle) matches(now time.Time, organisation uint64) bool {
	return !th.at.IsZero() && th.organisation == organisation && now.Sub(th.at) < throttleTTL
}

// throttles notes that the upstream turned the request away for too many requests, and
// reports whether that says something of the upstream. An organisation that most of the
// pool turns away sends more than it may: otherwise it could have them left out.
func (t *Table) noteThrottle(now time.Time, u *upstream, r *run) bool {
	u.throttled = throttle{organisation: r.organisation, at: now}
	n, present := 0, 0
	for _, other := range t.pool(u.Pool).members {
		if !other.present(now) {
			continue
		}
		present++
		if other.throttled.matches(now, r.organisation) {
			n++
		}
	}
	return float64(n) <= maxThrottledShare*float64(present)
}
