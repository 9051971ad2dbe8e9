package agent

import "time"

// Effect is an action that the owner of an Agent must execute: a Grant, Refuse,
// Start, Stop or Fail.
type Effect interface{ effect() }

// Grant reserves a slot. The entry must claim it within TTL, with the incarnation
// that granted it.
type Grant struct {
	ID          string
	TTL         time.Duration
	Incarnation string
}

// Refuse reports that the attempt did not run at this agent and never will.
type Refuse struct {
	ID         string
	Reason     Reason
	RetryAfter time.Duration
}

// Start starts or resumes the attempt at the upstream. Produced is the number of
// tokens produced before a preemption.
type Start struct {
	ID       string
	Produced int
}

// Stop stops a running attempt at the upstream. The owner then calls Agent.Stopped.
type Stop struct {
	ID string
	// Preempted is true if the attempt returns to the queue.
	Preempted bool
}

// Fail reports that the attempt ran or may have run, and that this agent will not
// complete its response.
type Fail struct {
	ID string
	// AlreadyRun is true for a duplicate of an attempt that has run, or a reused
	// idempotency key.
	AlreadyRun bool
}

func (Grant) effect()  {}
func (Refuse) effect() {}
func (Start) effect()  {}
func (Stop) effect()   {}
func (Fail) effect()   {}

// Reason is the reason for refusing an attempt.
type Reason int

// Refusal reasons.
const (
	Overload Reason = iota + 1
	Expired
	Leaving
	WrongIncarnation
	Stale
	UnknownClass
	UnknownKey
	UpstreamDown
)

// String returns the name of the reason used in metrics and responses.
func (r Reason) String() string {
	names := [...]string{
		"none", "overload", "expired", "leaving", "wrong_incarnation",
		"stale", "unknown_class", "unknown_key", "upstream_down",
	}
	if r < 0 || int(r) >= len(names) {
		return "unknown"
	}
	return names[r]
}
