package fleet

import (
	"slices"
	"time"
)

// CallFailed records that a call to the gateway failed.
func (f *Fleet) CallFailed(now time.Time, address string) {
	if p, ok := f.peers[address]; ok {
		p.downUntil = now.Add(p.failed())
	}
}

// failed records that a call to the gateway failed, and returns the backoff before the
// next call. The backoff doubles with each failure until the gateway's heartbeat rises.
// In a large fleet a dead gateway is considered alive for longer; without the doubling,
// a gateway that prefers it to others would call it in vain over and over.
func (p *peer) failed() time.Duration {
	d := callBackoff << p.failures
	p.failures = min(p.failures+1, maxBackoffDoublings)
	return d
}

// reachable returns the sorted addresses of the other gateways that may be called in the
// availability zone, or in all of them if zone is empty.
func (f *Fleet) reachable(now time.Time, zone string) []string {
	var addresses []string
	for p := range f.aliveSeq(now) {
		if !p.Leaving && !now.Before(p.downUntil) && (zone == "" || p.Zone == zone) {
			addresses = append(addresses, p.Address)
		}
	}
	return addresses
}

// RandomPeer returns a random gateway that may be called; false if none is known.
func (f *Fleet) RandomPeer(now time.Time, random uint64) (string, bool) {
	list := f.reachable(now, "")
	if len(list) == 0 {
		return "", false
	}
	return list[random%uint64(len(list))], true
}

// ExchangePeer returns the gateway for the next gossip exchange, selected at random;
// false if none is known. One exchange in rejoinInterval goes to a gateway without a
// recent heartbeat or to a seed, so that the parts of a partitioned fleet find each other
// again. In a large availability zone half of the exchanges stay in the zone, because
// traffic between zones is expensive.
func (f *Fleet) ExchangePeer(now time.Time, random uint64, seeds []string) (string, bool) {
	list := f.reachable(now, "")
	switch {
	case len(list) == 0 || random%rejoinInterval == 0:
		list = f.unseenAddresses(now, seeds)
	case random%rejoinInterval > 1 && f.ZoneSize(now) > MaxSample:
		list = f.reachable(now, f.self.Zone)
	}
	if len(list) == 0 {
		return f.RandomPeer(now, random)
	}
	return list[(random/rejoinInterval)%uint64(len(list))], true
}

// unseenAddresses returns the addresses that may be gateways, but without a recent
// heartbeat.
func (f *Fleet) unseenAddresses(now time.Time, seeds []string) []string {
	known := map[string]bool{f.self.Address: true}
	for p := range f.aliveSeq(now) {
		known[p.Address] = true
	}
	var list []string
	add := func(address string) {
		if !known[address] {
			known[address] = true
			list = append(list, address)
		}
	}
	for address := range f.peers {
		add(address)
	}
	slices.Sort(list)
	for _, address := range seeds {
		add(address)
	}
	return list
}

// IsNeighbour reports whether the address belongs to another gateway of the availability
// zone that is considered alive.
func (f *Fleet) IsNeighbour(now time.Time, address string) bool {
	p, ok := f.peers[address]
	return ok && p.Zone == f.self.Zone && now.Sub(p.lastHeartbeat) <= f.peerTimeout()
}

// ZoneSize returns the number of gateways of the availability zone that may be called,
// including this one.
func (f *Fleet) ZoneSize(now time.Time) int { return 1 + len(f.reachable(now, f.self.Zone)) }
