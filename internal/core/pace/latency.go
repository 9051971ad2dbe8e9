package pace

import "time"

const (
	// SampleTTL is the age at which measurements of an upstream are ignored. An upstream
	// that was slow is tried again then.
	SampleTTL = 5 * time.Second
	// defaultLatency is the assumed duration of a request of a plain service until some
	// were answered.
	defaultLatency = 20 * time.Millisecond
	// latencyWeight is the weight of the latest answer in the mean duration.
	latencyWeight = 0.1
)

// Latency is the mean duration of one upstream's answers.
type Latency struct {
	meanMs float64
	at     time.Time
}

// Observe records the duration of an answer.
func (l *Latency) Observe(now time.Time, d time.Duration) {
	if l.meanMs == 0 {
		l.meanMs = milliseconds(d)
	}
	l.meanMs += latencyWeight * (milliseconds(d) - l.meanMs)
	l.at = now
}

// EstimateMs is the expected duration of an answer in milliseconds. The upstream's own
// mean loses weight with age in favour of poolMean.
func (l *Latency) EstimateMs(now time.Time, poolMean float64) float64 {
	if !l.known(now) {
		return poolMean
	}
	confidence := 1 - float64(now.Sub(l.at))/float64(SampleTTL)
	return confidence*l.meanMs + (1-confidence)*poolMean
}

// known reports whether an answer was measured recently.
func (l *Latency) known(now time.Time) bool {
	return l.meanMs > 0 && now.Sub(l.at) < SampleTTL
}

func milliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}
