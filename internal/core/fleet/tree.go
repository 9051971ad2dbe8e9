package fleet

import (
	"slices"
	"time"

	"github.com/gladegauge/gladegauge/internal/core/rendezvous"
)

// The load that this answers: hundreds of gateways want to know every change of the store
// and the age of what they know, and each call to the store is paid for.
//
// So one gateway of a region reads it. The gateways of an availability zone form a tree,
// and the first of each zone follows the first of the region's first zone, by orders that
// all agree on. All gateways so stand in one order, each behind the one that it follows:
// there is no circle, whoever is left out.

// Region names the availability zones that share one reader of the store.
func (f *Fleet) Region(zones []string) { f.zones = rendezvous.Rank("read", zones) }

// Parent returns the gateway that this one follows; false if it reads the store itself.
func (f *Fleet) Parent(now time.Time) (string, bool) {
	ranked := f.ranked("follow/"+f.self.Zone, append(f.followable(now, f.self.Zone), f.self.Address))
	if at := slices.Index(ranked, f.self.Address); at > 0 {
		return ranked[(at-1)/FanOut], true
	}
	return f.firstBefore(now)
}

// firstOfZone reports whether this gateway is the first of its availability zone.
func (f *Fleet) firstOfZone(now time.Time) bool {
	zone := append(f.followable(now, f.self.Zone), f.self.Address)
	return f.ranked("follow/"+f.self.Zone, zone)[0] == f.self.Address
}

// firstBefore returns the first gateway of an availability zone before this one's. A zone
// whose first gateway does not answer is passed over: to try one after the other takes
// too long when the whole zone is lost.
func (f *Fleet) firstBefore(now time.Time) (string, bool) {
	for _, zone := range f.zones {
		if zone == f.self.Zone {
			break
		}
		members := f.members(now, zone)
		if len(members) == 0 {
			continue
		}
		if address := f.ranked("follow/"+zone, members)[0]; f.mayFollow(now, f.others[address]) {
			return address, true
		}
	}
	return "", false
}

// followable returns the gateways of the availability zone that may be followed.
func (f *Fleet) followable(now time.Time, zone string) []string {
	var addresses []string
	for h := range f.living(now) {
		if h.Zone == zone && !h.Leaving && f.mayFollow(now, h) {
			addresses = append(addresses, h.Address)
		}
	}
	return addresses
}

// members returns the other gateways of the availability zone that are believed to live
// and stay, whether they answer or not.
func (f *Fleet) members(now time.Time, zone string) []string {
	var addresses []string
	for h := range f.living(now) {
		if h.Zone == zone && !h.Leaving {
			addresses = append(addresses, h.Address)
		}
	}
	return addresses
}

// mayFollow reports whether the gateway answers and reaches the store, as far as is known.
func (f *Fleet) mayFollow(now time.Time, h *heard) bool {
	return !now.Before(h.downUntil) && !now.Before(h.backoffUntil)
}
