package gateway

import "time"

// Failure is how an attempt ended without a good answer. The zero value is none.
type Failure int

// Failures of an attempt.
const (
	// None means that the attempt did not fail.
	None Failure = iota
	// Unsent means that no byte of the request was written.
	Unsent
	// NotRun means that the upstream promised not to have run it.
	NotRun
	// Faulty means that the upstream answered with an error of its own.
	Faulty
	// Lost means that there was no answer, or none that can be used.
	Lost
	// Replaced means that another start answers at the upstream's address, and
	// refused what was meant for the one before.
	Replaced
	// Silent means that the gateway stopped waiting for this upstream.
	Silent
	// CallerGone means that the caller has left.
	CallerGone
	// Withheld means that the upstream said that it wants nothing while the request was
	// on its way: no byte was written.
	Withheld
)

// String names the failure in logs.
func (f Failure) String() string {
	names := [...]string{"", "unsent", "not_run", "faulty", "lost", "replaced", "silent", "caller_gone", "withheld"}
	if f < Unsent || int(f) >= len(names) {
		return "unknown"
	}
	return names[f]
}

// Bounds of attempts.
const (
	// maxUnsent is the number of upstreams that may turn out unreachable
	// before the request is refused. They do not count as attempts.
	maxUnsent = 4
	// leastLeft is the time that must be left for another attempt to be worth
	// it: a round trip and a short answer.
	leastLeft = 15 * time.Millisecond
)

// Progress is what happened to a request so far.
type Progress struct {
	// Sent is the number of upstreams that a byte of it was written to.
	Sent int
	// Unsent is the number of upstreams that could not be reached, or that are
	// no longer at their address.
	Unsent int
	// MayHaveRun is true once an attempt is not provably unrun.
	MayHaveRun bool
	// Answering is true once the head of an answer went to the caller.
	Answering bool
	// Backed is true while another engine keeps a copy of the run's memory.
	Backed bool
	// Suspect is true if upstreams ended under the request more than once: it runs
	// once, as each further run may end another upstream.
	Suspect bool
	// Replayable is false if the body was passed on without being kept.
	Replayable bool
}

// With returns the progress after an attempt failed.
func (p Progress) With(f Failure) Progress {
	switch f {
	case Unsent, Replaced, Withheld:
		p.Unsent++
	case NotRun:
		p.Sent++
	default:
		p.Sent++
		p.MayHaveRun = true
	}
	return p
}

// Action is what is done after an attempt failed.
type Action int

// Actions after a failure.
const (
	// Again tries another upstream.
	Again Action = iota + 1
	// Continue goes on from the copy of the run's memory. It is the same run, so
	// that it also suits requests that may run once.
	Continue
	// Relay passes on the upstream's own answer.
	Relay
	// Refuse answers with the refusal.
	Refuse
	// Cut closes the caller's connection: the head of an answer went out, and
	// the rest will not come.
	Cut
)

// Step is the decision after a failure.
type Step struct {
	Do      Action
	Refusal *Refusal
}

// Next decides what follows a failure. The progress includes it. Spend takes a
// retry from the budget and is called only if one is due.
func Next(now time.Time, a Admission, p Progress, f Failure, spend func() bool) Step {
	if f == CallerGone {
		return Step{Do: Cut}
	}
	if mayContinue(now, a, p, f) && spend() {
		return Step{Do: Continue}
	}
	if mayTryAgain(now, a, p, f) && (f == Unsent || f == Withheld || spend()) {
		return Step{Do: Again}
	}
	switch {
	case p.Answering:
		return Step{Do: Cut}
	case f == Faulty:
		return Step{Do: Relay}
	default:
		return Step{Do: Refuse, Refusal: refusalAfter(now, a, p, f)}
	}
}

// mayContinue reports whether the run may go on from its copy. Before its first
// event there may be none yet.
func mayContinue(now time.Time, a Admission, p Progress, f Failure) bool {
	return p.Backed && p.Answering && p.Replayable && !p.Suspect &&
		(f == Lost || f == Silent) && a.Deadline.Sub(now) >= leastLeft
}

func mayTryAgain(now time.Time, a Admission, p Progress, f Failure) bool {
	if a.Deadline.Sub(now) < leastLeft || p.Sent >= a.Route.MaxAttempts {
		return false
	}
	if p.MayHaveRun && (p.Suspect || !a.Route.MayRepeat()) {
		return false
	}
	switch f {
	case Unsent, Withheld:
		return p.Unsent < maxUnsent
	case Replaced:
		return p.Replayable && p.Unsent < maxUnsent
	case NotRun:
		return p.Replayable
	default:
		return p.Replayable
	}
}

// refusalAfter tells the caller the truth about what ran.
func refusalAfter(now time.Time, a Admission, p Progress, f Failure) *Refusal {
	switch {
	case p.MayHaveRun && !now.Before(a.Deadline):
		return unknown(TimedOut, OutOfTime)
	case p.MayHaveRun:
		return unknown(Unknown, OutcomeUnknown)
	case f == NotRun:
		return notRun(RefusedByAll, comeBackSoon)
	default:
		return notRun(Unreachable, comeBackSoon)
	}
}

// NothingLeft is the refusal when no upstream is left to try.
func NothingLeft(now time.Time, a Admission, p Progress) *Refusal {
	if p.MayHaveRun {
		return refusalAfter(now, a, p, Lost)
	}
	if p.Sent+p.Unsent == 0 {
		return notRun(NoUpstream, comeBackLater)
	}
	return refusalAfter(now, a, p, NotRun)
}
