package dispatch

import (
	"time"

	"github.com/gladegauge/gladegauge/internal/core/agent"
	"github.com/gladegauge/gladegauge/internal/core/member"
)

// Effect is something that the owner of a Request carries out. It is one of
// Offer, Claim, Recount, Withdraw and Finish.
type Effect interface{ effect() }

// Offer opens an attempt at an agent.
type Offer struct {
	Attempt int
	Agent   member.Host
	Copies  int
}

// Claim starts the attempt at its agent, from the offset that the caller has.
type Claim struct {
	Attempt int
	Offset  int
	// Incarnation is the one that granted the slot.
	Incarnation string
}

// Recount tells the agent of an open offer how many agents hold one now.
type Recount struct {
	Attempt int
	Copies  int
}

// Withdraw ends the attempt; its later events no longer matter.
type Withdraw struct {
	Attempt int
}

// Finish ends the request.
type Finish struct {
	Outcome Outcome
}

func (Offer) effect()    {}
func (Claim) effect()    {}
func (Recount) effect()  {}
func (Withdraw) effect() {}
func (Finish) effect()   {}

// Result is how a request ended.
type Result int

// Results of a request.
const (
	// Completed means that the caller has the whole answer.
	Completed Result = iota + 1
	// NotRun means that the request did not run and never will.
	NotRun
	// Unknown means that the request may have run, and must not be repeated
	// blindly.
	Unknown
	// Incomplete means that a repeatable request has only part of its answer.
	Incomplete
	// AlreadyRun means that the idempotency key was used before.
	AlreadyRun
	// Abandoned means that the caller left.
	Abandoned
)

// String returns the result as metrics and answers show it.
func (r Result) String() string {
	names := [...]string{
		"none", "completed", "not_run", "outcome_unknown", "incomplete",
		"already_run", "abandoned",
	}
	if r < 0 || int(r) >= len(names) {
		return "none"
	}
	return names[r]
}

// Outcome is the end of a request.
type Outcome struct {
	Result Result
	// Reason says why the request was not run; 0 if no agent was left.
	Reason     agent.Reason
	RetryAfter time.Duration
}
