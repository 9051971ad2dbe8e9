package session

import (
	"github.com/gladegauge/gladegauge/internal/core/agent"
	"github.com/gladegauge/gladegauge/internal/core/dispatch"
	"github.com/gladegauge/gladegauge/internal/core/entry"
	"github.com/gladegauge/gladegauge/internal/core/queue"
	"github.com/gladegauge/gladegauge/internal/core/route"
)

// Policy is a named set of the options that differ between comparisons.
type Policy struct {
	Name  string
	Agent agent.Options
	Entry entry.Options
}

// Current is the product's own policy.
var Current = Policy{Name: "current"}

// FIFORandom is the baseline: a random agent, and first come, first served.
var FIFORandom = Policy{
	Name:  "fifo-random",
	Agent: agent.Options{Queue: queue.Policy{FIFO: true}, NoRefusal: true, NoPreemption: true},
	Entry: entry.Options{
		Route:    route.Options{Random: true, NoPrefix: true, NoEjection: true},
		Dispatch: dispatch.Options{ConcurrentOffers: 1, MaxOffers: 2, NoResume: true},
		NoGates:  true,
	},
}

// OneAgent is the product's policy but for late binding: each request is
// pushed to the best of the agents that were sampled.
var OneAgent = Policy{
	Name:  "one-agent",
	Entry: entry.Options{Dispatch: dispatch.Options{ConcurrentOffers: 1}},
}

// ThreeAgents offers each request to three agents instead of two.
var ThreeAgents = Policy{
	Name:  "three-agents",
	Entry: entry.Options{Dispatch: dispatch.Options{ConcurrentOffers: 3}},
}

// Policies returns the policies that the measure compares.
func Policies() []Policy {
	return []Policy{Current, FIFORandom, OneAgent, ThreeAgents}
}
