// Package balance picks the upstream that a gateway sends a request to.
//
// A gateway has no agent to ask. It knows exactly what it sent itself, it
// learns from answers what others sent, and it keeps a picture of what each
// model engine has in its KV cache. A pick compares the expected cost of each
// upstream in milliseconds: the wait for work that is already there, the
// prompt that must be read anew, and the harm that reading does to streams
// that run beside it.
//
// Shared prompts have a home: the first upstream in rendezvous order of the
// deepest shared part. All gateways that know the same upstreams agree on it
// without a word, and leave it for the next in order when it is overloaded.
// Gateways tell each other what they have at the engines and what these keep
// (package occupancy). That picture is some hundred milliseconds old, so that
// many gateways would all choose the engine that looks best in it: a choice
// compares a few drawn at random (draw.go). Long prompts keep away from engines
// where streams with tight pauses run, such streams from engines that read, and
// everything from engines that are nearly full; such streams settle on as few
// engines as they need (settle.go).
//
// The least urgent requests of a pool are turned away, and told when to come
// back, while the pool has more to read than it can (package overload).
//
// Nothing goes to the upstreams of an evacuated availability zone, and to cold ones
// only paced requests of the few gateways that hold them (cold.go, package warmup).
//
// Engines that can, copy the beginning of a prompt from the engine that is
// believed to keep the most of it, and keep a copy of a run that may not be
// repeated on another engine, from which it goes on if its own breaks.
//
// Upstreams that fail more often than the rest of their pool are ejected for
// a time. Ejection never covers more than half of a pool. Upstreams that are
// gone are left alone, also by the word of other gateways (gone.go).
//
// # Usage
//
//	t := balance.New(zone)
//	t.SetInstances(now, instances)
//	c, ok := t.Pick(now, balance.Request{Pool: "judge", Prompt: prompt})
//	if c.ComeBack > 0 {
//		refuse(c.ComeBack)
//	}
//	// c.FetchFrom and c.Backup name the engines of its copies
//	t.Began(now, c) // the head of its answer or its first event came
//	t.Ended(now, c, balance.Completed, tokens)
package balance
