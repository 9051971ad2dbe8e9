package occupancy

import "time"

// Intervals of load reports.
const (
	// BaseInterval is the interval at which a gateway of a small zone reports its load.
	// It is about as long as the prefill of a prompt takes.
	BaseInterval = 100 * time.Millisecond
	// MembersPerBaseInterval is the number of gateways per relay up to which they report
	// at that interval. With more of them the interval grows, so that the work of the
	// relay is bounded.
	MembersPerBaseInterval = 16
	// ttlIntervals is the number of reporting intervals for which a report stays
	// valid: a few reports may be lost.
	ttlIntervals = 7
)

// MemberInterval is the interval at which each of n gateways of one relay reports.
func MemberInterval(n int) time.Duration {
	return BaseInterval * time.Duration(1+max(0, n-1)/MembersPerBaseInterval)
}

// Intervals is the set of intervals at which gateways report their load to each other.
type Intervals struct {
	// Members is the interval at which a gateway reports to its relay, and Zones the one
	// at which the relays of availability zones exchange reports.
	Members time.Duration
	Zones   time.Duration
	// Cells is the interval at which the relay of a cell reports to that of its zone; 0
	// if the zone is not divided.
	Cells time.Duration
	// zonesIdle is Zones while the upstreams are not busy. Validity is based on it, as
	// some zones may notice later that they are busy.
	zonesIdle time.Duration
}

// IntervalsFor returns the intervals for an availability zone of so many gateways that is
// divided into cells of the given size. Traffic between zones is expensive: their relays
// exchange reports often only while the upstreams are busy, because only then does the
// age of the data matter.
func IntervalsFor(zone, cell int, busy bool) Intervals {
	p := Intervals{Members: MemberInterval(cell), Zones: MemberInterval(zone), zonesIdle: MemberInterval(zone)}
	if cell >= zone {
		return p
	}
	p.Cells = BaseInterval
	if busy {
		p.Zones = BaseInterval
	}
	return p
}

// ttl is how long a report stays valid.
func (p Intervals) ttl() time.Duration { return ttlIntervals * max(p.Members, p.zonesIdle) }

// Age is the mean age of reports on arrival: half an interval for each hop from a gateway
// up to the relay of its zone, on to another zone, and down again.
func (p Intervals) Age() time.Duration {
	if p.Cells == 0 {
		return p.Members/2 + p.Zones/2
	}
	return p.Members + p.Cells + p.Zones/2
}
