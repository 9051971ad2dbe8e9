package balance

import (
	"time"

	"github.com/gladegauge/gladegauge/internal/core/rendezvous"
)

// comeBackSpread is the part of the time until an upstream's rest ends over which the
// callers that it turned away come back: so long as they came for, so long they return.
const retrySpread = 0.5

// returnWait is when the callers come back that would flood the first upstream that is
// back from its rest: after about one answer, when it may get more.
const returnDelay = 100 * time.Millisecond

// turnBacklogMost is the longest time over which callers are spread that found no turn.
const maxTurnBacklog = 4 * time.Second

// ComeBack is the time after which a caller is to come back if all upstreams of the pool
// that are there rest, have just returned and would be flooded, or have no turn: when the
// first of them takes more, and for some callers a while later. It is 0 while there is
// another one. isLimited tells that turns are what lacks.
func (t *Table) ComeBack(now time.Time, pool string, hash uint64) (after time.Duration, isLimited bool) {
	p, ok := t.pools[pool]
	if !ok {
		return 0, false
	}
	for _, u := range p.members {
		if !u.open() || u.gone(now) {
			continue
		}
		left := u.notices.RestUntil().Sub(now)
		switch {
		case left > 0 || u.atSlowStartLimit(now):
		case u.limit.Named:
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
	return after + time.Duration(float64(spread)*rendezvous.Part(hash)), isLimited
}

// turnBacklog is the time over which callers come back that found no turn: until all gateways
// have had as many turns as callers were refused lately.
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
