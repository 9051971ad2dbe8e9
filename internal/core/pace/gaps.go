package pace

import "time"

// minGapSamples is the minimum number of gaps for a useful sample.
const minGapSamples = 3

// Gaps summarises the times between events of one stream since the last report.
type Gaps struct {
	n       int
	sum     time.Duration
	longest time.Duration
}

// With returns the gaps with one more added.
func (g Gaps) With(d time.Duration) Gaps {
	g.n++
	g.sum += d
	g.longest = max(g.longest, d)
	return g
}

// typical is the mean of the gaps without the longest one, during which a prompt may have
// been read, in milliseconds; false if there are too few. Events that arrive late and
// together do not change it.
func (g Gaps) typical() (float64, bool) {
	if g.n < minGapSamples {
		return 0, false
	}
	return milliseconds(g.sum-g.longest) / float64(g.n-1), true
}

// mean is the mean of all gaps, including those during prefill, in milliseconds; false if
// there are none.
func (g Gaps) mean() (float64, bool) {
	if g.n == 0 {
		return 0, false
	}
	return milliseconds(g.sum) / float64(g.n), true
}
