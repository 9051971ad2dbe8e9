package balance

import "time"

// The estimate of an engine's prefill speed follows fast samples quickly and slow ones
// slowly, as queueing only ever makes an engine look slow.
const (
	// defaultPrefillSpeed is the speed, in prompt tokens per millisecond, that is assumed
	// until prompts have been read.
	defaultPrefillSpeed = 40.0
	// minSpeedSample is the minimum size of a prompt, in tokens, for it to be a useful
	// sample.
	minSpeedSample = 1500
	riseWeight     = 0.3
	fallWeight     = 0.02
	// defaultLatency is the assumed duration of a request of a plain service until some
	// were answered.
	defaultLatency = 20 * time.Millisecond
	// smoothing is the weight of the latest answer in the moving averages.
	smoothing = 0.1
)

// speed is the prefill speed that the engines of a pool have in common.
type speed struct {
	prefill float64
}

// tokensPerMs returns the prefill speed.
func (s *speed) tokensPerMs() float64 {
	if s.prefill == 0 {
		return defaultPrefillSpeed
	}
	return s.prefill
}

// observe records the time from sending a prompt to its first event.
func (s *speed) observe(tokens int, d time.Duration) {
	if tokens < minSpeedSample || d <= 0 {
		return
	}
	sample := float64(tokens) / milliseconds(d)
	weight := fallWeight
	if sample > s.tokensPerMs() {
		weight = riseWeight
	}
	s.prefill = s.tokensPerMs() + weight*(sample-s.tokensPerMs())
}

// sampleTTL is the age at which measurements of an upstream are ignored. An upstream that
// was slow is tried again then.
const sampleTTL = 5 * time.Second

// latency is the mean duration of one upstream's answers.
type latency struct {
	meanMs float64
	at     time.Time
}

func (p *latency) observe(now time.Time, d time.Duration) {
	if p.meanMs == 0 {
		p.meanMs = milliseconds(d)
	}
	p.meanMs += smoothing * (milliseconds(d) - p.meanMs)
	p.at = now
}

// estimateMs is the expected duration of an answer in milliseconds. The upstream's own
// mean loses weight with age in favour of poolMean.
func (p *latency) estimateMs(now time.Time, poolMean float64) float64 {
	confidence := 1 - float64(now.Sub(p.at))/float64(sampleTTL)
	if p.meanMs == 0 || confidence <= 0 {
		return poolMean
	}
	return confidence*p.meanMs + (1-confidence)*poolMean
}

// meanLatencyMs is the mean duration of an answer over the pool's upstreams.
func (p *pool) meanLatencyMs() float64 {
	sum, n := 0.0, 0
	for _, u := range p.members {
		if u.latency.meanMs > 0 {
			sum += u.latency.meanMs
			n++
		}
	}
	if n == 0 {
		return milliseconds(defaultLatency)
	}
	return sum / float64(n)
}

func milliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}

// duration converts milliseconds to a duration.
func duration(ms float64) time.Duration {
	return time.Duration(ms * float64(time.Millisecond))
}
