package agent

import "time"

// Effect is something that the owner of an Agent carries out. It is one of
// Grant, Refuse, Start, Stop and Fail.
type Effect interface{ effect() }

// Grant reserves a slot; the entry must claim it within TTL, from the
// incarnation that granted it.
type Grant struct {
	ID          string
	TTL         time.Duration
	Incarnation string
}

// Refuse says that the attempt did not run here and never will.
type Refuse struct {
	ID         string
	Reason     Reason
	RetryAfter time.Duration
}

// Start begins or resumes the attempt at the upstream. Produced is the number
// of tokens that were made before a preemption.
type Start struct {
	ID       string
	Produced int
}

// Stop ends a running attempt at the upstream; Stopped follows.
type Stop struct {
	ID string
	// Preempted is true if the attempt goes back to the queue.
	Preempted bool
}

// Fail says that the attempt ran, or may have, and that its answer will not be
// completed here.
type Fail struct {
	ID string
	// AlreadyRun is true for a copy of an attempt that ran before.
	AlreadyRun bool
}

func (Grant) effect()  {}
func (Refuse) effect() {}
func (Start) effect()  {}
func (Stop) effect()   {}
func (Fail) effect()   {}

// Reason says why an attempt was not run.
type Reason int

// Reasons for a refusal.
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

// String returns the reason as metrics and answers show it.
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
