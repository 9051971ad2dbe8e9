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
	// Harmful requests end the upstreams that run them: coming back is useless.
	Harmful
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
	EndsUpstreams   Reason = "ends_upstreams"
	SuspectRuns     Reason = "suspect_runs"
	UpstreamsRest   Reason = "upstreams_rest"
	// UpstreamsLimited have as many requests as they take.
	UpstreamsLimited Reason = "upstreams_limited"
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

// ForUpstreams reports whether nothing ran for want of an upstream that takes the request.
func (r *Refusal) ForUpstreams() bool {
	return r.NotRun && (r.Reason == NoUpstream || r.Reason == RefusedByAll || r.Reason == Unreachable)
}

// WithRest returns such a refusal if all upstreams that are there rest for so long: to come
// back sooner helps nobody.
func (r *Refusal) WithRest(left time.Duration) *Refusal {
	if left <= 0 {
		return r
	}
	return notRun(UpstreamsRest, left)
}

// WithLimit returns such a refusal if the upstreams that are there have no turn for so long.
func (r *Refusal) WithLimit(left time.Duration) *Refusal {
	if left <= 0 {
		return r
	}
	return notRun(UpstreamsLimited, left)
}

// Stopping refuses a request that came too late to a process that stops.
func Stopping() *Refusal { return notRun(StoppingProcess, comeBackSoon) }

// Busy refuses a request that would wait for too long; it may come back after the time.
func Busy(comeBack time.Duration) *Refusal { return notRun(PoolBusy, comeBack) }

// Ends refuses a request under which upstreams ended, one after the other. It is not
// tried again here, and its caller should not come back with it. Ran is true if the
// last of them ended under this very attempt.
func Ends(ran bool) *Refusal {
	return &Refusal{Kind: Harmful, Reason: EndsUpstreams, NotRun: !ran}
}

// TooLate refuses a request whose time ran out before it was sent on: the host stood
// still.
func TooLate(p Progress) *Refusal {
	if p.MayHaveRun {
		return unknown(TimedOut, OutOfTime)
	}
	return notRun(OutOfTime, comeBackSoon)
}

// Occupied refuses a suspect request while another run of it is under way.
func Occupied() *Refusal { return notRun(SuspectRuns, comeBackLater) }

// Body returns the refusal of a request whose body is too large or did not
// come. Nothing was sent to an upstream.
func Body(tooLarge bool) *Refusal {
	if tooLarge {
		return denied(TooLarge, BodyTooLarge)
	}
	return denied(TimedOutReading, BodyNotRead)
}
