package fleet

import (
	"maps"
	"slices"
	"time"

	"github.com/gladegauge/gladegauge/internal/core/rendezvous"
)

// The load that this answers: more comes than fits, and hundreds of gateways choose by
// words on the engines. A relay that sums up for a whole zone can take so many words a
// second, so that each gateway tells the less often, the more there are: with words half
// a second old half of what would be in time is late.
//
// So a large zone is divided into cells. Each has a relay of its own, which sums up for
// it, tells the relay of the zone, and passes its answer on. What a relay has to do, and
// how often a gateway tells, does not depend on the size of the zone.

// CellMost is the number of gateways for which one relay sums up, about: with more of them
// in an availability zone, it is divided.
const CellMost = 32

// Duty is what a gateway does for the picture of the upstreams.
type Duty struct {
	// To is the gateway that it tells; empty if it is the relay of its availability zone.
	To string
	// Sums is true if it sums up what others tell.
	Sums bool
}

// Duty returns what this gateway does.
func (f *Fleet) Duty(now time.Time) Duty {
	ranked := f.relayOrder(now, f.self.Zone)
	relays := ranked[:cells(len(ranked))]
	switch slices.Index(relays, f.self.Address) {
	case 0:
		return Duty{Sums: true}
	case -1:
		return Duty{To: rendezvous.Rank(f.self.Address, relays)[0]}
	default:
		return Duty{To: relays[0], Sums: true}
	}
}

// IsCellRelay reports whether the gateway at the address sums up for a cell of this one's
// availability zone, as far as is known here: nobody else may speak for several.
func (f *Fleet) IsCellRelay(now time.Time, address string) bool {
	ranked := f.relayOrder(now, f.self.Zone)
	return slices.Contains(ranked[:cells(len(ranked))], address)
}

// CellSize is the number of gateways that tell the same relay, about.
func (f *Fleet) CellSize(now time.Time) int {
	n := f.ZoneSize(now)
	return (n + cells(n) - 1) / cells(n)
}

// cells is the number of cells of an availability zone of n gateways.
func cells(n int) int { return max(1, (n+CellMost-1)/CellMost) }

// Relay returns the gateway that sums up the loads of the availability zone, and
// whether it is this one. It is another one than the first to follow, if there is
// a choice, so that the work is spread.
func (f *Fleet) Relay(now time.Time) (address string, self bool) {
	address = f.relayOf(now, f.self.Zone)
	return address, address == f.self.Address
}

// ZoneRelay is the relay of an availability zone.
type ZoneRelay struct {
	Zone    string
	Address string
}

// Relays returns the relays of the other availability zones.
func (f *Fleet) Relays(now time.Time) []ZoneRelay {
	zones := make(map[string]bool)
	for h := range f.living(now) {
		if h.Zone != f.self.Zone {
			zones[h.Zone] = true
		}
	}
	var list []ZoneRelay
	for _, zone := range slices.Sorted(maps.Keys(zones)) {
		if address := f.relayOf(now, zone); address != "" {
			list = append(list, ZoneRelay{Zone: zone, Address: address})
		}
	}
	return list
}

// RelayDown notes that a relay did not answer: another one takes its place for a
// while. It says nothing about other calls, for which there is more time.
func (f *Fleet) RelayDown(now time.Time, address string) {
	if h, ok := f.others[address]; ok {
		h.relayDownUntil = now.Add(h.failed())
	}
}

// relayOf returns the relay of the availability zone; empty if nobody there is known.
func (f *Fleet) relayOf(now time.Time, zone string) string {
	if ranked := f.relayOrder(now, zone); len(ranked) > 0 {
		return ranked[0]
	}
	return ""
}

// relayOrder returns the gateways of the availability zone in the order in which they are
// relays.
func (f *Fleet) relayOrder(now time.Time, zone string) []string {
	members := slices.DeleteFunc(f.askable(now, zone), func(address string) bool {
		return now.Before(f.others[address].relayDownUntil)
	})
	if zone == f.self.Zone {
		members = append(members, f.self.Address)
	}
	return f.ranked("relay/"+zone, members)
}
