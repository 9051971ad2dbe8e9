// Package soak runs the real gateways as separate processes on loopback under injected
// faults, and checks invariants against what callers and replicas observed.
//
// The store and the replicas are test doubles in the soak's own process. Each gateway
// reaches the store, and all gateways reach each replica, through a proxy that delays or
// drops data, drops one direction only, or resets connections. Gateways are paused,
// killed, shut down and reloaded by signals. The store is restored from backups.
// Meanwhile configurations, key revocations and replacements of replicas are published.
// Replicas of two software versions serve side by side while rollouts go forward and back,
// and callers resume streams that broke off. Other callers send long bodies, some of which
// replicas answer before they have read them, and some of which are not sent to their end.
// A seed determines the sequence of faults, which overlap. It does not determine the timing
// of the processes, so a violation may take more than one run of its seed to reproduce.
//
// # Usage
//
//	make soak SEEDS=50          # fresh seeds
//	go test ./internal/soak     # the short run of CI, with all kept seeds
//
// Each seed that ever violated an invariant is kept in testdata/seeds.txt, with the
// cause.
package soak
