package balance

import "time"

// baseline holds the current means over the upstreams of a pool.
type baseline struct {
	// latencyMs is the mean duration of an answer in milliseconds.
	latencyMs float64
	gaps      medianGaps
}

// baseline returns the current means of the pool.
func (p *pool) baseline(now time.Time) baseline {
	return baseline{latencyMs: p.meanLatencyMs(), gaps: p.medianGaps(now)}
}
