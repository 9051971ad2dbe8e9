package balance

import "time"

// strainWeight is the weight of the latest stretch in the strain: it follows what
// an engine reads within a second or two.
const strainWeight = 0.1

// strain is the mean gap between events of an engine's streams, whatever it reads
// meanwhile, in milliseconds.
type strain struct {
	gap float64
	at  time.Time
}

// learn takes the gaps of a stretch.
func (s *strain) learn(now time.Time, g Gaps) {
	if g.n == 0 {
		return
	}
	sample := milliseconds(g.sum) / float64(g.n)
	if _, ok := s.value(now); !ok {
		s.gap = sample
	}
	s.gap += strainWeight * (sample - s.gap)
	s.at = now
}

// value returns the strain; false if nothing was learned lately.
func (s *strain) value(now time.Time) (float64, bool) {
	return s.gap, !s.at.IsZero() && now.Sub(s.at) <= paceKeep
}
