package pace

import (
	"slices"
	"time"
)

// MedianGaps holds the medians of the base gaps and mean gaps of a pool's engines in
// milliseconds; 0 if unknown.
type MedianGaps struct {
	Base float64
	Mean float64
}

// Baseline holds the current means over the upstreams of a pool.
type Baseline struct {
	// LatencyMs is the mean duration of an answer in milliseconds.
	LatencyMs float64
	Gaps      MedianGaps
	// Percent is the median of the upstreams' mean reported pace; 0 if none reports it.
	Percent float64
}

// Collector computes the baseline of a pool. It is kept for the next time, because
// choices are too frequent to allocate its lists for each of them.
type Collector struct {
	latency  LatencyMean
	baseGaps []float64
	meanGaps []float64
	percents []float64
}

// Reset removes the upstreams that were added.
func (c *Collector) Reset() {
	c.latency = LatencyMean{}
	c.baseGaps, c.meanGaps, c.percents = c.baseGaps[:0], c.meanGaps[:0], c.percents[:0]
}

// Add adds an upstream and what other gateways measured of it.
func (c *Collector) Add(now time.Time, u *Upstream, o Others) {
	c.latency.Add(&u.Latency)
	if gap, ok := u.FleetBaseGap(now, o); ok {
		c.baseGaps = append(c.baseGaps, gap)
	}
	if gap, ok := u.FleetMeanGap(now, o); ok {
		c.meanGaps = append(c.meanGaps, gap)
	}
	if percent, ok := u.Report.Mean(now); ok {
		c.percents = append(c.percents, percent)
	}
}

// Baseline returns the means over the upstreams that were added.
func (c *Collector) Baseline() Baseline {
	return Baseline{
		LatencyMs: c.latency.Ms(),
		Gaps:      MedianGaps{Base: median(c.baseGaps), Mean: median(c.meanGaps)},
		Percent:   median(c.percents),
	}
}

// LatencyMean is the mean duration of an answer over the upstreams of a pool.
type LatencyMean struct {
	sum float64
	n   int
}

// Add adds an upstream; one without answers does not count.
func (m *LatencyMean) Add(l *Latency) {
	if l.meanMs > 0 {
		m.sum += l.meanMs
		m.n++
	}
}

// Ms is the mean in milliseconds.
func (m *LatencyMean) Ms() float64 {
	if m.n == 0 {
		return milliseconds(defaultLatency)
	}
	return m.sum / float64(m.n)
}

// median returns the lower median; 0 for an empty list. It sorts the list.
func median(list []float64) float64 {
	if len(list) == 0 {
		return 0
	}
	slices.Sort(list)
	return list[(len(list)-1)/2]
}
