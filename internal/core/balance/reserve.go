package balance

import "time"

// Streams with a tight gap target run beside long prompts. A single prefill beside them
// does no harm, but several in a row delay their tokens beyond the target. If such
// streams run on all engines, no engine is left for a burst of prompts.
//
// Tight streams are therefore packed at the beginning of a common order of the engines,
// and other prompts avoid as many engines as the streams need. Both rules are costs
// rather than hard constraints: an idle engine accepts any request. All gateways agree on
// the order without communication, and the number of streams changes slowly, so a stale
// view does little harm. If the streams need more than half of the pool, no part can be
// reserved for them, and the weight of the positions decreases.

const (
	// positionWeight is the cost of the last engine in the order for a tight stream
	// compared with the first one, in milliseconds. It is less than the target for a
	// first event.
	positionWeight = 300.0
	// yieldWeight is the cost of the first engine for other prompts, for each tier that
	// they rank below the streams, in milliseconds.
	yieldWeight = 200.0
	// tightSlotShare is the fraction of an engine's slots that tight streams fill while
	// there is room: with more of them, their own prompts cause gaps.
	tightSlotShare = 0.2
	// maxReservedShare is the fraction of a pool that may be reserved for tight streams.
	maxReservedShare = 0.5
	// reservationTTL is how long a computed reservation is reused.
	reservationTTL = 50 * time.Millisecond
)

// reservation is the share of a pool, from the beginning of its order, that is reserved
// for tight streams.
type reservation struct {
	share float64
	// weight scales the cost of positions: 1 while the streams need at most the maximum
	// share.
	weight float64
	// backlog is the mean prefill backlog of the engines, in milliseconds.
	backlog float64
	at      time.Time
}

// reserved returns the pool's current reservation.
func (p *pool) reserved(now time.Time) reservation {
	if now.Sub(p.reservation.at) < reservationTTL {
		return p.reservation
	}
	streams, slots, unread := 0, 0.0, 0
	perMs := p.speed.tokensPerMs()
	capacity := p.capacities()
	for _, u := range p.members {
		if !u.present(now) {
			continue
		}
		unread += u.unread(now, perMs)
		streams += u.tight(now, p.gapTargets.tightLimit)
		slots += capacity(u) * float64(u.Slots)
	}
	need := float64(streams) / (tightSlotShare * max(slots, 1))
	p.reservation = reservation{
		share:   min(need, maxReservedShare),
		weight:  min(1, max(0, (1-need)/(1-maxReservedShare))),
		backlog: float64(unread) / perMs / float64(max(p.present, 1)),
		at:      now,
	}
	return p.reservation
}

// positionCost is the cost of the engine's position in the order for the request.
func (p *pool) positionCost(now time.Time, u *upstream, tier int, tight bool) float64 {
	if p.gapTargets.tightLimit == 0 {
		return 0
	}
	s := p.reserved(now)
	switch {
	case tight:
		return positionWeight * s.weight * u.position
	case u.position >= s.share:
		return 0
	default:
		return yieldWeight * s.weight * p.gapTargets.yield(tier) * (1 - u.position/s.share)
	}
}
