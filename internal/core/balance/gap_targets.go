package balance

import (
	"time"

	"github.com/gladegauge/gladegauge/internal/core/ingress"
)

// tightFactor: a stream is tight if its gap target is at most this many times the
// shortest one of the pool.
const tightFactor = 1.3

// minYield is the weight with which a request that does not rank below tight streams
// yields to them, as a multiple of that of one tier.
const minYield = 0.5

// gapTargets identifies the streams of a pool with a tight gap target. Prefill beside
// them lengthens their gaps.
type gapTargets struct {
	// tightLimit is the longest gap target that counts as tight; 0 if the routes of the
	// pool are alike.
	tightLimit time.Duration
	// tier is the highest rank among the routes of tight streams.
	tier int
}

// isTight reports whether a stream with this gap target is tight.
func (p *gapTargets) isTight(target time.Duration) bool { return target > 0 && target <= p.tightLimit }

// set derives the values from the gap targets of the pool's routes, shortest first.
func (p *gapTargets) set(list []ingress.GapTarget) {
	*p = gapTargets{}
	if len(list) == 0 {
		return
	}
	tightLimit := time.Duration(tightFactor * float64(list[0].Target))
	if list[len(list)-1].Target <= tightLimit {
		return
	}
	p.tightLimit = tightLimit
	p.tier = list[0].Tier
	for _, gapTarget := range list {
		if p.isTight(gapTarget.Target) {
			p.tier = min(p.tier, gapTarget.Tier)
		}
	}
}

// yield is the weight with which a request of the tier yields to tight streams; it grows
// with the distance below their tier.
func (p *gapTargets) yield(tier int) float64 {
	return max(minYield, float64(tier-p.tier))
}
