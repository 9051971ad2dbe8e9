// Package occupancy aggregates the load of all gateways at each upstream.
//
// A gateway knows exactly what it sent itself, but that is a small part of the load of an
// upstream. Gateways therefore exchange sums: each gateway reports its load to the relay
// of its availability zone and gets the sum of all other gateways back; the relays
// exchange the sums of their zones. A large zone is divided into cells. Each cell has a
// relay that stands between its gateways and the relay of the zone, and treats the zone's
// relay as that one treats another zone's.
//
// A report is valid for a short time only, so that a gateway that is cut off acts on what
// it observes itself. Correctness guarantees do not depend on this package.
//
// # Usage
//
//	t := occupancy.New()
//	t.SetOwn(loads)
//	if relay {
//		t.RecordMember(now, address, theirs)
//		answer := t.For(now, address)
//	} else {
//		t.RecordOthers(now, answerOfRelay)
//	}
//	others, ok := t.Others(now, relay)
package occupancy
