// Package agent decides for one upstream which requests run, wait or are
// refused.
//
// The agent is the only way into its upstream, so it keeps the promises that
// one process must keep alone: protected classes are never shed or preempted
// for lower tiers, no class starves, "not run" is true, and an attempt starts
// at most once. It has no input or output: each method takes the present time
// and returns the effects that its owner carries out.
//
// An attempt is offered, granted a slot for a short time, claimed by its entry
// and only then started. An offer may stand at several agents; the entry claims
// one of them.
//
// # Usage
//
//	a := agent.New(agent.Options{Incarnation: id, Slots: 8}, cfg)
//	for _, effect := range a.Offer(now, offer) {
//		carryOut(effect)
//	}
package agent
