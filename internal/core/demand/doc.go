// Package demand tracks how much is requested of each pool, by whom, and at which
// gateways.
//
// # Problem
//
// Each gateway receives a part of the calls for a pool. It cannot tell from its own part
// whether an organisation that sends many calls here sends as many elsewhere, or how large
// its own part is. So gateways exchange summaries: a gateway reports its own to the relay of
// its availability zone, and gets the sum of all others back. The tree is that of package
// occupancy.
//
// A summary lists the 8 heaviest users of a pool, and only while the pool is contended.
// Organisations beyond them are known by what this gateway sees itself. That
// underestimates them, which is in their favour (package fairness).
//
// A report is valid for a few intervals. Without valid reports a gateway assumes that all
// gateways receive as much as it does. Summaries are validated before they are recorded
// (Validate), and bounded by what their gateways can carry.
//
// # Usage
//
//	t := demand.New()
//	t.SetFleet(gateways, relay)
//	t.Arrived(now, "chat")
//	t.SetWaiting("chat", waiting)
//	t.SetUse("chat", contended, users)
//	if relay {
//		t.RecordMember(now, address, theirs)
//		answer := t.For(now, address)
//	} else {
//		t.RecordOthers(now, answerOfRelay)
//	}
//	share := t.Share(now, "chat")
//	users := t.OtherUsers(now, "chat")
package demand
