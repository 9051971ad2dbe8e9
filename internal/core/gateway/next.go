package gateway

import "time"

// Failure says how an attempt failed. The zero value means no failure.
type Failure int

// Failures of an attempt.
const (
	// None means that the attempt did not fail.
	None Failure = iota
	// Unsent means that no byte of the request was written.
	Unsent
	// NotRun means that the upstream promised not to have run it.
	NotRun
	// Faulty means that the upstream returned an error response.
	Faulty
	// Lost means that there was no response, or no usable one.
	Lost
	// Replaced means that another incarnation now runs at the upstream's address and
	// rejected a request addressed to the previous one.
	Replaced
	// Silent means that the gateway stopped waiting for this upstream.
	Silent
	// CallerGone means that the caller has disconnected.
	CallerGone
	// Withheld means that, before a byte of the request was written, its deadline passed or
	// the upstream announced that it accepts no requests.
	Withheld
	// IncompleteBody means that the rest of a body that is passed on as it arrives was malformed
	// or did not arrive in time, and OversizedBody that it exceeded the limit. An upstream has
	// got a part of the request.
	IncompleteBody
	OversizedBody
)

// String names the failure in logs.
func (f Failure) String() string {
	names := [...]string{"", "unsent", "not_run", "faulty", "lost", "replaced", "silent", "caller_gone", "withheld", "incomplete_body", "oversized_body"}
	if f < Unsent || int(f) >= len(names) {
		return "unknown"
	}
	return names[f]
}

// Bounds of attempts.
const (
	// maxUnreachable is the number of upstreams that may be unreachable before the request
	// is refused. They do not count as attempts.
	maxUnreachable = 4
	// minRemaining is the minimum remaining time for another attempt: a round trip and a
	// short response.
	minRemaining = 15 * time.Millisecond
)

// Progress summarises the attempts of a request so far.
type Progress struct {
	// Sent is the number of upstreams that at least one byte of the request was written to.
	Sent int
	// Unsent is the number of upstreams that could not be reached, or are no longer at
	// their address.
	Unsent int
	// MayHaveRun is true once an attempt has been made that is not provably unrun.
	MayHaveRun bool
	// ResponseStarted is true once the response headers were sent to the caller.
	ResponseStarted bool
	// Unresumable is true if the response that started is not the stream of a route with streams:
	// no other response can go on with it.
	Unresumable bool
	// HasBackup is true while another engine keeps a copy of the run's KV cache.
	HasBackup bool
	// VersionUnknown is true if the caller has events of an upstream whose software version
	// is not known. No other upstream may then go on with the stream.
	VersionUnknown bool
	// Suspect is true if several upstreams crashed while running the request. It runs only
	// once, as each further run may crash another upstream.
	Suspect bool
	// Replayable is false if the body was forwarded without being kept.
	Replayable bool
}

// With returns the progress after a failed attempt.
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

// Action is what to do after a failed attempt.
type Action int

// Actions after a failure.
const (
	// Retry sends the request to another upstream.
	Retry Action = iota + 1
	// Continue resumes the run from the copy of its KV cache. It is the same run, so this
	// is also allowed for requests that may run only once.
	Continue
	// Relay forwards the upstream's own response.
	Relay
	// Refuse responds with the refusal.
	Refuse
	// Abort closes the caller's connection: the response headers were sent, but the rest
	// cannot be delivered.
	Abort
)

// Step is the decision after a failure.
type Step struct {
	Do      Action
	Refusal *Refusal
}

// Next decides what follows a failure, which the progress already includes. It calls spend,
// which takes a retry from the budget, only if the action needs one.
func Next(now time.Time, a Admission, p Progress, f Failure, spend func() bool) Step {
	if f == CallerGone {
		return Step{Do: Abort}
	}
	if mayContinue(now, a, p, f) && spend() {
		return Step{Do: Continue}
	}
	if mayRetry(now, a, p, f) && (f == Unsent || f == Withheld || spend()) {
		return Step{Do: Retry}
	}
	switch {
	case p.ResponseStarted:
		return Step{Do: Abort}
	case f == Faulty:
		return Step{Do: Relay}
	default:
		return Step{Do: Refuse, Refusal: refusalAfter(now, a, p, f)}
	}
}

// mayContinue reports whether the run may resume from its copy. Before its first event
// there may be no copy yet.
func mayContinue(now time.Time, a Admission, p Progress, f Failure) bool {
	return p.HasBackup && p.ResponseStarted && !p.Unresumable && p.Replayable && !p.Suspect && !p.VersionUnknown &&
		(f == Lost || f == Silent) && a.Deadline.Sub(now) >= minRemaining
}

func mayRetry(now time.Time, a Admission, p Progress, f Failure) bool {
	if a.Deadline.Sub(now) < minRemaining || p.Sent >= a.Route.MaxAttempts {
		return false
	}
	if p.MayHaveRun && (p.Suspect || !a.Route.MayRepeat()) {
		return false
	}
	if p.ResponseStarted && (p.VersionUnknown || p.Unresumable) {
		return false
	}
	switch f {
	case Unsent, Withheld:
		return p.Unsent < maxUnreachable
	case Replaced:
		return p.Replayable && p.Unsent < maxUnreachable
	case IncompleteBody, OversizedBody:
		return false
	default:
		return p.Replayable
	}
}

// refusalAfter returns a refusal that tells the caller whether the request may have run.
func refusalAfter(now time.Time, a Admission, p Progress, f Failure) *Refusal {
	switch {
	case p.MayHaveRun && !now.Before(a.Deadline):
		return unknown(TimedOut, OutOfTime)
	case f == OversizedBody:
		return unknown(TooLarge, BodyTooLarge)
	case f == IncompleteBody:
		return unknown(Malformed, BodyNotRead)
	case p.MayHaveRun:
		return unknown(Unknown, OutcomeUnknown)
	case f == Withheld && !now.Before(a.Deadline):
		return TooLate(p)
	case f == NotRun:
		return unavailable(RefusedByAll, retryAfterShort)
	default:
		return unavailable(Unreachable, retryAfterShort)
	}
}

// NoUpstreamLeft returns the refusal if no upstream is left to try.
func NoUpstreamLeft(now time.Time, a Admission, p Progress) *Refusal {
	if p.MayHaveRun {
		return refusalAfter(now, a, p, Lost)
	}
	if p.Sent+p.Unsent == 0 {
		return unavailable(NoUpstream, retryAfterLong)
	}
	return refusalAfter(now, a, p, NotRun)
}
