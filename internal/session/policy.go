package session

import (
	"github.com/gladegauge/gladegauge/internal/core/agent"
	"github.com/gladegauge/gladegauge/internal/core/dispatch"
	"github.com/gladegauge/gladegauge/internal/core/entry"
	"github.com/gladegauge/gladegauge/internal/core/queue"
	"github.com/gladegauge/gladegauge/internal/core/route"
)

// Policy is a named set of core options. The same scenarios run under several policies to
// compare them.
type Policy struct {
	Name  string
	Agent agent.Options
	Entry entry.Options
}

// Current is the policy of the product: all options have their defaults.
var Current = Policy{Name: "current"}

// FIFORandom is the baseline: each request is offered to a random agent, which serves
// requests first come, first served.
var FIFORandom = Policy{
	Name:  "fifo-random",
	Agent: agent.Options{Queue: queue.Policy{FIFO: true}, NoRefusal: true, NoPreemption: true},
	Entry: entry.Options{
		Route:    route.Options{Random: true, NoPrefix: true, NoEjection: true},
		Dispatch: dispatch.Options{ConcurrentOffers: 1, MaxOffers: 2, NoResume: true},
		NoGates:  true,
	},
}

// OneAgent is the policy of the product without late binding: each request is offered only
// to the best of the sampled agents.
var OneAgent = Policy{
	Name:  "one-agent",
	Entry: entry.Options{Dispatch: dispatch.Options{ConcurrentOffers: 1}},
}

// ThreeAgents is the policy of the product, but offers each request to three agents
// instead of two.
var ThreeAgents = Policy{
	Name:  "three-agents",
	Entry: entry.Options{Dispatch: dispatch.Options{ConcurrentOffers: 3}},
}

// Policies returns the policies that the measure command compares.
func Policies() []Policy {
	return []Policy{Current, FIFORandom, OneAgent, ThreeAgents}
}
