package fleet

import (
	"maps"
	"slices"
	"time"

	"github.com/gladegauge/gladegauge/internal/core/rendezvous"
)

// Load limit: under overload, hundreds of gateways balance by the load reports of the
// engines. A relay that aggregates for a whole zone can process a limited number of
// reports a second, so that the report interval of each gateway would have to grow with
// the zone: with reports half a second old, half of the requests that could have met
// their target miss it.
//
// A large zone is therefore divided into cells. Each cell has a relay of its own, which
// aggregates for it, reports to the relay of the zone, and passes on the answer. Neither
// the work of a relay nor the report interval of a gateway depends on the size of the
// zone.

// MaxCellSize is the approximate number of gateways for which one relay aggregates; an
// availability zone with more is divided into cells.
const MaxCellSize = 32

// AggregationRole is the role of a gateway in the aggregation of upstream loads.
type AggregationRole struct {
	// ReportTo is the gateway that it reports to; empty if it is the relay of its
	// availability zone.
	ReportTo string
	// Aggregates is true if it aggregates the reports of other gateways.
	Aggregates bool
}

// AggregationRole returns the role of this gateway.
func (f *Fleet) AggregationRole(now time.Time) AggregationRole {
	ranked := f.relayOrder(now, f.self.Zone)
	relays := ranked[:cells(len(ranked))]
	switch slices.Index(relays, f.self.Address) {
	case 0:
		return AggregationRole{Aggregates: true}
	case -1:
		return AggregationRole{ReportTo: rendezvous.Rank(f.self.Address, relays)[0]}
	default:
		return AggregationRole{ReportTo: relays[0], Aggregates: true}
	}
}

// IsCellRelay reports whether the gateway at the address aggregates for a cell of this
// gateway's availability zone, according to the local view. No other gateway may report
// for several.
func (f *Fleet) IsCellRelay(now time.Time, address string) bool {
	ranked := f.relayOrder(now, f.self.Zone)
	return slices.Contains(ranked[:cells(len(ranked))], address)
}

// CellSize returns the approximate number of gateways that report to the same relay.
func (f *Fleet) CellSize(now time.Time) int {
	n := f.ZoneSize(now)
	return (n + cells(n) - 1) / cells(n)
}

// cells returns the number of cells of an availability zone of n gateways.
func cells(n int) int { return max(1, (n+MaxCellSize-1)/MaxCellSize) }

// Relay returns the gateway that aggregates the loads of the availability zone, and
// whether it is this one. If there is a choice, it differs from the root of the zone's
// follow tree, so that the work is spread.
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
	for p := range f.aliveSeq(now) {
		if p.Zone != f.self.Zone {
			zones[p.Zone] = true
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

// RelayFailed records that a relay did not answer: another one replaces it for a while.
// Other calls to that gateway are not affected, because their timeouts are longer.
func (f *Fleet) RelayFailed(now time.Time, address string) {
	if p, ok := f.peers[address]; ok {
		p.relayDownUntil = now.Add(p.failed())
	}
}

// relayOf returns the relay of the availability zone; empty if no gateway there is known.
func (f *Fleet) relayOf(now time.Time, zone string) string {
	if ranked := f.relayOrder(now, zone); len(ranked) > 0 {
		return ranked[0]
	}
	return ""
}

// relayOrder returns the gateways of the availability zone in the order in which they
// become relays.
func (f *Fleet) relayOrder(now time.Time, zone string) []string {
	members := slices.DeleteFunc(f.reachable(now, zone), func(address string) bool {
		return now.Before(f.peers[address].relayDownUntil)
	})
	if zone == f.self.Zone {
		members = append(members, f.self.Address)
	}
	return f.ranked("relay/"+zone, members)
}
