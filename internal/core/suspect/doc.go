// Package suspect detects requests that crash upstreams, and keeps them from crashing more.
//
// An upstream that crashes takes all of its running requests with it, tens of them, of
// which one may be the cause. A request is recognised by its fingerprint: what it asks for
// and for whom, whatever identity its caller gives it. The evidence against it is a
// sequence of upstream incarnations that crashed while running it, one after the other, each
// before the request had run for long. Two crashes quarantine the request: it runs alone,
// where it affects the fewest other requests, and only once for each call. Three crashes
// block it. One run that an upstream survives clears the request, and so does another
// request that was present at all of the same crashes and at more.
//
// Gateways exchange observations (Observation). These may be late, lost,
// duplicated or reordered: each states what was seen, never how much it counts, and
// receivers keep only their union. A single gateway can make others quarantine a request
// but not block it.
//
// # Usage
//
//	r := suspect.NewRegistry(self, epoch)
//	switch r.Admit(now, fingerprint) {
//	case suspect.Blocked: // refuse, and tell the caller not to retry
//	case suspect.Occupied: // refuse, and let the caller retry soon
//	case suspect.Quarantined: // run it alone
//		defer r.Release(fingerprint)
//	}
//	r.RecordCrash(now, fingerprint, start, ran) // the incarnation crashed while running it
//	r.RecordSuccess(now, fingerprint)           // it was answered, or ran for long enough
//	m := r.NextMessage(peer, false)             // message to another gateway
//	r.Receive(now, peer, m, 0)
package suspect
