// Package agent implements admission control and scheduling for one upstream.
//
// All requests to an upstream pass through its agent, so the agent enforces the
// guarantees that need a single decision maker: protected classes are never shed or
// preempted for lower tiers, no class starves, an attempt that is reported as not
// run did not run, and an attempt starts at most once. The package performs no I/O:
// each method takes the current time and returns the effects that its owner must
// execute.
//
// An attempt is offered, granted a slot for a short time, claimed by its entry and
// only then started. An entry may offer a request to several agents and claims the
// slot of one of them.
//
// # Usage
//
//	a := agent.New(agent.Options{Incarnation: id, Slots: 8}, cfg)
//	for _, effect := range a.Offer(now, offer) {
//		execute(effect)
//	}
package agent
