package pace

import "time"

const (
	// meanGapWeight is the weight of the latest sample in the mean gap: it follows the
	// prefill load of an engine within a second or two.
	meanGapWeight = 0.1
	// longestGapWeight is the weight of the latest stream in an engine's mean longest
	// gap.
	longestGapWeight = 0.15
)

// Upstream is what this gateway measured of an upstream, and what the upstream reported. The zero value knows nothing.
type Upstream struct {
	Latency Latency
	// BaseGap is the typical gap of an engine without concurrent prefill: the recent
	// minimum over its streams.
	BaseGap RecentMin
	// MeanGap is the mean gap between events of its streams, including gaps during
	// prefill; LongestGap is the mean of the longest gap of each of its tight streams.
	MeanGap    Mean
	LongestGap Mean
	Report     Report
}

// Sum is the sum of the values that N other gateways measured, in milliseconds.
type Sum struct {
	N  int
	Ms float64
}

// Others is what other gateways measured of an upstream; the zero value if nothing valid
// was reported.
type Others struct {
	BaseGap    Sum
	MeanGap    Sum
	LongestGap Sum
}

// ObserveGaps records the gaps of a stream.
func (u *Upstream) ObserveGaps(now time.Time, g Gaps) {
	if gap, ok := g.mean(); ok {
		u.MeanGap.Observe(now, gap, meanGapWeight)
	}
	if gap, ok := g.typical(); ok {
		u.BaseGap.Observe(now, gap)
	}
}

// ObserveLongestGap records the longest gap of a stream with a tight gap target that
// ended.
func (u *Upstream) ObserveLongestGap(now time.Time, d time.Duration) {
	u.LongestGap.Observe(now, milliseconds(d), longestGapWeight)
}

// FleetBaseGap is the base gap over all gateways in milliseconds; false if none knows it.
func (u *Upstream) FleetBaseGap(now time.Time, o Others) (float64, bool) {
	own, ok := u.BaseGap.Value(now)
	return o.BaseGap.meanWith(own, ok)
}

// FleetMeanGap is the mean gap over all gateways in milliseconds; false if none knows it.
func (u *Upstream) FleetMeanGap(now time.Time, o Others) (float64, bool) {
	own, ok := u.MeanGap.Value(now)
	return o.MeanGap.meanWith(own, ok)
}

// FleetLongestGap is the mean longest gap over all gateways in milliseconds; false if none
// knows it.
func (u *Upstream) FleetLongestGap(now time.Time, o Others) (float64, bool) {
	own, ok := u.LongestGap.Value(now)
	return o.LongestGap.meanWith(own, ok)
}

// meanWith is the mean of this gateway's value, if known, and those of the others.
func (s Sum) meanWith(own float64, known bool) (float64, bool) {
	sum, n := s.Ms, s.N
	if known {
		sum += own
		n++
	}
	if n == 0 {
		return 0, false
	}
	return sum / float64(n), true
}
