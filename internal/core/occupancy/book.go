package occupancy

import "time"

// report is the loads that a gateway, cell, zone or relay last sent, and when they
// arrived.
type report struct {
	loads Loads
	at    time.Time
}

// Book holds the load reports that one gateway has received. It is not safe for
// concurrent use.
type Book struct {
	own Loads
	// members are the reports of the gateways and cells of the own availability zone,
	// peers those of the members and of other zones.
	members *reportSet
	peers   *reportSet
	// fromRelay is the relay's latest sum over all other gateways.
	fromRelay report
	// retention is how long a report stays valid, meanAge how old reports are on arrival
	// on average.
	retention time.Duration
	meanAge   time.Duration
}

// New returns a book without reports.
func New() *Book {
	b := &Book{members: newReportSet(), peers: newReportSet()}
	b.SetIntervals(IntervalsFor(1, 1, false))
	return b
}

// SetIntervals sets the intervals at which gateways report: the longer they are, the
// longer a report stays valid.
func (b *Book) SetIntervals(p Intervals) {
	b.retention = p.retention()
	b.meanAge = p.Age()
}

// Keep is how long a report stays valid.
func (b *Book) Keep() time.Duration { return b.retention }

// Age is the mean age of other gateways' reports on arrival.
func (b *Book) Age() time.Duration { return b.meanAge }

// fresh reports whether the report is still valid.
func (b *Book) fresh(now time.Time, r report) bool {
	return !r.at.IsZero() && now.Sub(r.at) <= b.retention
}

// SetOwn sets the load of the gateway itself.
func (b *Book) SetOwn(l Loads) { b.own = l }

// RecordMember records the load of another gateway of the availability zone. Its report
// counts as a single vote on an upstream's health, whatever numbers it contains.
func (b *Book) RecordMember(now time.Time, address string, l Loads) {
	b.RecordCell(now, address, l, 1)
}

// RecordCell records the summed load of several gateways of the availability zone. The
// report counts as at most that many votes on an upstream's health.
func (b *Book) RecordCell(now time.Time, address string, l Loads, gateways int) {
	l = l.capVotes(gateways)
	b.members.record(now, address, l)
	b.peers.record(now, address, l)
}

// RecordZone records the load of the gateways of another availability zone. A cell's
// relay also uses it, with a name that no zone has, for what it gets from the relay of
// its own zone.
func (b *Book) RecordZone(now time.Time, zone string, l Loads) {
	b.peers.record(now, zoneKey(zone), l)
}

// exchangedShare is the part of the reporting interval within which a report from another
// availability zone shows that its relay has just called this one.
const exchangedShare = 0.75

// RecentlyExchanged reports whether the relay of the other availability zone has just
// exchanged reports with this one. A call carries the reports of both sides, and traffic
// between zones is expensive, so a second call is unnecessary.
func (b *Book) RecentlyExchanged(now time.Time, zone string, every time.Duration) bool {
	r, ok := b.peers.by[zoneKey(zone)]
	return ok && now.Sub(r.at) < time.Duration(exchangedShare*float64(every))
}

// RecordOthers records the relay's sum over all other gateways.
func (b *Book) RecordOthers(now time.Time, l Loads) { b.fromRelay = report{loads: l, at: now} }

// For returns the load of all gateways except the given one of the availability zone.
// This is a relay's answer to that gateway.
func (b *Book) For(now time.Time, address string) Loads {
	sum := b.peerSum(now, address)
	sum.add(b.own)
	return sum
}

// Zone returns the load of all gateways of the availability zone.
func (b *Book) Zone(now time.Time) Loads {
	b.expire(now)
	sum := b.members.sumExcept("")
	sum.add(b.own)
	return sum
}

// Others returns the load of all other gateways as far as it is known, and false if
// nothing is known. A relay sums up the reports of its members and of other relays; any
// other gateway uses the sum that its relay sent.
func (b *Book) Others(now time.Time, relay bool) (Loads, bool) {
	if !relay {
		return b.fromRelay.loads, b.fresh(now, b.fromRelay)
	}
	sum := b.peerSum(now, "")
	return sum, len(b.peers.by) > 0
}

// peerSum returns the load that other gateways reported, except the given one of the
// availability zone.
func (b *Book) peerSum(now time.Time, except string) Loads {
	b.expire(now)
	return b.peers.sumExcept(except)
}

// expire drops the reports that are no longer valid.
func (b *Book) expire(now time.Time) {
	b.members.expire(now, b.retention)
	b.peers.expire(now, b.retention)
}

// zoneKey keeps the names of availability zones apart from the addresses of gateways.
func zoneKey(zone string) string { return "zone/" + zone }
