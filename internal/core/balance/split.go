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
	// demandLeast and demandMost bound the time over which demand is averaged.
	// It is as long as demandSamples requests take: a gateway that sees little
	// traffic needs longer for as sure a picture.
	demandLeast   = 4 * time.Second
	demandMost    = 12 * time.Second
	demandSamples = 60.0
	// splitStep is the change in the tight share, in engines, that moves the
	// border; less is left as it is, so that gateways do not flutter.
	splitStep = 0.6
)

// demand is the engine time that the requests of one route ask for.
type demand struct {
	pause time.Duration
	// work is in milliseconds of an engine, weighed down with age.
	work float64
	at   time.Time
	// output is the mean number of tokens of an answer.
	output float64
}

func (d *demand) decay(now time.Time, memory time.Duration) {
	if now.After(d.at) {
		d.work *= math.Exp(-float64(now.Sub(d.at)) / float64(memory))
		d.at = now
	}
}

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

// Demand is the engine time that requests ask of a pool, in milliseconds a
// second. Tight is the part of streams that bear only short pauses.
type Demand struct {
	Pool  string
	Tight float64
	All   float64
}

// demand is what this gateway's requests ask of the pool.
func (s *split) demand(now time.Time) Demand {
	memory := s.memory()
	var sum Demand
	for _, d := range s.demands {
		d.decay(now, memory)
		sum.All += d.work / memory.Seconds()
		if d.pause > 0 && d.pause <= s.limit {
			sum.Tight += d.work / memory.Seconds()
		}
	}
	return sum
}

// Demands returns what this gateway's requests ask of the pools that are split.
func (t *Table) Demands(now time.Time) []Demand {
	var list []Demand
	for name, p := range t.pools {
		if p.split.limit == 0 {
			continue
		}
		d := p.split.demand(now)
		d.Pool = name
		list = append(list, d)
	}
	return list
}

// OthersAsk takes what the other gateways ask of the pools, so that all gateways
// split a pool alike.
func (t *Table) OthersAsk(demands map[string]Demand) {
	for name, p := range t.pools {
		p.split.others = demands[name]
	}
}

// memory is the time over which demand is averaged.
func (s *split) memory() time.Duration {
	d := time.Duration(demandSamples * float64(s.gap))
	return min(max(d, demandLeast), demandMost)
}

// asked notes a request of the route.
func (s *split) asked(now time.Time, r Request, unreadMs float64) {
	if s.demands == nil {
		s.demands = make(map[string]*demand)
	}
	d, ok := s.demands[r.Route]
	if !ok {
		d = &demand{at: now, output: r.Prompt.expectedOutput()}
		s.demands[r.Route] = d
	}
	d.pause = r.Pause
	if !s.askedAt.IsZero() {
		s.gap += time.Duration(workWeight * float64(now.Sub(s.askedAt)-s.gap))
	}
	s.askedAt = now
	d.decay(now, s.memory())
	d.work += unreadMs + tokenWork*d.output
}

// expectedOutput is the number of tokens that an answer to the request is likely
// to have.
func (s *split) expectedOutput(r Request) float64 {
	if d, ok := s.demands[r.Route]; ok && r.Prompt.OutputHint == 0 {
		return d.output
	}
	return r.Prompt.expectedOutput()
}

// answered notes the tokens of an answer of the route.
func (s *split) answered(route string, tokens int) {
	if d, ok := s.demands[route]; ok {
		d.output += workWeight * (float64(tokens) - d.output)
	}
}

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
