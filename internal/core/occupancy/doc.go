// Package occupancy holds what all gateways have at each upstream.
//
// A gateway knows exactly what it sent itself, which is a small part of what is
// at an upstream. Gateways therefore tell each other sums: each one tells the
// relay of its availability zone what it has, and gets the sum of all others
// back; the relays tell each other the sums of their zones. A large zone is divided
// into cells, each with a relay between its gateways and that of the zone, which is to
// its cell what the other is to the zone.
//
// A word counts for a short time only, so that a gateway that was cut off acts on what
// it sees itself. Nothing here is needed to keep a promise.
//
// # Usage
//
//	b := occupancy.New()
//	b.Own(loads)
//	if relay {
//		b.TakeMember(now, address, theirs)
//		answer := b.For(now, address)
//	} else {
//		b.TakeAll(now, answerOfTheRelay)
//	}
//	others := b.Others(now)
package occupancy
