package fleet

import (
	"maps"
	"slices"
	"time"
)

// Relay returns the gateway that sums up the loads of the availability zone, and
// whether it is this one. It is another one than the first to follow, if there is
// a choice, so that the work is spread.
func (f *Fleet) Relay(now time.Time) (address string, self bool) {
	address = f.relayOf(now, f.self.Zone)
	return address, address == f.self.Address
}

// Relays returns the relays of the other availability zones.
func (f *Fleet) Relays(now time.Time) []string {
	zones := make(map[string]bool)
	for h := range f.living(now) {
		if h.Zone != f.self.Zone {
			zones[h.Zone] = true
		}
	}
	var list []string
	for _, zone := range slices.Sorted(maps.Keys(zones)) {
		if address := f.relayOf(now, zone); address != "" {
			list = append(list, address)
		}
	}
	return list
}

// RelayDown notes that a relay did not answer: another one takes its place for a
// while. It says nothing about other calls, for which there is more time.
func (f *Fleet) RelayDown(now time.Time, address string) {
	if h, ok := f.others[address]; ok {
		h.relayDownUntil = now.Add(downFor)
	}
}

// relayOf returns the first gateway of the availability zone in the order of those that
// take on work; empty if none is known.
func (f *Fleet) relayOf(now time.Time, zone string) string {
	members := slices.DeleteFunc(f.askable(now, zone), func(address string) bool {
		return now.Before(f.others[address].relayDownUntil)
	})
	if zone == f.self.Zone {
		members = append(members, f.self.Address)
	}
	if len(members) == 0 {
		return ""
	}
	return f.ranked("relay/"+zone, members)[0]
}
