package demand

import "time"

// sumInterval is how long a relay reuses the sum over all other gateways: decisions on
// requests depend on it, and it changes with reports that are sent every Interval.
const sumInterval = 100 * time.Millisecond

// Tracker holds the demand at one gateway and the summaries that it has received. It is
// not safe for concurrent use.
type Tracker struct {
	// arrived counts the calls at this gateway, own holds the rest of its summary.
	arrived map[string]decayingSum
	own     Summary
	// members holds the reports of the gateways and cells of the own availability zone,
	// peers those of the members and of other zones.
	members reportSet
	peers   reportSet
	// fromRelay is the relay's latest sum over all other gateways.
	fromRelay received
	relay     bool
	gateways  int
	// others is the sum over all other gateways as of othersAt, at a relay.
	others   Report
	othersAt time.Time
}

// New returns a tracker of a single gateway.
func New() *Tracker {
	return &Tracker{
		arrived:  make(map[string]decayingSum),
		own:      make(Summary),
		members:  make(reportSet),
		peers:    make(reportSet),
		gateways: 1,
	}
}

// SetFleet sets the number of gateways including this one, and whether this one is the
// relay of its availability zone or of a cell.
func (t *Tracker) SetFleet(gateways int, relay bool) {
	t.gateways, t.relay = max(gateways, 1), relay
}

// Forget drops all received reports. It is called when this gateway's place in the tree of
// relays changes: the reports of the old place and of the new one overlap.
func (t *Tracker) Forget() {
	clear(t.members)
	clear(t.peers)
	t.fromRelay = received{}
	t.others, t.othersAt = Report{}, time.Time{}
}

// SetPools drops the demand for all pools that are not listed.
func (t *Tracker) SetPools(names []string) {
	listed := make(map[string]bool, len(names))
	for _, name := range names {
		listed[name] = true
	}
	for name := range t.arrived {
		if !listed[name] {
			delete(t.arrived, name)
		}
	}
	for name := range t.own {
		if !listed[name] {
			delete(t.own, name)
		}
	}
}

// Arrived records a call at this gateway.
func (t *Tracker) Arrived(now time.Time, pool string) {
	t.arrived[pool] = t.arrived[pool].with(now, 1, arrivalsHalfLife)
}

// SetWaiting sets the number of calls that wait at this gateway.
func (t *Tracker) SetWaiting(pool string, waiting int) {
	d := t.own[pool]
	d.Waiting = waiting
	t.own[pool] = d
}

// SetUse sets whether this gateway finds the pool contended, and the use by organisations
// here.
func (t *Tracker) SetUse(pool string, contended bool, users []User) {
	d := t.own[pool]
	d.Contended, d.Users = contended, users
	t.own[pool] = d
}

// RecordMember records the demand at a gateway of the availability zone, or at those of a
// cell.
func (t *Tracker) RecordMember(now time.Time, address string, r Report) {
	t.members.record(now, address, r)
	t.peers.record(now, address, r)
}

// RecordZone records the demand at the gateways of another availability zone. A cell's
// relay also uses it, with a name that no zone has, for what it gets from the relay of its
// own zone.
func (t *Tracker) RecordZone(now time.Time, zone string, r Report) {
	t.peers.record(now, zoneKey(zone), r)
}

// RecordOthers records the relay's sum over all other gateways.
func (t *Tracker) RecordOthers(now time.Time, r Report) { t.fromRelay = t.fromRelay.updated(now, r) }

// Own returns the demand at this gateway.
func (t *Tracker) Own(now time.Time) Report { return t.withOwn(now, make(sum), 0) }

// For returns the demand at all gateways except the given one of the availability zone.
// This is a relay's answer to that gateway.
func (t *Tracker) For(now time.Time, address string) Report {
	total := make(sum)
	return t.withOwn(now, total, t.peers.addTo(total, now, address))
}

// Zone returns the demand at all gateways of the availability zone.
func (t *Tracker) Zone(now time.Time) Report {
	total := make(sum)
	return t.withOwn(now, total, t.members.addTo(total, now, ""))
}

// Others returns the demand at all other gateways as far as it is known, and false if
// nothing is known. The sum of a relay is up to sumInterval old.
func (t *Tracker) Others(now time.Time) (Report, bool) {
	if !t.relay {
		return t.fromRelay.Report, t.fromRelay.fresh(now)
	}
	if t.othersAt.IsZero() || now.Sub(t.othersAt) >= sumInterval {
		total := make(sum)
		gateways := t.peers.addTo(total, now, "")
		t.others = Report{Pools: total.summary(), WithUsers: true, Gateways: gateways}
		t.othersAt = now
	}
	return t.others, t.others.Gateways > 0
}

// Age is the time since the latest report that Others depends on; negative without one.
func (t *Tracker) Age(now time.Time) time.Duration {
	latest := t.fromRelay.at
	if t.relay {
		latest = time.Time{}
		for _, r := range t.peers {
			if r.at.After(latest) {
				latest = r.at
			}
		}
	}
	if latest.IsZero() {
		return -1
	}
	return now.Sub(latest)
}

// Share returns this gateway's share of the fleet's demand for the pool, between 0 and 1.
// It is one divided by the number of gateways if there is no valid report, or no demand.
func (t *Tracker) Share(now time.Time, pool string) float64 {
	own := perSecond(t.arrived[pool], now)
	if all := t.level(now, pool); all >= minArrivals {
		return min(1, own/all)
	}
	return 1 / float64(t.gateways)
}

// level is the number of calls per second at all gateways. Those that no valid report
// covers are assumed to receive as much as the mean of the others: a relay that has just
// restarted answers with a part of the fleet, and an older gateway reports nothing.
func (t *Tracker) level(now time.Time, pool string) float64 {
	known, covered := perSecond(t.arrived[pool], now), 1
	if others, ok := t.Others(now); ok {
		known += others.Pools[pool].Arrivals
		covered += others.Gateways
	}
	missing := max(0, t.gateways-covered)
	return known * (1 + float64(missing)/float64(covered))
}

// OtherUsers returns what other gateways reported of the heavy users of the pool.
func (t *Tracker) OtherUsers(now time.Time, pool string) []User {
	others, ok := t.Others(now)
	if !ok {
		return nil
	}
	return others.Pools[pool].Users
}

// ContendedElsewhere reports whether another gateway found the pool contended.
func (t *Tracker) ContendedElsewhere(now time.Time, pool string) bool {
	others, ok := t.Others(now)
	return ok && others.Pools[pool].Contended
}

// withOwn returns the report of a sum of so many gateways together with this one.
func (t *Tracker) withOwn(now time.Time, total sum, gateways int) Report {
	total.add(t.own)
	for pool, count := range t.arrived {
		total.add(Summary{pool: {Arrivals: perSecond(count, now)}})
	}
	return Report{Pools: total.summary(), WithUsers: true, Gateways: gateways + 1}
}

// zoneKey keeps the names of availability zones apart from the addresses of gateways.
func zoneKey(zone string) string { return "zone/" + zone }
