package demand

import (
	"maps"
	"slices"
)

// sum is the demand for the pools at several gateways, while it is added up. Users are in
// maps, as a relay adds up those of some 30 reports for each of its answers.
type sum map[string]*poolSum

// poolSum is the sum for one pool.
type poolSum struct {
	PoolDemand
	users map[uint64]User
}

// add adds the demand at other gateways.
func (s sum) add(o Summary) {
	for pool, d := range o {
		p, ok := s[pool]
		if !ok {
			p = &poolSum{users: make(map[uint64]User, len(d.Users))}
			s[pool] = p
		}
		p.Arrivals += d.Arrivals
		p.Waiting += d.Waiting
		p.Contended = p.Contended || d.Contended
		for _, u := range d.Users {
			p.users[u.Organisation] = u.plus(p.users[u.Organisation])
		}
	}
}

// summary returns the sum with the heaviest users of each pool only, and without pools
// that have no demand.
func (s sum) summary() Summary {
	out := make(Summary, len(s))
	for pool, p := range s {
		p.Users = heaviest(slices.Collect(maps.Values(p.users)))
		if !p.empty() {
			out[pool] = p.PoolDemand
		}
	}
	return out
}
