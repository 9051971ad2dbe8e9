package fleet

import (
	"slices"
	"time"
)

// Down notes that a call to the gateway failed.
func (f *Fleet) Down(now time.Time, address string) {
	if h, ok := f.others[address]; ok {
		h.downUntil = now.Add(h.failed())
	}
}

// failed notes that a call to the gateway failed, and returns for how long it is left
// alone: twice as long each time, for as long as its beat does not rise. The larger the
// fleet, the longer a dead gateway is believed to live, and who first asks it each time
// would lose the answer again and again.
func (h *heard) failed() time.Duration {
	d := downFor << h.failures
	h.failures = min(h.failures+1, failuresMost)
	return d
}

// askable returns the addresses of the other gateways that may be asked, in
// order; of all availability zones if none is named.
func (f *Fleet) askable(now time.Time, zone string) []string {
	var addresses []string
	for h := range f.living(now) {
		if !h.Leaving && !now.Before(h.downUntil) && (zone == "" || h.Zone == zone) {
			addresses = append(addresses, h.Address)
		}
	}
	return addresses
}

// Other returns a gateway to ask, chosen by the roll of a dice; false if none is
// known.
func (f *Fleet) Other(now time.Time, roll uint64) (string, bool) {
	list := f.askable(now, "")
	if len(list) == 0 {
		return "", false
	}
	return list[roll%uint64(len(list))], true
}

// Partner returns the gateway to swap with next, chosen by the roll of a dice;
// false if none is known. Now and then it is one that was not heard of lately, or
// a seed: that is how the parts of a fleet that was cut find each other again. In a large
// availability zone it is a neighbour half of the time, as bytes between zones are dear.
func (f *Fleet) Partner(now time.Time, roll uint64, seeds []string) (string, bool) {
	list := f.askable(now, "")
	switch {
	case len(list) == 0 || roll%rejoinEvery == 0:
		list = f.unheard(now, seeds)
	case roll%rejoinEvery > 1 && f.ZoneSize(now) > ShareMost:
		list = f.askable(now, f.self.Zone)
	}
	if len(list) == 0 {
		return f.Other(now, roll)
	}
	return list[(roll/rejoinEvery)%uint64(len(list))], true
}

// unheard returns the addresses that may be gateways, but were not heard of
// lately.
func (f *Fleet) unheard(now time.Time, seeds []string) []string {
	known := map[string]bool{f.self.Address: true}
	for h := range f.living(now) {
		known[h.Address] = true
	}
	var list []string
	add := func(address string) {
		if !known[address] {
			known[address] = true
			list = append(list, address)
		}
	}
	for address := range f.others {
		add(address)
	}
	slices.Sort(list)
	for _, address := range seeds {
		add(address)
	}
	return list
}

// IsNeighbour reports whether the address is of another gateway of the availability zone
// that is believed to live.
func (f *Fleet) IsNeighbour(now time.Time, address string) bool {
	h, ok := f.others[address]
	return ok && h.Zone == f.self.Zone && now.Sub(h.at) <= f.keep()
}

// ZoneSize returns the number of gateways of the availability zone.
func (f *Fleet) ZoneSize(now time.Time) int { return 1 + len(f.askable(now, f.self.Zone)) }
