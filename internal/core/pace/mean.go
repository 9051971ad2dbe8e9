package pace

import "time"

// Mean is an exponentially weighted mean of recent samples, in milliseconds.
type Mean struct {
	mean float64
	at   time.Time
}

// Observe adds a sample; weight is its weight in the new mean.
func (m *Mean) Observe(now time.Time, sample, weight float64) {
	if _, ok := m.Value(now); !ok {
		m.mean = sample
	}
	m.mean += weight * (sample - m.mean)
	m.at = now
}

// Value returns the mean; false if there are no recent samples.
func (m *Mean) Value(now time.Time) (float64, bool) {
	return m.mean, !m.at.IsZero() && now.Sub(m.at) <= SampleTTL
}
