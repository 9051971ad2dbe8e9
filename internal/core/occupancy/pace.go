package occupancy

import "time"

// Times of telling.
const (
	// Every is how often a gateway tells what it has. Prompts take about as long to
	// be read.
	Every = 100 * time.Millisecond
	// MembersMost is the number of gateways with one relay that tell that often; more of
	// them tell less often, so that the relay's work is bounded.
	MembersMost = 16
	// keepWords is how many times as long as a gateway takes to tell anew its word
	// counts: a few may be lost.
	keepWords = 7
)

// EveryOf is how often each of n gateways with one relay tells.
func EveryOf(n int) time.Duration {
	return Every * time.Duration(1+max(0, n-1)/MembersMost)
}

// Pace is how often gateways tell each other what they have.
type Pace struct {
	// Members is how often a gateway tells its relay, and Zones how often the relays of
	// availability zones tell each other.
	Members time.Duration
	Zones   time.Duration
	// Cells is how often the relay of a cell tells that of its zone; 0 if the zone is not
	// divided.
	Cells time.Duration
	// calm is Zones while the upstreams are not busy: some may find them so later.
	calm time.Duration
}

// PaceOf is the pace of an availability zone whose gateways tell in cells of a size. Bytes
// between zones are dear: their relays tell each other often only while the upstreams are
// busy, as it is then that the age of the picture decides.
func PaceOf(zone, cell int, busy bool) Pace {
	p := Pace{Members: EveryOf(cell), Zones: EveryOf(zone), calm: EveryOf(zone)}
	if cell >= zone {
		return p
	}
	p.Cells = Every
	if busy {
		p.Zones = Every
	}
	return p
}

// keep is how long a word counts.
func (p Pace) keep() time.Duration { return keepWords * max(p.Members, p.calm) }

// Age is how old words are when they come, in the mean: half of the time between two of
// them at each step of the way, from a gateway up to the relay of its zone, to another
// zone, and down again.
func (p Pace) Age() time.Duration {
	if p.Cells == 0 {
		return p.Members/2 + p.Zones/2
	}
	return p.Members + p.Cells + p.Zones/2
}
