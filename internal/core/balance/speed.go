package balance

import "time"

// Learning of an engine's reading speed. Waits only ever make an engine look
// slow, so the estimate follows fast readings quickly and slow ones slowly.
const (
	// defaultReading is the speed, in prompt tokens a millisecond, that is
	// assumed until prompts were read.
	defaultReading = 40.0
	// minSample is the smallest prompt, in tokens, that says something.
	minSample  = 1500
	riseWeight = 0.3
	fallWeight = 0.02
	// defaultWork is the time that a request of a plain service is taken to
	// need until some were answered.
	defaultWork = 20 * time.Millisecond
	// workWeight is the weight of the latest answer in the mean time.
	workWeight = 0.1
	// tokenWork is the share of an engine, in milliseconds, that one more
	// token of a batch takes: reading costs a fiftieth of that per token, and
	// most of a decoding step is common to the batch.
	tokenWork = 0.25
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
	if tokens < minSample || d <= 0 {
		return
	}
	sample := float64(tokens) / milliseconds(d)
	weight := fallWeight
	if sample > s.tokensPerMs() {
		weight = riseWeight
	}
	s.reading = s.tokensPerMs() + weight*(sample-s.tokensPerMs())
}

// pace is how long one upstream takes for its answers.
type pace struct {
	work float64
}

func (p *pace) learn(d time.Duration) {
	if p.work == 0 {
		p.work = milliseconds(defaultWork)
	}
	p.work += workWeight * (milliseconds(d) - p.work)
}

// workMs is the mean time of an answer in milliseconds.
func (p *pace) workMs() float64 {
	if p.work == 0 {
		return milliseconds(defaultWork)
	}
	return p.work
}

func milliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}
