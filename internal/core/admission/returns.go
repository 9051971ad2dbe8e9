package admission

import "time"

const (
	// minRetryAfter is the shortest retry time: a few round trips.
	minRetryAfter = 50 * time.Millisecond
	// maxRetryShare is the part of the time left to a caller up to which it honours a
	// retry time, and retryMargin is subtracted for the way of the answer and the next
	// call.
	maxRetryShare = 1.0 / 3
	retryMargin   = 10 * time.Millisecond
	// returnShare is the part of this gateway's share of the pool's rate that is reserved
	// for retries. Callers retry once as a rule, and tries may be 1.2 times the requests.
	returnShare = 0.05
	// maxBacklog is the longest time that the schedule extends to. No caller waits longer.
	maxBacklog = 4 * time.Second
)

// Returns is the schedule of retry times of one pool. It holds how many places are taken
// instead of their times, so that it follows the pool's rate when that changes. The zero
// value is empty.
type Returns struct {
	// below and above are the places taken by callers of organisations below and above
	// their fair share.
	below, above float64
	at           time.Time
}

// Next takes a place and returns the time after which the caller should retry. First is
// the time until room is expected, perSecond this gateway's share of the pool's rate, and
// left the time that the caller still waits.
func (r *Returns) Next(now time.Time, first time.Duration, perSecond float64, left time.Duration, above bool) time.Duration {
	reserved := returnShare * perSecond
	if !(reserved > 0) { // NaN as well
		return boundRetry(first, left)
	}
	r.advance(now, reserved)
	limit := reserved * maxBacklog.Seconds()
	ahead := r.below
	if above {
		ahead += r.above
		r.above = min(limit, r.above+1)
	} else {
		r.below = min(limit, r.below+1)
	}
	place := time.Duration(ahead / reserved * float64(time.Second))
	return boundRetry(max(0, first)+min(place, maxBacklog), left)
}

// advance frees the places whose time has come, those of callers below their share first.
func (r *Returns) advance(now time.Time, perSecond float64) {
	if elapsed := now.Sub(r.at); !r.at.IsZero() && elapsed > 0 {
		freed := perSecond * elapsed.Seconds()
		fromBelow := min(freed, r.below)
		r.below -= fromBelow
		r.above = max(0, r.above-(freed-fromBelow))
	}
	r.at = now
}

// boundRetry bounds a retry time by what callers honour, which takes precedence over the
// minimum.
func boundRetry(d, left time.Duration) time.Duration {
	honoured := time.Duration(maxRetryShare*float64(left)) - retryMargin
	gap := min(time.Duration(minReturnGap*float64(left)), maxReturnGap)
	least := max(minRetryAfter, gap)
	return max(time.Millisecond, min(max(d, least), honoured))
}
