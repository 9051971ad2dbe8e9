package gateway

import "time"

// Kind is what a refusal tells the caller.
type Kind int

// Kinds of refusal. Unavailable and TimedOutReading promise that the request
// has not run.
const (
	Unavailable Kind = iota + 1
	NotFound
	Unauthorised
	TooLarge
	TimedOutReading
	// Unknown and TimedOut promise nothing.
	Unknown
	TimedOut
)

// Reason says in logs and metrics why a request was refused.
type Reason string

// Reasons of refusals.
const (
	NoConfiguration Reason = "no_configuration"
	ViewTooOld      Reason = "view_too_old"
	NoRoute         Reason = "no_route"
	NoKey           Reason = "no_key"
	UnknownKey      Reason = "unknown_key"
	NoUpstream      Reason = "no_upstream"
	PoolBusy        Reason = "pool_busy"
	RefusedByAll    Reason = "refused_by_upstreams"
	Unreachable     Reason = "upstreams_unreachable"
	OutcomeUnknown  Reason = "outcome_unknown"
	OutOfTime       Reason = "out_of_time"
	BodyTooLarge    Reason = "body_too_large"
	BodyNotRead     Reason = "body_not_read"
	StoppingProcess Reason = "stopping"
)

// Times after which a refused caller should come back.
const (
	// comeBackSoon suits what passes in moments: another upstream is tried
	// then. It is a few round trips.
	comeBackSoon = 50 * time.Millisecond
	// comeBackLater suits an outage: upstreams and configurations come back
	// within seconds.
	comeBackLater = 500 * time.Millisecond
)

// Refusal is an answer of the gateway's own.
type Refusal struct {
	Kind   Kind
	Reason Reason
	// NotRun promises that the request has not run and will not run.
	NotRun bool
	// ComeBack is when the caller may try again; 0 says nothing.
	ComeBack time.Duration
}

func notRun(reason Reason, comeBack time.Duration) *Refusal {
	return &Refusal{Kind: Unavailable, Reason: reason, NotRun: true, ComeBack: comeBack}
}

func denied(kind Kind, reason Reason) *Refusal {
	return &Refusal{Kind: kind, Reason: reason, NotRun: true}
}

func unknown(kind Kind, reason Reason) *Refusal {
	return &Refusal{Kind: kind, Reason: reason}
}

// Stopping refuses a request that came too late to a process that stops.
func Stopping() *Refusal { return notRun(StoppingProcess, comeBackSoon) }

// Busy refuses a request that would wait for too long; it may come back after the time.
func Busy(comeBack time.Duration) *Refusal { return notRun(PoolBusy, comeBack) }

// Body returns the refusal of a request whose body is too large or did not
// come. Nothing was sent to an upstream.
func Body(tooLarge bool) *Refusal {
	if tooLarge {
		return denied(TooLarge, BodyTooLarge)
	}
	return denied(TimedOutReading, BodyNotRead)
}
