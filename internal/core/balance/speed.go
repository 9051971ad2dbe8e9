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
	// smoothing is the weight of the latest answer in the moving averages of sizes.
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

func milliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}

// duration converts milliseconds to a duration.
func duration(ms float64) time.Duration {
	return time.Duration(ms * float64(time.Millisecond))
}
