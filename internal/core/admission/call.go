package admission

import (
	"cmp"
	"time"
)

// Call is a call that is to be sent to a plain service.
type Call struct {
	// Route is the name of its route.
	Route string
	// Urgency is its urgency class; 0 is the most urgent.
	Urgency int
	// Organisation is the hash of the name of the organisation that sent it.
	Organisation uint64
	// Target is the target time to the answer, counted from Arrived. A call that is sent
	// again keeps the time at which it arrived first.
	Target  time.Duration
	Arrived time.Time
	// Deadline is when the caller gives up.
	Deadline time.Time
	// Timeout is when the gateway gives up, by the route's timeout; zero for never.
	Timeout time.Time
}

// givenUpAt is when the first of the caller and the gateway gives up.
func (c Call) givenUpAt() time.Time {
	if c.Timeout.IsZero() || c.Deadline.Before(c.Timeout) {
		return c.Deadline
	}
	return c.Timeout
}

// Ticket identifies a queued call.
type Ticket uint64

// waiting is a queued call.
type waiting struct {
	Call
	ticket Ticket
	// above is true if the organisation is above its fair share.
	above bool
	// kind is whether it is a first or a repeated try.
	kind tryKind
	// reserved tries got a part of the capacity that is reserved for returning callers.
	reserved bool
}

// before is the order in which queued calls are sent.
func (w waiting) before(other waiting) int {
	return cmp.Or(
		cmp.Compare(w.Urgency, other.Urgency),
		compareBool(w.above, other.above),
		compareBool(!w.reserved, !other.reserved),
		cmp.Compare(w.kind, other.kind),
		w.Deadline.Compare(other.Deadline),
		cmp.Compare(w.ticket, other.ticket),
	)
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

const (
	// returningSpare is the number of tokens that returning callers without a reserved place
	// leave to first tries, which are still in time when they are answered.
	returningSpare = 1.5
	// earlySpare is the same for callers that retry at once. It leaves them only what a
	// gateway does not use, since they call one gateway after the other.
	earlySpare = burstCalls - 1
)

// spare is the number of tokens that the call leaves to others.
func (w waiting) spare() float64 {
	switch {
	case w.kind == earlyTry:
		return earlySpare
	case w.kind == returningTry && !w.reserved:
		return returningSpare
	default:
		return 0
	}
}
