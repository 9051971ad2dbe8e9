package pace

import "time"

// minWindow is how long a minimum is retained, at most twice as long. Even an engine with
// constant prefill has a break within this time.
const minWindow = time.Second

// RecentMin is the minimum of recent samples.
type RecentMin struct {
	lowest      float64
	previous    float64
	windowStart time.Time
	at          time.Time
}

// Observe records a sample.
func (m *RecentMin) Observe(now time.Time, sample float64) {
	if now.Sub(m.windowStart) > minWindow {
		m.previous, m.lowest, m.windowStart = m.lowest, 0, now
		if now.Sub(m.at) > minWindow {
			m.previous = 0
		}
	}
	if m.lowest == 0 || sample < m.lowest {
		m.lowest = sample
	}
	m.at = now
}

// Value returns the minimum; false if there are no recent samples.
func (m *RecentMin) Value(now time.Time) (float64, bool) {
	if m.at.IsZero() || now.Sub(m.at) > SampleTTL {
		return 0, false
	}
	if m.previous > 0 {
		return min(m.lowest, m.previous), true
	}
	return m.lowest, true
}
