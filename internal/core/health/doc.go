// Package health tracks the health of one incarnation of an upstream, as seen by this
// gateway and reported by others, and decides whether other upstreams are preferred.
//
// Health is inferred from the outcome of requests: responses, failures, refusals, and
// prompts that hang. Each gateway evaluates its own requests and publishes the latest
// outcome as one vote. If most votes are against an upstream, all gateways demote it for a
// limited time, after which a few of them send trial requests. All state expires by itself.
// Status that an upstream reports about itself is handled in package notice and takes
// precedence over this package.
//
// # Usage
//
//	s = s.WithResponseStart(now)
//	s, d := s.WithRefusal(now, full)
//	s, verdict, ok := s.WithVotes(now, others)
//	if s.ExcludedFor(now) > 0 || s.Demoted(now) {
//		// prefer other upstreams
//	}
package health
