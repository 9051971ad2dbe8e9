package balance

import "time"

// Learning of an engine's reading speed. Waits only ever make an engine look
// slow, so the estimate follows fast readings quickly and slow ones slowly.
const (
	// defaultReading is the speed, in prompt tokens a millisecond, that is
	// assumed until prompts were read.
	defaultReading = 40.0
	// minSample is the smallest prompt, in tokens, that says something.
	minSpeedSample = 1500
	riseWeight     = 0.3
	fallWeight     = 0.02
	// defaultWork is the time that a request of a plain service is taken to
	// need until some were answered.
	defaultLatency = 20 * time.Millisecond
	// workWeight is the weight of the latest answer in the mean time.
	ewmaWeight = 0.1
)

// speed is what the engines of a pool have in common.
type speed struct {
	reading float64
}

// tokensPerMs returns the reading speed.
func (s *speed) tokensPerMs() float64 {
	if s.reading == 0 {
		return defaultReading
	}
	return s.reading
}

// learn takes the time from sending a prompt to its first event.
func (s *speed) learn(tokens int, d time.Duration) {
	if tokens < minSpeedSample || d <= 0 {
		return
	}
	sample := float64(tokens) / milliseconds(d)
	weight := fallWeight
	if sample > s.tokensPerMs() {
		weight = riseWeight
	}
	s.reading = s.tokensPerMs() + weight*(sample-s.tokensPerMs())
}

// paceKeep is the time after which an upstream's own pace says nothing any
// more. One that was slow is tried again then.
const sampleTTL = 5 * time.Second

// pace is how long one upstream takes for its answers.
type latency struct {
	meanMs float64
	at     time.Time
}

func (p *latency) learn(now time.Time, d time.Duration) {
	if p.meanMs == 0 {
		p.meanMs = milliseconds(d)
	}
	p.meanMs += ewmaWeight * (milliseconds(d) - p.meanMs)
	p.at = now
}

// workMs is the mean time of an answer in milliseconds, trusted less as it
// ages; usual is the mean of the pool.
func (p *latency) estimateMs(now time.Time, poolMean float64) float64 {
	trust := 1 - float64(now.Sub(p.at))/float64(sampleTTL)
	if p.meanMs == 0 || trust <= 0 {
		return poolMean
	}
	return trust*p.meanMs + (1-trust)*poolMean
}

// usualWork is the mean time of an answer of the pool's upstreams.
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

// duration is the time of so many milliseconds.
func duration(ms float64) time.Duration {
	return time.Duration(ms * float64(time.Millisecond))
}
