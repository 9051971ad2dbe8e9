package balance

import (
	"time"

	"github.com/gladegauge/gladegauge/internal/core/rendezvous"
)

// retrySpread is the jitter of retries, as a fraction of the time until an upstream's
// backoff ends: callers are rejected over all of that time, so their retries must not
// arrive at once.
const retrySpread = 0.5

// returnDelay is the minimum retry delay, for callers that would overload the first
// upstream to return from its backoff. It is about the duration of one answer, after which
// the upstream may get more.
const returnDelay = 100 * time.Millisecond

// maxTurnBacklog is the longest time over which callers that found no turn are spread.
const maxTurnBacklog = 4 * time.Second

// RetryAfter returns the time after which a caller should retry if all available upstreams
// of the request's pool and software version are backing off, are at their slow-start limit,
// or have a rate limit: the time until the first of them accepts more, plus jitter. It is 0 if
// there is any other upstream. isLimited reports that the rate limits are the reason.
func (t *Table) RetryAfter(now time.Time, r Request) (after time.Duration, isLimited bool) {
	p, ok := t.pools[r.Pool]
	if !ok {
		return 0, false
	}
	for _, u := range p.members {
		if !r.allowsVersion(u) || !u.open() || u.gone(now) {
			continue
		}
		left := u.notices.BackoffUntil().Sub(now)
		switch {
		case left > 0 || u.atSlowStartLimit(now):
		case u.limit.Announced:
			left = t.untilNextTurn(now, u)
			isLimited = true
		default:
			return 0, false
		}
		left = max(left, returnDelay)
		if after == 0 || left < after {
			after = left
		}
	}
	spread := time.Duration(retrySpread * float64(after))
	if isLimited {
		spread = max(spread, t.turnBacklog(now, p))
	}
	return after + time.Duration(float64(spread)*rendezvous.Fraction(r.Hash)), isLimited
}

// turnBacklog is the time over which callers without a turn retry: until all gateways
// have had as many turns as callers were refused recently.
func (t *Table) turnBacklog(now time.Time, p *pool) time.Duration {
	rate := 0.0
	for _, u := range p.members {
		rate += u.limit.split.Rate
	}
	if rate <= 0 {
		return 0
	}
	unplaced := p.unplaced.expected(now, arrivalsWindow) * float64(t.gatewayCount())
	return min(maxTurnBacklog, time.Duration(unplaced/rate*float64(time.Second)))
}
