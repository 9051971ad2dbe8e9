package dispatch

import (
	"time"

	"github.com/gladegauge/gladegauge/internal/core/agent"
	"github.com/gladegauge/gladegauge/internal/core/member"
)

// Effect is an action that the owner of a Request must execute: an Offer, Claim,
// Recount, Withdraw or Finish.
type Effect interface{ effect() }

// Offer opens an attempt at an agent.
type Offer struct {
	Attempt int
	Agent   member.Host
	Copies  int
}

// Claim starts the attempt at its agent. The response resumes at Offset, the
// length that the caller has received.
type Claim struct {
	Attempt int
	Offset  int
	// Incarnation is the agent incarnation that granted the slot.
	Incarnation string
}

// Recount tells an agent with an open offer how many agents now hold an offer of
// the request.
type Recount struct {
	Attempt int
	Copies  int
}

// Withdraw cancels the attempt. Later events of the attempt are ignored.
type Withdraw struct {
	Attempt int
}

// Finish reports the outcome of the request.
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
	// Completed means that the caller received the whole response.
	Completed Result = iota + 1
	// NotRun means that the request did not run and will not run later.
	NotRun
	// Unknown means that the request may have run, so a retry may run it twice.
	Unknown
	// Incomplete means that the caller of a repeatable request may have received
	// only part of the response.
	Incomplete
	// AlreadyRun means that an earlier attempt or a request with the same
	// idempotency key has run.
	AlreadyRun
	// Abandoned means that the caller disconnected.
	Abandoned
)

// String returns the name of the result used in metrics and responses.
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

// Outcome is the final result of a request.
type Outcome struct {
	Result Result
	// Reason is the reason for NotRun, or 0 if no agent was available.
	Reason     agent.Reason
	RetryAfter time.Duration
}
