// Package suspect detects requests, and parts of prompts, that crash upstreams, and keeps them
// from crashing more.
//
// An upstream that crashes takes all of its running requests with it, tens of them, of
// which one may be the cause. The cause may be the whole request, which comes again, or a part
// of its prompt, which comes in requests of which no two are alike. Both are recognised by
// fingerprints: that of a request covers what it asks for and for whom, whatever identity its
// caller gives it; that of a part covers the pool. The evidence against a fingerprint is a
// sequence of upstream incarnations that crashed while running a request with it, one after the
// other, each before the request had run for long.
//
// Two crashes quarantine a fingerprint: a request with it runs alone, where it affects the
// fewest other requests, and only once for each call. Three crashes block it; a part that was
// present at few of the crashes of its time takes five, and one that most requests have takes
// eight. One answer to its end clears all fingerprints of a request. Crashes that something
// else with more of them explains do not count. Two fingerprints that were always present
// together are told apart by requests that have only one of them.
//
// A block lasts for a day after the last crash. The gateway that reported that crash may run
// one more request in the meantime; no other gateway may.
//
// Gateways exchange observations (Observation). These may be late, lost, duplicated or
// reordered: each states what was seen, never how much it counts, and receivers keep only
// their union. What a single other gateway reported counts in full once this gateway has
// verified that the upstreams have ended, unless it got answers itself; until then it
// quarantines at most.
//
// # Usage
//
//	r := suspect.NewRegistry(self, epoch)
//	q := suspect.Request{Print: suspect.PrintOf(content), Parts: parts}
//	r.Arrived(q)
//	j := r.Admit(now, q)
//	switch j.Verdict {
//	case suspect.Blocked: // refuse, and tell the caller not to retry
//	case suspect.Occupied: // refuse, and let the caller retry soon
//	case suspect.Quarantined: // run it alone
//		defer r.Release(j)
//	}
//	r.RecordCrash(now, q, start, ran) // the incarnation crashed while running it
//	r.RecordSuccess(now, q, ran)      // it was answered to its end
//	r.Verify(since, ended)            // periodically
//	m := r.NextMessage(peer, false)   // message to another gateway
//	r.Receive(now, peer, m, 0)
package suspect
