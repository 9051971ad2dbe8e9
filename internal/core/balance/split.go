package balance

import (
	"math"
	"time"
)

// A pool of engines is split when some of its routes bear only short pauses
// and others send long prompts.
const (
	// tightFactor: a route is tight if its pause target is at most this many
	// times the shortest one of the pool.
	tightFactor = 1.3
	// splitMembers is the least number of engines that are split.
	splitMembers = 3
	// splitStep is the change in the tight share, in engines, that moves the
	// border; less is left as it is, so that gateways do not flutter.
	splitStep = 0.6
)

// split divides the engines of a pool between tight streams and the rest.
type split struct {
	demands map[string]*demand
	tight   int
	// limit is the longest pause target that counts as tight; 0 if the pool is
	// not split.
	limit time.Duration
	// gap is the mean time between two requests.
	gap     time.Duration
	askedAt time.Time
	// others is what the other gateways ask of the pool.
	others Demand
}

// isTight reports whether streams that bear this pause bear only short ones.
func (s *split) isTight(pause time.Duration) bool { return pause > 0 && pause <= s.limit }

// setPauses takes the pause targets of the pool's routes, the shortest first.
func (s *split) setPauses(pauses []time.Duration) {
	s.limit = 0
	if len(pauses) == 0 {
		return
	}
	limit := time.Duration(tightFactor * float64(pauses[0]))
	if pauses[len(pauses)-1] > limit {
		s.limit = limit
	}
}

// tightMembers returns how many of n engines are for tight streams.
func (s *split) tightMembers(now time.Time, n int) int {
	if s.limit == 0 || n < splitMembers {
		return 0
	}
	d := s.demand(now)
	tight, all := d.Tight+s.others.Tight, d.All+s.others.All
	if all == 0 {
		return min(max(s.tight, 1), n-1)
	}
	want := float64(n) * tight / all
	if s.tight == 0 || math.Abs(want+0.5-float64(s.tight)) > splitStep {
		s.tight = int(math.Ceil(want))
	}
	s.tight = min(max(s.tight, 1), n-1)
	return s.tight
}
