// Package suspect finds the requests under which upstreams end, and keeps them
// from ending more.
//
// An upstream that ends takes all that it runs with it, tens of requests of which
// one may be guilty. A request is known again by its print: what it asks for and
// for whom, whatever identity its caller gives it. The evidence is that starts of
// upstreams ended under it, one after the other, each time before it had run for
// long. Two make it a suspect: it runs alone, where it harms fewest, and only once
// for each call. Three block it. One run from which an upstream came back clears
// it, and so does another request that was at all of these ends and at more.
//
// Gateways tell each other what they saw (Word). Words may be late, lost, doubled
// or in any order: they say what was seen, never how much it counts, and a union of
// them is all that is kept. One gateway alone can make others suspect a request but
// not block it.
//
// # Usage
//
//	r := suspect.NewRegister(self, epoch)
//	switch r.Enter(now, print) {
//	case suspect.Blocked: // refuse, and say that coming back is useless
//	case suspect.Occupied: // refuse for a moment
//	case suspect.Quarantined: // run it alone
//		defer r.Leave(print)
//	}
//	r.Ended(now, print, start, ran) // the start ended under it
//	r.Survived(now, print)          // it was answered, or ran for long
//	m := r.Tell(peer, false)        // to another gateway
//	r.Hear(now, peer, m, 0)
package suspect
