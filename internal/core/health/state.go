package health

import "time"

const (
	// failureMemory is the weight of the latest answer in the failure rate;
	// the rate covers about the last eight answers.
	failureMemory = 0.13
	// ejectBase and ejectMax bound how long an upstream is ejected; the time
	// doubles with each ejection that follows at once.
	ejectBase = time.Second
	ejectMax  = 8 * time.Second
	// maxDoublings keeps the doubled time within its type.
	maxDoublings = 5
	// ejectForget is the time without an ejection after which the next one is
	// short again.
	ejectForget = 20 * time.Second
	// refusedBase is how long an upstream is left out after it refused a request though it
	// had room: a few round trips. It doubles with each refusal that is not followed by an
	// answer, so that one that refuses nine of ten gets a request every few seconds.
	refusedBase = 100 * time.Millisecond
	// refusedMost is the number of such refusals that count.
	refusedMost = 6
	// FullFor is how long an upstream is spared that refused because it was full: about
	// as long as a few of its requests take.
	FullFor = 50 * time.Millisecond
	// trialFrom is the number of failures in a row after which the next requests there are
	// trials, of the least urgent only. One in seven answers of a plain service may be an
	// error without a fault of this upstream.
	trialFrom = 2
	// trialFor is how long the next requests are trials of the least urgent only.
	trialFor = 5 * time.Second
)

// State is what is known of the health of one start of an upstream. The zero value is of
// one that nothing is known of.
type State struct {
	// rate is the part of its latest answers that were failures.
	rate float64
	// ejections is the number of ejections that followed each other, the last of them at
	// ejectedAt. It is left out until leftOutUntil.
	ejections    int
	ejectedAt    time.Time
	leftOutUntil time.Time
	// refusals counts requests that it refused with room left, less those that it
	// answered since.
	refusals int
	// failures is the number of requests that failed there, that it refused, or that hang,
	// since its last whole answer; failedAt is when the last of them did, begunAt when an
	// answer began last.
	failures int
	failedAt time.Time
	begunAt  time.Time
	standing standing
}

// WithBegun returns the state after an answer began.
func (s State) WithBegun(now time.Time) State {
	s.begunAt = now
	return s
}

// WithAnswer returns the state after a whole answer that began at the time. One that began
// before the last failure says nothing newer: streams of engines that had just begun to hang
// end well for seconds, and would speak for them.
func (s State) WithAnswer(begunAt time.Time) State {
	s.rate -= failureMemory * s.rate
	s.refusals = max(0, s.refusals-1)
	if !begunAt.Before(s.failedAt) {
		s.failures = 0
	}
	return s
}

// WithFailure returns the state after a request failed there.
func (s State) WithFailure(now time.Time) State {
	s.rate += failureMemory * (1 - s.rate)
	return s.worse(now)
}

// worse counts one more failure in a row.
func (s State) worse(now time.Time) State {
	s.failures++
	s.failedAt = now
	return s
}

// WithRefusal returns the state after it refused a request, and how long it should be left
// out. Full tells that it had as much as it takes, and was right to refuse: that is no
// evidence.
func (s State) WithRefusal(now time.Time, full bool) (State, time.Duration) {
	if full {
		return s, FullFor
	}
	s = s.worse(now)
	s.refusals = min(s.refusals+1, refusedMost)
	return s, refusedBase << (s.refusals - 1)
}

// WithHang returns the state after a request that was sent at the time was found to hang,
// and whether that counts. What was sent before the last failure says nothing new.
func (s State) WithHang(now, sentAt time.Time) (State, bool) {
	if sentAt.Before(s.failedAt) {
		return s, false
	}
	return s.worse(now), true
}

// WithHanging returns the state while a request still hangs that was counted: its vote
// goes on, unless something was answered since. Callers leave after two seconds: a vote of
// one second would be over by then, and the next wave go there.
func (s State) WithHanging(now time.Time) State {
	if s.failures > 0 && !s.begunAt.After(s.failedAt) {
		s.failedAt = now
	}
	return s
}

// WithEjection returns the state after it was left out for failing more often than its
// pool.
func (s State) WithEjection(now time.Time) State {
	if !s.ejectedAt.IsZero() && now.Sub(s.ejectedAt) > ejectForget {
		s.ejections = 0
	}
	d := min(ejectBase<<min(s.ejections, maxDoublings), ejectMax)
	s.ejections++
	return s.WithLeftOut(now, d)
}

// WithLeftOut returns the state after it was left out for the time.
func (s State) WithLeftOut(now time.Time, d time.Duration) State {
	s.ejectedAt = now
	if until := now.Add(d); until.After(s.leftOutUntil) {
		s.leftOutUntil = until
	}
	return s
}

// Rate is the part of its latest answers that were failures, from 0 to 1.
func (s State) Rate() float64 { return s.rate }

// Failures is the number of failures in a row.
func (s State) Failures() int { return s.failures }

// LeftOut is how much longer it is left out; 0 if it is not.
func (s State) LeftOut(now time.Time) time.Duration { return max(0, s.leftOutUntil.Sub(now)) }

// OnTrial reports whether it has yet to show that it answers again, to this gateway or to
// others: its next requests are trials.
func (s State) OnTrial(now time.Time) bool {
	return ((s.refusals > 0 || s.failures >= trialFrom) && now.Sub(s.failedAt) < trialFor) || s.TrialOfFew(now)
}
