package overload

import (
	"math"
	"slices"
	"time"
)

// Without fair shares, an organisation that sends many times its usual load harms all
// others: if requests with equal waits are rejected alike, organisations that send little
// lose as large a part as the one that fills the queue.
//
// So the admitted load is shared by max-min fairness: no organisation gets more than a
// common level while another one with less is rejected. Organisations below the level may
// wait for their whole target. The load is measured in tokens to prefill, of every
// request that arrives, including retries.

const (
	// shareHalfLife is the half-life of recorded load: about as long as a queue takes to
	// drain.
	shareHalfLife = 2 * time.Second
	// levelInterval is how often the common level is recomputed.
	levelInterval = 100 * time.Millisecond
	// levelTolerance is the multiple of the level up to which an organisation counts as
	// below it: a single organisation is always at its level.
	levelTolerance = 0.9
	// minUsage is the load, in tokens, below which an organisation is dropped.
	minUsage = 1.0
)

// decayingSum is a sum that decays exponentially.
type decayingSum struct {
	sum float64
	at  time.Time
}

// value is the sum at the given time.
func (f decayingSum) value(now time.Time) float64 {
	return f.sum * math.Exp2(-float64(now.Sub(f.at))/float64(shareHalfLife))
}

// with returns the sum with an amount added.
func (f decayingSum) with(now time.Time, more float64) decayingSum {
	return decayingSum{sum: f.value(now) + more, at: now}
}

// usage is the requested and the admitted load of one organisation.
type usage struct {
	requested decayingSum
	admitted  decayingSum
}

// shares is the usage of all organisations. The zero value is empty.
type shares struct {
	byOrganisation map[uint64]usage
	level          float64
	levelAt        time.Time
}

// recordRequest records a request of so many tokens.
func (s *shares) recordRequest(now time.Time, organisation uint64, tokens int) {
	if s.byOrganisation == nil {
		s.byOrganisation = make(map[uint64]usage)
	}
	u := s.byOrganisation[organisation]
	u.requested = u.requested.with(now, float64(tokens))
	s.byOrganisation[organisation] = u
}

// recordAdmitted records that a request of so many tokens was admitted.
func (s *shares) recordAdmitted(now time.Time, organisation uint64, tokens int) {
	u := s.byOrganisation[organisation]
	u.admitted = u.admitted.with(now, float64(tokens))
	s.byOrganisation[organisation] = u
}

// aboveLevel reports whether the organisation got more than the common level.
func (s *shares) aboveLevel(now time.Time, organisation uint64) bool {
	if s.levelAt.IsZero() || now.Sub(s.levelAt) >= levelInterval {
		s.level, s.levelAt = s.computeLevel(now), now
	}
	return s.byOrganisation[organisation].admitted.value(now) > levelTolerance*s.level
}

// computeLevel returns the level at which the organisations' requested load, capped at
// the level, adds up to the admitted load. It drops organisations that no longer send
// requests.
func (s *shares) computeLevel(now time.Time) float64 {
	requested := make([]float64, 0, len(s.byOrganisation))
	left := 0.0
	for organisation, u := range s.byOrganisation {
		value := u.requested.value(now)
		if value < minUsage {
			delete(s.byOrganisation, organisation)
			continue
		}
		requested = append(requested, value)
		left += u.admitted.value(now)
	}
	slices.Sort(requested)
	for i, value := range requested {
		rest := float64(len(requested) - i)
		if value*rest >= left {
			return left / rest
		}
		left -= value
	}
	return math.Inf(1)
}
