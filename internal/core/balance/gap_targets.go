package balance

import (
	"time"

	"github.com/gladegauge/gladegauge/internal/core/ingress"
)

// tightFactor: a stream is tight if its pause target is at most this many times
// the shortest one of the pool.
const tightFactor = 1.3

// leastYield is how much a request yields to tight streams that do not stand above
// it, as a multiple of one tier's.
const minYield = 0.5

// pauses tells the streams of a pool apart whose callers bear only short pauses.
// Prompts that are read beside them make them pause.
type gapTargets struct {
	// limit is the longest pause target that counts as tight; 0 if the routes of
	// the pool are alike.
	tightLimit time.Duration
	// tier is the highest rank among the routes of such streams.
	tier int
}

// isTight reports whether streams that bear this pause bear only short ones.
func (p *gapTargets) isTight(target time.Duration) bool { return target > 0 && target <= p.tightLimit }

// set takes the pauses of the pool's routes, the shortest first.
func (p *gapTargets) set(list []ingress.Pause) {
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
	for _, pause := range list {
		if p.isTight(pause.Target) {
			p.tier = min(p.tier, pause.Tier)
		}
	}
}

// yield is how much a request of the tier yields to tight streams: the more, the
// further it stands below them.
func (p *gapTargets) yield(tier int) float64 {
	return max(minYield, float64(tier-p.tier))
}
