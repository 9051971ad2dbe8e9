package notice

import (
	"time"

	"github.com/gladegauge/gladegauge/internal/core/rendezvous"
)

const (
	// maxBackoff is the longest backoff that is honoured. Planned maintenance of a host
	// takes up to an hour; a longer time is a mistake in the unit, and would keep an
	// upstream out of use until it restarts.
	maxBackoff = time.Hour
	// slowStartDuration is how long after a backoff an upstream gets its share back
	// gradually. It covers the four or five consecutive answers after which the allowed
	// number of unanswered requests has grown to that of an upstream with 64 slots.
	slowStartDuration = 2 * time.Second
	// slowStartSpacing is the mean time between the first requests of two gateways to an
	// upstream that asked all of them to back off at the same time: about one answer.
	// maxSlowStartDelay bounds the total.
	slowStartSpacing  = 10 * time.Millisecond
	maxSlowStartDelay = time.Second
	// hardLimitFactor is the factor by which an upstream in slow start may exceed its
	// limit while all others of its pool are in backoff: without a limit, it would get all
	// requests of the pool.
	hardLimitFactor = 4
)

// State is what one incarnation of an upstream has announced so far. The zero value is
// nothing.
type State struct {
	leaving bool
	// backoffUntil is when the last requested backoff ends; zero for none.
	backoffUntil time.Time
	// answered is the number of requests that the upstream has answered in slow start.
	answered int
	limit    limitState
	// votes are the reports of other gateways about its limit, valid until votesUntil.
	votes      LimitVotes
	votesUntil time.Time
	unparsed   string
}

// With returns the state after a notice that is received now. A later notice never
// shortens a backoff, and only a new incarnation ends the leaving state.
func (s State) With(now time.Time, n Notice) State {
	s.leaving = s.leaving || n.Leaving
	s.limit = s.limit.with(now, n)
	if n.Unparsed != "" {
		s.unparsed = n.Unparsed
	}
	if n.Backoff <= 0 {
		return s
	}
	if until := now.Add(min(n.Backoff, maxBackoff)); until.After(s.backoffUntil) {
		s.backoffUntil = until
		s.answered = 0
	}
	return s
}

// WithAnswer returns the state after the upstream began to answer a request.
func (s State) WithAnswer(now time.Time) State {
	if s.inSlowStart(now) {
		s.answered++
	}
	return s
}

// Any reports whether anything that the upstream announced is in effect.
func (s State) Any(now time.Time) bool { return s.LimitReported() || s.Restricted(now) }

// Restricted reports whether the upstream is leaving, in backoff, or in slow start.
func (s State) Restricted(now time.Time) bool {
	return s.leaving || s.InBackoff(now) || s.inSlowStart(now)
}

// Unparsed is the text of the latest announcement that could not be parsed.
func (s State) Unparsed() string { return s.unparsed }

// Leaving reports whether the upstream has announced that it is leaving.
func (s State) Leaving() bool { return s.leaving }

// InBackoff reports whether the upstream has requested a backoff that has not ended.
func (s State) InBackoff(now time.Time) bool { return now.Before(s.backoffUntil) }

// Closed reports whether nothing may be sent to the upstream now.
func (s State) Closed(now time.Time) bool { return s.leaving || s.InBackoff(now) }

// BackoffUntil is when the last requested backoff ends; zero for none.
func (s State) BackoffUntil() time.Time { return s.backoffUntil }

// BackoffRequested reports whether the upstream has ever requested a backoff. Most never
// do, and callers can skip the other checks for them.
func (s State) BackoffRequested() bool { return !s.backoffUntil.IsZero() }

// inSlowStart reports whether a backoff of the upstream has ended recently.
func (s State) inSlowStart(now time.Time) bool {
	return s.BackoffRequested() && !s.InBackoff(now) && now.Sub(s.backoffUntil) < slowStartDuration
}

// SlowStartLimited reports whether the upstream has reached its slow start limit: the
// number of unanswered requests may exceed that of the answers since the backoff by one.
// The first requests of many gateways are spread over a short time. Other upstreams are
// preferred then, but no request is refused for this reason.
func (s State) SlowStartLimited(now time.Time, gateways, unanswered int) bool {
	if !s.inSlowStart(now) {
		return false
	}
	return now.Before(s.backoffUntil.Add(s.slowStartDelay(gateways))) || unanswered > s.answered
}

// Unproven reports whether the upstream is in slow start and has not answered a request
// since its backoff.
func (s State) Unproven(now time.Time) bool { return s.inSlowStart(now) && s.answered == 0 }

// SlowStartExhausted reports whether the upstream has so many requests in slow start that
// more would make it refuse again. This holds even if no other upstream is available.
func (s State) SlowStartExhausted(now time.Time, unanswered int) bool {
	return s.inSlowStart(now) && unanswered >= hardLimitFactor*(s.answered+1)
}

// slowStartDelay is how long after the backoff this gateway sends its first request. The
// delay is derived from the time at which the gateway learned of the backoff, which
// differs between gateways.
func (s State) slowStartDelay(gateways int) time.Duration {
	spread := min(time.Duration(gateways-1)*slowStartSpacing, maxSlowStartDelay)
	fraction := rendezvous.Fraction(rendezvous.Mix(uint64(s.backoffUntil.UnixNano()), 0))
	return time.Duration(float64(spread) * fraction)
}
