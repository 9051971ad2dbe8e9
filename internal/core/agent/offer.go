package agent

import "time"

// Offer asks the agent for a slot.
type Offer struct {
	// ID identifies the attempt; no two attempts share one.
	ID string
	// Incarnation is the agent's own, or empty for any.
	Incarnation  string
	Class        string
	Organisation string
	Weight       float64
	// Arrived is when the request reached its entry, by the agent's clock.
	Arrived time.Time
	// Copies is the number of agents that hold the request.
	Copies int
	// Key is the idempotency key, or empty.
	Key string
}

// End is how an attempt ended at the upstream.
type End int

// Ends of an attempt.
const (
	// Completed means that the whole answer was made.
	Completed End = iota + 1
	// Cut means that the upstream broke off or the caller left.
	Cut
	// NeverRan means that the upstream certainly did not take the request.
	NeverRan
)
