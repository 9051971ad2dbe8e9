package balance

import "time"

// usual is what the upstreams of a pool have in common now.
type baseline struct {
	// work is the mean time of an answer in milliseconds.
	latencyMs float64
	gaps      medianGaps
}

// usual returns it for the pool.
func (p *pool) baseline(now time.Time) baseline {
	return baseline{latencyMs: p.meanLatencyMs(), gaps: p.medianGaps(now)}
}
