package fleet

import (
	"slices"
	"time"

	"github.com/gladegauge/gladegauge/internal/core/rendezvous"
)

// Load limit: hundreds of gateways need every change of the store and the age of their
// view, and each call to the store costs money.
//
// Therefore one gateway of a region reads the store. The gateways of an availability zone
// form a tree, and the first gateway of each zone follows the first gateway of the
// region's first zone, in orders that all of them compute alike. This puts all gateways
// into one total order, each behind the one that it follows, so that there is no cycle
// whichever of them are skipped.

// Region sets the availability zones that share one reader of the store.
func (f *Fleet) Region(zones []string) { f.zones = rendezvous.Rank("read", zones) }

// Parent returns the gateway that this one follows; false if it reads the store itself.
func (f *Fleet) Parent(now time.Time) (string, bool) {
	ranked := f.ranked("follow/"+f.self.Zone, append(f.followablePeers(now, f.self.Zone), f.self.Address))
	if at := slices.Index(ranked, f.self.Address); at > 0 {
		return ranked[(at-1)/FanOut], true
	}
	return f.precedingZoneLeader(now)
}

// leadsZone reports whether this gateway is the first of its availability zone.
func (f *Fleet) leadsZone(now time.Time) bool {
	zone := append(f.followablePeers(now, f.self.Zone), f.self.Address)
	return f.ranked("follow/"+f.self.Zone, zone)[0] == f.self.Address
}

// precedingZoneLeader returns the first gateway of an availability zone before this
// one's. A zone whose first gateway does not answer is skipped: trying its gateways one
// after the other takes too long when the whole zone is lost.
func (f *Fleet) precedingZoneLeader(now time.Time) (string, bool) {
	for _, zone := range f.zones {
		if zone == f.self.Zone {
			break
		}
		members := f.members(now, zone)
		if len(members) == 0 {
			continue
		}
		if address := f.ranked("follow/"+zone, members)[0]; f.canFollow(now, f.peers[address]) {
			return address, true
		}
	}
	return "", false
}

// followablePeers returns the gateways of the availability zone that may be followed.
func (f *Fleet) followablePeers(now time.Time, zone string) []string {
	var addresses []string
	for p := range f.aliveSeq(now) {
		if p.Zone == zone && !p.Leaving && f.canFollow(now, p) {
			addresses = append(addresses, p.Address)
		}
	}
	return addresses
}

// members returns the other gateways of the availability zone that are considered alive
// and are not leaving, whether they answer or not.
func (f *Fleet) members(now time.Time, zone string) []string {
	var addresses []string
	for p := range f.aliveSeq(now) {
		if p.Zone == zone && !p.Leaving {
			addresses = append(addresses, p.Address)
		}
	}
	return addresses
}

// canFollow reports whether the gateway answers and reaches the store, as far as is
// known.
func (f *Fleet) canFollow(now time.Time, p *peer) bool {
	return !now.Before(p.downUntil) && !now.Before(p.backoffUntil)
}
