package balance

import (
	"math"
	"time"
)

const (
	// demandLeast and demandMost bound the time over which demand is averaged.
	// It is as long as demandSamples requests take: a gateway that sees little
	// traffic needs longer for as sure a picture.
	demandLeast   = 4 * time.Second
	demandMost    = 12 * time.Second
	demandSamples = 60.0
)

// demand is the engine time that the requests of one route ask for.
type demand struct {
	// pause is the longest pause that its callers bear; 0 for any.
	pause time.Duration
	// work is in milliseconds of an engine, weighed down with age.
	work float64
	at   time.Time
	// output is the mean number of tokens of an answer.
	output float64
}

// decay weighs the work down with its age.
func (d *demand) decay(now time.Time, memory time.Duration) {
	if now.After(d.at) {
		d.work *= math.Exp(-float64(now.Sub(d.at)) / float64(memory))
		d.at = now
	}
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
		if s.isTight(d.pause) {
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
