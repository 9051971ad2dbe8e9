// Package gateway decides how requests are handled by a host that calls the upstreams
// itself, without agents next to them.
//
// Admit checks a request against the configuration and its age. Next decides after a failed
// attempt whether another one may follow. Both are pure functions: the same inputs give the
// same outcome, and each outcome carries the reason that is logged.
//
// A refusal with NotRun promises that the request has not run and will not run. It is
// returned only if no attempt can have run.
//
// # Usage
//
//	a, refusal := gateway.Admit(now, view, call, bounds)
//	…
//	switch step := gateway.Next(now, a, progress, failure, spend); step.Do {
//	case gateway.Retry: // pick another upstream
//	case gateway.Relay: // pass the upstream's own error on
//	case gateway.Refuse: // answer with step.Refusal
//	}
package gateway
