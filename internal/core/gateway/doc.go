// Package gateway decides what becomes of a request at a host that calls the
// upstreams itself, without agents beside them.
//
// Admit holds a request against the configuration and the proof of its age.
// Next decides, after an attempt failed, whether another one may follow. Both
// are pure functions: the same inputs give the same outcome, and each outcome
// carries the reason that goes into the logs.
//
// A refusal with NotRun promises that the request has not run and will not
// run. It is given only if every attempt was provably not run.
//
// # Usage
//
//	a, refusal := gateway.Admit(now, view, call, bounds)
//	…
//	switch step := gateway.Next(now, a, progress, failure, spend); step.Do {
//	case gateway.Again: // pick another upstream
//	case gateway.Relay: // pass the upstream's own error on
//	case gateway.Refuse: // answer with step.Refusal
//	}
package gateway
