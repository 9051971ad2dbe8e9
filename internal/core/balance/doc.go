// Package balance picks the upstream that a gateway sends a request to.
//
// A gateway has no agent to ask. It knows exactly which requests it sent itself, learns
// from answers what other gateways sent, and keeps a model of the contents of each
// engine's KV cache. A pick compares the expected cost of each upstream in milliseconds:
// the wait for work that is already queued there, the prompt tokens that must be
// prefilled, and the delay that this prefill causes to streams that run beside it.
//
// Each shared prompt has a home: the first upstream in the rendezvous order of the
// deepest shared part. All gateways that know the same upstreams agree on the home
// without communication, and fall back to the next upstream in the order when it is
// overloaded. Gateways exchange their loads at the engines and the contents of the
// engines' caches (package occupancy). This data is some hundred milliseconds old, so
// many gateways that compared all engines would all choose the same one: a pick therefore
// compares a few engines sampled at random (sample.go). Long prompts avoid engines that
// run streams with a tight gap target, such streams avoid engines that are busy with
// prefill, and all requests avoid engines that are nearly full. Streams with a tight gap
// target are packed onto as few engines as they need (reserve.go).
//
// While a pool has more prompt tokens queued than it can read in time, its least urgent
// requests are shed with a retry delay (package overload).
//
// Upstreams of an evacuated availability zone get no requests. Cold upstreams get only
// paced requests from the few gateways that hold them (cold.go, package warmup).
//
// Engines that support it copy the beginning of a prompt from the engine that is expected
// to have the most of it cached. They also keep a copy of a request that may not be
// repeated on a second engine, which continues the request if the first one fails.
//
// Upstreams that fail more often than the rest of their pool are ejected for a time.
// Ejection never covers more than half of a pool. Upstreams that are gone are skipped,
// also when other gateways have found this out (gone.go).
//
// # Usage
//
//	t := balance.New(zone)
//	t.SetInstances(now, instances)
//	c, ok := t.Pick(now, balance.Request{Pool: "judge", Prompt: prompt})
//	if c.RetryAfter > 0 {
//		refuse(c.RetryAfter)
//	}
//	// c.FetchFrom and c.Backup name the engines that its KV cache is copied from and to
//	t.ResponseStarted(now, c) // the response head or the first event arrived
//	t.Ended(now, c, balance.Completed, balance.Answer{Tokens: tokens})
package balance
