package balance

import "time"

// Weights of a pick, in milliseconds of expected cost unless said otherwise.
const (
	// zoneCost is the handicap of an upstream in another availability zone;
	// zones are about a millisecond apart, there and back.
	zoneCost = 2.0
	// readWeight is how much reading a prompt anew counts, as a multiple of
	// the time it takes: the engine is lost for others as well.
	readWeight = 2.0
	// patientTarget is the target from which on a wait counts for less, in
	// proportion; leastWaitWeight bounds that. A request that may wait keeps to
	// the engine that has its prompt.
	patientTarget   = 400 * time.Millisecond
	leastWaitWeight = 0.3
	// splitCost keeps tight streams and long prompts apart. It is a quarter of
	// a second, the shortest pause that callers usually bear.
	splitCost = 250.0
	// harmWeight is what a millisecond of reading costs for each tight stream
	// that runs beside it.
	harmWeight = 0.5
	// slotCost is what one more request in a batch costs.
	slotCost = 0.6
	// sharedWork is the part of a request's work that the requests beside it
	// add, when the slots of a plain service are full.
	sharedWork = 0.5
	// silenceAfter is the time without a word, after a request was sent, from
	// which on an upstream is doubted. It is several times a usual first event.
	silenceAfter = 400 * time.Millisecond
	// silenceWeight is the cost of each millisecond of silence beyond that.
	silenceWeight = 2.0
)

// engineCost is the cost at a model engine.
func (p *pool) engineCost(now time.Time, u *upstream, r Request, c Choice, usual float64) float64 {
	perMs := p.speed.tokensPerMs()
	reading := float64(c.Unread) / perMs
	cost := waitWeight(r.Target)*float64(u.unread())/perMs + readWeight*reading + slotCost*c.InFlight
	if slots := float64(u.Slots); slots > 0 && c.InFlight >= slots {
		// Beyond its slots a request waits for another one to end.
		cost += u.pace.workMs(now, usual) * (c.InFlight + 1 - slots) / slots
	}
	cost += readWeight * p.overflow(now, u, r) / perMs
	if limit := p.split.limit; limit > 0 && r.Pause > limit {
		cost += harmWeight * reading * float64(u.tight(limit))
	}
	return cost
}

// waitWeight is how much a millisecond of waiting counts.
func waitWeight(target time.Duration) float64 {
	if target <= patientTarget {
		return 1
	}
	return max(leastWaitWeight, float64(patientTarget)/float64(target))
}

// serviceCost is the cost at a plain service.
func serviceCost(now time.Time, u *upstream, c Choice, usual float64) float64 {
	slots := float64(max(u.Slots, 1))
	work := u.pace.workMs(now, usual)
	return work * (1 + max(0, c.InFlight+1-slots)/slots + sharedWork*c.InFlight/slots)
}

// splitCost is the cost of leaving the side of the split that the request
// belongs to: the first engines in rank for tight streams, the others for
// everything else.
func (p *pool) splitCost(r Request, onTightSide bool) float64 {
	tight := p.split.isTight(r.Pause)
	if tight != onTightSide {
		return splitCost
	}
	return 0
}

// silenceCost grows while an upstream that was asked says nothing.
func silenceCost(now time.Time, u *upstream) float64 {
	if u.askedAt.IsZero() {
		return 0
	}
	silent := now.Sub(u.askedAt) - silenceAfter
	return silenceWeight * max(0, milliseconds(silent))
}
