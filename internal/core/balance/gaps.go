package balance

import "time"

const (
	// tempoSpan is how long the shortest gaps of an engine are remembered: twice
	// as long at most. Even an engine that reads all the time has a pause in it.
	baseGapWindow = time.Second
	// tempoLeast is the number of gaps that say something.
	minGapSamples = 3
	// strainWeight is the weight of the latest stretch in the strain: it follows
	// what an engine reads within a second or two.
	meanGapWeight = 0.1
)

// Gaps are the times between events of one stream since the last word about it.
type Gaps struct {
	n       int
	sum     time.Duration
	longest time.Duration
}

// With returns the gaps with one more.
func (g Gaps) With(d time.Duration) Gaps {
	g.n++
	g.sum += d
	g.longest = max(g.longest, d)
	return g
}

// typical is the mean of the gaps without the longest one, in which a prompt may
// have been read, in milliseconds; false if there are too few. Events that came
// late together do not change it.
func (g Gaps) typical() (float64, bool) {
	if g.n < minGapSamples {
		return 0, false
	}
	return milliseconds(g.sum-g.longest) / float64(g.n-1), true
}

// strain is the mean gap, whatever was read meanwhile, in milliseconds; false if
// there is none.
func (g Gaps) meanGap() (float64, bool) {
	if g.n == 0 {
		return 0, false
	}
	return milliseconds(g.sum) / float64(g.n), true
}

// tempo is the usual gap of an engine while it reads nothing: the shortest one of
// any of its streams lately, in milliseconds.
type baseGap struct {
	gap         float64
	previous    float64
	windowStart time.Time
	at          time.Time
}

// learn takes a typical gap.
func (t *baseGap) learn(now time.Time, gap float64) {
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

// value returns the tempo; false if nothing was learned lately.
func (t *baseGap) value(now time.Time) (float64, bool) {
	if t.at.IsZero() || now.Sub(t.at) > sampleTTL {
		return 0, false
	}
	if t.previous > 0 {
		return min(t.gap, t.previous), true
	}
	return t.gap, true
}
