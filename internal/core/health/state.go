package health

import "time"

const (
	// failureRateWeight is the weight of the latest response in the moving average of the
	// failure rate, which covers about the last eight responses.
	failureRateWeight = 0.13
	// ejectBase and ejectMax bound the duration of an ejection, which doubles with each
	// consecutive ejection.
	ejectBase = time.Second
	ejectMax  = 8 * time.Second
	// maxDoublings keeps the doubled duration from overflowing.
	maxDoublings = 5
	// ejectResetAfter is the time without an ejection after which the backoff starts again
	// from ejectBase.
	ejectResetAfter = 20 * time.Second
	// refusalBackoffBase is how long an upstream is excluded after it refused a request
	// although it had capacity: a few round trips. It doubles with each refusal that is not
	// followed by a response, so that an upstream that refuses nine of ten requests gets
	// one every few seconds.
	refusalBackoffBase = 100 * time.Millisecond
	// maxRefusals caps the number of refusals that extend the backoff.
	maxRefusals = 6
	// FullBackoff is how long an upstream is excluded after it refused a request because it
	// was full: about as long as a few of its requests take.
	FullBackoff = 50 * time.Millisecond
	// trialThreshold is the number of consecutive failures after which the next requests
	// are trials, taken only from the least urgent ones. One in seven responses of a plain
	// service may be an error without a fault of this upstream.
	trialThreshold = 2
	// trialFor is how long only the least urgent requests are sent, as trials.
	trialFor = 5 * time.Second
)

// State is the health of one incarnation of an upstream. The zero value has no observations.
type State struct {
	// rate is the moving average of the failure rate.
	rate float64
	// ejections counts consecutive ejections, the last of them at ejectedAt. The upstream
	// is excluded until excludedUntil.
	ejections     int
	ejectedAt     time.Time
	excludedUntil time.Time
	// refusals counts requests refused with capacity left, minus the responses since.
	refusals int
	// failures counts requests that failed, were refused or hang since the last complete
	// response. failedAt is the time of the last failure, startedAt that of the last
	// response start.
	failures  int
	failedAt  time.Time
	startedAt time.Time
	demotion  demotion
}

// WithResponseStart returns the state after a response started.
func (s State) WithResponseStart(now time.Time) State {
	s.startedAt = now
	return s
}

// WithResponse returns the state after a complete response that started at startedAt. A
// response that started before the last failure does not reset the failures: an engine that
// has just begun to hang still completes older streams for seconds, and these would hide
// the fault.
func (s State) WithResponse(startedAt time.Time) State {
	s.rate -= failureRateWeight * s.rate
	s.refusals = max(0, s.refusals-1)
	if !startedAt.Before(s.failedAt) {
		s.failures = 0
	}
	return s
}

// WithFailure returns the state after a failed request.
func (s State) WithFailure(now time.Time) State {
	s.rate += failureRateWeight * (1 - s.rate)
	return s.withConsecutiveFailure(now)
}

// withConsecutiveFailure counts one more consecutive failure.
func (s State) withConsecutiveFailure(now time.Time) State {
	s.failures++
	s.failedAt = now
	return s
}

// WithRefusal returns the state after a refused request, and how long to exclude the
// upstream. If full is set, the upstream was at capacity and right to refuse, which does
// not count against its health.
func (s State) WithRefusal(now time.Time, full bool) (State, time.Duration) {
	if full {
		return s, FullBackoff
	}
	s = s.withConsecutiveFailure(now)
	s.refusals = min(s.refusals+1, maxRefusals)
	return s, refusalBackoffBase << (s.refusals - 1)
}

// WithHang returns the state after a request sent at sentAt was found to hang, and whether
// it counts. A request sent before the last failure adds no evidence.
func (s State) WithHang(now, sentAt time.Time) (State, bool) {
	if sentAt.Before(s.failedAt) {
		return s, false
	}
	return s.withConsecutiveFailure(now), true
}

// WithHanging returns the state while a counted request still hangs: the vote is extended
// unless a response has started since. Callers give up after two seconds, so a vote of one
// second would have expired by then and the next wave of requests would be sent to the same
// upstream.
func (s State) WithHanging(now time.Time) State {
	if s.failures > 0 && !s.startedAt.After(s.failedAt) {
		s.failedAt = now
	}
	return s
}

// WithEjection returns the state after an ejection for failing more often than the rest of
// the pool.
func (s State) WithEjection(now time.Time) State {
	if !s.ejectedAt.IsZero() && now.Sub(s.ejectedAt) > ejectResetAfter {
		s.ejections = 0
	}
	d := min(ejectBase<<min(s.ejections, maxDoublings), ejectMax)
	s.ejections++
	return s.WithExclusion(now, d)
}

// WithExclusion returns the state with the upstream excluded for d.
func (s State) WithExclusion(now time.Time, d time.Duration) State {
	s.ejectedAt = now
	if until := now.Add(d); until.After(s.excludedUntil) {
		s.excludedUntil = until
	}
	return s
}

// Rate is the moving average of the failure rate, from 0 to 1.
func (s State) Rate() float64 { return s.rate }

// Failures is the number of consecutive failures.
func (s State) Failures() int { return s.failures }

// ExcludedFor is the remaining time of the exclusion; 0 if there is none.
func (s State) ExcludedFor(now time.Time) time.Duration { return max(0, s.excludedUntil.Sub(now)) }

// OnTrial reports whether the next requests are trials, because the upstream has not yet
// responded again to this gateway or to the others.
func (s State) OnTrial(now time.Time) bool {
	return ((s.refusals > 0 || s.failures >= trialThreshold) && now.Sub(s.failedAt) < trialFor) || s.InLimitedTrial(now)
}
