package balance

import "time"

const (
	// throttleTTL is how long the organisation that an upstream throttled is retained.
	throttleTTL = 2 * time.Second
	// maxThrottledShare is the fraction of a pool's available upstreams that may throttle
	// an organisation before the organisation is considered the cause.
	maxThrottledShare = 0.5
)

// throttle is the organisation that an upstream throttled last.
type throttle struct {
	organisation uint64
	at           time.Time
}

// matches reports whether the organisation was throttled recently.
func (th throttle) matches(now time.Time, organisation uint64) bool {
	return !th.at.IsZero() && th.organisation == organisation && now.Sub(th.at) < throttleTTL
}

// recordThrottle records that the upstream throttled the request, and reports whether that
// counts against the upstream. An organisation that is throttled by most of the pool
// sends too much: otherwise it could have the upstreams ejected.
func (t *Table) recordThrottle(now time.Time, u *upstream, r *run) bool {
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
