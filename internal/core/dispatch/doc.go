// Package dispatch implements the life cycle of one request at an entry.
//
// A Request is a state machine that performs no I/O. It offers the request to
// several agents, claims the first one that grants a slot, withdraws the other
// offers, and produces exactly one Outcome. Only the entry that received the
// request sends claims, and it claims one attempt at a time, so a
// non-repeatable request runs at most once. Until the first claim is sent, the
// request has certainly not run. After a claim, a lost response means "outcome
// unknown" unless the request is repeatable; a repeatable request is resumed on
// another agent, once by default, within the retry budget.
//
// # Usage
//
//	r := dispatch.New(spec, options, callbacks)
//	for _, effect := range r.Start(now) {
//		execute(effect)
//	}
package dispatch
