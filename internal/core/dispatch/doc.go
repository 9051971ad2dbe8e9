// Package dispatch carries one request from its entry to an agent and back.
//
// A Request is a state machine without input or output. It offers the request
// to a few agents, claims the first that grants a slot, withdraws the other
// offers, and ends with exactly one Outcome. Only the entry that holds the
// request claims, and it claims one attempt at a time, so a request that may
// not be repeated runs at most once. Until a claim was sent "not run" is true.
// After it, a lost answer is "outcome unknown" unless the request may be
// repeated; then the rest of the answer is fetched elsewhere, once, within the
// retry budget.
//
// # Usage
//
//	r := dispatch.New(spec, options, seams)
//	for _, effect := range r.Start(now) {
//		carryOut(effect)
//	}
package dispatch
