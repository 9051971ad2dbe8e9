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
	relaxedTarget = 400 * time.Millisecond
	minWaitWeight = 0.3
	// harmWeight is what a millisecond of reading costs for each tight stream
	// that runs beside it, of any gateway.
	harmWeight = 0.12
	// slotCost is what one more request in a batch costs.
	slotCost = 0.6
	// sharedWork is the part of a request's work that the requests beside it
	// add, when the slots of a plain service are full.
	sharingFactor = 0.5
	// silenceAfter is the time without a word, after a request was sent, from
	// which on an upstream is doubted. It is several times a usual first event.
	silenceThreshold = 400 * time.Millisecond
	// silenceWeight is the cost of each millisecond of silence beyond that.
	silenceWeight = 2.0
	// overdueWeight is the cost of each millisecond for which the prompts at an
	// engine have waited for longer than can be explained.
	overdueWeight = 1.0
)

// engineCost is the cost at a model engine.
func (p *pool) engineCost(now time.Time, u *upstream, r Request, c *Choice, baseline baseline) float64 {
	tight := p.gapTargets.isTight(r.Pause)
	perMs := p.speed.tokensPerMs() / u.slowness(now, baseline.gaps, tight)
	reading := float64(c.Unread) / perMs
	backlog := float64(u.unread(now, p.speed.tokensPerMs())) / perMs
	c.Wait = backlog
	cost := waitWeight(r.Target)*backlog + readWeight*reading + slotCost*c.InFlight
	if slots := float64(u.Slots); slots > 0 && c.InFlight >= slots {
		// Beyond its slots a request waits for another one to end.
		cost += u.latency.estimateMs(now, baseline.latencyMs) * (c.InFlight + 1 - slots) / slots
	}
	cost += readWeight * p.overflow(now, u, r) / perMs
	cost += overdueWeight * u.meanOverdue(now)
	cost += p.positionCost(now, u, r.Tier, tight)
	if tight {
		cost += gapMissCost * u.gapMissRisk(now, r.Pause)
	} else {
		cost += harmWeight * p.gapTargets.yield(r.Tier) * reading * float64(u.tight(now, p.gapTargets.tightLimit))
	}
	return cost
}

// waitWeight is how much a millisecond of waiting counts.
func waitWeight(target time.Duration) float64 {
	if target <= relaxedTarget {
		return 1
	}
	return max(minWaitWeight, float64(relaxedTarget)/float64(target))
}

// serviceCost is the cost at a plain service.
func serviceCost(now time.Time, u *upstream, c Choice, poolMean float64) float64 {
	slots := float64(max(u.Slots, 1))
	work := u.latency.estimateMs(now, poolMean)
	return work * (1 + max(0, c.InFlight+1-slots)/slots + sharingFactor*c.InFlight/slots)
}

// silenceCost grows while an upstream that was asked says nothing.
func silenceCost(now time.Time, u *upstream) float64 {
	if u.awaitingSince.IsZero() {
		return 0
	}
	silent := now.Sub(u.awaitingSince) - silenceThreshold
	return silenceWeight * max(0, milliseconds(silent))
}
