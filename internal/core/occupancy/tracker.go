package occupancy

import "time"

// report holds the loads that a gateway, cell, zone or relay last sent, and when they
// arrived.
type report struct {
	loads Loads
	at    time.Time
}

// Tracker holds the load reports that one gateway has received. It is not safe for
// concurrent use.
type Tracker struct {
	own Loads
	// members holds the reports of the gateways and cells of the own availability zone,
	// peers those of the members and of other zones.
	members *reportSet
	peers   *reportSet
	// fromRelay is the relay's latest sum over all other gateways.
	fromRelay report
	// ttl is how long a report stays valid, meanAge how old reports are on arrival
	// on average.
	ttl     time.Duration
	meanAge time.Duration
}

// New returns a tracker without reports.
func New() *Tracker {
	t := &Tracker{members: newReportSet(), peers: newReportSet()}
	t.SetIntervals(IntervalsFor(1, 1, false))
	return t
}

// SetIntervals sets the intervals at which gateways report: the longer they are, the
// longer a report stays valid.
func (t *Tracker) SetIntervals(p Intervals) {
	t.ttl = p.ttl()
	t.meanAge = p.Age()
}

// TTL is how long a report stays valid.
func (t *Tracker) TTL() time.Duration { return t.ttl }

// Age is the mean age of other gateways' reports on arrival.
func (t *Tracker) Age() time.Duration { return t.meanAge }

// fresh reports whether the report is still valid.
func (t *Tracker) fresh(now time.Time, r report) bool {
	return !r.at.IsZero() && now.Sub(r.at) <= t.ttl
}

// SetOwn sets the load of the gateway itself.
func (t *Tracker) SetOwn(l Loads) { t.own = l }

// RecordMember records the load of another gateway of the availability zone. Its report
// counts as a single vote on an upstream's health, whatever numbers it contains.
func (t *Tracker) RecordMember(now time.Time, address string, l Loads) {
	t.RecordCell(now, address, l, 1)
}

// RecordCell records the summed load of several gateways of the availability zone. The
// report counts as at most that many votes on an upstream's health.
func (t *Tracker) RecordCell(now time.Time, address string, l Loads, gateways int) {
	l = l.capVotes(gateways)
	t.members.record(now, address, l)
	t.peers.record(now, address, l)
}

// RecordZone records the load of the gateways of another availability zone. A cell's
// relay also uses it, with a name that no zone has, for what it gets from the relay of
// its own zone.
func (t *Tracker) RecordZone(now time.Time, zone string, l Loads) {
	t.peers.record(now, zoneKey(zone), l)
}

// exchangedShare is the part of the reporting interval within which a report from another
// availability zone shows that the two relays have just exchanged reports.
const exchangedShare = 0.75

// RecentlyExchanged reports whether the relay of the other availability zone has just
// exchanged reports with this one. A call carries the reports of both sides, and traffic
// between zones is expensive, so a second call is unnecessary.
func (t *Tracker) RecentlyExchanged(now time.Time, zone string, every time.Duration) bool {
	r, ok := t.peers.by[zoneKey(zone)]
	return ok && now.Sub(r.at) < time.Duration(exchangedShare*float64(every))
}

// RecordOthers records the relay's sum over all other gateways.
func (t *Tracker) RecordOthers(now time.Time, l Loads) { t.fromRelay = report{loads: l, at: now} }

// For returns the load of all gateways except the given one of the availability zone.
// This is a relay's answer to that gateway.
func (t *Tracker) For(now time.Time, address string) Loads {
	sum := t.peerSum(now, address)
	sum.add(t.own)
	return sum
}

// Zone returns the load of all gateways of the availability zone.
func (t *Tracker) Zone(now time.Time) Loads {
	t.expire(now)
	sum := t.members.sumExcept("")
	sum.add(t.own)
	return sum
}

// Others returns the load of all other gateways as far as it is known, and false if
// nothing is known. A relay sums up the reports of its members and of other relays; any
// other gateway uses the sum that its relay sent.
func (t *Tracker) Others(now time.Time, relay bool) (Loads, bool) {
	if !relay {
		return t.fromRelay.loads, t.fresh(now, t.fromRelay)
	}
	sum := t.peerSum(now, "")
	return sum, len(t.peers.by) > 0
}

// peerSum returns the load that other gateways reported, except the given one of the
// availability zone.
func (t *Tracker) peerSum(now time.Time, except string) Loads {
	t.expire(now)
	return t.peers.sumExcept(except)
}

// expire drops the reports that are no longer valid.
func (t *Tracker) expire(now time.Time) {
	t.members.expire(now, t.ttl)
	t.peers.expire(now, t.ttl)
}

// zoneKey keeps the names of availability zones apart from the addresses of gateways.
func zoneKey(zone string) string { return "zone/" + zone }
