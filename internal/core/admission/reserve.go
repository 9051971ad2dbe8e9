package admission

import "time"

const (
	// minEarlier is the least difference to the usual time left by which a try counts as a
	// repeated one where callers all wait equally long: they state it in whole milliseconds.
	minEarlier = time.Millisecond
	// waitedTolerance is subtracted from the shortest retry time, for callers' timers that
	// fire early and for rounding.
	waitedTolerance = 5 * time.Millisecond
	// bandShare is the part of the longest time left by which callers on their first try may
	// differ: their timeouts are seldom all equal.
	bandShare = 0.15
	// minReturnGap is the shortest retry time as a part of the time left to a caller. It is
	// above bandShare, which distinguishes a caller that returns from one on its first try.
	minReturnGap = 0.17
	// maxReturnGap bounds it: a caller with much time left should not wait for seconds only to
	// be recognised.
	maxReturnGap = 750 * time.Millisecond
	// exactShare is the share of the calls that must have the same time left for it to count
	// as that of all first tries, and similarShare the share that must be within bandShare of
	// the longest. With callers of very different timeouts nothing is inferred.
	exactShare   = 0.3
	similarShare = 0.4
	// usualWeight is the minimum weight of the latest call in these shares, and minUsualCalls
	// the number of calls from which on they are used.
	usualWeight   = 0.05
	minUsualCalls = 5
	// usualTTL is the time after which the longest time left is measured again.
	usualTTL = 10 * time.Second
)

// tryKind says whether a call is a first or a repeated try, by the time left to its caller.
type tryKind int

const (
	// firstTry is also assumed for all calls whose callers have very different timeouts.
	firstTry tryKind = iota
	// returningTry is a try of a caller that waited before it called again.
	returningTry
	// earlyTry is a try of a caller that called again without a wait. It is recognised only
	// where callers all wait equally long.
	earlyTry
)

// deadlines is what is known of the time left to callers when they call.
type deadlines struct {
	// longest is the longest time left, last seen at a time.
	longest time.Duration
	at      time.Time
	// exact and similar are the shares of the recent calls, of so many in total, whose time
	// left is the longest one, and within bandShare of it.
	exact, similar float64
	calls          int
}

// kindOf returns the kind of a call, and adds the call to what is known.
func (d *deadlines) kindOf(now time.Time, c Call) tryKind {
	left := c.Deadline.Sub(c.Arrived)
	if d.at.IsZero() || now.Sub(d.at) > usualTTL || left > d.longest {
		d.longest, d.at = left, now
	}
	earlier := d.longest - left
	exact := earlier < minEarlier
	similar := float64(earlier) < bandShare*float64(d.longest)
	if similar {
		d.at = now
	}
	d.calls++
	weight := max(usualWeight, 1/float64(d.calls))
	d.exact += weight * (indicator(exact) - d.exact)
	d.similar += weight * (indicator(similar) - d.similar)
	switch {
	case d.calls < minUsualCalls:
		return firstTry
	case d.exact >= exactShare:
		return kindByWait(earlier)
	case d.similar >= similarShare && !similar:
		return returningTry
	default:
		return firstTry
	}
}

// kindByWait returns the kind of a try whose caller has that much less time left than all
// callers have on their first try.
func kindByWait(earlier time.Duration) tryKind {
	switch {
	case earlier < minEarlier:
		return firstTry
	case earlier >= minRetryAfter-waitedTolerance:
		return returningTry
	default:
		return earlyTry
	}
}

// indicator returns 1 for true and 0 for false.
func indicator(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// reserve is the part of the capacity that is reserved for returning callers. Without a
// bound they would displace callers on their first try, who then return in turn, until
// every call is rejected once.
type reserve struct{ bucket bucket }

// take reports whether a returning call gets a part of the reserve.
func (r *reserve) take(now time.Time, perSecond float64) bool {
	if r.bucket.at.IsZero() {
		r.bucket = bucket{tokens: 1, at: now}
	}
	r.bucket.refill(now, returnShare*perSecond, 1)
	return r.bucket.take(0)
}
