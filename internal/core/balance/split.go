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
	// demandMemory is the time over which the demand of a route is averaged.
	demandMemory = 4 * time.Second
	// splitStep is the change in the tight share, in engines, that moves the
	// border; less is left as it is, so that gateways do not flutter.
	splitStep = 0.6
)

// demand is the engine time that the requests of one route ask for.
type demand struct {
	pause time.Duration
	// rate is in milliseconds of an engine a second.
	rate float64
	at   time.Time
	// output is the mean number of tokens of an answer.
	output float64
}

func (d *demand) decay(now time.Time) {
	if now.After(d.at) {
		d.rate *= math.Exp(-float64(now.Sub(d.at)) / float64(demandMemory))
		d.at = now
	}
}

// split divides the engines of a pool between tight streams and the rest.
type split struct {
	demands map[string]*demand
	tight   int
}

// asked notes a request of the route.
func (s *split) asked(now time.Time, r Request, unreadMs float64) {
	if s.demands == nil {
		s.demands = make(map[string]*demand)
	}
	d, ok := s.demands[r.Route]
	if !ok {
		d = &demand{at: now}
		s.demands[r.Route] = d
	}
	d.pause = r.Pause
	d.decay(now)
	d.rate += (unreadMs + tokenWork*d.output) / demandMemory.Seconds()
}

// answered notes the tokens of an answer of the route.
func (s *split) answered(route string, tokens int) {
	if d, ok := s.demands[route]; ok {
		d.output += workWeight * (float64(tokens) - d.output)
	}
}

// limit is the longest pause target that counts as tight; 0 if none does.
func (s *split) limit() time.Duration {
	var least, most time.Duration
	for _, d := range s.demands {
		if d.pause == 0 {
			continue
		}
		if least == 0 || d.pause < least {
			least = d.pause
		}
		most = max(most, d.pause)
	}
	limit := time.Duration(tightFactor * float64(least))
	if most <= limit {
		return 0
	}
	return limit
}

// tightMembers returns how many of n engines are for tight streams.
func (s *split) tightMembers(now time.Time, n int) int {
	limit := s.limit()
	if limit == 0 || n < splitMembers {
		return 0
	}
	tight, all := 0.0, 0.0
	for _, d := range s.demands {
		d.decay(now)
		all += d.rate
		if d.pause > 0 && d.pause <= limit {
			tight += d.rate
		}
	}
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
