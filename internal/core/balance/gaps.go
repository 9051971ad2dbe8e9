package balance

import "time"

const (
	// baseGapWindow is how long the shortest gaps of an engine are retained, at most
	// twice as long. Even an engine with constant prefill has a break within this time.
	baseGapWindow = time.Second
	// minGapSamples is the minimum number of gaps for a useful sample.
	minGapSamples = 3
	// meanGapWeight is the weight of the latest sample in the mean gap: it follows the
	// prefill load of an engine within a second or two.
	meanGapWeight = 0.1
)

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

// meanGap is the mean of all gaps, including those during prefill, in milliseconds; false
// if there are none.
func (g Gaps) meanGap() (float64, bool) {
	if g.n == 0 {
		return 0, false
	}
	return milliseconds(g.sum) / float64(g.n), true
}

// baseGap is the gap of an engine without concurrent prefill: the recent minimum over its
// streams, in milliseconds.
type baseGap struct {
	gap         float64
	previous    float64
	windowStart time.Time
	at          time.Time
}

// observe records a typical gap.
func (t *baseGap) observe(now time.Time, gap float64) {
	if now.Sub(t.windowStart) > baseGapWindow {
		t.previous, t.gap, t.windowStart = t.gap, 0, now
		if now.Sub(t.at) > baseGapWindow {
			t.previous = 0
		}
	}
	if t.gap == 0 || gap < t.gap {
		t.gap = gap
	}
	t.at = now
}

// value returns the base gap; false if there are no recent samples.
func (t *baseGap) value(now time.Time) (float64, bool) {
	if t.at.IsZero() || now.Sub(t.at) > sampleTTL {
		return 0, false
	}
	if t.previous > 0 {
		return min(t.gap, t.previous), true
	}
	return t.gap, true
}
