// Package soak runs the real gateways as separate processes on loopback, under
// faults that are injected from outside, and checks the promises by what callers
// and replicas saw.
//
// The store and the replicas are stand-ins in the soak's own process. Each
// gateway reaches the store, and all gateways reach each replica, through a proxy
// that delays, resets, cuts one way or falls silent; gateways are paused, killed,
// stopped and reloaded by signals; the store comes back from copies of itself;
// configurations, revocations and replacements
// of replicas are published meanwhile. A seed fixes the series of faults, which
// overlap. It does not fix the timing of the processes, so that a promise that
// breaks may need more than one play of its seed to break again.
//
// # Usage
//
//	make soak SEEDS=50          # fresh seeds
//	go test ./internal/soak     # the short run of CI, with all kept seeds
//
// A seed that ever broke a promise is kept in testdata/seeds.txt, with its cause.
package soak
