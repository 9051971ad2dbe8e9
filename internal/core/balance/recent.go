package balance

import "time"

// recentMean is an exponentially weighted mean of recent samples, in milliseconds.
type recentMean struct {
	mean float64
	at   time.Time
}

// observe adds a sample; weight is its weight in the new mean.
func (r *recentMean) observe(now time.Time, sample, weight float64) {
	if _, ok := r.value(now); !ok {
		r.mean = sample
	}
	r.mean += weight * (sample - r.mean)
	r.at = now
}

// value returns the mean; false if there are no recent samples.
func (r *recentMean) value(now time.Time) (float64, bool) {
	return r.mean, !r.at.IsZero() && now.Sub(r.at) <= sampleTTL
}
