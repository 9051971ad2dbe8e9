package balance

import "time"

// The load that this answers: streams whose callers bear only short pauses run
// beside long prompts. One prompt beside them does no harm, but several in a row hold
// their tokens up for longer than they bear. Where streams run everywhere, there is no
// engine left to read a burst of prompts.
//
// So tight streams settle at the beginning of a common order of the engines, and other
// prompts keep away from as many engines as the streams need. Both are costs and no
// walls: an engine that is free takes anything. All gateways agree on the order without
// a word, and the number of streams changes slowly, so that an old picture does little
// harm. Where streams need more than half of the pool there is no part to keep for
// them, and the places count less and less.

const (
	// settleWeight is what the last engine in the order costs a tight stream more
	// than the first one, in milliseconds. It is less than a first event may take.
	positionWeight = 300.0
	// giveWayWeight is what the first engine costs other prompts for each tier that
	// they stand below the streams, in milliseconds.
	yieldWeight = 200.0
	// comfortShare is the part of an engine's slots that tight streams fill while
	// there is room: their own prompts make them pause where there are more.
	tightSlotShare = 0.2
	// settledMost is the part of a pool that may be kept for tight streams.
	maxReservedShare = 0.5
	// settledFor is how long the part is not worked out anew.
	reservationTTL = 50 * time.Millisecond
)

// settlement is the part of a pool, from the beginning of its order, where tight
// streams settle.
type reservation struct {
	share float64
	// strength is how much the places count: 1 while the streams need at most that part.
	weight float64
	// backlog is the mean time that the engines need to read what they have, in
	// milliseconds.
	backlog float64
	at      time.Time
}

// settled returns where the pool's tight streams settle now.
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

// placeCost is what the place of the engine in the order costs the request.
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
