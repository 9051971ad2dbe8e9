package overload

import (
	"math"
	"slices"
	"time"
)

// The load that this answers: one organisation sends many times its usual. If all
// that wait alike are turned away alike, those who send little lose as large a part
// as the one that fills the queue.
//
// So the organisations share what is taken by max-min fairness: nobody gets more than
// a common level while another one with less is turned away. Those below the level
// may wait for their whole target. What counts is the tokens that engines have to read,
// of every request that comes, also of one that comes back.

const (
	// shareHalfLife is the time after which what an organisation asked for counts half:
	// about as long as a queue takes to go away.
	shareHalfLife = 2 * time.Second
	// levelEvery is how often the common level is worked out.
	levelEvery = 100 * time.Millisecond
	// heavyFactor is the multiple of the level up to which an organisation counts as
	// below it: one that is alone is always at its level.
	heavyFactor = 0.9
	// leastUse is the use, in tokens, below which an organisation is forgotten.
	leastUse = 1.0
)

// fading is a sum that counts half after each half-life.
type fading struct {
	sum float64
	at  time.Time
}

// value is the sum now.
func (f fading) value(now time.Time) float64 {
	return f.sum * math.Exp2(-float64(now.Sub(f.at))/float64(shareHalfLife))
}

// with returns the sum with some more.
func (f fading) with(now time.Time, more float64) fading {
	return fading{sum: f.value(now) + more, at: now}
}

// use is what one organisation asked for, and what was taken of that.
type use struct {
	asked fading
	taken fading
}

// shares is the use of all organisations. The zero value is empty.
type shares struct {
	uses    map[uint64]use
	level   float64
	levelAt time.Time
}

// ask notes that an organisation asks for so many tokens.
func (s *shares) ask(now time.Time, organisation uint64, tokens int) {
	if s.uses == nil {
		s.uses = make(map[uint64]use)
	}
	u := s.uses[organisation]
	u.asked = u.asked.with(now, float64(tokens))
	s.uses[organisation] = u
}

// take notes that the tokens were taken.
func (s *shares) take(now time.Time, organisation uint64, tokens int) {
	u := s.uses[organisation]
	u.taken = u.taken.with(now, float64(tokens))
	s.uses[organisation] = u
}

// heavy reports whether the organisation got more than the common level.
func (s *shares) heavy(now time.Time, organisation uint64) bool {
	if s.levelAt.IsZero() || now.Sub(s.levelAt) >= levelEvery {
		s.level, s.levelAt = s.workOut(now), now
	}
	return s.uses[organisation].taken.value(now) > heavyFactor*s.level
}

// workOut returns the level up to which all organisations together asked for as much as
// was taken. It forgets those that ask for nothing any more.
func (s *shares) workOut(now time.Time) float64 {
	asked := make([]float64, 0, len(s.uses))
	left := 0.0
	for organisation, u := range s.uses {
		value := u.asked.value(now)
		if value < leastUse {
			delete(s.uses, organisation)
			continue
		}
		asked = append(asked, value)
		left += u.taken.value(now)
	}
	slices.Sort(asked)
	for i, value := range asked {
		rest := float64(len(asked) - i)
		if value*rest >= left {
			return left / rest
		}
		left -= value
	}
	return math.Inf(1)
}
