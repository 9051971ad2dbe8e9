package balance

import "time"

// recent is a mean over the latest samples, in milliseconds.
type recent struct {
	mean float64
	at   time.Time
}

// learn takes a sample; weight is its part of the new mean.
func (r *recent) learn(now time.Time, sample, weight float64) {
	if _, ok := r.value(now); !ok {
		r.mean = sample
	}
	r.mean += weight * (sample - r.mean)
	r.at = now
}

// value returns the mean; false if nothing was learned lately.
func (r *recent) value(now time.Time) (float64, bool) {
	return r.mean, !r.at.IsZero() && now.Sub(r.at) <= paceKeep
}
