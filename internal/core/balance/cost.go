package balance

import (
	"time"

	"github.com/gladegauge/gladegauge/internal/core/pace"
)

// Weights of the cost function, in milliseconds of expected cost unless stated otherwise.
const (
	// zoneCost is the penalty of an upstream in another availability zone; the round trip
	// between zones takes about a millisecond.
	zoneCost = 2.0
	// prefillWeight weights the time to prefill the prompt. It is above 1 because prefill
	// delays other requests at the engine as well.
	prefillWeight = 2.0
	// relaxedTarget is the first-event target above which a wait is weighted less, in
	// inverse proportion to the target; minWaitWeight is the lower bound of that weight.
	// A request that can wait thus stays with the engine that has its prompt cached.
	relaxedTarget = 400 * time.Millisecond
	minWaitWeight = 0.3
	// interferenceWeight is the cost of a millisecond of prefill for each tight stream of any
	// gateway at the engine.
	interferenceWeight = 0.12
	// slotCost is the cost of one more request in a batch.
	slotCost = 0.6
	// sharingFactor is the relative increase of a request's duration at a plain service
	// when all of its slots are taken.
	sharingFactor = 0.5
	// silenceThreshold is the time without any data after a request was sent above which
	// an upstream is penalised. It is several times the usual time to the first event.
	silenceThreshold = 400 * time.Millisecond
	// silenceWeight is the cost of each millisecond of silence above the threshold.
	silenceWeight = 2.0
	// overdueWeight is the cost of each millisecond by which the overdue prompts at an
	// engine are late on average.
	overdueWeight = 1.0
)

// engineCost is the cost at a model engine.
func (p *pool) engineCost(now time.Time, u *upstream, r Request, c *Choice, baseline pace.Baseline) float64 {
	tight := p.gapTargets.isTight(r.TargetGap)
	perMs := p.speed.tokensPerMs() / u.pace.Slowness(now, u.paceOfOthers(now), baseline, tight)
	reading := float64(c.Unread) / perMs
	backlog := float64(u.unread(now, p.speed.tokensPerMs())) / perMs
	c.Wait = backlog
	cost := waitWeight(r.Target)*backlog + prefillWeight*reading + slotCost*c.InFlight
	if slots := float64(u.Slots); slots > 0 && c.InFlight >= slots {
		// Beyond its slots a request waits for another one to end.
		cost += u.pace.Latency.EstimateMs(now, baseline.LatencyMs) * (c.InFlight + 1 - slots) / slots
	}
	cost += prefillWeight * p.overflow(now, u, r) / perMs
	cost += overdueWeight * u.meanOverdue(now)
	cost += p.positionCost(now, u, r.Tier, tight)
	if tight {
		cost += gapMissCost * u.gapMissRisk(now, r.TargetGap)
	} else {
		cost += interferenceWeight * p.gapTargets.yield(r.Tier) * reading * float64(u.tight(now, p.gapTargets.tightLimit))
	}
	return cost
}

// waitWeight is the weight of a millisecond of waiting.
func waitWeight(target time.Duration) float64 {
	if target <= relaxedTarget {
		return 1
	}
	return max(minWaitWeight, float64(relaxedTarget)/float64(target))
}

// serviceCost is the cost at a plain service.
func serviceCost(now time.Time, u *upstream, c Choice, poolMean float64) float64 {
	slots := float64(max(u.Slots, 1))
	work := u.pace.AnswerMs(now, poolMean)
	return work * (1 + max(0, c.InFlight+1-slots)/slots + sharingFactor*c.InFlight/slots)
}

// silenceCost grows while an upstream with pending requests sends nothing.
func silenceCost(now time.Time, u *upstream) float64 {
	if u.awaitingSince.IsZero() {
		return 0
	}
	silent := now.Sub(u.awaitingSince) - silenceThreshold
	return silenceWeight * max(0, milliseconds(silent))
}
