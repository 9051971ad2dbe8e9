package gateway

import "time"

// Kind classifies refusals by what they tell the caller.
type Kind int

// Kinds of refusal. Unavailable and TimedOutReading promise that the request
// has not run.
const (
	Unavailable Kind = iota + 1
	NotFound
	Unauthorised
	TooLarge
	TimedOutReading
	// Malformed requests have a body that cannot be read.
	Malformed
	// Harmful requests crash the upstreams that run them; the caller should not retry.
	Harmful
	// Unknown and TimedOut promise nothing.
	Unknown
	TimedOut
)

// Reason is the cause of a refusal in logs and metrics.
type Reason string

// Reasons of refusals.
const (
	NoConfiguration     Reason = "no_configuration"
	ViewTooOld          Reason = "view_too_old"
	NoRoute             Reason = "no_route"
	NoKey               Reason = "no_key"
	UnknownKey          Reason = "unknown_key"
	NoUpstream          Reason = "no_upstream"
	PoolBusy            Reason = "pool_busy"
	RefusedByAll        Reason = "refused_by_upstreams"
	Unreachable         Reason = "upstreams_unreachable"
	OutcomeUnknown      Reason = "outcome_unknown"
	OutOfTime           Reason = "out_of_time"
	BodyTooLarge        Reason = "body_too_large"
	BodyNotRead         Reason = "body_not_read"
	StoppingProcess     Reason = "stopping"
	UpstreamCrashes     Reason = "ends_upstreams"
	SuspectRuns         Reason = "suspect_runs"
	UpstreamsBackingOff Reason = "upstreams_rest"
	// UpstreamsLimited means that the upstreams are at their request limits.
	UpstreamsLimited Reason = "upstreams_limited"
	// VersionUnknown means that the software version of a stream that the caller resumes is
	// not known, and VersionUnavailable that no upstream of that version takes it.
	VersionUnknown     Reason = "version_unknown"
	VersionUnavailable Reason = "version_unavailable"
)

// Retry delays that refusals tell the caller.
const (
	// retryAfterShort is for transient conditions, after which another upstream is tried: a
	// few round trips.
	retryAfterShort = 50 * time.Millisecond
	// retryAfterLong is for outages: upstreams and configurations recover within seconds.
	retryAfterLong = 500 * time.Millisecond
)

// Refusal is a response that the gateway generates itself.
type Refusal struct {
	Kind   Kind
	Reason Reason
	// NotRun promises that the request has not run and will not run.
	NotRun bool
	// RetryAfter is the delay after which the caller may retry; 0 if unspecified.
	RetryAfter time.Duration
}

func unavailable(reason Reason, retryAfter time.Duration) *Refusal {
	return &Refusal{Kind: Unavailable, Reason: reason, NotRun: true, RetryAfter: retryAfter}
}

func denied(kind Kind, reason Reason) *Refusal {
	return &Refusal{Kind: kind, Reason: reason, NotRun: true}
}

func unknown(kind Kind, reason Reason) *Refusal {
	return &Refusal{Kind: kind, Reason: reason}
}

// ForLackOfUpstream reports whether the request has not run because no upstream accepted
// it.
func (r *Refusal) ForLackOfUpstream() bool {
	switch r.Reason {
	case NoUpstream, RefusedByAll, Unreachable, VersionUnavailable:
		return r.NotRun
	default:
		return false
	}
}

// WithBackoff returns a refusal that tells the caller to retry after left, the time until
// the first of the available upstreams accepts requests again. If left is 0, it returns r
// unchanged.
func (r *Refusal) WithBackoff(left time.Duration) *Refusal {
	if left <= 0 {
		return r
	}
	return unavailable(UpstreamsBackingOff, left)
}

// WithLimit returns a refusal that tells the caller to retry after left, the time until the
// limits of the available upstreams admit another request. If left is 0, it returns r
// unchanged.
func (r *Refusal) WithLimit(left time.Duration) *Refusal {
	if left <= 0 {
		return r
	}
	return unavailable(UpstreamsLimited, left)
}

// UnknownVersion refuses to resume a stream whose software version is not known. A gateway
// that knows it may be reachable again by the time of a retry.
func UnknownVersion() *Refusal { return unavailable(VersionUnknown, retryAfterLong) }

// UnavailableVersion refuses to resume a stream because no upstream of its software version
// takes it.
func UnavailableVersion() *Refusal { return unavailable(VersionUnavailable, retryAfterLong) }

// Stopping refuses a request that arrived while the process shuts down.
func Stopping() *Refusal { return unavailable(StoppingProcess, retryAfterShort) }

// Busy refuses a request that would wait too long, with the delay after which the caller
// may retry.
func Busy(retryAfter time.Duration) *Refusal { return unavailable(PoolBusy, retryAfter) }

// CrashesUpstreams refuses a request during which upstreams crashed one after the other. It
// is not retried here, and its caller should not retry it either. Ran is true if the last
// crash happened during this attempt.
func CrashesUpstreams(ran bool) *Refusal {
	return &Refusal{Kind: Harmful, Reason: UpstreamCrashes, NotRun: !ran}
}

// TooLate refuses a request whose deadline passed before it was sent on, because the host
// was suspended.
func TooLate(p Progress) *Refusal {
	if p.MayHaveRun {
		return unknown(TimedOut, OutOfTime)
	}
	return unavailable(OutOfTime, retryAfterShort)
}

// Occupied refuses a suspect request while another run of it is in progress.
func Occupied() *Refusal { return unavailable(SuspectRuns, retryAfterLong) }

// Body refuses a request whose body is too large or did not arrive. Nothing was sent to an
// upstream.
func Body(tooLarge bool) *Refusal {
	if tooLarge {
		return denied(TooLarge, BodyTooLarge)
	}
	return denied(TimedOutReading, BodyNotRead)
}

// MalformedBody refuses a request whose body cannot be decoded. Repeating it is of no use.
func MalformedBody() *Refusal { return denied(Malformed, BodyNotRead) }
