package demand

import (
	"math"
	"time"
)

const (
	// arrivalsHalfLife is the half-life of the count of arrivals. Calls arrive in groups of
	// a few, which a shorter one would take for a change; the demand changes over several
	// seconds.
	arrivalsHalfLife = time.Second
	// minArrivals is the number of calls per second below which there is no demand: it is
	// reached six seconds after the last single call.
	minArrivals = 0.01
)

// decayingSum is a sum that decays exponentially. The zero value is an empty one.
type decayingSum struct {
	sum float64
	at  time.Time
}

// value is the sum at the given time.
func (d decayingSum) value(now time.Time, halfLife time.Duration) float64 {
	if d.sum == 0 {
		return 0
	}
	return d.sum * math.Exp2(-float64(now.Sub(d.at))/float64(halfLife))
}

// with returns the sum with an amount added.
func (d decayingSum) with(now time.Time, more float64, halfLife time.Duration) decayingSum {
	return decayingSum{sum: d.value(now, halfLife) + more, at: now}
}

// perSecond converts a decaying count of arrivals to a rate.
func perSecond(count decayingSum, now time.Time) float64 {
	return count.value(now, arrivalsHalfLife) * math.Ln2 / arrivalsHalfLife.Seconds()
}
