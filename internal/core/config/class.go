package config

import "time"

// Tiers is the number of priority tiers; tier 1 is the highest.
const Tiers = 5

// Class is a category of requests with one latency target and one priority tier.
type Class struct {
	Name string
	// Tier is 1 (highest) to Tiers (lowest).
	Tier       int
	Protected  bool
	Repeatable bool
	// FirstToken is the target for the first token; 0 means none.
	FirstToken time.Duration
	// Completion is the target for the whole answer; 0 means none.
	Completion time.Duration
	// Useful is the time after which the answer has no value any more.
	Useful time.Duration
	// FloorShare is the minimum share of an upstream's capacity that the class gets while
	// it has waiting requests, from 0 to MaxFloorShare.
	FloorShare     float64
	ExpectedTokens int
	// Objective is the fraction of requests that should meet the target.
	Objective float64

	organisations map[string]bool
}

// Allows reports whether the organisation may use the class.
func (c *Class) Allows(organisation string) bool {
	return len(c.organisations) == 0 || c.organisations[organisation]
}

// StartTarget returns the time by which processing of a request should have started.
func (c *Class) StartTarget() time.Duration {
	if c.FirstToken > 0 {
		return c.FirstToken
	}
	return c.Completion
}

// MeetsTargets reports whether an answer with these times meets the targets.
func (c *Class) MeetsTargets(firstToken, completion time.Duration) bool {
	if c.FirstToken > 0 && firstToken > c.FirstToken {
		return false
	}
	return c.Completion == 0 || completion <= c.Completion
}
