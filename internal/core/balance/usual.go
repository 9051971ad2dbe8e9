package balance

import "time"

// usual is what the upstreams of a pool have in common now.
type usual struct {
	// work is the mean time of an answer in milliseconds.
	work float64
	gaps usualGaps
}

// usual returns it for the pool.
func (p *pool) usual(now time.Time) usual {
	return usual{work: p.usualWork(), gaps: p.usualGaps(now)}
}
