package balance

import "time"

// capacities returns a function for the capacity of an upstream, relative to that of one
// without a rate limit.
func (p *pool) capacities() func(*upstream) float64 {
	work := 0.0
	return func(u *upstream) float64 {
		if !u.limit.Announced {
			return 1
		}
		if work == 0 {
			work = p.meanLatencyMs() / milliseconds(time.Second)
		}
		return min(1, u.limit.PerSecond*work/float64(max(u.Slots, 1)))
	}
}
