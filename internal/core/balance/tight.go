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
const leastYield = 0.5

// pauses tells the streams of a pool apart whose callers bear only short pauses.
// Prompts that are read beside them make them pause.
type pauses struct {
	// limit is the longest pause target that counts as tight; 0 if the routes of
	// the pool are alike.
	limit time.Duration
	// tier is the highest rank among the routes of such streams.
	tier int
}

// isTight reports whether streams that bear this pause bear only short ones.
func (p *pauses) isTight(pause time.Duration) bool { return pause > 0 && pause <= p.limit }

// set takes the pauses of the pool's routes, the shortest first.
func (p *pauses) set(list []ingress.Pause) {
	*p = pauses{}
	if len(list) == 0 {
		return
	}
	limit := time.Duration(tightFactor * float64(list[0].Target))
	if list[len(list)-1].Target <= limit {
		return
	}
	p.limit = limit
	p.tier = list[0].Tier
	for _, pause := range list {
		if p.isTight(pause.Target) {
			p.tier = min(p.tier, pause.Tier)
		}
	}
}

// yield is how much a request of the tier yields to tight streams: the more, the
// further it stands below them.
func (p *pauses) yield(tier int) float64 {
	return max(leastYield, float64(tier-p.tier))
}
