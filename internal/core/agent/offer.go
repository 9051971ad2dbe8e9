package agent

import "time"

// Offer asks the agent for a slot.
type Offer struct {
	// ID is the unique ID of the attempt.
	ID string
	// Incarnation is the required incarnation of the agent, or empty for any.
	Incarnation  string
	Class        string
	Organisation string
	Weight       float64
	// Arrived is the time at which the request reached its entry, by the agent's
	// clock.
	Arrived time.Time
	// Copies is the number of agents that hold the request.
	Copies int
	// Key is the idempotency key, or empty.
	Key string
}

// End is the way in which a run ended at the upstream.
type End int

// Ends of a run.
const (
	// Completed means that the whole response was produced.
	Completed End = iota + 1
	// Interrupted means that the upstream closed the connection early or the caller
	// disconnected.
	Interrupted
	// NeverRan means that the upstream certainly did not accept the request.
	NeverRan
)
