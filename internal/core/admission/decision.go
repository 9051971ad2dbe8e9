package admission

import (
	"slices"
	"time"
)

// Outcome is what becomes of a call.
type Outcome int

// Outcomes of a call.
const (
	// Admitted means that the call may be sent now.
	Admitted Outcome = iota + 1
	// Queued means that the call waits.
	Queued
	// Rejected means that the call would not be answered within its target.
	Rejected
)

// String returns the name of the outcome used in logs and metrics.
func (o Outcome) String() string {
	names := [...]string{"", "admitted", "queued", "rejected"}
	if o < Admitted || int(o) >= len(names) {
		return "unknown"
	}
	return names[o]
}

// Rejection is a queued call that is rejected, and the time after which to retry.
type Rejection struct {
	Ticket     Ticket
	RetryAfter time.Duration
}

// Released are the calls that leave the queue.
type Released struct {
	Admitted []Ticket
	Rejected []Rejection
}

// Decision is what becomes of a call that arrives.
type Decision struct {
	Outcome Outcome
	// Ticket identifies the call if it is queued.
	Ticket Ticket
	// RetryAfter is the time after which to retry if it is rejected.
	RetryAfter time.Duration
	// Wait is the expected time until the call is sent; 0 if it is admitted.
	Wait time.Duration
	// Released are other calls that leave the queue.
	Released Released
}

// decisionFor separates the call with the ticket from the released ones.
func decisionFor(own Ticket, r Released) Decision {
	if i := slices.Index(r.Admitted, own); i >= 0 {
		r.Admitted = slices.Delete(r.Admitted, i, i+1)
		return Decision{Outcome: Admitted, Released: r}
	}
	if i := slices.IndexFunc(r.Rejected, func(j Rejection) bool { return j.Ticket == own }); i >= 0 {
		d := Decision{Outcome: Rejected, RetryAfter: r.Rejected[i].RetryAfter}
		r.Rejected = slices.Delete(r.Rejected, i, i+1)
		d.Released = r
		return d
	}
	return Decision{Outcome: Queued, Ticket: own, Released: r}
}
