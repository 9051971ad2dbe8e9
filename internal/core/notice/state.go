package notice

import (
	"time"

	"github.com/gladegauge/gladegauge/internal/core/rendezvous"
)

const (
	// restMost is the longest rest that is believed. Planned work on a host takes up to an
	// hour; a longer time is a mistake in its unit, and would keep an upstream out until
	// it starts again.
	restMost = time.Hour
	// returnFor is how long after a rest an upstream gets its share back by degrees. It
	// covers the four or five answers, one after the other, in which what may be
	// unanswered there grows to what an upstream of 64 slots has.
	returnFor = 2 * time.Second
	// returnEvery is the mean time between the returns of two gateways to an upstream that
	// asked all of them for rest at once: about one answer. returnLatest bounds the sum.
	returnEvery  = 10 * time.Millisecond
	returnLatest = time.Second
	// floodedFrom is how many times as many requests an upstream may have that is back
	// while all others rest: it would get all of its pool's requests otherwise.
	floodedFrom = 4
)

// State is what one start of an upstream has said of itself until now. The zero value is
// nothing.
type State struct {
	leaving bool
	// restUntil is when the last rest that it asked for ends; zero for none.
	restUntil time.Time
	// answered is the number of requests that it answered since.
	answered int
	limit    limitWord
	// votes are what others told of its limit; they count until votesUntil.
	votes      LimitVotes
	votesUntil time.Time
	unread     string
}

// With returns the state after a notice that came now. A rest never ends sooner by a
// later word, and only another start takes back that it leaves.
func (s State) With(now time.Time, n Notice) State {
	s.leaving = s.leaving || n.Leaving
	s.limit = s.limit.with(now, n)
	if n.Unread != "" {
		s.unread = n.Unread
	}
	if n.Rest <= 0 {
		return s
	}
	if until := now.Add(min(n.Rest, restMost)); until.After(s.restUntil) {
		s.restUntil = until
		s.answered = 0
	}
	return s
}

// WithAnswer returns the state after the upstream began to answer a request.
func (s State) WithAnswer(now time.Time) State {
	if s.returns(now) {
		s.answered++
	}
	return s
}

// Any reports whether the upstream has said anything that still holds.
func (s State) Any(now time.Time) bool { return s.SaidLimited() || s.Away(now) }

// Away reports whether the upstream leaves, rests, or has just returned.
func (s State) Away(now time.Time) bool { return s.leaving || s.Resting(now) || s.returns(now) }

// Unread is the latest text of the upstream that could not be read.
func (s State) Unread() string { return s.unread }

// Leaving reports whether the upstream has said that it leaves.
func (s State) Leaving() bool { return s.leaving }

// Resting reports whether the upstream wants nothing now.
func (s State) Resting(now time.Time) bool { return now.Before(s.restUntil) }

// Closed reports whether nothing may be sent to the upstream now.
func (s State) Closed(now time.Time) bool { return s.leaving || s.Resting(now) }

// RestUntil is when the last rest that the upstream asked for ends; zero for none.
func (s State) RestUntil() time.Time { return s.restUntil }

// Rested reports whether the upstream has ever asked for rest. Most never do, and are asked
// nothing else then.
func (s State) Rested() bool { return !s.restUntil.IsZero() }

// returns reports whether a rest of the upstream ended a moment ago.
func (s State) returns(now time.Time) bool {
	return s.Rested() && !s.Resting(now) && now.Sub(s.restUntil) < returnFor
}

// Spared reports whether the upstream has as many requests as it should get so soon after
// its rest: no more may be unanswered than it has answered since, and one. The first ones
// of many gateways are spread over a moment. Others are used first then; it is no reason
// to refuse a request.
func (s State) Spared(now time.Time, gateways, unanswered int) bool {
	if !s.returns(now) {
		return false
	}
	return now.Before(s.restUntil.Add(s.returnDelay(gateways))) || unanswered > s.answered
}

// Untried reports whether the upstream has answered nothing since a rest that ended a
// moment ago.
func (s State) Untried(now time.Time) bool { return s.returns(now) && s.answered == 0 }

// Flooded reports whether the upstream has so many requests so soon after its rest that
// more would make it refuse again, also where no others are left.
func (s State) Flooded(now time.Time, unanswered int) bool {
	return s.returns(now) && unanswered >= floodedFrom*(s.answered+1)
}

// returnDelay is how long after the rest this gateway returns. The moments at which
// gateways heard of it differ, and so do their delays.
func (s State) returnDelay(gateways int) time.Duration {
	spread := min(time.Duration(gateways-1)*returnEvery, returnLatest)
	part := rendezvous.Fraction(rendezvous.Mix(uint64(s.restUntil.UnixNano()), 0))
	return time.Duration(float64(spread) * part)
}
